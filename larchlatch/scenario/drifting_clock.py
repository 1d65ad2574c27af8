"""A clock that runs at a wrong rate."""

from __future__ import annotations


class DriftingClock:
    """A clock that gains or loses against the true one, and never jumps.

    Times are in microseconds.
    """

    def __init__(self, true_us: int) -> None:
        self._true_us = self._shown_us = true_us
        self._gain = 0.0

    def at(self, true_us: int) -> int:
        """Return the clock's reading at a true time."""
        return self._shown_us + int((true_us - self._true_us) * (1 + self._gain))

    def set_gain(self, true_us: int, gain: float) -> None:
        """Make the clock gain this share from a true time on; a negative share makes it lose time."""
        self._shown_us, self._true_us, self._gain = self.at(true_us), true_us, gain
