"""Requests and grants of slow-start tokens, as they go between nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster import counters
from larchlatch.cluster.election.electorate import TOKEN_ISSUER
from larchlatch.cluster.exchange.results import ExchangeResult, ExecutedOrder, OutgoingDatagram

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.cluster.exchange.state import SharedState
    from larchlatch.cluster.membership.membership import Membership
    from larchlatch.cluster.protocol.messages import DirectMessage, TokenGrant, TokenRequest
    from larchlatch.policy.types import TokenCandidate


class TokenExchange:
    """Request tokens of the token issuer, and issue them where this node holds that role."""

    def __init__(
        self,
        membership: Membership,
        state: SharedState,
        pack: Callable[[DirectMessage], OutgoingDatagram],
        count: Callable[[str], None],
    ) -> None:
        self._membership = membership
        self._tokens = state.tokens
        self._election = state.election
        self._pack = pack
        self._count = count

    def request(
        self, now: int, *, wall: int, session: int, candidates: list[tuple[int, TokenCandidate]]
    ) -> ExchangeResult:
        """Request a token for one session.

        Args:
            now: monotonic time in microseconds.
            wall: Unix time in microseconds.
            session: the session's number.
            candidates: warming upstreams that it may go to, each with the hash of its name.

        """
        result = ExchangeResult()
        request = self._tokens.requester.request_token(
            now, wall, self._membership.incarnation, session, candidates
        )
        if request is not None:
            self._send_request(request, now, result)
        return result

    def handle_request(self, request: TokenRequest, now: int, result: ExchangeResult) -> None:
        """Answer another node, where this one is the token issuer."""
        grant = self._tokens.issuer.answer(now, request, self._election.order_permit(now, TOKEN_ISSUER))
        if grant is not None:
            result.datagrams.append(self._pack(grant))

    def handle_grant(self, grant: TokenGrant, now: int, result: ExchangeResult) -> None:
        """Take up the token issuer's answer, unless a later holder of the role is known."""
        if not self._election.accepts_order(TOKEN_ISSUER, grant.lease):
            self._count(counters.ORDERS_OUTDATED)
            return
        update = self._tokens.requester.accept(now, grant)
        if update is not None:
            result.token_updates.append(update)
            result.orders.append(ExecutedOrder(TOKEN_ISSUER, grant.lease, grant.sender))
        if grant.upstream:
            self._count(counters.TOKENS_RECEIVED if update is not None else counters.TOKENS_TOO_LATE)

    def heartbeat(self, now: int, *, wall: int) -> ExchangeResult:
        """Return what falls due with a heartbeat: renewals of the lending of slow-start windows."""
        result = ExchangeResult()
        if not self._tokens.enabled:
            return result
        holder = self._election.holder(TOKEN_ISSUER)
        lease, _ = self._election.order_permit(now, TOKEN_ISSUER)
        self._tokens.issuer.hold(now, lease)
        issuer = holder.name if holder is not None else ""
        request, update = self._tokens.requester.tick(now, wall, self._membership.incarnation, issuer)
        if update is not None:
            result.token_updates.append(update)
        if request is not None:
            self._send_request(request, now, result)
        return result

    def _send_request(self, request: TokenRequest, now: int, result: ExchangeResult) -> None:
        """Send a request, or answer it at once where this node is the token issuer itself."""
        if request.recipient != self._membership.own_name:
            result.datagrams.append(self._pack(request))
            return
        grant = self._tokens.issuer.answer(now, request, self._election.order_permit(now, TOKEN_ISSUER))
        if grant is not None:
            self.handle_grant(grant, now, result)
