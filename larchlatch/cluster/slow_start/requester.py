"""Requests for slow-start tokens and the hand-over of slow-start turns, at every node. No I/O.

Without a token issuer the nodes take turns, by their numbers, in sending sessions to a warming upstream, and
nodes with few sessions leave most of their turns unused. With a token issuer, each node hands over its turns
to the issuer for a term, and requests a token for each session. Times are whole microseconds of the node's
own clock, which also advances while its process is suspended.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.election.electorate import TOKEN_ISSUER
from larchlatch.cluster.election.fencing import order_ends_at
from larchlatch.cluster.protocol.messages import TokenDemand, TokenGrant, TokenRequest
from larchlatch.cluster.slow_start.notices import TokenNotice
from larchlatch.cluster.slow_start.token_limits import MAX_CANDIDATES, MILLI, token_validity_us

if TYPE_CHECKING:
    from collections.abc import Sequence

    from larchlatch.cluster.election.electorate import Electorate
    from larchlatch.cluster.protocol.headers import RequestOrigin
    from larchlatch.policy.types import TokenCandidate

WARMING_RENEWALS_PER_TERM = 3  # renewals of a hand-over within its term while an upstream is warming up
IDLE_RENEWALS_PER_TERM = 2  # renewals of a hand-over within its term while no upstream is warming up
NOTICE_LAG_US = 300_000  # longest time until a notice to the balancer takes effect; promises wait for it
REQUEST_BURST = 16  # token requests that a node may send at once
CLUSTER_REQUESTS_PER_S = 1000  # token requests of all nodes; the issuer verifies the signature of each


class PendingRequest(NamedTuple):
    """A request to the issuer that has no answer yet; `session` is -1 if it asks for no token."""

    issuer: str
    asked_at: int
    session: int


class TokenActions(NamedTuple):
    """What a node sends at a heartbeat: a request to the issuer and a notice to the balancer."""

    request: TokenRequest | None = None
    notice: TokenNotice | None = None


class TokenRequester:
    """Hands over this node's slow-start turns to the token issuer, and requests tokens from it.

    Attributes:
        names: names of all members of the cluster.
        enabled: whether the cluster file has the role of the token issuer.
        closed: whether another process of this node places sessions, so that this one requests no tokens.
        issuer: name of the node that holds the role of the token issuer; empty: no holder is known.
        answered_at: time of the last request that the issuer has answered.
        handed_over_until: end of the hand-over as the last notice to the balancer states it.

    """

    def __init__(self, electorate: Electorate, now: int) -> None:
        self.closed = False
        self._longest_promise_us = 0  # by the files that were read since the last `open`
        # A hand-over that this node promised before its start is unknown here and may still be valid.
        self.handed_over_until = now + electorate.lease_terms.promise_us
        self._previous_notice_until = (
            self.handed_over_until
        )  # end of the hand-over in the notice before the last
        self._last_number = 0
        self._pending: dict[int, PendingRequest] = {}
        self._slow_start_until = 0  # time until which some upstream may be warming up
        self._window_us = 0
        self.follow(electorate)

    def follow(self, electorate: Electorate) -> None:
        """Apply the electorate of a new or changed cluster file, and discard what was known of the issuer."""
        self.enabled = TOKEN_ISSUER in electorate.roles
        self.names = frozenset(electorate.names)
        self._digest = electorate.digest
        self._term_us = electorate.lease_terms.term_us  # length of a hand-over
        self._promise_us = electorate.lease_terms.promise_us
        self._longest_promise_us = max(self._longest_promise_us, self._promise_us)
        self.issuer = ""
        self._issuer_timestamp = 0  # time of the issuer's last answer, by the issuer's clock
        self._issuer_lease = 0  # number of the issuer's lease in that answer
        self.answered_at = -self._term_us
        self._asked_at = -self._term_us  # time of the last request that a heartbeat sent
        self._promising_since: int | None = None
        self._last_tick_at = 0
        self._allowance = float(REQUEST_BURST)  # number of token requests that may be sent now

    def update_slow_start(self, now: int, *, slow_start_us: int, window_us: int) -> None:
        """Update the longest remaining slow start of any upstream, and the length of the overload window."""
        self._slow_start_until = now + slow_start_us
        self._window_us = window_us

    def answered_lately(self, now: int) -> bool:
        """Return whether the issuer has answered a request that was sent within the last term."""
        return now < self.answered_at + self._term_us

    def promises(self, now: int) -> bool:
        """Return whether a request sent now may promise this node's turns to the issuer for a term.

        It may if a notice that the balancer must have received hands the turns over until that term ends.
        """
        noticed = now >= self._asked_at + NOTICE_LAG_US
        known_until = self.handed_over_until if noticed else self._previous_notice_until
        begun = self._promising_since is not None and now >= self._promising_since + NOTICE_LAG_US
        return begun and self.answered_lately(now) and now + self._term_us <= known_until

    def tick(self, now: int, origin: RequestOrigin, issuer: str) -> TokenActions:
        """Return the request and the notice that are due at a heartbeat.

        Args:
            now: time by the node's own clock.
            origin: this node's name, its incarnation and the Unix time, for the request's header.
            issuer: name of the node that holds the role of the token issuer; empty: no holder is known.

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
        # Each request until the next renewal promises a whole term, and the notice of the renewal can take
        # NOTICE_LAG_US to reach the balancer.
        self._previous_notice_until = self.handed_over_until
        until = now + self._term_us + self._term_us // IDLE_RENEWALS_PER_TERM + NOTICE_LAG_US
        # A promise to an issuer under a former file, with a longer term, is kept.
        self.handed_over_until = max(self.handed_over_until, until)
        return TokenActions(self._request(now, origin), TokenNotice(self.handed_over_until))

    def _refill_allowance(self, now: int) -> None:
        elapsed_s = max(0, now - self._last_tick_at) / 1e6 if self._last_tick_at else 0.0
        refill = elapsed_s * CLUSTER_REQUESTS_PER_S / max(1, len(self.names))
        self._allowance = min(REQUEST_BURST, self._allowance + refill)
        self._last_tick_at = now

    def _renewal_due(self, now: int) -> bool:
        renewals = WARMING_RENEWALS_PER_TERM if now < self._slow_start_until else IDLE_RENEWALS_PER_TERM
        return not self.promises(now) or now >= self._asked_at + self._term_us // renewals

    def _request(
        self, now: int, origin: RequestOrigin, session: int = -1, demands: Sequence[TokenDemand] = ()
    ) -> TokenRequest:
        self._last_number += 1
        self._pending[self._last_number] = PendingRequest(self.issuer, now, session)
        # The balancer receives notices with a delay. A hand-over that it does not know of is not promised:
        # otherwise the balancer could use a turn whose budget the issuer grants to another node.
        promises = self.promises(now)
        return TokenRequest(
            **origin.header(request_id=self._last_number, recipient=self.issuer, config_digest=self._digest),
            lease=self._issuer_lease if promises else 0,
            issued_us=self._issuer_timestamp if promises else 0,
            demands=list(demands),
        )

    def request_token(
        self,
        now: int,
        origin: RequestOrigin,
        session: int,
        candidates: Sequence[tuple[int, TokenCandidate]],
    ) -> TokenRequest | None:
        """Return a request for a token for a session; None if no request can be sent now.

        Args:
            now: time by the node's own clock.
            origin: this node's name, its incarnation and the Unix time, for the request's header.
            session: the session's number.
            candidates: warming upstreams that the session may be sent to, each with the hash of its name.

        """
        can_request = self.enabled and not self.closed and self.issuer and self.answered_lately(now)
        if not can_request or self._allowance < 1:
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
        """Return whether a grant answers a pending request; other grants need no signature check."""
        request = self._pending.get(grant.request_id)
        return request is not None and request.issuer == grant.sender

    def accept(self, now: int, grant: TokenGrant) -> TokenNotice | None:
        """Apply the issuer's answer to a pending request; return the notice of its token if usable."""
        request = self._pending.pop(grant.request_id)
        ends_at = order_ends_at(request.asked_at, grant.remaining_us)
        if now >= ends_at:
            return None
        self._issuer_timestamp = grant.issued_us
        self._issuer_lease = grant.lease
        self.answered_at = request.asked_at
        token_ends_at = min(ends_at, request.asked_at + token_validity_us(self._window_us))
        if not grant.upstream or self._promising_since is None or now >= token_ends_at:
            return None
        return TokenNotice(self.handed_over_until, grant.upstream, request.session, token_ends_at)

    def withdraw(self) -> None:
        """Stop promising the hand-over until the next heartbeat, as the balancer did not accept a notice."""
        self._promising_since = None

    def close(self) -> None:
        """Stop handing over turns, as another process of this node places sessions from now on."""
        self.closed = True
        self._promising_since = None

    def open(self, now: int) -> TokenNotice | None:
        """Begin to hand over turns and request tokens; return the notice to the balancer.

        The turns count as handed over until all promises of the predecessor process have ended.
        """
        self.closed = False
        self.handed_over_until = max(self.handed_over_until, now + self._longest_promise_us)
        self._longest_promise_us = self._promise_us
        return TokenNotice(self.handed_over_until) if self.enabled else None
