"""The store that every upstream uses once for each session that it establishes."""

from __future__ import annotations

from larchlatch.scenario.amounts import us


class SharedStore:
    """The shared store.

    Attributes:
        slowness: Multiple of the time that it takes.

    """

    def __init__(self, access_ms: float) -> None:
        """Take this many milliseconds for an access."""
        self.slowness = 1.0
        self._access_us = us(access_ms / 1e3)

    @property
    def delay_us(self) -> int:
        """How long an access takes now, in microseconds."""
        return round(self._access_us * self.slowness)
