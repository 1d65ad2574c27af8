"""Notices about slow-start tokens for the balancer."""

from __future__ import annotations

from typing import NamedTuple


class TokenNotice(NamedTuple):
    """A notice for the balancer, with times in microseconds of this node's own clock.

    Attributes:
        handed_over_until: time until which this node's slow-start turns are handed over to the issuer.
        upstream: hash of the name of the upstream that a session may be sent to; 0: the notice has no token.
        session: the session's number; -1: the notice has no token.
        token_ends_at: end of the token's validity.

    """

    handed_over_until: int
    upstream: int = 0
    session: int = -1
    token_ends_at: int = 0
