"""Data structures for the deciding modules: a consistent hash ring, and a count over a sliding window."""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from larchlatch.policy.types import Session

HASH_RANGE = 2**64  # number of different 64-bit hashes
NUMBER_MASK = 0xFFFFFF  # the low bits of a point hold its member's number
MIN_NAME_BYTES = 4  # hashes of shorter names, seeded by index, would collide
POINTS_PER_SINGLE_CHANGE = 64  # with fewer points for each one that changes, a rebuild takes less time


class RingMember(NamedTuple):
    """A member of a ring.

    Attributes:
        number: Its number, which its points hold in their low bits.
        name: Its name, of which its points are hashes.
        point_count: The number of its points.
    """

    number: int
    name: str
    point_count: int

    def points(self) -> list[int]:
        """Return its points, which depend on nothing but its attributes."""
        padded = self.name.encode().rjust(MIN_NAME_BYTES, b"#")
        hashes = (xxh3_64_intdigest(padded, index) for index in range(self.point_count))
        return [point & ~NUMBER_MASK | self.number for point in hashes]


class _Edit(NamedTuple):
    """A point to be inserted before, or removed at, a position in the sorted points."""

    position: int
    point: int
    is_new: bool


class HashRing:
    """A ring of sorted 64-bit points, of which each member has a given number.

    Attributes:
        points: The points in ascending order, each with its member's number in the low bits. An array, as
            copying a list of 100,000 numbers takes ten times as long.
    """

    def __init__(self) -> None:
        self.points = _point_array()

    def successors(self, start: int) -> Iterator[int]:
        """Yield the distinct members clockwise from a point, lazily."""
        points, seen = self.points, set()
        end = bisect_right(points, start)
        for index in range(end - len(points), end):
            number = points[index] & NUMBER_MASK
            if number not in seen:
                seen.add(number)
                yield number

    def change(self, *, removed: Collection[RingMember], added: Collection[RingMember]) -> None:
        """Remove members, each with the attributes with which it was added, and add others."""
        old_points = [point for member in removed for point in member.points()]
        new_points = [point for member in added for point in member.points()]
        if len(old_points) + len(new_points) <= len(self.points) // POINTS_PER_SINGLE_CHANGE:
            self._change_singly(old_points, new_points)
        else:
            self._rebuild({member.number for member in removed}, new_points)

    def _change_singly(self, old_points: list[int], new_points: list[int]) -> None:
        """Replace some points, and copy all points between them without looking at each."""
        former = self.points
        edits = [_Edit(bisect_left(former, point), point, is_new=False) for point in old_points]
        edits += [_Edit(bisect_left(former, point), point, is_new=True) for point in new_points]
        points = _point_array()
        copied = 0
        for edit in sorted(edits):
            # A position before `copied` is that of an equal point of the same member, removed above.
            position = max(edit.position, copied)
            points += former[copied:position]
            copied = position
            if edit.is_new:
                points.append(edit.point)
            else:
                copied += 1
        points += former[copied:]
        self.points = points

    def _rebuild(self, removed: Collection[int], new_points: list[int]) -> None:
        """Remove all points of the members with these numbers, and add points, in one pass."""
        kept = [point for point in self.points if point & NUMBER_MASK not in removed]
        self.points = _point_array(sorted(kept + new_points))


def _point_array(points: Iterable[int] = ()) -> array[int]:
    return array("Q", points)


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
