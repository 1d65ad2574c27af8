"""Observes a cluster from outside: from what its nodes log, and from what the load test does to them."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING

import anyio

from larchlatch.cluster.quota.loan_terms import USAGE_WINDOWS
from larchlatch.invariants.observations import (
    FleetChanged,
    MemberReported,
    NodeStarted,
    OrderExecuted,
    QuotaUsageReported,
    RoleChanged,
    UpstreamEjected,
    UpstreamFailureDetected,
    UpstreamLost,
    UpstreamReturned,
)
from larchlatch.loadtest.discovery_stub import upstream_number
from larchlatch.loadtest.node_log import NodeLogReader
from larchlatch.loadtest.node_settings import node_name
from larchlatch.node.clock import now_us
from larchlatch.scenario.amounts import SECOND, us
from larchlatch.scenario.datagram_paths import DatagramPaths, PartitionedNodes

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from pathlib import Path

    from larchlatch.invariants.scenario_checkers import ClusterCheckers
    from larchlatch.loadtest.node_log import LoggedEvent
    from larchlatch.scenario.scenario import Scenario

LOG_READ_INTERVAL_S = 0.02

# Names of the log events that are read; all others are skipped.
EVENTS = (
    "member_state_changed",
    "upstream_unreachable",
    "upstream_ejection_advised",
    "quota_status",
    "order_executed",
    "role_acquired",
    "role_ended",
)


class ClusterObserver:
    """Passes its observations to the checkers of the cluster's invariants.

    Attributes:
        checkers: The checkers.

    """

    def __init__(
        self, scenario: Scenario, checkers: ClusterCheckers, is_connected: Callable[[int, int], bool]
    ) -> None:
        """Create the observer.

        Args:
            scenario: The scenario.
            checkers: The checkers of the scenario's invariants.
            is_connected: Takes the numbers of a zone and an upstream; returns whether nodes of the zone can
                reach the upstream.

        """
        count = scenario.nodes.count
        self.checkers = checkers
        self._scenario = scenario
        self._is_connected = is_connected
        self._numbers = {node_name(number): number for number in range(count)}
        self._running = [False] * count
        self._paths = DatagramPaths(None)  # which of them the proxy blocks now
        self._logs = NodeLogReader([], EVENTS)
        self._lent = [0] * count

    def lent_by(self, node: int) -> int:
        """Return how much of the quotas a node has lent by its last status, in sessions per window."""
        return self._lent[node]

    def is_running(self, node: int) -> bool:
        """Return whether a node's process has been started and is neither killed nor paused."""
        return self._running[node]

    # Actions of the load test.

    def node_starts(self, node: int) -> None:
        """Record that a new process of a node is about to start: it knows no other node and has no role."""
        self.read_logs()
        self.checkers.observe(NodeStarted(now_us(), node))
        for role in self.checkers.leaders:
            self.checkers.observe(RoleChanged(now_us(), role, node, held=False))

    def process_changes(self, node: int) -> None:
        """Record that another process is about to join the cluster for a node, and knows no other node yet.

        The present process logs the end of its roles when it leaves.
        """
        self.read_logs()
        self.node_runs(node, running=False)
        self.checkers.observe(NodeStarted(now_us(), node))

    def node_runs(self, node: int, *, running: bool) -> None:
        """Record whether a node's process runs from now on."""
        self._running[node] = running
        self._observe_fleet()

    def member_removed(self, removed: int) -> None:
        """Record that a node is in no cluster file any more; other nodes log nothing further about it."""
        for node, running in enumerate(self._running):
            if running:
                self.checkers.observe(MemberReported(now_us(), node, removed, present=False))

    def partitioned(self, nodes: Sequence[int], *, oneway: bool) -> None:
        """Record that datagrams between these nodes and the others are blocked from now on.

        With `oneway`, only datagrams that these nodes send are blocked.
        """
        self._paths.partitions.append(PartitionedNodes(frozenset(nodes), oneway))
        self._observe_fleet()

    def partition_healed(self, nodes: Sequence[int], *, oneway: bool) -> None:
        """Record the end of a partition that was recorded with the same arguments."""
        self._paths.partitions.remove(PartitionedNodes(frozenset(nodes), oneway))
        self._observe_fleet()

    def _observe_fleet(self) -> None:
        self.checkers.observe(FleetChanged(now_us(), self._running, self._paths.is_blocked))

    def upstream_lost(self, upstream: int) -> None:
        """Record that an upstream crashes or stops answering."""
        self.checkers.observe(UpstreamLost(now_us(), upstream))

    def upstream_returned(self, upstream: int) -> None:
        """Record that an upstream is started again."""
        self.checkers.observe(UpstreamReturned(now_us(), upstream))

    # Logs of the nodes.

    def follow_logs(self, logs: Sequence[Path]) -> None:
        """Read these files from now on: one log for each node, in the order of the nodes' numbers."""
        self._logs = NodeLogReader(logs, EVENTS)

    async def run(self) -> None:
        """Read new lines of the logs at short intervals until cancelled."""
        while True:
            self.read_logs()
            await anyio.sleep(LOG_READ_INTERVAL_S)

    def read_logs(self) -> None:
        """Pass on all events that nodes have logged since the last call."""
        for event in self._logs.read():
            self._observe_event(event)

    def _observe_event(self, event: LoggedEvent) -> None:
        node, observe = event.node, self.checkers.observe
        match event.fields:
            case {"event": "member_state_changed", "name": name, "state": state}:
                observe(MemberReported(now_us(), node, self._numbers[name], state == "present"))
            case {"event": "upstream_unreachable", "upstream": name}:
                observe(UpstreamFailureDetected(now_us(), node, upstream_number(name)))
            case {"event": "upstream_ejection_advised", "upstream": name}:
                observe(self._upstream_ejected(node, upstream_number(name)))
            case {"event": "order_executed", "role": role, "lease": lease}:
                observe(OrderExecuted(now_us(), role, lease))
            case {"event": "role_acquired" | "role_ended" as change, "role": role}:
                observe(RoleChanged(now_us(), role, node, held=change == "role_acquired"))
            case {
                "event": "quota_status",
                "fleet_least": least,
                "fleet_most": most,
                "lent": lent,
                "timestamp": at,
            }:
                self._lent[node] = lent
                observe(self._quota_usage_reported(least, most, datetime.fromisoformat(at)))

    def _upstream_ejected(self, node: int, upstream: int) -> UpstreamEjected:
        zone = node % self._scenario.zones
        return UpstreamEjected(now_us(), upstream, self._is_connected(zone, upstream))

    def _quota_usage_reported(self, least: int, most: int, logged_at: datetime) -> QuotaUsageReported:
        # The time of the log line is used: the reported range does not include sessions that were admitted
        # between that time and the reading of the line.
        logged_us = round(logged_at.timestamp() * SECOND)
        span_us = USAGE_WINDOWS * us(self._scenario.cluster.window_s)
        return QuotaUsageReported(logged_us, least, most, span_us)
