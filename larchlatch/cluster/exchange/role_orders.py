"""Decides whether this node may give the orders of one role, and checks the orders that it receives."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.counters import ClusterCounter
from larchlatch.cluster.exchange.results import ExecutedOrder

if TYPE_CHECKING:
    from larchlatch.cluster.election.fencing import OrderPermit
    from larchlatch.cluster.exchange.context import ExchangeContext


class RoleOrders:
    """Gives and checks the orders of one role.

    An order is a grant that the holder of the role sends, with the holder's lease as the fencing token.
    """

    def __init__(self, role: str, context: ExchangeContext) -> None:
        self._role = role
        self._election = context.state.election
        self._count = context.count

    def permit(self, now: int) -> OrderPermit:
        """Return the lease under which this node may give orders now; lease 0 means that it may give none."""
        return self._election.order_permit(now, self._role)

    def holder_name(self) -> str:
        """Return the name of the role's holder; empty if no holder is known."""
        holder = self._election.holder(self._role)
        return holder.name if holder is not None else ""

    def accepts(self, lease: int) -> bool:
        """Return whether an order under this lease may be executed; count the order if it is outdated."""
        accepted = self._election.accepts_order(self._role, lease)
        if not accepted:
            self._count(ClusterCounter.ORDERS_OUTDATED)
        return accepted

    def executed_order(self, *, lease: int, holder: str) -> ExecutedOrder:
        """Return the description of an order that this node has executed, for its log."""
        return ExecutedOrder(self._role, lease, holder)
