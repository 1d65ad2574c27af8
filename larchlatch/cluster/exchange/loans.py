"""Requests and grants of quota loans, as they go between nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster import counters
from larchlatch.cluster.election.electorate import QUOTA_ALLOCATOR
from larchlatch.cluster.exchange.results import ExecutedOrder, OutgoingDatagram

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from larchlatch.cluster.exchange.results import ExchangeResult
    from larchlatch.cluster.exchange.state import SharedState
    from larchlatch.cluster.membership.membership import Membership
    from larchlatch.cluster.protocol.messages import DirectMessage, LoanGrant, LoanRequest, NodeRecord


class LoanExchange:
    """Borrow from other nodes and lend to them."""

    def __init__(
        self,
        membership: Membership,
        state: SharedState,
        pack: Callable[[DirectMessage], OutgoingDatagram],
        count: Callable[[str], None],
    ) -> None:
        self._membership = membership
        self._quotas = state.quotas
        self._election = state.election
        self._pack = pack
        self._count = count

    def handle_request(self, request: LoanRequest, now: int, result: ExchangeResult) -> None:
        """Lend to another node what can be spared; a request that nothing is lent upon gets no answer."""
        grant = self._quotas.answer(now, request, self._election.order_permit(now, QUOTA_ALLOCATOR))
        if grant is None:
            self._count(counters.LOANS_DECLINED)
            return
        self._count(counters.LOANS_GRANTED)
        result.datagrams.append(self._pack(grant))

    def handle_grant(self, grant: LoanGrant, now: int, result: ExchangeResult) -> None:
        """Take up a loan; where a quota allocator lends, it is an order that needs a valid fencing token."""
        if grant.lease and not self._election.accepts_order(QUOTA_ALLOCATOR, grant.lease):
            self._count(counters.ORDERS_OUTDATED)
            return
        usable = self._quotas.accept_grant(now, grant)
        self._count(counters.LOANS_RECEIVED if usable else counters.LOANS_TOO_LATE)
        if usable and grant.lease:
            result.orders.append(ExecutedOrder(QUOTA_ALLOCATOR, grant.lease, grant.sender))

    def update_allocator(self, now: int) -> None:
        """Tell the quotas who allocates them, and by which lease where it is this node."""
        holder = self._election.holder(QUOTA_ALLOCATOR)
        lease, _ = self._election.order_permit(now, QUOTA_ALLOCATOR)
        self._quotas.note_allocator(now, holder.name if holder is not None else "", lease)

    def heartbeat(self, now: int, *, wall: int, present: Mapping[str, NodeRecord]) -> list[OutgoingDatagram]:
        """Return the requests that fall due with a heartbeat.

        Args:
            now: monotonic time in microseconds.
            wall: Unix time in microseconds.
            present: the newest record of each member that is present.

        """
        if self._membership.is_departing or not self._quotas.wants_loans(now):
            return []
        digest = self._quotas.settings.digest
        spare = {
            name: [report.spare for report in record.quota_reports]
            for name, record in present.items()
            if record.config_digest == digest
        }
        requests = self._quotas.loan_requests(now, wall, self._membership.incarnation, spare)
        own_name = self._membership.own_name
        datagrams = [self._pack(request) for request in requests if request.recipient != own_name]
        for request in requests:
            if request.recipient == own_name:
                self._borrow_from_itself(request, now)
        return datagrams

    def _borrow_from_itself(self, request: LoanRequest, now: int) -> None:
        """Answer a request of this node's own: it allocates the quotas itself."""
        grant = self._quotas.answer(now, request, self._election.order_permit(now, QUOTA_ALLOCATOR))
        if grant is not None:
            self._quotas.accept_grant(now, grant)
