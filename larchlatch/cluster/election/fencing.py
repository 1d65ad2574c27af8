"""Permits for the orders of a role's holder, and the check against orders of a former holder."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class OrderPermit(NamedTuple):
    """Permission to give an order now.

    Attributes:
        lease: number of the lease, which is the order's fencing token; 0: no order may be given.
        left_us: time for which the order is valid, in microseconds.

    """

    lease: int
    left_us: int


NO_PERMIT = OrderPermit(0, 0)


@dataclass(slots=True)
class FencingGuard:
    """The highest fencing token (number of a lease) that a receiver of orders has seen for a role."""

    highest_lease: int = 0

    def observe(self, lease: int) -> None:
        """Record that a lease of this number is held."""
        self.highest_lease = max(self.highest_lease, lease)

    def accepts(self, lease: int) -> bool:
        """Return whether an order under this lease may be executed, and record the lease's number."""
        # A holder that is stopped between its check of the clock and its order may send the order when
        # another node holds the role already.
        if lease < self.highest_lease:
            return False
        self.highest_lease = lease
        return True


def order_ends_at(asked_at: int, left_us: int) -> int:
    """Return the end of an order's validity, by the clock of the node that asked for it.

    Args:
        asked_at: when the order was asked for, by that clock.
        left_us: remaining validity when the order was given, in microseconds.

    """
    # The order was given after it was asked for. So it ends before another node can hold the role, whatever
    # the delays and clock errors are (calculation in docs/election.md).
    return asked_at + left_us
