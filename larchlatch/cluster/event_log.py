"""Logs and counts the events of a node's cluster service; docs/operating-cluster.md lists them."""

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
    from larchlatch.node.messages import UnreachableUpstream
    from larchlatch.node.metrics import Counters

ROLE_EVENTS = {RoleChange.HELD: "role_acquired", RoleChange.ENDED: "role_ended"}

log = structlog.get_logger()


class ClusterEventLog:
    """Writes log events and updates counters; a lasting condition is logged only when it begins and ends."""

    def __init__(self, node_counters: Counters) -> None:
        self._counters = node_counters
        self._isolated = False
        self._files_differ = False
        self._unknown_version_logged = False

    def log_member_changes(self, changes: Iterable[MemberChange]) -> None:
        """Log and count the members whose state has changed, each with its new state."""
        for change in changes:
            self._counters.add(member_state_counter(change.state))
            log.info("member_state_changed", name=change.name, state=change.state.value)

    def log_orders(self, orders: Iterable[ExecutedOrder]) -> None:
        """Log and count orders that this node has executed."""
        for order in orders:
            self._counters.add(ClusterCounter.ORDERS_EXECUTED)
            # The token issuer gives an order for each session, which is too many for the level INFO.
            write = log.debug if order.role == TOKEN_ISSUER else log.info
            write("order_executed", **order._asdict())

    def log_role_events(self, events: Iterable[RoleEvent]) -> None:
        """Log the roles that this node has acquired or lost, each with the reason."""
        for event in events:
            log.info(ROLE_EVENTS[event.change], role=event.role, lease=event.lease, reason=event.reason)

    def log_advised_ejections(self, ejections: Iterable[UnreachableUpstream]) -> None:
        """Log and count upstreams that the balancer is advised to eject, with their numbers of reporters."""
        for upstream, reporters in ejections:
            self._counters.add(ClusterCounter.EJECTIONS_ADVISED)
            log.info("upstream_ejection_advised", upstream=upstream, reporters=reporters)

    def log_unreachable(self, upstreams: Iterable[str]) -> None:
        """Log upstreams that this node has begun to treat as unreachable."""
        for upstream in upstreams:
            log.info("upstream_unreachable", upstream=upstream)

    def log_isolation(self, *, is_isolated: bool) -> None:
        """Log the beginning and the end of isolation: no other member is present."""
        if is_isolated is not self._isolated:
            self._isolated = is_isolated
            log.warning("cluster_isolated" if is_isolated else "cluster_isolation_ended")

    def log_file_difference(self, *, files_differ: bool) -> None:
        """Log the beginning and the end of a time in which other nodes use a different cluster file."""
        if files_differ is not self._files_differ:
            self._files_differ = files_differ
            log.warning("cluster_files_differ" if files_differ else "cluster_files_agree")

    def log_unknown_version(self, version: int | None) -> None:
        """Log an unknown protocol version of received datagrams, at most once; None: none was received."""
        if version is not None and not self._unknown_version_logged:
            self._unknown_version_logged = True
            log.warning("cluster_protocol_version_unknown", version=version)
