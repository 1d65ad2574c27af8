"""Length of loans and of the quota window, with the bound on clock errors."""

from __future__ import annotations

from math import ceil
from typing import NamedTuple

USAGE_WINDOWS = 10  # number of latest quota windows in which the sessions admitted by the cluster are counted


class LoanTerms(NamedTuple):
    """The lengths that govern loans, equal on all nodes, in microseconds of each node's own clock.

    Attributes:
        window_us: length of the quota window.
        term_us: length of a loan.
        skew: greatest relative error of a clock's rate.

    """

    window_us: int
    term_us: int
    skew: float

    @property
    def counting_window_us(self) -> int:
        """Return the window length by a node's clock, long enough for a whole window even if it is fast."""
        return ceil(self.window_us * (1 + self.skew))

    @property
    def recovery_us(self) -> int:
        """Return the time after which a lender may spend a lent amount again, by its own clock."""
        # Sessions that the borrower admits at the end of the term count for one more window. The lender waits
        # longest by its own clock if that clock is the fastest and the borrower's clock is the slowest.
        return ceil((1 + self.skew) * (self.term_us / (1 - self.skew) + self.window_us))

    @property
    def usage_span_us(self) -> int:
        """Return the length of `USAGE_WINDOWS` windows by a node's clock, even if it is fast."""
        return USAGE_WINDOWS * self.counting_window_us
