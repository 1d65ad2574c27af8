"""Queue of the sessions that wait to be placed again, ordered by the time of their next placement."""

from __future__ import annotations

import heapq
from typing import NamedTuple


class HeldSession(NamedTuple):
    """A session without an upstream, and when the balancer is asked again where to place it.

    Attributes:
        retry_at: when the balancer is asked again, in microseconds of the node's clock.
        number: the session's number.

    """

    retry_at: int
    number: int


class HeldSessions:
    """A queue of held sessions, ordered by time and, for equal times, by session number."""

    def __init__(self) -> None:
        self._heap: list[HeldSession] = []

    def add(self, number: int, *, retry_at: int) -> None:
        """Hold a session until a time in microseconds of the node's clock."""
        heapq.heappush(self._heap, HeldSession(retry_at, number))

    def next_retry_at(self) -> int | None:
        """Return when the first session is due, or None if no session is held."""
        return self._heap[0].retry_at if self._heap else None

    def pop_due(self, now: int) -> int | None:
        """Remove and return the number of the first session that is due, or None if none is due yet."""
        if not self._heap or self._heap[0].retry_at > now:
            return None
        return heapq.heappop(self._heap).number
