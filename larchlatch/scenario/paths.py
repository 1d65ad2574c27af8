"""Paths between nodes, each way by itself: cut, or losing, doubling, delaying and reordering. No I/O.

The switchboard asks it for real datagrams, the emulator for its own: a day's faults do the same to both.
"""

from __future__ import annotations

from dataclasses import dataclass

from larchlatch.scenario.chance import Chance

LATE_US = 50_000  # a datagram that is overtaken comes so much later than one that is not


@dataclass(frozen=True, slots=True)
class Manner:
    """How paths treat what goes over them; shares from 0 to 1."""

    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    delay_us: int = 0
    again: float = 0.0
    again_us: int = 0


@dataclass(frozen=True, slots=True)
class Part:
    """These nodes and the others don't hear each other; oneway: these are not heard, but hear."""

    nodes: frozenset[int]
    oneway: bool = False

    def stops(self, one: int, other: int) -> bool:
        leaves, comes = one in self.nodes, other in self.nodes
        return leaves is not comes and (leaves or not self.oneway)


class Paths:
    """All ordered pairs of nodes. Each draws from a stream of its own: no path shifts another's chance."""

    def __init__(self, chance: Chance | None) -> None:
        """Without chance it only tells who is apart."""
        self.chance = chance
        self.manner = Manner()
        self.parts: list[Part] = []  # that are on
        self.numbers: dict[tuple[int, int], int] = {}  # datagrams so far on a path

    def apart(self, one: int, other: int) -> bool:
        """Whether nothing goes from one to the other: nodes that are cut off together hear each other."""
        return any(part.stops(one, other) for part in self.parts)

    def fate(self, one: int, other: int) -> list[int]:
        """After how many microseconds the next datagram of this path comes: once, twice or never."""
        number = self.numbers[one, other] = self.numbers.get((one, other), 0) + 1
        if self.apart(one, other):
            return []
        manner = self.manner
        assert self.chance is not None
        lost, twice, late = (self.chance.draw(f"path {what}", one, other, number) for what in "ldr")
        if lost < manner.loss:
            return []
        delay = manner.delay_us + (LATE_US if late < manner.reorder else 0)
        delays = [delay, delay + LATE_US] if twice < manner.double else [delay]
        if manner.again and self.chance.draw("path a", one, other, number) < manner.again:
            delays.append(delay + manner.again_us)
        return delays
