"""Simulates the clock of a node, which may run fast or slow."""

from __future__ import annotations


class DriftingClock:
    """A clock whose rate differs from that of true time; its reading never jumps.

    All times are in microseconds.
    """

    def __init__(self, true_us: int) -> None:
        self._true_us = self._shown_us = true_us
        self._gain = 0.0

    def at(self, true_us: int) -> int:
        """Return what the clock shows at a true time that is not before the last change of its rate."""
        return self._shown_us + int((true_us - self._true_us) * (1 + self._gain))

    def set_gain(self, true_us: int, gain: float) -> None:
        """Change the clock's rate from a true time on; a gain of 0.01 makes it run 1% fast, -0.01 slow."""
        self._shown_us, self._true_us, self._gain = self.at(true_us), true_us, gain
