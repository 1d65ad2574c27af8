"""Simulates a cluster: the members of all nodes, and the delivery of their datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.emulator.clock import Priority
from larchlatch.emulator.cluster_settings import ClusterSettings, cluster_settings, member_name
from larchlatch.emulator.member import SimulatedMember
from larchlatch.invariants.observations import FleetChanged, NodeStarted, RoleChanged, UpstreamEjected
from larchlatch.invariants.scenario_checkers import ClusterCheckers
from larchlatch.scenario.datagram_paths import DatagramPaths
from larchlatch.scenario.drifting_clock import DriftingClock

if TYPE_CHECKING:
    from collections.abc import Iterable

    from larchlatch.cluster.health.observations import EjectionAdvice
    from larchlatch.emulator.context import SimulationContext

USAGE_CHECK_INTERVAL_US = 1_000_000


class SimulatedCluster:
    """Starts and stops the members of all nodes, and delivers their datagrams.

    Attributes:
        checkers: The checkers of the cluster's invariants.
        members: The member of each node, by number.
        clocks: The clock of each node, by number; clocks may drift.
        paths: The partitions and impairments of the paths between nodes.
        counts: How many datagrams the members have rejected as invalid, by reason.
        bytes_sent: The total size of all datagrams sent, in bytes.
        decision_time_s: The real time that all members' decisions and coding of datagrams took, in seconds.

    """

    def __init__(self, context: SimulationContext) -> None:
        count, now = context.scenario.nodes.count, context.clock.now
        self.checkers = ClusterCheckers(context.scenario, now)
        self.clocks = [DriftingClock(now) for _ in range(count)]
        self.paths = DatagramPaths(context.streams)
        self.counts: dict[str, int] = {}
        self.bytes_sent = 0
        self.decision_time_s = 0.0
        self._context = context
        self._numbers = {member_name(number): number for number in range(count)}
        self._removed: set[int] = set()
        self._settings = self._current_settings()
        self._start_counts = [0] * count
        self.members = [self._start_member(number) for number in range(count)]
        self.observe_fleet()
        if self.checkers.quota is not None:
            self._schedule_usage_check()

    def _current_settings(self) -> ClusterSettings:
        numbers = [number for number in self._numbers.values() if number not in self._removed]
        return cluster_settings(self._context.scenario, numbers, digest=1 + len(self._removed))

    def _start_member(self, number: int) -> SimulatedMember:
        self._start_counts[number] += 1
        stream = f"cluster {number} start {self._start_counts[number]}"
        return SimulatedMember(
            self._context,
            self,
            number,
            settings=self._settings,
            clock=self.clocks[number],
            rng=self._context.streams.stream(stream),
        )

    def number_of(self, name: str) -> int:
        """Return the number of the node with this name."""
        return self._numbers[name]

    def count(self, reason: str) -> None:
        """Count an invalid datagram by the reason for which it was rejected."""
        self.counts[reason] = self.counts.get(reason, 0) + 1

    # Datagrams and advice.

    def send_datagram(self, sender: int, receiver: int, data: bytes) -> None:
        """Send a datagram from one node to another; the state of the path may lose, delay or repeat it."""
        self.bytes_sent += len(data)
        zones, clock = self._context.scenario.zones, self._context.clock
        latency_us = self._context.topology.latency_us(sender % zones, receiver % zones)
        for delay_us in self.paths.delays_of_next(sender, receiver):
            arrives_at = clock.now + latency_us + delay_us
            clock.schedule(arrives_at, Priority.NOTIFICATION, self._deliver, receiver, data)

    def _deliver(self, receiver: int, data: bytes) -> None:
        self.members[receiver].receive(data)

    def pass_on_advice(self, number: int, advice: EjectionAdvice) -> None:
        """Pass advice that is based on other nodes' reports of failed upstreams to a node's balancer."""
        node = self._context.nodes[number]
        for upstream, _ in advice.failures:
            reachable = self._context.topology.reaches(node, self._context.upstreams[upstream])
            self.checkers.observe(UpstreamEjected(self._context.clock.now, upstream, reachable))
        node.receive_ejection_advice(advice.probes, advice.failures)

    # Reports to the checkers.

    def observe_fleet(self) -> None:
        """Report to the checkers which members run and which paths are blocked."""
        running = [member.is_running for member in self.members]
        self.checkers.observe(FleetChanged(self._context.clock.now, running, self.paths.is_blocked))

    def _schedule_usage_check(self) -> None:
        clock = self._context.clock
        clock.schedule(clock.now + USAGE_CHECK_INTERVAL_US, Priority.CHECK, self._check_usage)

    def _check_usage(self) -> None:
        for member in self.members:
            if member.is_running:
                member.report_quota_usage()
        self._schedule_usage_check()

    # Processes and cluster files.

    def kill(self, number: int) -> None:
        """Kill the process of a member."""
        self.members[number].is_alive = False
        for role in self.checkers.leaders:
            self.checkers.observe(RoleChanged(self._context.clock.now, role, node=number, held=False))
        self.observe_fleet()

    def restart(self, number: int) -> None:
        """Start a new process of a member."""
        self.members[number] = self._start_member(number)
        self.checkers.observe(NodeStarted(self._context.clock.now, number))
        self.observe_fleet()

    def pause(self, number: int) -> None:
        """Pause the process of a member."""
        self.members[number].is_paused = True
        self.observe_fleet()

    def resume(self, number: int) -> None:
        """Resume the process of a member."""
        self.members[number].resume()

    def remove_from_files(self, numbers: Iterable[int]) -> None:
        """Remove nodes from the cluster file; a member applies the change when it rereads the file."""
        self._removed.update(numbers)

    def reread_file(self, number: int) -> None:
        """Make a member reread its cluster file; one whose process has ended reads it at its next start."""
        self._settings = self._current_settings()
        member = self.members[number]
        if member.is_alive:
            member.reload(self._settings)
