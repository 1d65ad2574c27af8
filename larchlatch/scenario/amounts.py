"""The numbers that a scenario file may hold, and its conversion of seconds to microseconds."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

SECOND = 1_000_000  # microseconds

Count = Annotated[int, Meta(ge=1, le=100_000)]
CountOrZero = Annotated[int, Meta(ge=0, le=100_000)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
NonNegative = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]


def us(seconds: float) -> int:
    """Return a time in whole microseconds."""
    return round(seconds * SECOND)
