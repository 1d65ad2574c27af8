"""Log and count what befalls a node's part in the cluster; docs/operating-cluster.md lists the events."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from larchlatch.cluster.counters import ClusterCounter, member_state_counter
from larchlatch.cluster.election.candidate_side import RoleChange
from larchlatch.cluster.election.electorate import TOKEN_ISSUER

if TYPE_CHECKING:
    from collections.abc import Iterable

    from larchlatch.cluster.election.candidate_side import RoleEvent
    from larchlatch.cluster.exchange.results import ExecutedOrder
    from larchlatch.cluster.membership.member import MemberChange
    from larchlatch.node.metrics import Counters

ROLE_EVENTS = {RoleChange.HELD: "role_acquired", RoleChange.ENDED: "role_ended"}  # the log event of each

log = structlog.get_logger()


class ClusterEventLog:
    """Write log events and counters; of a lasting condition, its beginning and its end alone."""

    def __init__(self, node_counters: Counters) -> None:
        self._counters = node_counters
        self._isolated = False
        self._files_differ = False
        self._unknown_version_logged = False

    def member_changes(self, changes: Iterable[MemberChange]) -> None:
        """Log members whose state has changed."""
        for change in changes:
            self._counters.add(member_state_counter(change.state))
            log.info("member_state_changed", name=change.name, state=change.state.value)

    def orders(self, orders: Iterable[ExecutedOrder]) -> None:
        """Log orders that were carried out here."""
        for order in orders:
            self._counters.add(ClusterCounter.ORDERS_EXECUTED)
            # There is one of the token issuer for each session.
            write = log.debug if order.role == TOKEN_ISSUER else log.info
            write("order_executed", **order._asdict())

    def role_events(self, events: Iterable[RoleEvent]) -> None:
        """Log what became of this node's own roles."""
        for event in events:
            log.info(ROLE_EVENTS[event.change], role=event.role, lease=event.lease, reason=event.reason)

    def ejections_advised(self, ejections: Iterable[tuple[str, int]]) -> None:
        """Log upstreams that so many other nodes can't reach."""
        for upstream, witnesses in ejections:
            self._counters.add(ClusterCounter.EJECTIONS_ADVISED)
            log.info("upstream_ejection_advised", upstream=upstream, witnesses=witnesses)

    def unreachable(self, upstreams: Iterable[str]) -> None:
        """Log upstreams that this node takes for unreachable from now on."""
        for upstream in upstreams:
            log.info("upstream_unreachable", upstream=upstream)

    def isolated(self, *, now: bool) -> None:
        """Log whether no other node is heard, where that has changed."""
        if now is not self._isolated:
            self._isolated = now
            log.warning("cluster_isolated" if now else "cluster_isolation_ended")

    def files_differ(self, *, now: bool) -> None:
        """Log whether other nodes go by another cluster file, where that has changed."""
        if now is not self._files_differ:
            self._files_differ = now
            log.warning("cluster_files_differ" if now else "cluster_files_agree")

    def unknown_version(self, version: int | None) -> None:
        """Log once that datagrams of a protocol version arrive that this node does not speak."""
        if version is not None and not self._unknown_version_logged:
            self._unknown_version_logged = True
            log.warning("cluster_protocol_version_unknown", version=version)
