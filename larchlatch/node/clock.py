"""The node's clock: whole microseconds that never run back, near enough Unix time to compare with it."""

from __future__ import annotations

import time

# Read once: a wall clock that is set anew while the node runs must not move a time-out.
BASE_US = (time.time_ns() - time.monotonic_ns()) // 1000


def now_us() -> int:
    return BASE_US + time.monotonic_ns() // 1000


def seconds_until(at_us: int) -> float:
    return max(0.0, (at_us - now_us()) / 1e6)
