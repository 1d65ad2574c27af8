"""How long parts of a quota are lent, and how use is counted."""

from __future__ import annotations

from math import ceil
from typing import NamedTuple


class LoanTerms(NamedTuple):
    """Times that all nodes of a cluster go by, in microseconds of each node's own clock.

    Attributes:
        window_us: window in which a quota is counted.
        term_us: how long a loan lasts.
        skew: share by which the worst clock gains or loses.

    """

    window_us: int
    term_us: int
    skew: float

    @property
    def counting_window_us(self) -> int:
        """Return the window by a clock that may be fast: no true window is shorter than it."""
        return ceil(self.window_us * (1 + self.skew))

    @property
    def recovery_us(self) -> int:
        """Return after how long a lender has a loan back, also if its clock is fast and the other's slow."""
        # What was spent at the end of a term counts for a window more. A lender that took its part back with
        # the end of the term would spend it a second time within that window.
        return ceil((1 + self.skew) * (self.term_us / (1 - self.skew) + self.window_us))
