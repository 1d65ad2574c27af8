"""Data structures of the deciding parts: a hash ring of numbers, and a count over a sliding window."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from larchlatch.policy.types import Session

HASH_RANGE = 2**64  # number of values that a hash of 64 bits can have
NUMBER_MASK = 0xFFFFFF  # the low bits of a point hold its member's number
MIN_NAME_BYTES = 4  # the hashes of shorter names, seeded by index, would coincide


class HashRing:
    """Sorted 64-bit points; each member has as many as it was given.

    Attributes:
        points: The points in ascending order, each with its member's number in the low bits.
    """

    def __init__(self) -> None:
        self.points: list[int] = []

    def successors(self, start: int) -> Iterator[int]:
        """Yield the distinct members clockwise from a point, as far as they are asked for."""
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
        """Add a member with this number of points, hashed from its name; `sort` has to follow."""
        padded = name.encode().rjust(MIN_NAME_BYTES, b"#")
        hashes = (xxh3_64_intdigest(padded, index) for index in range(point_count))
        self.points += [point & ~NUMBER_MASK | number for point in hashes]

    def sort(self) -> None:
        """Sort the points after members have been added."""
        self.points.sort()


class Arrivals:
    """Counts the sessions that came within a sliding window, each once however often it is recorded.

    Attributes:
        times: When the counted sessions came, in microseconds, oldest first.
    """

    def __init__(self) -> None:
        self.times: deque[int] = deque()

    def record(self, now: int, session: Session, window_us: int) -> None:
        """Count a session unless it was counted within the window; forget those before the window."""
        while self.times and now >= self.times[0] + window_us:
            self.times.popleft()
        if now >= session.counted_at + window_us:
            session.counted_at = now
            self.times.append(now)
