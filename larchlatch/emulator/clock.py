"""Provides the simulated clock, which advances from event to event."""

from __future__ import annotations

import heapq
from enum import IntEnum
from typing import TYPE_CHECKING, Any

from larchlatch.scenario.amounts import us

if TYPE_CHECKING:
    from collections.abc import Callable


class Priority(IntEnum):
    """The order of events that are due at the same microsecond."""

    ENVIRONMENT = 0  # events of clients, upstreams, the network and faults
    NOTIFICATION = 1  # deliveries to nodes
    TIMER = 2  # a node's own timers
    CHECK = 3  # checks of the rules, after all other events of that time


class SimulationClock:
    """A queue of events; events of equal time and priority are executed in the order of scheduling.

    Attributes:
        now: The present time, in microseconds.
        scheduled_count: How many events have been scheduled so far.
        executed_count: How many events have been executed so far.

    """

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.scheduled_count = 0
        self.executed_count = 0
        self._queue: list[tuple[int, int, int, Callable[..., None], tuple[Any, ...]]] = []

    def schedule(self, when: int, priority: Priority, action: Callable[..., None], *args: Any) -> None:
        """Schedule a call of an action; a time in the past is replaced by the present time."""
        self.scheduled_count += 1
        heapq.heappush(self._queue, (max(when, self.now), priority, self.scheduled_count, action, args))

    def call_later(self, delay_s: float, action: Callable[..., None], *args: object) -> None:
        """Schedule a call of an action after a delay in seconds, with `Priority.ENVIRONMENT`."""
        self.schedule(self.now + us(delay_s), Priority.ENVIRONMENT, action, *args)

    def run_until(self, end: int) -> None:
        """Execute all events due up to a time, including those scheduled meanwhile; advance to it."""
        queue = self._queue
        while queue and queue[0][0] <= end:
            self.now, _, _, action, args = heapq.heappop(queue)
            self.executed_count += 1
            action(*args)
        self.now = end
