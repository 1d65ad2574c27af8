"""Time that moves from event to event."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

# Ties at one microsecond, in this order: what the world does, what a node is told of it, a node's own timers,
# and last of all the checks that look back.
WORLD, TOLD, TIMER, CHECK = range(4)


class Clock:
    """A heap of what is to happen; events of one time and rank happen in the order of their making."""

    def __init__(self) -> None:
        self.now = 0
        self.made = 0
        self.done = 0
        self.heap: list[tuple[int, int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: int, rank: int, what: Callable[..., None], *args: Any) -> None:
        self.made += 1
        heapq.heappush(self.heap, (max(when, self.now), rank, self.made, what, args))

    def run(self, until: int) -> None:
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, _, what, args = heapq.heappop(heap)
            self.done += 1
            what(*args)
        self.now = until
