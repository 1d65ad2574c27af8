"""The issuing side of slow-start tokens, at the node that holds the role of the token issuer. No I/O.

For each warming upstream the issuer counts the tokens that were issued to all nodes in a window. Nodes that
have not handed their slow-start turns over keep their part of the window. Times are whole microseconds of the
node's own clock, which also advances while its process is stopped.
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
from larchlatch.cluster.slow_start.token_limits import MAX_CANDIDATES, MILLI, token_hold_us

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from larchlatch.cluster.election.electorate import Electorate
    from larchlatch.cluster.election.fencing import OrderPermit


class IssuedToken(NamedTuple):
    """A token that was issued, and the weight of its session."""

    issued_at: int
    weight: float


@dataclass(slots=True)
class IssuedTokens:
    """The tokens for one upstream, oldest first."""

    tokens: deque[IssuedToken] = field(default_factory=deque)

    def used(self, since: int) -> float:
        """Return the total weight of the tokens that were issued after `since`."""
        recent = takewhile(lambda token: token.issued_at > since, reversed(self.tokens))
        return sum(token.weight for token in recent)

    def forget(self, until: int) -> None:
        """Forget tokens that were issued at `until` or before."""
        while self.tokens and self.tokens[0].issued_at <= until:
            self.tokens.popleft()


class TokenIssuer:
    """Issues tokens while this node holds the role.

    Attributes:
        own_name: this node's name.
        names: names of all members.
        enabled: whether the cluster file has the role.
        lease: number of the lease under which this node issues tokens; 0: it holds none.
        opens_at: time before which no token is issued.
        promised_until: earliest time at which each node's hand-over of its turns can end.
        issued: tokens issued for each upstream, by the hash of its name.

    """

    def __init__(self, own_name: str, electorate: Electorate) -> None:
        self.own_name = own_name
        self._replay_guard = ReplayGuard()
        self._upstreams: frozenset[int] = frozenset()
        self._window_us = 0
        self.follow(electorate)

    def follow(self, electorate: Electorate) -> None:
        """Use the electorate of a cluster file, at the start and after a change."""
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
        """Update the upstreams that are ready, by the hashes of their names, and their overload window."""
        self._upstreams = frozenset(upstreams)
        self._window_us = window_us

    @property
    def counting_span_us(self) -> int:
        """Return the time for which an issued token counts: until no window can contain its session."""
        return ceil((self._window_us + token_hold_us(self._window_us)) * (1 + self._skew))

    def hold(self, now: int, lease: int) -> None:
        """Begin, continue or cease to issue tokens under a lease; 0: this node does not hold the role."""
        if lease == self.lease:
            self._forget_old(now)
            return
        # The tokens of the previous issuer are unknown here. They end with its lease, and count for one more
        # window.
        self.lease = lease
        self.promised_until = {}
        self.issued = {}
        self.opens_at = now + self.counting_span_us

    def _forget_old(self, now: int) -> None:
        """Forget tokens that no longer count, even for the smallest share of nodes that have handed over."""
        until = now - self.counting_span_us * max(1, len(self.names))
        for issued in self.issued.values():
            issued.forget(until)
        self.issued = {upstream: issued for upstream, issued in self.issued.items() if issued.tokens}

    def is_new(self, request: TokenRequest) -> bool:
        """Return whether a request is newer than all of its sender, so that it is worth verifying."""
        return self.enabled and self._replay_guard.is_new(request)

    def answer(self, now: int, request: TokenRequest, permit: OrderPermit) -> TokenGrant | None:
        """Return the answer to a request; None if this node may not issue, or no window has room.

        Args:
            now: present time.
            request: the request.
            permit: permit of the token issuer, if this node holds that role.

        """
        self._replay_guard.record(request)
        if not permit.lease or permit.lease != self.lease:
            return None
        if request.config_digest != self._digest or request.sender not in self.names:
            return None
        self._record_promise(now, request)
        upstream = self._issue_first(now, request.demands) if now >= self.opens_at else 0
        if request.demands and not upstream:
            return None  # the requester does not wait long for an answer
        return TokenGrant(
            **response_header(self.own_name, request),
            lease=permit.lease,
            remaining_us=permit.left_us,
            issued_us=now,
            upstream=upstream,
        )

    def _record_promise(self, now: int, request: TokenRequest) -> None:
        """Record until when the sender has handed its turns over, if it did so under this node's lease."""
        if request.lease != self.lease or not 0 < request.issued_us <= now:
            return
        # The sender made its promise after it received the answer with this time stamp. So its term began
        # later, by a clock that may be fast.
        until = request.issued_us + int(self._term_us * (1 - self._skew) / (1 + self._skew))
        self.promised_until[request.sender] = max(until, self.promised_until.get(request.sender, 0))

    def _issue_first(self, now: int, demands: Sequence[TokenDemand]) -> int:
        """Issue a token for the first upstream with room; return the hash of its name, or 0 for none."""
        handed_over = sum(now < until for until in self.promised_until.values())
        share = handed_over / len(self.names)
        for demand in demands[:MAX_CANDIDATES]:
            if demand.upstream in self._upstreams and self._issue(now, demand, share):
                return demand.upstream
        return 0

    def _issue(self, now: int, demand: TokenDemand, share: float) -> bool:
        """Issue a token if the upstream's window has room; return whether it was issued.

        Args:
            now: present time.
            demand: the upstream, its budget in a window, and the session's weight.
            share: fraction of all nodes that have handed their turns over.

        """
        # Nodes that have not handed their turns over use their own part of the budget.
        limit = share * demand.budget_milli / MILLI
        span_us = self.counting_span_us
        if limit < 1:
            if not share:
                return False
            limit, span_us = 1.0, int(span_us / share)
        issued = self.issued.setdefault(demand.upstream, IssuedTokens())
        weight = max(1, demand.weight_milli) / MILLI
        used = issued.used(now - span_us)
        # A session that exceeds the budget alone may go to an upstream whose window is empty.
        if used and used + weight > limit:
            return False
        issued.tokens.append(IssuedToken(now, weight))
        return True
