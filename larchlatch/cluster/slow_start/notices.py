"""Notices about slow-start tokens that a node's cluster service sends to its balancer."""

from __future__ import annotations

from typing import NamedTuple


class TokenNotice(NamedTuple):
    """A notice to the balancer of a hand-over of slow-start turns, and of a token if it has one.

    Times are in microseconds of this node's own clock.

    Attributes:
        handed_over_until: time until which this node's slow-start turns are handed over to the token issuer.
        upstream: hash of the name of the upstream that the token is for; 0: the notice has no token.
        session: number of the session that the token is for; -1: the notice has no token.
        token_ends_at: end of the token's validity.

    """

    handed_over_until: int
    upstream: int = 0
    session: int = -1
    token_ends_at: int = 0
