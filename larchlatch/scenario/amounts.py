"""Types of the numbers in scenario files with their ranges, and the conversion of seconds to microseconds."""

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
    """Convert a time in seconds to whole microseconds."""
    return round(seconds * SECOND)
