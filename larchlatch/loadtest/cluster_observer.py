"""Judges a cluster from outside: by what nodes log, and by what the load test does to them."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING, Any

import anyio

from larchlatch.cluster.quota.counts import WINDOWS
from larchlatch.invariants.membership_agreement import Agreement
from larchlatch.invariants.single_leader import holders_of, row_of, tenures_of
from larchlatch.invariants.upstream_avoidance import Avoidance
from larchlatch.loadtest.discovery_stub import upstream_number
from larchlatch.loadtest.node_log import NodeLogReader
from larchlatch.loadtest.node_settings import node_name
from larchlatch.node.clock import now_us
from larchlatch.scenario.amounts import SECOND, us
from larchlatch.scenario.datagram_paths import DatagramPaths, PartitionedNodes

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from pathlib import Path

    from larchlatch.invariants.quota_safety import Spending
    from larchlatch.loadtest.node_log import LoggedEvent
    from larchlatch.scenario.scenario import Day

LOG_READ_INTERVAL_S = 0.02

# The events of nodes' logs that are read.
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
    """Feeds the checkers of a cluster's invariants.

    Attributes:
        agreement: judges which nodes each node takes for present.
        avoidance: judges how soon nodes avoid upstreams that are gone.
        leadership: by role, judges who holds it.

    """

    def __init__(self, scenario: Day, quota: Spending | None, can_reach: Callable[[int, int], bool]) -> None:
        """Make the observer.

        Args:
            scenario: The scenario.
            quota: Judges what is spent of a shared quota.
            can_reach: Returns whether the nodes of a zone can reach an upstream, by their numbers.

        """
        count = scenario.nodes.count
        self.agreement = Agreement(count, now_us())
        self.avoidance = Avoidance()
        self.leadership = tenures_of(scenario, now_us())
        self._scenario = scenario
        self._quota = quota
        self._can_reach = can_reach
        self._numbers = {node_name(number): number for number in range(count)}
        self._running = [False] * count
        self._paths = DatagramPaths(None)  # as the proxy treats them by now
        self._logs = NodeLogReader([], EVENTS)

    def is_running(self, node: int) -> bool:
        """Return whether a node's process runs, and is not paused."""
        return self._running[node]

    def role_holders(self) -> list[int]:
        """Return the nodes that hold any role."""
        return holders_of(self.leadership.values())

    # What the load test does.

    def node_starts(self, node: int) -> None:
        """Note that a process of a node is about to start: what it logs from then on is of a new life."""
        self.read_logs()
        self.agreement.began(now_us(), node)
        for leadership in self.leadership.values():
            leadership.held(now_us(), node, False)

    def node_runs(self, node: int, *, running: bool) -> None:
        """Note that a node's process runs from now on, or no longer."""
        self._running[node] = running
        self.avoidance.runs(now_us(), node, running)
        self._reconsider()

    def partitioned(self, nodes: Sequence[int], *, oneway: bool) -> None:
        """Note that datagrams between these nodes and the others are blocked from now on."""
        self._paths.partitions.append(PartitionedNodes(frozenset(nodes), oneway))
        self._reconsider()

    def partition_healed(self, nodes: Sequence[int], *, oneway: bool) -> None:
        """Note the end of a partition that was made with the same arguments."""
        self._paths.partitions.remove(PartitionedNodes(frozenset(nodes), oneway))
        self._reconsider()

    def _reconsider(self) -> None:
        """Tell the checkers which nodes run, and which of them can hear each other."""
        self.agreement.is_so(now_us(), self._running, self._paths.is_blocked)
        for leadership in self.leadership.values():
            leadership.is_so(now_us(), self._running, self._paths.is_blocked)

    # What nodes log.

    def follow_logs(self, logs: Sequence[Path]) -> None:
        """Read these files from now on, the log of each node."""
        self._logs = NodeLogReader(logs, EVENTS)

    async def run(self) -> None:
        """Read logs until cancelled."""
        while True:
            self.read_logs()
            await anyio.sleep(LOG_READ_INTERVAL_S)

    def read_logs(self) -> None:
        """Judge all that nodes have logged since the last call."""
        for event in self._logs.read():
            self._judge(event)

    def _judge(self, event: LoggedEvent) -> None:
        node = event.node
        match event.fields:
            case {"event": "member_state_changed", "name": name, "state": state}:
                self.agreement.said(now_us(), node, self._numbers[name], state == "present")
            case {"event": "upstream_unreachable", "upstream": name}:
                self.avoidance.found(now_us(), node, upstream_number(name))
            case {"event": "upstream_ejection_advised", "upstream": name}:
                upstream = upstream_number(name)
                reached = self._can_reach(node % self._scenario.zones, upstream)
                self.avoidance.left_out(now_us(), upstream, reached)
            case {"event": "order_executed", "role": role, "lease": lease}:
                self.leadership[role].carried_out(lease)
            case {"event": "role_acquired" | "role_ended" as name, "role": role}:
                self.leadership[role].held(now_us(), node, name == "role_acquired")
            case {"event": "quota_status", "fleet_least": least, "fleet_most": most, "timestamp": at}:
                self._judge_quota_status(least, most, datetime.fromisoformat(at))

    def _judge_quota_status(self, least: int, most: int, logged_at: datetime) -> None:
        """Judge a node's range of what all nodes have spent lately."""
        if self._quota is None:
            return
        # By the line's own time: what is spent between that and the reading is not in the range.
        logged_us = round(logged_at.timestamp() * SECOND)
        span_us = WINDOWS * us(self._scenario.cluster.window_s)
        self._quota.told(logged_us, least, most, span_us)

    def figures(self) -> dict[str, Any]:
        """Return the checkers' figures, by the keys of the result."""
        return {
            **self.agreement.row(),
            **(self._quota.row() if self._quota is not None else {}),
            **self.avoidance.row(now_us()),
            **row_of(self.leadership, now_us()),
        }
