"""The issuing side of slow-start tokens, of the node that holds the role of the token issuer. No I/O.

It counts, for each warming upstream, what all nodes together have sent there in a window. Nodes that have not
handed their turns over keep their part of it. Times are whole microseconds of a clock of the node's own,
which runs on while its process is stopped.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from itertools import takewhile
from math import ceil
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.election.electorate import TOKEN_ISSUER
from larchlatch.cluster.protocol.messages import TokenDemand, TokenGrant, TokenRequest
from larchlatch.cluster.replay_guard import ReplayGuard
from larchlatch.cluster.slow_start.token_limits import MAX_CANDIDATES, MILLI, token_hold_us

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from larchlatch.cluster.election.electorate import Electorate
    from larchlatch.cluster.election.fencing import OrderPermit


class IssuedToken(NamedTuple):
    """A token for a session of that weight, issued at that time."""

    issued_at: int
    weight: float


@dataclass(slots=True)
class IssuedTokens:
    """The tokens for one upstream, oldest first."""

    tokens: deque[IssuedToken] = field(default_factory=deque)

    def used(self, since: int) -> float:
        """Return the weight of all tokens that were issued after `since`."""
        recent = takewhile(lambda token: token.issued_at > since, reversed(self.tokens))
        return sum(token.weight for token in recent)

    def forget(self, until: int) -> None:
        """Forget tokens that were issued at `until` or before."""
        while self.tokens and self.tokens[0].issued_at <= until:
            self.tokens.popleft()


class TokenIssuer:
    """Answers requests for tokens while this node holds the role.

    Attributes:
        own_name: this node's name.
        names: names of all members.
        enabled: whether the cluster file has the role.
        lease: number of the lease by which this node issues tokens; 0: it does not.
        opens_at: time before which none is issued.
        promised_until: until when, at least, each node has handed its turns over.
        issued: what was issued for each upstream, by the hash of its name.

    """

    def __init__(self, own_name: str, electorate: Electorate) -> None:
        self.own_name = own_name
        self._replay_guard = ReplayGuard()
        self._upstreams: frozenset[int] = frozenset()
        self._window_us = 0
        self.follow(electorate)

    def follow(self, electorate: Electorate) -> None:
        """Go by a cluster file, at the start and when it has changed."""
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
        """Note the upstreams that are ready, by the hashes of their names, and the window they count by."""
        self._upstreams = frozenset(upstreams)
        self._window_us = window_us

    @property
    def counting_span_us(self) -> int:
        """Return for how long a token counts: no window holds any use of one that was issued before."""
        return ceil((self._window_us + token_hold_us(self._window_us)) * (1 + self._skew))

    def hold(self, now: int, lease: int) -> None:
        """Begin, go on or cease to issue tokens by a lease; 0: this node does not hold the role."""
        if lease == self.lease:
            self._forget_old(now)
            return
        # What the issuer before has issued is not known here. Its tokens end with its lease, and count for a
        # window more.
        self.lease = lease
        self.promised_until = {}
        self.issued = {}
        self.opens_at = now + self.counting_span_us

    def _forget_old(self, now: int) -> None:
        """Forget tokens that count no more, however small the share of nodes that have handed over."""
        until = now - self.counting_span_us * max(1, len(self.names))
        for issued in self.issued.values():
            issued.forget(until)
        self.issued = {upstream: issued for upstream, issued in self.issued.items() if issued.tokens}

    def is_new(self, request: TokenRequest) -> bool:
        """Return whether a request, not yet trusted, is newer than all before of its sender."""
        return self.enabled and self._replay_guard.is_new(request)

    def answer(self, now: int, request: TokenRequest, permit: OrderPermit) -> TokenGrant | None:
        """Answer a request; None where this node can't issue, or has no room for the session.

        Args:
            now: present time.
            request: the request.
            permit: lease by which this node may issue tokens now.

        """
        self._replay_guard.record(request)
        if not permit.lease or permit.lease != self.lease:
            return None
        if request.config_digest != self._digest or request.sender not in self.names:
            return None
        self._note_promise(now, request)
        upstream = self._issue_first(now, request.demands) if now >= self.opens_at else 0
        if request.demands and not upstream:
            return None  # the requester waits no longer than for an answer
        return TokenGrant(
            sender=self.own_name,
            recipient=request.sender,
            incarnation=request.incarnation,
            request_id=request.request_id,
            lease=permit.lease,
            remaining_us=permit.left_us,
            issued_us=now,
            upstream=upstream,
        )

    def _note_promise(self, now: int, request: TokenRequest) -> None:
        """Note until when the sender has handed its turns over, if it has by this node's lease."""
        if request.lease != self.lease or not 0 < request.issued_us <= now:
            return
        # It had received the answer of that stamp when it promised: its term began after that, by a clock
        # that may be fast.
        until = request.issued_us + int(self._term_us * (1 - self._skew) / (1 + self._skew))
        self.promised_until[request.sender] = max(until, self.promised_until.get(request.sender, 0))

    def _issue_first(self, now: int, demands: Sequence[TokenDemand]) -> int:
        """Issue a token for the first upstream that has room; return the hash of its name, or 0 for none."""
        handed_over = sum(now < until for until in self.promised_until.values())
        share = handed_over / len(self.names)
        for demand in demands[:MAX_CANDIDATES]:
            if demand.upstream in self._upstreams and self._issue(now, demand, share):
                return demand.upstream
        return 0

    def _issue(self, now: int, demand: TokenDemand, share: float) -> bool:
        """Issue a token if there is room for it; return whether there was.

        Args:
            now: present time.
            demand: the upstream, its budget in a window, and the session's weight.
            share: part of all nodes that have handed their turns over.

        """
        # Nodes that still go by turns, as they hear no issuer, use their part of the budget and no more.
        limit = share * demand.budget_milli / MILLI
        span_us = self.counting_span_us
        if limit < 1:
            if not share:
                return False
            limit, span_us = 1.0, int(span_us / share)
        issued = self.issued.setdefault(demand.upstream, IssuedTokens())
        weight = max(1, demand.weight_milli) / MILLI
        used = issued.used(now - span_us)
        # A session that is too heavy for the budget may go to an upstream whose window is empty.
        if used and used + weight > limit:
            return False
        issued.tokens.append(IssuedToken(now, weight))
        return True
