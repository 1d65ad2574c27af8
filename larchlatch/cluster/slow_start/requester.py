"""The requesting side of slow-start tokens, which every node has. No I/O.

By itself each node keeps to turns at a warming upstream, by its own number: of many nodes that see few
sessions each, most let their turn pass. Where one node holds the role of the token issuer, the others hand
their turns over to it for a while, and ask it for each session. Times are whole microseconds of a clock of
the node's own, which runs on while its process is stopped.
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
    from larchlatch.policy.types import TokenCandidate

RENEWALS = 3  # in the time for which turns are handed over, while an upstream is warming up: two may be lost
IDLE_RENEWALS = 2  # and while none is: so that one that starts need not wait until all nodes have promised
NOTICE_LAG_US = 300_000  # the balancer has known it so long before it is promised to others: it lags by less
REQUEST_BURST = 16  # requests for sessions that a node may send at once, when it has sent none for a while
CLUSTER_REQUESTS_PER_S = 1000  # of all nodes together: the issuer checks a signature for each, 65 us


class PendingRequest(NamedTuple):
    """A request that may yet be answered; session -1: it asks for no token."""

    issuer: str
    asked_at: int
    session: int


class TokenActions(NamedTuple):
    """What is due with a heartbeat: a request to the issuer, and what the balancer is told."""

    request: TokenRequest | None = None
    notice: TokenNotice | None = None


class TokenRequester:
    """Hands this node's turns over to the issuer, and asks it for tokens.

    Attributes:
        own_name: this node's name.
        names: names of all members.
        enabled: whether the cluster file has the role of the token issuer.
        closed: whether another process of this node places sessions.
        issuer: the node that holds the role, as far as is known; "" where none is.
        answered_at: when the issuer's last answer was asked for.
        handed_over_until: until when the balancer is told that turns are handed over.

    """

    def __init__(self, own_name: str, electorate: Electorate, now: int) -> None:
        self.own_name = own_name
        self.closed = False
        # A node that starts does not know for how long its earlier life has handed its turns over.
        self.handed_over_until = now + electorate.lease_terms.promise_us
        self._known_until = self.handed_over_until  # by what the balancer was told before the last notice
        self._last_number = 0
        self._pending: dict[int, PendingRequest] = {}
        self._slow_start_until = 0  # some upstream may be warming up until then
        self._window_us = 0
        self.follow(electorate)

    def follow(self, electorate: Electorate) -> None:
        """Go by a cluster file, at the start and when it has changed."""
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
        """Note for how long some upstream may be warming up yet, and by which window upstreams count."""
        self._slow_start_until = now + slow_start_us
        self._window_us = window_us

    def answered_lately(self, now: int) -> bool:
        """Return whether the issuer has answered within a term."""
        return now < self.answered_at + self._term_us

    def promises(self, now: int) -> bool:
        """Return whether this node's turns are handed over for a term from now, as the balancer knows."""
        # A node that was stopped since it told the balancer would promise more than it has told.
        noticed = now >= self._asked_at + NOTICE_LAG_US
        known_until = self.handed_over_until if noticed else self._known_until
        begun = self._promising_since is not None and now >= self._promising_since + NOTICE_LAG_US
        return begun and self.answered_lately(now) and now + self._term_us <= known_until

    def tick(self, now: int, wall: int, incarnation: int, issuer: str) -> TokenActions:
        """Do what is due with a heartbeat.

        Args:
            now: present time.
            wall: Unix time, in microseconds.
            incarnation: present life of this node.
            issuer: the node that holds the role, as far as is known; "" where none is.

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
            return TokenActions(request=self._request(now, wall, incarnation))
        if self._promising_since is None:
            self._promising_since = now
        # Until the next renewal each request promises a term more, and the balancer may lag.
        self._known_until = self.handed_over_until
        self.handed_over_until = now + self._term_us + self._term_us // IDLE_RENEWALS + NOTICE_LAG_US
        return TokenActions(self._request(now, wall, incarnation), TokenNotice(self.handed_over_until))

    def _refill_allowance(self, now: int) -> None:
        passed_s = max(0, now - self._ticked_at) / 1e6 if self._ticked_at else 0.0
        refill = passed_s * CLUSTER_REQUESTS_PER_S / max(1, len(self.names))
        self._allowance = min(REQUEST_BURST, self._allowance + refill)
        self._ticked_at = now

    def _renewal_due(self, now: int) -> bool:
        renewals = RENEWALS if now < self._slow_start_until else IDLE_RENEWALS
        return not self.promises(now) or now >= self._asked_at + self._term_us // renewals

    def _request(
        self, now: int, wall: int, incarnation: int, session: int = -1, demands: Sequence[TokenDemand] = ()
    ) -> TokenRequest:
        self._last_number += 1
        self._pending[self._last_number] = PendingRequest(self.issuer, now, session)
        # The balancer hears a moment later that turns are handed over. If they were promised at once, a turn
        # that is being used now would be given to another node as well: only what it was told before is
        # promised.
        promises = self.promises(now)
        return TokenRequest(
            sender=self.own_name,
            incarnation=incarnation,
            request_id=self._last_number,
            created_us=wall,
            recipient=self.issuer,
            config_digest=self._digest,
            lease=self._issuer_lease if promises else 0,
            issued_us=self._issuer_stamp if promises else 0,
            demands=list(demands),
        )

    def request_token(
        self,
        now: int,
        wall: int,
        incarnation: int,
        session: int,
        candidates: Sequence[tuple[int, TokenCandidate]],
    ) -> TokenRequest | None:
        """Ask for a token for a session; None where the issuer can't be asked now.

        Args:
            now: present time.
            wall: Unix time, in microseconds.
            incarnation: present life of this node.
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
        return self._request(now, wall, incarnation, session, demands)

    def expects(self, grant: TokenGrant) -> bool:
        """Return whether an answer, not yet trusted, is worth a check of its signature."""
        request = self._pending.get(grant.request_id)
        return request is not None and request.issuer == grant.sender

    def accept(self, now: int, grant: TokenGrant) -> TokenNotice | None:
        """Take an expected answer of the issuer; return the token in it, if there is one that can be used."""
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
        """Promise nothing until the next heartbeat, as the balancer could not be told."""
        self._promising_since = None

    def close(self) -> None:
        """Promise no turns any more, as another process of this node places sessions from now on."""
        self.closed = True
        self._promising_since = None

    def open(self, now: int) -> TokenNotice | None:
        """Begin to place sessions in place of the process before, whose promises have to run out first."""
        self.closed = False
        self.handed_over_until = max(self.handed_over_until, now + self._promise_us)
        return TokenNotice(self.handed_over_until) if self.enabled else None
