"""Permission to give the orders of one role, and the check of orders that are received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.counters import ClusterCounter
from larchlatch.cluster.exchange.results import ExecutedOrder

if TYPE_CHECKING:
    from larchlatch.cluster.election.fencing import OrderPermit
    from larchlatch.cluster.exchange.context import ExchangeContext


class RoleOrders:
    """The orders of one role, as this node gives and receives them.

    An order is a grant that the holder of the role sends, with its lease as the fencing token.
    """

    def __init__(self, role: str, context: ExchangeContext) -> None:
        self._role = role
        self._election = context.state.election
        self._count = context.count

    def permit(self, now: int) -> OrderPermit:
        """Return the lease under which this node may give an order now; lease 0: it may give none."""
        return self._election.order_permit(now, self._role)

    def holder_name(self) -> str:
        """Return the name of the role's holder; empty where no holder is known."""
        holder = self._election.holder(self._role)
        return holder.name if holder is not None else ""

    def accepts(self, lease: int) -> bool:
        """Return whether an order under this lease may be executed; count one that is outdated."""
        accepted = self._election.accepts_order(self._role, lease)
        if not accepted:
            self._count(ClusterCounter.ORDERS_OUTDATED)
        return accepted

    def executed(self, *, lease: int, holder: str) -> ExecutedOrder:
        """Return the entry for the log of an order that was executed here."""
        return ExecutedOrder(self._role, lease, holder)
