"""Handles the requests and grants of quota loans that nodes send to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.counters import ClusterCounter
from larchlatch.cluster.election.electorate import QUOTA_ALLOCATOR
from larchlatch.cluster.exchange.role_orders import RoleOrders

if TYPE_CHECKING:
    from collections.abc import Mapping

    from larchlatch.cluster.exchange.context import ExchangeContext
    from larchlatch.cluster.exchange.results import ExchangeResult, OutgoingDatagram
    from larchlatch.cluster.protocol.messages import LoanGrant, LoanRequest, NodeRecord


class LoanExchange:
    """Borrows quota from other nodes and lends quota to them."""

    def __init__(self, context: ExchangeContext) -> None:
        self._membership = context.membership
        self._quotas = context.state.quotas
        self._orders = RoleOrders(QUOTA_ALLOCATOR, context)
        self._pack = context.pack
        self._count = context.count

    def handle_request(self, request: LoanRequest, now: int, result: ExchangeResult) -> None:
        """Answer a loan request with what this node can spare; a declined request gets no answer."""
        grant = self._quotas.answer(now, request, self._orders.permit(now))
        if grant is None:
            self._count(ClusterCounter.LOANS_DECLINED)
            return
        self._count(ClusterCounter.LOANS_GRANTED)
        result.datagrams.append(self._pack(grant))

    def handle_grant(self, grant: LoanGrant, now: int, result: ExchangeResult) -> None:
        """Add a granted loan to this node's quota, unless the grant comes too late.

        A grant from the quota allocator is an order, and is ignored unless its fencing token is valid.
        """
        if grant.lease and not self._orders.accepts(grant.lease):
            return
        usable = self._quotas.accept_grant(now, grant)
        self._count(ClusterCounter.LOANS_RECEIVED if usable else ClusterCounter.LOANS_TOO_LATE)
        if usable and grant.lease:
            result.orders.append(self._orders.executed_order(lease=grant.lease, holder=grant.sender))

    def update_allocator(self, now: int) -> None:
        """Update which node is the quota allocator, and this node's lease if it holds that role."""
        self._quotas.update_allocator(now, self._orders.holder_name(), self._orders.permit(now).lease)

    def heartbeat(self, now: int, *, wall: int, present: Mapping[str, NodeRecord]) -> list[OutgoingDatagram]:
        """Return the datagrams with the loan requests that are due at this heartbeat.

        Args:
            now: monotonic time in microseconds.
            wall: Unix time in microseconds.
            present: the newest record of each present member.

        """
        if self._membership.is_departing or not self._quotas.wants_loans(now):
            return []
        digest = self._quotas.settings.digest
        spare = {
            name: [report.spare for report in record.quota_reports]
            for name, record in present.items()
            if record.config_digest == digest
        }
        requests = self._quotas.loan_requests(now, self._membership.request_origin(wall), spare)
        own_name = self._membership.own_name
        datagrams = [self._pack(request) for request in requests if request.recipient != own_name]
        for request in requests:
            if request.recipient == own_name:
                self._borrow_from_own_pool(request, now)
        return datagrams

    def _borrow_from_own_pool(self, request: LoanRequest, now: int) -> None:
        """Grant this node's own loan request without a datagram, as it is the quota allocator itself."""
        grant = self._quotas.answer(now, request, self._orders.permit(now))
        if grant is not None:
            self._quotas.accept_grant(now, grant)
