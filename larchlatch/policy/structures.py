"""Data structures of the deciding parts; they know nothing of upstreams, and decide nothing.

Which members the hash ring has, with how many points, is decided in larchlatch.policy.ring.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from larchlatch.policy.types import Session

HASH_RANGE = 2**64  # number of values that a hash of 64 bits can have
NUMBER_MASK = 0xFFFFFF  # low bits of a point that hold its member's number: more than a node ever meets
SHORTEST_NAME = 4  # bytes: the hashes of shorter names with an index for their seed would coincide


class HashRing:
    """Sorted 64-bit points; each member holds as many as it has been given.

    Attributes:
        points: The points in order, each with its member's number in the low bits.
    """

    def __init__(self) -> None:
        self.points: list[int] = []

    def successors(self, start: int) -> Iterator[int]:
        """Yield the distinct members clockwise from a point, lazily: mostly two of them are needed."""
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
        """Add a member with so many points, hashed from its name; `sort` has to follow."""
        padded = name.encode().rjust(SHORTEST_NAME, b"#")
        hashes = (xxh3_64_intdigest(padded, index) for index in range(point_count))
        self.points += [point & ~NUMBER_MASK | number for point in hashes]

    def sort(self) -> None:
        """Bring the points in order after members have been added."""
        self.points.sort()


class Arrivals:
    """Counts the sessions that came within a sliding window, each once however often it is recorded.

    Attributes:
        times: When the counted sessions came, oldest first.
    """

    def __init__(self) -> None:
        self.times: deque[int] = deque()

    def record(self, now: int, session: Session, window_us: int) -> None:
        """Count a session unless the window has it, and forget those before the window."""
        while self.times and now >= self.times[0] + window_us:
            self.times.popleft()
        if now >= session.counted_at + window_us:
            session.counted_at = now
            self.times.append(now)
