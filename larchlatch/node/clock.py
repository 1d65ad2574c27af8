"""The node's clock: whole microseconds close to Unix time, which never run backwards."""

from __future__ import annotations

import time

# Unix time minus the monotonic clock. Read only once, so that setting the wall clock does not move timeouts.
UNIX_OFFSET_US = (time.time_ns() - time.monotonic_ns()) // 1000


def now_us() -> int:
    """Return the microseconds since 1970, counted by the monotonic clock from the start of the process."""
    return UNIX_OFFSET_US + time.monotonic_ns() // 1000


def seconds_until(at_us: int) -> float:
    """Return the seconds until a time of this clock, or 0.0 if it is past."""
    return max(0.0, (at_us - now_us()) / 1e6)
