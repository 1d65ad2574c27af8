"""Limits of slow-start tokens that both sides go by."""

from __future__ import annotations

HOLD_PARTS = 8  # a token is valid for this part of a window: the shorter, the more of the window is used
MIN_HOLD_US = 100_000  # and at least so long: a request, its answer, and the session's own wait for it
MAX_CANDIDATES = 4  # upstreams that one request names
MILLI = 1000  # budgets and weights go over the wire in thousandths of a session


def token_hold_us(window_us: int) -> int:
    """Return for how long a token is valid, from its request on, where upstreams count by such a window."""
    return max(MIN_HOLD_US, window_us // HOLD_PARTS)
