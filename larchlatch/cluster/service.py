"""The cluster service: the interface by which a node makes requests to its cluster and reports to it.

The service makes no decisions. `Exchange` composes datagrams, the parts of `SharedState` decide, and
`ClusterDriver` does the I/O.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import structlog

from larchlatch.cluster import reports
from larchlatch.cluster.balancer_notifier import BalancerNotifier, upstream_hash
from larchlatch.cluster.counters import ClusterCounter
from larchlatch.cluster.datagram_socket import DatagramSocket
from larchlatch.cluster.driver import ClusterDriver, wall_us
from larchlatch.cluster.event_log import ClusterEventLog
from larchlatch.cluster.exchange.exchange import Exchange
from larchlatch.cluster.exchange.state import SharedState
from larchlatch.cluster.membership.membership import Membership
from larchlatch.cluster.protocol.signing import Verifier
from larchlatch.errors import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from larchlatch.cluster.cluster_file import ClusterConfiguration
    from larchlatch.cluster.exchange.results import ExecutedOrder
    from larchlatch.cluster.local_node import LocalNode
    from larchlatch.node.metrics import Counters
    from larchlatch.node.ports import ClusterEvents, TokenRequest

log = structlog.get_logger()


def steady_us() -> int:
    """Return the microseconds of a monotonic clock that also advances while the machine is suspended.

    Leases and loans are measured by it, as they go on expiring during that time.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class ClusterService:
    """The cluster service of one node, as the node's other parts use it.

    Attributes:
        configuration: the content of the cluster file that this node uses.
        membership: this node's view of the members.
        state: this node's copy of the state that the members share.
        exchange: handles received datagrams and composes those to send.

    """

    def __init__(
        self, local_node: LocalNode, node_counters: Counters, random: Random, balancer: ClusterEvents
    ) -> None:
        """Prepare the service; `run` starts it.

        Args:
            local_node: the node's identity, key and cluster configuration.
            node_counters: the node's counters.
            random: source of all random choices.
            balancer: receives ejection advice and slow-start tokens.

        """
        self._local_node = local_node
        self._counters = node_counters
        self.configuration = local_node.configuration
        # The order of these two calls determines the order of their random draws.
        self.membership = _create_membership(local_node, self.now(), random)
        self.state = _create_state(local_node, self.now(), random)
        self.exchange = Exchange(
            self.membership,
            self.state,
            self.configuration.sites,
            self.configuration.keys,
            local_node.signer,
            Verifier(),
            node_counters.add,
        )
        self._socket = DatagramSocket(node_counters)
        self._events = ClusterEventLog(node_counters)
        self._notifier = BalancerNotifier(balancer, self.state.tokens.requester, self._events, node_counters)
        self._driver = ClusterDriver(
            self.configuration.nodes,
            self.exchange,
            self._socket,
            self._events,
            self._notifier,
            node_counters,
            now=self.now,
            log_orders=self.log_orders,
        )
        self._notifier.open_requester(self.now())

    def now(self) -> int:
        """Return the monotonic time in microseconds that leases and loans are measured by."""
        return steady_us()

    @property
    def upstreams(self) -> Mapping[int, str]:
        """Return the name of each upstream on the endpoint list, by the hash used in datagrams."""
        return self._notifier.upstreams

    async def run(self) -> None:
        """Take part in the cluster until cancelled, and then announce the shutdown."""
        await self._driver.run()

    def log_orders(self, orders: list[ExecutedOrder]) -> None:
        """Log orders that this node has executed, and changes of its own roles since the last call."""
        self._events.log_orders(orders)
        self._events.log_role_events(self.state.election.take_events())

    # Requests and reports of the node.

    def resign(self) -> None:
        """Begin to hand this node's roles over to other nodes, as it is shutting down."""
        self.state.election.begin_handover()

    def admit(self, traffic_class: str) -> int:
        """Charge one new session to the quota of its traffic class, if the quota has room for it.

        Returns:
            0 if the session is admitted, otherwise the microseconds after which its client may try again.

        """
        retry_after_us = self.state.quotas.admit(self.now(), traffic_class)
        if retry_after_us:
            self._counters.add(ClusterCounter.SESSIONS_OVER_QUOTA)
        return retry_after_us

    def update_endpoints(self, ready: Iterable[str], *, slow_start_us: int, overload_window_us: int) -> None:
        """Apply a new endpoint list.

        Args:
            ready: names of the upstreams that are ready.
            slow_start_us: longest remaining slow start of any of them.
            overload_window_us: window in which sessions to a warming upstream are counted.

        """
        self._notifier.update_upstreams(ready)
        self.state.tokens.update_upstreams(
            self.now(), self._notifier.upstreams, slow_start_us=slow_start_us, window_us=overload_window_us
        )
        self.state.health.set_upstreams(self._notifier.upstreams)

    def observe_reachability(self, upstream: str, *, reached: bool | None) -> None:
        """Record whether this node could connect to an upstream; None: established sessions broke off."""
        if upstream_hash(upstream) in self._notifier.upstreams:
            self.state.health.observe(self.now(), upstream_hash(upstream), reached=reached)

    def request_token(self, session: int, requests: list[TokenRequest]) -> None:
        """Request a slow-start token for a session that may be placed on one of these warming upstreams."""
        candidates = [(upstream_hash(request.upstream), request.candidate) for request in requests]
        result = self.exchange.request_token(session, candidates, now=self.now(), wall=wall_us())
        self._driver.apply(result)

    # Hot restart.

    def hand_over(self) -> dict[str, int]:
        """Stop admitting sessions, as the successor process admits them from now on.

        Returns:
            The number of sessions that this process has admitted in the last window, by quota.

        """
        self.state.tokens.requester.close()
        return self.state.quotas.close(self.now())

    def resume(self) -> None:
        """Admit sessions again, as the successor process has failed to take over."""
        self.state.quotas.open(self.now())
        self._notifier.open_requester(self.now())

    def take_over(self, used: Mapping[str, int]) -> None:
        """Admit sessions from now on, in place of the predecessor process.

        Args:
            used: number of sessions that the predecessor has admitted in the last window, by quota.

        """
        self.state.quotas.take_over(self.now(), used)
        self._notifier.open_requester(self.now())

    # Configuration.

    def reload(self) -> None:
        """Read the cluster file again and apply it; an invalid file is rejected and changes nothing."""
        try:
            configuration = self._local_node.read_changed_file(current=self.configuration)
        except InvalidInputError as error:
            self._counters.add(ClusterCounter.FILE_REJECTED)
            log.error("cluster_file_rejected", reason=str(error))  # noqa: TRY400  the reason is complete
            return
        self._counters.add(ClusterCounter.FILE_READ)
        name = self._local_node.name
        if configuration.nodes[name] != self.configuration.nodes[name]:
            log.warning("restart_required", keys=[f"nodes: {name}"])
            configuration.nodes[name] = self.configuration.nodes[name]
        self._apply_configuration(configuration)

    def _apply_configuration(self, configuration: ClusterConfiguration) -> None:
        self.configuration = configuration
        self._driver.nodes = configuration.nodes
        self.state.quota_usage.clock_difference_us = configuration.max_clock_difference_us
        self.exchange.apply_configuration(
            configuration.sites,
            configuration.keys,
            configuration.quota_settings,
            configuration.electorate,
            heartbeat_us=configuration.heartbeat_us,
            now=self.now(),
        )

    # Status rows for operators; docs/operating-cluster.md explains their keys.

    def role_rows(self) -> list[dict[str, Any]]:
        """Return one row for each role."""
        return reports.role_rows(self.state, self.membership, self.now())

    def quota_rows(self) -> list[dict[str, Any]]:
        """Return one row for each quota."""
        return reports.quota_rows(self.state, now=self.now(), wall=wall_us())

    def member_rows(self) -> list[dict[str, Any]]:
        """Return one row for each other member."""
        return reports.member_rows(self.membership, self.configuration.sites)


def _create_membership(local_node: LocalNode, now: int, random: Random) -> Membership:
    """Return the initial view of the members, for a node that starts."""
    configuration = local_node.configuration
    return Membership(
        local_node.name,
        configuration.sites,
        heartbeat_us=configuration.heartbeat_us,
        wall_us=wall_us(),
        now_us=now,
        rng=random,
    )


def _create_state(local_node: LocalNode, now: int, random: Random) -> SharedState:
    """Return the initial copy of the shared state, for a node that starts."""
    configuration = local_node.configuration
    return SharedState.create(
        local_node.name,
        configuration.quota_settings,
        configuration.electorate,
        max_clock_difference_us=configuration.max_clock_difference_us,
        heartbeat_us=configuration.heartbeat_us,
        now=now,
        random=random,
    )
