"""Models an upstream: its queue of session setups, its warm-up, and its message latency under load.

This module does no I/O, and callers pass the present time. The emulator and the load test's upstream stubs
use the same model. Times are in microseconds, work is in microseconds of one core.
"""

from __future__ import annotations

import heapq
from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

from larchlatch.scenario.amounts import SECOND, us

if TYPE_CHECKING:
    from collections.abc import Iterator

    from larchlatch.scenario.scenario import Scenario, SlowStart

MAX_SETUP_WAIT_US = 2 * SECOND  # setups that would wait longer for a core are rejected

# Message latency is constant up to this utilization, then grows with a power of it, up to a maximum.
UNDELAYED_UTILIZATION = 0.9
LATENCY_EXPONENT = 8
IDLE_LATENCY_DIVISOR = 10  # the latency without load is the latency objective divided by this
MAX_LATENCY_MULTIPLE = 40.0  # the maximum latency, as a multiple of the latency objective

# Above this utilization, an upstream drops a share of its excess sessions at each call of `sessions_to_drop`.
OVERLOAD_UTILIZATION = 1.5
DROPPED_SHARE = 0.3


class Condition(Enum):
    """The condition of an upstream, which decides what happens to connections to it."""

    HEALTHY = "healthy"
    CRASHED = "crashed"  # the machine runs without the process, so that connections are refused
    SILENT = "silent"  # neither connections nor messages are answered
    ABSENT = "absent"  # the upstream was not started yet, or has been retired


