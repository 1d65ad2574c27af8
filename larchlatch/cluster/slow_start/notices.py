"""What the balancer is told of slow-start tokens, and for how long one is valid."""

from __future__ import annotations

from typing import NamedTuple

HOLD_PARTS = 8  # a token is valid for this part of a window: the shorter, the more of the window is used
MIN_HOLD_US = 100_000  # and at least so long: a request, its answer, and the session's own wait for it


class TokenNotice(NamedTuple):
    """What the balancer is told, with times in microseconds of this node's own clock.

    Attributes:
        handed_over_until: until when this node's turns at warming upstreams are handed over to the issuer.
        upstream: hash of the name of the upstream that a session may be sent to; 0: none.
        session: the session's number.
        token_ends_at: until when it may be sent.

    """

    handed_over_until: int
    upstream: int = 0
    session: int = -1
    token_ends_at: int = 0


def token_hold_us(window_us: int) -> int:
    """Return for how long a token is valid, from its request on, where upstreams count by such a window."""
    return max(MIN_HOLD_US, window_us // HOLD_PARTS)
