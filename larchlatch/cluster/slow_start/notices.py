"""What the balancer is told of slow-start tokens."""

from __future__ import annotations

from typing import NamedTuple


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
