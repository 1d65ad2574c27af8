"""Limits of slow-start tokens that the requester and the issuer apply."""

from __future__ import annotations

VALIDITIES_PER_WINDOW = 8  # a token is valid for the overload window divided by this
MIN_TOKEN_VALIDITY_US = 100_000  # enough for a request, its response and the placement
MAX_CANDIDATES = 4  # most upstreams that one request names
MILLI = 1000  # messages state budgets and weights in thousandths of a usual session


def token_validity_us(window_us: int) -> int:
    """Return how long a token is valid after its request, in microseconds, for a given overload window."""
    return max(MIN_TOKEN_VALIDITY_US, window_us // VALIDITIES_PER_WINDOW)
