"""The requesting side of slow-start tokens, at every node. No I/O.

Without a token issuer the nodes send sessions to a warming upstream in turns, by their numbers, and nodes
with few sessions leave most of their turns unused. With a token issuer they hand their turns over to it for a
term, and request a token for each session. Times are whole microseconds of the node's own clock, which also
advances while its process is stopped.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.election.electorate import TOKEN_ISSUER
from larchlatch.cluster.election.fencing import order_ends_at
from larchlatch.cluster.protocol.messages import TokenDemand, TokenGrant, TokenRequest
from larchlatch.cluster.slow_start.notices import TokenNotice
from larchlatch.cluster.slow_start.token_limits import MAX_CANDIDATES, MILLI, token_hold_us

if TYPE_CHECKING:
    from collections.abc import Sequence

    from larchlatch.cluster.election.electorate import Electorate
    from larchlatch.cluster.protocol.headers import RequestOrigin
    from larchlatch.policy.types import TokenCandidate

RENEWALS = 3  # of a hand-over within its term, while an upstream is warming up
IDLE_RENEWALS = 2  # of a hand-over within its term, while no upstream is warming up
NOTICE_LAG_US = 300_000  # a hand-over is promised to the issuer only so long after the balancer's notice
REQUEST_BURST = 16  # requests for sessions that a node may send at once
CLUSTER_REQUESTS_PER_S = 1000  # for sessions, of all nodes: the issuer verifies a signature for each


class PendingRequest(NamedTuple):
    """A request whose answer is pending; session -1: it asks for no token."""

    issuer: str
    asked_at: int
    session: int


class TokenActions(NamedTuple):
    """What is due with a heartbeat: a request to the issuer, and a notice to the balancer."""

    request: TokenRequest | None = None
    notice: TokenNotice | None = None


class TokenRequester:
    """Hands this node's slow-start turns over to the issuer, and requests tokens from it.

    Attributes:
        names: names of all members.
        enabled: whether the cluster file has the role of the token issuer.
        closed: whether another process of this node places sessions.
        issuer: name of the node that holds the role; empty: none is known.
        answered_at: time of the request for the issuer's last answer.
        handed_over_until: end of the hand-over in the last notice to the balancer.

    """

    def __init__(self, electorate: Electorate, now: int) -> None:
        self.closed = False
        # The hand-over of this node's turns before its start is unknown and may still hold.
        self.handed_over_until = now + electorate.lease_terms.promise_us
        self._known_until = self.handed_over_until  # end of the hand-over in the notice before that
        self._last_number = 0
        self._pending: dict[int, PendingRequest] = {}
        self._slow_start_until = 0  # some upstream may be warming up until then
        self._window_us = 0
        self.follow(electorate)

    def follow(self, electorate: Electorate) -> None:
        """Use the electorate of a cluster file, at the start and after a change."""
        self.enabled = TOKEN_ISSUER in electorate.roles
        self.names = frozenset(electorate.names)
        self._digest = electorate.digest
        self._term_us = electorate.lease_terms.term_us  # turns are handed over for a term
        self._promise_us = electorate.lease_terms.promise_us
        self.issuer = ""
        self._issuer_stamp = 0  # the issuer's clock in its last answer
        self._issuer_lease = 0  # its lease there
        self.answered_at = -self._term_us
        self._asked_at = -self._term_us  # when a heartbeat last sent a request
        self._promising_since: int | None = None
        self._ticked_at = 0
        self._allowance = float(REQUEST_BURST)  # requests for sessions that may be sent now

    def update_slow_start(self, now: int, *, slow_start_us: int, window_us: int) -> None:
        """Update the longest remaining slow start of an upstream, and the overload window."""
        self._slow_start_until = now + slow_start_us
        self._window_us = window_us

    def answered_lately(self, now: int) -> bool:
        """Return whether the issuer has answered within a term."""
        return now < self.answered_at + self._term_us

    def promises(self, now: int) -> bool:
        """Return whether the balancer knows that this node's turns are handed over for a term from now."""
        noticed = now >= self._asked_at + NOTICE_LAG_US
        known_until = self.handed_over_until if noticed else self._known_until
        begun = self._promising_since is not None and now >= self._promising_since + NOTICE_LAG_US
        return begun and self.answered_lately(now) and now + self._term_us <= known_until

    def tick(self, now: int, origin: RequestOrigin, issuer: str) -> TokenActions:
        """Return what is due with a heartbeat.

        Args:
            now: present time.
            origin: what each request says of this node.
            issuer: name of the node that holds the role; empty: none is known.

        """
        self._refill_allowance(now)
        self.issuer = issuer
        self._pending = {
            number: request
            for number, request in self._pending.items()
            if now < request.asked_at + self._term_us
        }
        if not self.enabled or self.closed or not issuer or not self._renewal_due(now):
            return TokenActions()
        self._asked_at = now
        if not self.answered_lately(now):
            self._promising_since = None
            return TokenActions(request=self._request(now, origin))
        if self._promising_since is None:
            self._promising_since = now
        # Each request until the next renewal promises another term, and notices reach the balancer late.
        self._known_until = self.handed_over_until
        self.handed_over_until = now + self._term_us + self._term_us // IDLE_RENEWALS + NOTICE_LAG_US
        return TokenActions(self._request(now, origin), TokenNotice(self.handed_over_until))

    def _refill_allowance(self, now: int) -> None:
        passed_s = max(0, now - self._ticked_at) / 1e6 if self._ticked_at else 0.0
        refill = passed_s * CLUSTER_REQUESTS_PER_S / max(1, len(self.names))
        self._allowance = min(REQUEST_BURST, self._allowance + refill)
        self._ticked_at = now

    def _renewal_due(self, now: int) -> bool:
        renewals = RENEWALS if now < self._slow_start_until else IDLE_RENEWALS
        return not self.promises(now) or now >= self._asked_at + self._term_us // renewals

    def _request(
        self, now: int, origin: RequestOrigin, session: int = -1, demands: Sequence[TokenDemand] = ()
    ) -> TokenRequest:
        self._last_number += 1
        self._pending[self._last_number] = PendingRequest(self.issuer, now, session)
        # The balancer receives notices with a delay. Only a hand-over that it knows of is promised: otherwise
        # a turn that it is just using could be given to another node as well.
        promises = self.promises(now)
        return TokenRequest(
            **origin.header(request_id=self._last_number, recipient=self.issuer, config_digest=self._digest),
            lease=self._issuer_lease if promises else 0,
            issued_us=self._issuer_stamp if promises else 0,
            demands=list(demands),
        )

    def request_token(
        self,
        now: int,
        origin: RequestOrigin,
        session: int,
        candidates: Sequence[tuple[int, TokenCandidate]],
    ) -> TokenRequest | None:
        """Return the request of a token for a session; None if no request can be sent now.

        Args:
            now: present time.
            origin: what each request says of this node.
            session: the session's number.
            candidates: warming upstreams that it may be sent to, each with the hash of its name.

        """
        reachable = self.enabled and not self.closed and self.issuer and self.answered_lately(now)
        if not reachable or self._allowance < 1:
            return None
        self._allowance -= 1
        demands = [
            TokenDemand(
                upstream=upstream,
                budget_milli=int(candidate.budget * MILLI),
                weight_milli=max(1, ceil(candidate.weight * MILLI)),
            )
            for upstream, candidate in candidates[:MAX_CANDIDATES]
        ]
        return self._request(now, origin, session, demands)

    def expects(self, grant: TokenGrant) -> bool:
        """Return whether a grant answers a pending request, so that its signature is worth verifying."""
        request = self._pending.get(grant.request_id)
        return request is not None and request.issuer == grant.sender

    def accept(self, now: int, grant: TokenGrant) -> TokenNotice | None:
        """Apply an expected answer of the issuer; return the notice of its token if that can be used."""
        request = self._pending.pop(grant.request_id)
        ends_at = order_ends_at(request.asked_at, grant.remaining_us)
        if now >= ends_at:
            return None
        self._issuer_stamp = grant.issued_us
        self._issuer_lease = grant.lease
        self.answered_at = request.asked_at
        token_ends_at = min(ends_at, request.asked_at + token_hold_us(self._window_us))
        if not grant.upstream or self._promising_since is None or now >= token_ends_at:
            return None
        return TokenNotice(self.handed_over_until, grant.upstream, request.session, token_ends_at)

    def withdraw(self) -> None:
        """Withdraw the hand-over until the next heartbeat, as the balancer did not accept a notice."""
        self._promising_since = None

    def close(self) -> None:
        """Stop handing turns over, as another process of this node places sessions from now on."""
        self.closed = True
        self._promising_since = None

    def open(self, now: int) -> TokenNotice | None:
        """Begin to place sessions; turns stay handed over until promises of the predecessor have ended."""
        self.closed = False
        self.handed_over_until = max(self.handed_over_until, now + self._promise_us)
        return TokenNotice(self.handed_over_until) if self.enabled else None
