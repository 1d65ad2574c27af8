"""Simulates a store that all upstreams share and access once for each session that they establish."""

from __future__ import annotations

from larchlatch.scenario.amounts import us


class SharedStore:
    """The shared store, reduced to the duration of an access.

    Attributes:
        slowness: The factor by which the duration of an access is multiplied.

    """

    def __init__(self, access_ms: float) -> None:
        """Set the normal duration of an access, in milliseconds."""
        self.slowness = 1.0
        self._access_us = us(access_ms / 1e3)

    @property
    def delay_us(self) -> int:
        """The present duration of an access, in microseconds."""
        return round(self._access_us * self.slowness)
