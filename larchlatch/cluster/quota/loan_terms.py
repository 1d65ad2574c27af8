"""Length of loans and of the quota window, with the bound on clock errors."""

from __future__ import annotations

from math import ceil
from typing import NamedTuple


class LoanTerms(NamedTuple):
    """Times of loans, equal on all nodes, in microseconds of each node's own clock.

    Attributes:
        window_us: length of the quota window.
        term_us: length of a loan.
        skew: greatest relative error of a clock.

    """

    window_us: int
    term_us: int
    skew: float

    @property
    def counting_window_us(self) -> int:
        """Return the window to count by: with the fastest clock it is still as long as the true window."""
        return ceil(self.window_us * (1 + self.skew))

    @property
    def recovery_us(self) -> int:
        """Return the time after which a lender may spend a loan again, by its own clock."""
        # Sessions admitted at the end of the term count for one more window. Clocks are taken as fast at the
        # lender and slow at the borrower.
        return ceil((1 + self.skew) * (self.term_us / (1 - self.skew) + self.window_us))
