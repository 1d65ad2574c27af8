"""Data structures for the deciding modules: a consistent hash ring, and a count over a sliding window."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from larchlatch.policy.types import Session

HASH_RANGE = 2**64  # number of different 64-bit hashes
NUMBER_MASK = 0xFFFFFF  # the low bits of a point hold its member's number
MIN_NAME_BYTES = 4  # hashes of shorter names, seeded by index, would collide


class HashRing:
    """A ring of sorted 64-bit points, of which each member has a given number.

    Attributes:
        points: The points in ascending order, each with its member's number in the low bits.
    """

    def __init__(self) -> None:
        self.points: list[int] = []

    def successors(self, start: int) -> Iterator[int]:
        """Yield the distinct members clockwise from a point, lazily."""
        points, seen = self.points, set()
        end = bisect_right(points, start)
        for index in range(end - len(points), end):
            number = points[index] & NUMBER_MASK
            if number not in seen:
                seen.add(number)
                yield number

    def remove(self, numbers: Collection[int]) -> None:
        """Remove members with all their points."""
        self.points = [point for point in self.points if point & NUMBER_MASK not in numbers]

    def add(self, number: int, name: str, point_count: int) -> None:
        """Add a member with points hashed from its name; `sort` must be called after the last addition."""
        padded = name.encode().rjust(MIN_NAME_BYTES, b"#")
        hashes = (xxh3_64_intdigest(padded, index) for index in range(point_count))
        self.points += [point & ~NUMBER_MASK | number for point in hashes]

    def sort(self) -> None:
        """Sort the points after members have been added."""
        self.points.sort()


class Arrivals:
    """Counts the sessions that arrived within a sliding window, each only once.

    Attributes:
        times: When the counted sessions arrived, in microseconds, oldest first.
    """

    def __init__(self) -> None:
        self.times: deque[int] = deque()

    def record(self, now: int, session: Session, window_us: int) -> None:
        """Count a session unless it was counted within the window, and drop arrivals before the window."""
        while self.times and now >= self.times[0] + window_us:
            self.times.popleft()
        if now >= session.counted_at + window_us:
            session.counted_at = now
            self.times.append(now)
