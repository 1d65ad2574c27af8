"""Orders that a role's holder gives, and how a receiver guards against those of a former holder."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class OrderPermit(NamedTuple):
    """By which lease this node may give an order now.

    Attributes:
        lease: number of the lease, the order's fencing token; 0: no order may be given.
        left_us: for how many microseconds the order is valid.

    """

    lease: int
    left_us: int


NO_PERMIT = OrderPermit(0, 0)


@dataclass(slots=True)
class FencingGuard:
    """A receiver's memory of the highest fencing token (the lease's number) that it has seen for a role."""

    highest_lease: int = 0

    def observe(self, lease: int) -> None:
        """Note that a lease of this number is held."""
        self.highest_lease = max(self.highest_lease, lease)

    def accepts(self, lease: int) -> bool:
        """Return whether an order by this lease may be carried out, and remember its number."""
        # A holder that was stopped between its look at the clock and its act sends an order when another node
        # may hold the role already.
        if lease < self.highest_lease:
            return False
        self.highest_lease = lease
        return True


def order_ends_at(asked_at: int, left_us: int) -> int:
    """Return until when an order is valid, by the clock of the node that asked for it.

    Args:
        asked_at: when the order was asked for, by that clock.
        left_us: for how many microseconds it was valid when it was given.

    """
    # The order was given after it was asked for: it ends before another node can hold the role, however long
    # it was under way, and however far the clocks are off (docs/duties.md has the calculation).
    return asked_at + left_us
