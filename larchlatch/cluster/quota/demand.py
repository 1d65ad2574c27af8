"""Recent use of a quota at one node, and the demand for it."""

from __future__ import annotations

from dataclasses import dataclass, field

from larchlatch.broker.sliding_window import SLOTS, SlidingWindowCounter

MEAN_WINDOWS = 4  # windows over which the mean demand is taken, about as long as a loan


@dataclass(slots=True)
class DemandMeter:
    """Counts the requested and the admitted sessions of one quota in sliding windows.

    Attributes:
        window_us: length of the window, in microseconds.
        used: sessions admitted in the last window.
        requested: sessions requested in the last window, whether they were admitted or not.
        requested_lately: sessions requested in the last `MEAN_WINDOWS` windows.

    """

    window_us: int
    used: SlidingWindowCounter = field(default_factory=SlidingWindowCounter)
    requested: SlidingWindowCounter = field(default_factory=SlidingWindowCounter)
    requested_lately: SlidingWindowCounter = field(default_factory=SlidingWindowCounter)

    @property
    def slot_us(self) -> int:
        """Return the length of one slot of the window, in microseconds, rounded up."""
        return -(-self.window_us // SLOTS)

    def slot(self, now: int) -> int:
        """Return the number of the slot that contains this time."""
        return now // self.slot_us

    def record_request(self, now: int) -> None:
        """Count a requested session."""
        slot = self.slot(now)
        self.requested.add(slot, 1)
        self.requested_lately.add(slot // MEAN_WINDOWS, 1)

    def record_use(self, now: int, count: int = 1) -> None:
        """Count admitted sessions."""
        self.used.add(self.slot(now), count)

    def use(self, now: int) -> int:
        """Return the number of sessions that were admitted in the last window."""
        return self.used.advance(self.slot(now))

    def mean_demand(self, now: int) -> int:
        """Return the mean number of sessions requested per window over `MEAN_WINDOWS` windows, rounded up."""
        return -(-self.requested_lately.advance(self.slot(now) // MEAN_WINDOWS) // MEAN_WINDOWS)

    def expected_demand(self, now: int) -> int:
        """Return the expected demand: the requests in the last window, or the mean if it is higher."""
        return max(self.requested.advance(self.slot(now)), self.mean_demand(now))

    def wait_us(self, now: int, count: int) -> int:
        """Return the microseconds until `count` admitted sessions have left the window."""
        return self.used.slots_until_free(self.slot(now), count) * self.slot_us
