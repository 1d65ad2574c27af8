"""How much one node has used of a quota of late, and how much was asked for."""

from __future__ import annotations

from dataclasses import dataclass, field

from larchlatch.broker.sliding_window import SLOTS, SlidingWindowCounter

MEAN_WINDOWS = 4  # windows of the mean demand: a loan lasts about as long, and in a single one chance decides


@dataclass(slots=True)
class DemandMeter:
    """Counts of sessions in sliding windows of `window_us` microseconds.

    Attributes:
        window_us: length of the window.
        used: sessions that were admitted in the last window.
        requested: sessions that were asked for in the last window, refused or not.
        requested_lately: the same, in the last `MEAN_WINDOWS` windows.

    """

    window_us: int
    used: SlidingWindowCounter = field(default_factory=SlidingWindowCounter)
    requested: SlidingWindowCounter = field(default_factory=SlidingWindowCounter)
    requested_lately: SlidingWindowCounter = field(default_factory=SlidingWindowCounter)

    @property
    def slot_us(self) -> int:
        """Return the length of a slot of the window."""
        return -(-self.window_us // SLOTS)

    def slot(self, now: int) -> int:
        """Return the number of the slot that `now` is in."""
        return now // self.slot_us

    def record_request(self, now: int) -> None:
        """Count a session that is asked for."""
        slot = self.slot(now)
        self.requested.add(slot, 1)
        self.requested_lately.add(slot // MEAN_WINDOWS, 1)

    def record_use(self, now: int, count: int = 1) -> None:
        """Count sessions that are admitted."""
        self.used.add(self.slot(now), count)

    def use(self, now: int) -> int:
        """Return how many sessions were admitted in the last window."""
        return self.used.advance(self.slot(now))

    def mean(self, now: int) -> int:
        """Return how many sessions were asked for in a window, on the mean of the last ones, rounded up."""
        return -(-self.requested_lately.advance(self.slot(now) // MEAN_WINDOWS) // MEAN_WINDOWS)

    def need(self, now: int) -> int:
        """Return how many sessions a window will want: the last window shows a rise, the mean the level."""
        return max(self.requested.advance(self.slot(now)), self.mean(now))

    def wait_us(self, now: int, count: int) -> int:
        """Return in how many microseconds `count` admitted sessions will have left the window."""
        return self.used.slots_until_free(self.slot(now), count) * self.slot_us
