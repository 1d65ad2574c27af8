"""What numbers of a day may be, and its unit of time."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

SECOND = 1_000_000  # microseconds

Count = Annotated[int, Meta(ge=1, le=100_000)]
Few = Annotated[int, Meta(ge=0, le=100_000)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]


def us(seconds: float) -> int:
    return round(seconds * SECOND)
