"""The simulated clock, which advances from event to event."""

from __future__ import annotations

import heapq
from enum import IntEnum
from typing import TYPE_CHECKING, Any

from larchlatch.scenario.amounts import us

if TYPE_CHECKING:
    from collections.abc import Callable


class Priority(IntEnum):
    """The order of events that are due at the same microsecond."""

    WORLD = 0  # what clients, upstreams, networks and faults do
    NOTIFICATION = 1  # what nodes receive
    TIMER = 2  # a node's own timers
    CHECK = 3  # checks of what has happened


class SimulationClock:
    """A queue of events; events of equal time and priority are executed in the order of scheduling.

    Attributes:
        now: The present time, in microseconds.
        scheduled_count: How many events were ever scheduled.
        executed_count: How many of them were executed.

    """

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.scheduled_count = 0
        self.executed_count = 0
        self._queue: list[tuple[int, int, int, Callable[..., None], tuple[Any, ...]]] = []

    def schedule(self, when: int, priority: Priority, action: Callable[..., None], *args: Any) -> None:
        """Schedule a call of an action; a time in the past means now."""
        self.scheduled_count += 1
        heapq.heappush(self._queue, (max(when, self.now), priority, self.scheduled_count, action, args))

    def call_later(self, delay_s: float, action: Callable[..., None], *args: object) -> None:
        """Schedule a call of an action, with the priority of the world, after a delay in seconds."""
        self.schedule(self.now + us(delay_s), Priority.WORLD, action, *args)

    def run_until(self, end: int) -> None:
        """Execute all events up to a time, including those that are scheduled meanwhile."""
        queue = self._queue
        while queue and queue[0][0] <= end:
            self.now, _, _, action, args = heapq.heappop(queue)
            self.executed_count += 1
            action(*args)
        self.now = end
