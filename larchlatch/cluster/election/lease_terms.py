"""Lengths of leases, promises and ballot rounds, with allowance for clock errors."""

from __future__ import annotations

from math import ceil
from typing import NamedTuple

ROUNDS_PER_TERM = 8  # number of ballot rounds in a term


class LeaseTerms(NamedTuple):
    """Lengths of a lease and of what follows from it; equal on all nodes with the same cluster file.

    Attributes:
        term_us: length of a lease, in microseconds of the holder's own clock.
        skew: greatest relative error of a clock's rate.
        wall_skew_us: greatest difference between two nodes' wall clocks, in microseconds.
        rounds: number of ballot rounds in a term.

    """

    term_us: int
    skew: float
    wall_skew_us: int = 0
    rounds: int = ROUNDS_PER_TERM

    @property
    def promise_us(self) -> int:
        """Return the length of an elector's promise, in microseconds of the elector's own clock."""
        # The promise outlasts the term even if the elector's clock is fast and the holder's clock is slow.
        return ceil(self.term_us * (1 + self.skew) / (1 - self.skew))

    @property
    def startup_silence_us(self) -> int:
        """Return the time after its start during which an elector answers no ballot, in microseconds."""
        # Promises from before the start are unknown and may still be valid. If all electors have restarted, a
        # lease number taken from a wall clock is sure to exceed all earlier numbers only after the greatest
        # difference between the clocks has passed.
        return self.promise_us + 2 * self.wall_skew_us

    @property
    def round_us(self) -> int:
        """Return the length of a ballot round and the longest validity of an order, in microseconds."""
        return self.term_us // self.rounds