class SimulatedUpstream:
    """The model of one upstream.

    Attributes:
        number: The upstream's number, from 0.
        zone: The number of its zone.
        cell: The number of its cell.
        size: The number of its cores.
        condition: Whether its process runs and answers.
        draining: Whether it rejects new sessions.
        started_at: When its process started; 0 if it ran before the scenario and has warmed up.
        incarnation: Incremented when its process starts or ends, so that work of an earlier process is
            recognized as void.
        slowness: The factor by which its processing time is longer than that of a healthy upstream.
        load: Work of all its sessions and their groups, in microseconds per second.
        sessions: Load of each of its sessions, by session number.

    """

    def __init__(self, number: int, *, zone: int, cell: int, size: float, slow_start: SlowStart) -> None:
        self.number = number
        self.zone = zone
        self.cell = cell
        self.size = size
        self.condition = Condition.HEALTHY
        self.draining = False
        self.started_at = 0
        self.incarnation = 0
        self.slowness = 1.0
        self.load = 0.0
        self.sessions: dict[int, float] = {}
        self._slow_start = slow_start
        self._cores_free_at: list[int] = [0] * max(1, round(size))  # a heap
        self._group_sizes: Counter[int] = Counter()
        self._recent_arrivals: list[tuple[int, float]] = []  # time and load, while it warms up

    def start(self, now: int) -> None:
        """Start a new process, which has no sessions and has to warm up."""
        self.condition, self.draining = Condition.HEALTHY, False
        self.started_at = max(1, now)
        self.stop()

    def stop(self) -> None:
        """End the process, with all its sessions and queued setups."""
        self.incarnation += 1
        self.sessions.clear()
        self._group_sizes.clear()
        self._recent_arrivals.clear()
        self.load = 0.0
        self._cores_free_at = [0] * len(self._cores_free_at)

    @property
    def is_ready(self) -> bool:
        """Whether the upstream is healthy and accepts new sessions."""
        return self.condition is Condition.HEALTHY and not self.draining

    @property
    def was_never_started(self) -> bool:
        """Whether the upstream has been absent since the start of the scenario."""
        return self.condition is Condition.ABSENT and not self.incarnation

    # Speed and load.

    def warm_share(self, now: int) -> float:
        """Return the share of its full capacity that the upstream has reached in its warm-up."""
        warm_up_us = us(self._slow_start.duration_s)
        if not self.started_at or now >= self.started_at + warm_up_us:
            return 1.0
        initial = self._slow_start.initial_share
        return initial + (1 - initial) * (now - self.started_at) / warm_up_us

    def core_speed(self, now: int) -> float:
        """Return the speed of a core, as a share of the speed of a healthy core after warm-up."""
        return self.warm_share(now) / self.slowness

    def capacity(self, now: int) -> float:
        """Return the work that the upstream can do per second."""
        return self.size * self.core_speed(now) * SECOND

    def utilization(self, now: int) -> float:
        """Return the upstream's load divided by its present capacity."""
        return self.load / self.capacity(now)

    def message_latency_us(self, now: int, objective_us: int) -> int:
        """Return how long the upstream takes to answer a message, in microseconds.

        Args:
            now: The present time.
            objective_us: The latency objective of messages, in microseconds.

        """
        excess = max(1.0, self.utilization(now) / UNDELAYED_UTILIZATION)
        idle_us = objective_us / IDLE_LATENCY_DIVISOR
        max_multiple = IDLE_LATENCY_DIVISOR * MAX_LATENCY_MULTIPLE
        return round(idle_us * min(max_multiple, excess**LATENCY_EXPONENT))

    # Sessions.

    def schedule_setup(self, now: int, work_us: float) -> int | None:
        """Return when a session setup that arrives now will be finished, or None if it is rejected."""
        begin = max(now, self._cores_free_at[0])
        if self.draining or begin > now + MAX_SETUP_WAIT_US:
            return None
        end = begin + round(work_us / self.core_speed(now))
        heapq.heapreplace(self._cores_free_at, end)
        return end

    def add_session(self, session: int, load: float, group: int, group_load: float) -> None:
        """Add an established session, unless the upstream has it already.

        Args:
            session: The number of the session.
            load: The load of the session.
            group: The number of its group.
            group_load: The load of a group itself, added with its first session.

        """
        if session in self.sessions:
            return
        if group_load and not self._group_sizes[group]:
            self.load += group_load
        self._group_sizes[group] += 1
        self.sessions[session] = load
        self.load += load

    def remove_session(self, session: int, group: int, group_load: float) -> None:
        """Remove a session if the upstream has it; arguments are as for `add_session`."""
        load = self.sessions.pop(session, None)
        if load is None:
            return
        self._group_sizes[group] -= 1
        self.load -= load
        if not self._group_sizes[group]:
            del self._group_sizes[group]
            self.load -= group_load
        if not self.sessions:
            self.load = 0.0  # removes rounding errors

    def sessions_to_drop(self, now: int) -> int:
        """Return how many sessions the upstream drops now because it is overloaded."""
        utilization = self.utilization(now)
        if self.condition is not Condition.HEALTHY or utilization <= OVERLOAD_UTILIZATION:
            return 0
        return int(len(self.sessions) * DROPPED_SHARE * (1 - OVERLOAD_UTILIZATION / utilization)) + 1

    def is_overloaded_by(self, now: int, load: float) -> bool:
        """Record the arrival of a session; return whether it makes the upstream crash during its warm-up."""
        if self.warm_share(now) >= 1.0:
            self._recent_arrivals.clear()
            return False
        self._recent_arrivals.append((now, load))
        window_start = now - us(self._slow_start.overload_window_s)
        self._recent_arrivals = [arrival for arrival in self._recent_arrivals if arrival[0] > window_start]
        # The arriving session is left out, so that a single session never makes an upstream crash.
        earlier_load = sum(arrival_load for _, arrival_load in self._recent_arrivals[:-1])
        slow_start = self._slow_start
        return earlier_load > slow_start.overload_multiple * self.capacity(now) * slow_start.overload_window_s


def create_upstreams(scenario: Scenario) -> Iterator[SimulatedUpstream]:
    """Yield the upstreams of a scenario, including those that are absent at the start."""
    number = 0
    for group in scenario.upstreams:
        for index in range(group.count):
            upstream = SimulatedUpstream(
                number,
                zone=number % scenario.zones,
                cell=number % scenario.cells,
                size=group.size,
                slow_start=scenario.slow_start,
            )
            if index >= group.count - group.absent:
                upstream.condition = Condition.ABSENT
            yield upstream
            number += 1
