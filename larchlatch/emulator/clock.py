"""The simulation's clock, which moves from event to event."""

from __future__ import annotations

import heapq
from enum import IntEnum
from typing import TYPE_CHECKING, Any

from larchlatch.scenario.amounts import us

if TYPE_CHECKING:
    from collections.abc import Callable


class Priority(IntEnum):
    """The order of events of one microsecond."""

    WORLD = 0  # what clients, upstreams, networks and faults do
    NOTIFICATION = 1  # what a node hears of it
    TIMER = 2  # a node's own timers
    CHECK = 3  # checks that look back


class SimulationClock:
    """A queue of events; those of one time and priority happen in the order in which they were scheduled.

    Attributes:
        now: The present time, in microseconds.
        scheduled_count: How many events were ever scheduled.
        executed_count: How many of them have happened.

    """

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.scheduled_count = 0
        self.executed_count = 0
        self._queue: list[tuple[int, int, int, Callable[..., None], tuple[Any, ...]]] = []

    def schedule(self, when: int, priority: Priority, action: Callable[..., None], *args: Any) -> None:
        """Call an action with these arguments at a time; one that is over means now."""
        self.scheduled_count += 1
        heapq.heappush(self._queue, (max(when, self.now), priority, self.scheduled_count, action, args))

    def call_later(self, delay_s: float, action: Callable[..., None], *args: object) -> None:
        """Call an action of the world with these arguments after so many seconds."""
        self.schedule(self.now + us(delay_s), Priority.WORLD, action, *args)

    def run_until(self, end: int) -> None:
        """Let all events up to a time happen, and those that they schedule."""
        queue = self._queue
        while queue and queue[0][0] <= end:
            self.now, _, _, action, args = heapq.heappop(queue)
            self.executed_count += 1
            action(*args)
        self.now = end
