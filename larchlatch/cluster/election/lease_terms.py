"""Length of a lease, and the bounds on clock errors."""

from __future__ import annotations

from math import ceil
from typing import NamedTuple

ROUNDS = 8  # ballot rounds in a term


class LeaseTerms(NamedTuple):
    """Times of a lease; equal on all nodes that use the same cluster file.

    Attributes:
        term_us: length of a lease, in microseconds of its holder's own clock.
        skew: greatest relative error of a clock.
        wall_skew_us: greatest difference of two nodes' wall clocks, in microseconds.
        rounds: number of ballot rounds in a term.

    """

    term_us: int
    skew: float
    wall_skew_us: int = 0
    rounds: int = ROUNDS

    @property
    def promise_us(self) -> int:
        """Return the length of an elector's promise, by its own clock, in microseconds."""
        # With a fast clock at the elector and a slow one at the holder, the promise still outlasts the term.
        return ceil(self.term_us * (1 + self.skew) / (1 - self.skew))

    @property
    def startup_silence_us(self) -> int:
        """Return the time after its start in which an elector answers nothing, in microseconds."""
        # Promises from before the start are unknown and may still hold. If all electors were restarted, a
        # lease number taken from a wall clock exceeds all before only after the clocks' difference.
        return self.promise_us + 2 * self.wall_skew_us

    @property
    def round_us(self) -> int:
        """Return the length of a ballot round, which is the longest validity of an order, in microseconds."""
        return self.term_us // self.rounds
