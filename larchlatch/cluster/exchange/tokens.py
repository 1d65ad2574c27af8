"""Handles the requests and grants of slow-start tokens that nodes send to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.counters import ClusterCounter
from larchlatch.cluster.election.electorate import TOKEN_ISSUER
from larchlatch.cluster.exchange.results import ExchangeResult
from larchlatch.cluster.exchange.role_orders import RoleOrders

if TYPE_CHECKING:
    from larchlatch.cluster.exchange.context import ExchangeContext
    from larchlatch.cluster.protocol.messages import TokenGrant, TokenRequest
    from larchlatch.policy.types import TokenCandidate


class TokenExchange:
    """Requests tokens from the token issuer, and issues tokens while this node holds that role."""

    def __init__(self, context: ExchangeContext) -> None:
        self._membership = context.membership
        self._tokens = context.state.tokens
        self._orders = RoleOrders(TOKEN_ISSUER, context)
        self._pack = context.pack
        self._count = context.count

    def request(
        self, now: int, *, wall: int, session: int, candidates: list[tuple[int, TokenCandidate]]
    ) -> ExchangeResult:
        """Request a token for one session.

        Args:
            now: monotonic time in microseconds.
            wall: Unix time in microseconds.
            session: the session's number.
            candidates: warming upstreams that the session may be placed on, each with the hash of its name.

        """
        result = ExchangeResult()
        request = self._tokens.requester.request_token(
            now, self._membership.request_origin(wall), session, candidates
        )
        if request is not None:
            self._send_request(request, now, result)
        return result

    def handle_request(self, request: TokenRequest, now: int, result: ExchangeResult) -> None:
        """Answer another node's request, if this node is the token issuer."""
        grant = self._answer(request, now)
        if grant is not None:
            result.datagrams.append(self._pack(grant))

    def handle_grant(self, grant: TokenGrant, now: int, result: ExchangeResult) -> None:
        """Accept the token issuer's answer, unless this node knows a later holder of the role."""
        if not self._orders.accepts(grant.lease):
            return
        notice = self._tokens.requester.accept(now, grant)
        if notice is not None:
            result.token_updates.append(notice)
            result.orders.append(self._orders.executed_order(lease=grant.lease, holder=grant.sender))
        if grant.upstream:
            self._count(
                ClusterCounter.TOKENS_RECEIVED if notice is not None else ClusterCounter.TOKENS_TOO_LATE
            )

    def heartbeat(self, now: int, *, wall: int) -> ExchangeResult:
        """Update issuer and requester; return the request that hands this node's turns over again, if due."""
        result = ExchangeResult()
        if not self._tokens.enabled:
            return result
        self._tokens.issuer.hold(now, self._orders.permit(now).lease)
        request, notice = self._tokens.requester.tick(
            now, self._membership.request_origin(wall), self._orders.holder_name()
        )
        if notice is not None:
            result.token_updates.append(notice)
        if request is not None:
            self._send_request(request, now, result)
        return result

    def _send_request(self, request: TokenRequest, now: int, result: ExchangeResult) -> None:
        """Send a request, or answer it at once if this node is the token issuer itself."""
        if request.recipient != self._membership.own_name:
            result.datagrams.append(self._pack(request))
            return
        grant = self._answer(request, now)
        if grant is not None:
            self.handle_grant(grant, now, result)

    def _answer(self, request: TokenRequest, now: int) -> TokenGrant | None:
        return self._tokens.issuer.answer(now, request, self._orders.permit(now))
