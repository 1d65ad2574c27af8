"""Issuing of slow-start tokens, at the node that holds the role of the token issuer. No I/O.

For each warming upstream the issuer limits the tokens that all nodes together receive within an overload
window. Nodes that have not handed their slow-start turns over to the issuer keep their part of that budget.
Times are whole microseconds of the node's own clock, which also advances while its process is suspended.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from itertools import takewhile
from math import ceil
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.election.electorate import TOKEN_ISSUER
from larchlatch.cluster.protocol.headers import response_header
from larchlatch.cluster.protocol.messages import TokenDemand, TokenGrant, TokenRequest
from larchlatch.cluster.replay_guard import ReplayGuard
from larchlatch.cluster.slow_start.token_limits import MAX_CANDIDATES, MILLI, token_validity_us

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from larchlatch.cluster.election.electorate import Electorate
    from larchlatch.cluster.election.fencing import OrderPermit


class IssuedToken(NamedTuple):
    """The time at which a token was issued, and the weight of its session in usual sessions."""

    issued_at: int
    weight: float


@dataclass(slots=True)
class IssuedTokens:
    """The tokens that were issued for one upstream, oldest first."""

    tokens: deque[IssuedToken] = field(default_factory=deque)

    def weight_since(self, since: int) -> float:
        """Return the total weight of the sessions of tokens that were issued after `since`."""
        recent = takewhile(lambda token: token.issued_at > since, reversed(self.tokens))
        return sum(token.weight for token in recent)

    def forget(self, until: int) -> None:
        """Discard tokens that were issued at `until` or before."""
        while self.tokens and self.tokens[0].issued_at <= until:
            self.tokens.popleft()


class TokenIssuer:
    """Issues slow-start tokens to all nodes while this node holds the role of the token issuer.

    Attributes:
        own_name: this node's name.
        names: names of all members of the cluster.
        enabled: whether the cluster file has the role of the token issuer.
        lease: number of the lease under which this node issues tokens; 0: it holds none.
        opens_at: time before which no token is issued.
        promised_until: for each node, the earliest time at which the hand-over of its turns can end.
        issued: tokens that were issued for each upstream, by the hash of the upstream's name.

    """

    def __init__(self, own_name: str, electorate: Electorate) -> None:
        self.own_name = own_name
        self._replay_guard = ReplayGuard()
        self._upstreams: frozenset[int] = frozenset()
        self._window_us = 0
        self.follow(electorate)

    def follow(self, electorate: Electorate) -> None:
        """Apply the electorate of a new or changed cluster file, and discard what was known of tokens."""
        self.enabled = TOKEN_ISSUER in electorate.roles
        self.names = frozenset(electorate.names)
        self._digest = electorate.digest
        self._term_us = electorate.lease_terms.term_us
        self._skew = electorate.lease_terms.skew
        self.lease = 0
        self.opens_at = 0
        self.promised_until: dict[str, int] = {}
        self.issued: dict[int, IssuedTokens] = {}

    def update_upstreams(self, upstreams: Iterable[int], *, window_us: int) -> None:
        """Update the hashes of the names of the upstreams that are ready, and the overload window."""
        self._upstreams = frozenset(upstreams)
        self._window_us = window_us

    @property
    def counting_span_us(self) -> int:
        """Return for how many microseconds a token counts: until no overload window can contain it."""
        return ceil((self._window_us + token_validity_us(self._window_us)) * (1 + self._skew))

    def hold(self, now: int, lease: int) -> None:
        """Begin, continue or cease to issue tokens under a lease; lease 0: the role is not held here."""
        if lease == self.lease:
            self._forget_old(now)
            return
        # The tokens of the previous issuer are unknown here. They expire with its lease at the latest, but
        # their sessions still count in the following overload window.
        self.lease = lease
        self.promised_until = {}
        self.issued = {}
        self.opens_at = now + self.counting_span_us

    def _forget_old(self, now: int) -> None:
        """Discard tokens that no longer count even if only one node has handed over its turns."""
        until = now - self.counting_span_us * max(1, len(self.names))
        for issued in self.issued.values():
            issued.forget(until)
        self.issued = {upstream: issued for upstream, issued in self.issued.items() if issued.tokens}

    def is_new(self, request: TokenRequest) -> bool:
        """Return whether a request is newer than all earlier ones of its sender and may be answered."""
        return self.enabled and self._replay_guard.is_new(request)

    def answer(self, now: int, request: TokenRequest, permit: OrderPermit) -> TokenGrant | None:
        """Return the answer to a request; None if this node may not issue tokens or no upstream has room.

        Args:
            now: time by the node's own clock.
            request: a request with a verified signature.
            permit: permit for an order of the token issuer; lease 0: this node does not hold that role.

        """
        self._replay_guard.record(request)
        if not permit.lease or permit.lease != self.lease:
            return None
        if request.config_digest != self._digest or request.sender not in self.names:
            return None
        self._record_promise(now, request)
        upstream = self._issue_first(now, request.demands) if now >= self.opens_at else 0
        if request.demands and not upstream:
            return None  # a refusal needs no message, as the requester does not wait long for an answer
        return TokenGrant(
            **response_header(self.own_name, request),
            lease=permit.lease,
            remaining_us=permit.left_us,
            issued_us=now,
            upstream=upstream,
        )

    def _record_promise(self, now: int, request: TokenRequest) -> None:
        """Record until when the sender has handed over its turns, if its promise is for this node's lease."""
        if request.lease != self.lease or not 0 < request.issued_us <= now:
            return
        # The sender made its promise after it received the answer with this timestamp, so the promised term
        # began later. The sender's clock may be fast, and then the term is shorter by this node's clock.
        until = request.issued_us + int(self._term_us * (1 - self._skew) / (1 + self._skew))
        self.promised_until[request.sender] = max(until, self.promised_until.get(request.sender, 0))

    def _issue_first(self, now: int, demands: Sequence[TokenDemand]) -> int:
        """Issue a token for the first demanded upstream with room; return its name's hash, or 0 for none."""
        handed_over = sum(now < until for until in self.promised_until.values())
        share = handed_over / len(self.names)
        for demand in demands[:MAX_CANDIDATES]:
            if demand.upstream in self._upstreams and self._issue(now, demand, share):
                return demand.upstream
        return 0

    def _issue(self, now: int, demand: TokenDemand, share: float) -> bool:
        """Issue a token for one upstream if its budget allows; return whether it was issued.

        Args:
            now: time by the node's own clock.
            demand: the upstream, its budget in an overload window, and the session's weight.
            share: fraction of all nodes that have handed over their turns.

        """
        # Nodes that have not handed over their turns use their own part of the budget without tokens.
        limit = share * demand.budget_milli / MILLI
        span_us = self.counting_span_us
        if limit < 1:
            if not share:
                return False
            limit, span_us = 1.0, int(span_us / share)
        issued = self.issued.setdefault(demand.upstream, IssuedTokens())
        weight = max(1, demand.weight_milli) / MILLI
        used = issued.weight_since(now - span_us)
        # A session whose weight alone exceeds the budget may go to an upstream without other recent sessions.
        if used and used + weight > limit:
            return False
        issued.tokens.append(IssuedToken(now, weight))
        return True
