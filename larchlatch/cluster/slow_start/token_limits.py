"""Limits of slow-start tokens that both sides apply."""

from __future__ import annotations

HOLD_PARTS = 8  # a token is valid for this part of an overload window
MIN_HOLD_US = 100_000  # least validity of a token: time for a request, its response and the placement
MAX_CANDIDATES = 4  # upstreams that one request names
MILLI = 1000  # budgets and weights go over the wire in thousandths of a session


def token_hold_us(window_us: int) -> int:
    """Return the validity of a token from its request on, for this overload window; in microseconds."""
    return max(MIN_HOLD_US, window_us // HOLD_PARTS)
