"""Sends notices from the cluster to the node's balancer, with names of upstreams in place of hashes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from larchlatch.cluster.counters import ClusterCounter
from larchlatch.node.clock import now_us
from larchlatch.node.messages import EjectionAdvised, SlowStartTokens, UnreachableUpstream

if TYPE_CHECKING:
    from collections.abc import Iterable

    from larchlatch.cluster.event_log import ClusterEventLog
    from larchlatch.cluster.health.observations import EjectionAdvice
    from larchlatch.cluster.slow_start.notices import TokenNotice
    from larchlatch.cluster.slow_start.requester import TokenRequester
    from larchlatch.node.metrics import Counters
    from larchlatch.node.ports import ClusterEvents


class BalancerNotifier:
    """Sends slow-start tokens and ejection advice to the balancer.

    Attributes:
        upstreams: name of each upstream on the endpoint list, by the hash that identifies it in datagrams.

    """

    def __init__(
        self,
        balancer: ClusterEvents,
        requester: TokenRequester,
        events: ClusterEventLog,
        node_counters: Counters,
    ) -> None:
        self.upstreams: dict[int, str] = {}
        self._balancer = balancer
        self._requester = requester
        self._events = events
        self._counters = node_counters

    def update_upstreams(self, names: Iterable[str]) -> None:
        """Set the upstreams that are on the endpoint list, by their names."""
        self.upstreams = {upstream_hash(name): name for name in names}

    def open_requester(self, now: int) -> None:
        """Allow this process to place sessions on warming upstreams, and to request tokens for them."""
        notice = self._requester.open(now)
        self.send_tokens([notice] if notice is not None else [], now)

    def send_tokens(self, notices: list[TokenNotice], now: int) -> None:
        """Send notices about slow-start tokens to the balancer.

        If the balancer does not accept a notice, the hand-over of this node's slow-start turns is withdrawn.

        Args:
            notices: notices whose times are by the clock that leases are measured by.
            now: present time by that clock.

        """
        clock_offset_us = now_us() - now  # the balancer's clock differs from that of leases
        for notice in notices:
            tokens = SlowStartTokens(
                notice.handed_over_until + clock_offset_us,
                self.upstreams.get(notice.upstream, ""),
                notice.session,
                notice.token_ends_at + clock_offset_us,
            )
            if not self._balancer.receive_tokens(tokens):
                self._requester.withdraw()

    def send_advice(self, advice: EjectionAdvice) -> None:
        """Log ejection advice, and send it to the balancer if it names upstreams to probe or to eject."""
        probes = [self.upstreams[upstream] for upstream in advice.probes]
        ejections = [
            UnreachableUpstream(self.upstreams[upstream], reporters)
            for upstream, reporters in advice.failures
        ]
        self._events.log_advised_ejections(ejections)
        self._events.log_unreachable(self.upstreams[upstream] for upstream in advice.newly_unreachable)
        if probes or ejections:
            self._counters.add(ClusterCounter.PROBES_ADVISED, len(probes))
            self._balancer.advise_ejection(EjectionAdvised(probes, ejections))


def upstream_hash(name: str) -> int:
    """Return the hash that identifies an upstream in datagrams; names may be too long for them."""
    return xxh3_64_intdigest(name.encode())
