"""Length of a lease, and how far clocks may be off."""

from __future__ import annotations

from math import ceil
from typing import NamedTuple

ROUNDS = 8  # ballot rounds in a term: each is longer than an answer takes, and a lost one costs little


class LeaseTerms(NamedTuple):
    """How long a role is held, the same on all nodes that go by one cluster file.

    Attributes:
        term_us: length of a lease, in microseconds of its holder's own clock.
        skew: share by which the worst clock gains or loses.
        wall_skew_us: how far the wall clocks of two nodes may differ, in microseconds.
        rounds: ballot rounds that fit into a term.

    """

    term_us: int
    skew: float
    wall_skew_us: int = 0
    rounds: int = ROUNDS

    @property
    def promise_us(self) -> int:
        """Return how long an elector keeps a promise: at least the term by the slowest clock."""
        # An elector whose clock is fast would otherwise promise the role to another node while the holder,
        # whose clock is slow, still holds it.
        return ceil(self.term_us * (1 + self.skew) / (1 - self.skew))

    @property
    def startup_silence_us(self) -> int:
        """Return how long an elector answers nothing after its start."""
        # It does not know what it promised before. And once all electors have forgotten the numbers of
        # leases, a number taken from a wall clock is higher than all before only after the clocks'
        # difference.
        return self.promise_us + 2 * self.wall_skew_us

    @property
    def round_us(self) -> int:
        """Return the length of a ballot round; no order is valid for longer."""
        return self.term_us // self.rounds
