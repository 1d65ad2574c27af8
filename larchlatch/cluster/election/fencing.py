"""Permits for orders of a role's holder, and the fencing check that rejects a former holder's orders."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class OrderPermit(NamedTuple):
    """Permission of a role's holder to give an order at this time.

    Attributes:
        lease: number of the holder's lease, which is the order's fencing token; 0: no order may be given.
        left_us: time for which the order is valid, in microseconds.

    """

    lease: int
    left_us: int


NO_PERMIT = OrderPermit(0, 0)


@dataclass(slots=True)
class FencingGuard:
    """Rejects orders of former holders by the highest lease number (fencing token) seen for a role."""

    highest_lease: int = 0

    def observe(self, lease: int) -> None:
        """Record that some node holds the role under this lease number."""
        self.highest_lease = max(self.highest_lease, lease)

    def accepts(self, lease: int) -> bool:
        """Return whether an order under this lease may be executed, and record the lease number if so."""
        # A holder whose process is suspended between its check of the clock and the sending of its order may
        # send the order when another node already holds the role.
        if lease < self.highest_lease:
            return False
        self.highest_lease = lease
        return True


def order_ends_at(asked_at: int, left_us: int) -> int:
    """Return the end of an order's validity, by the clock of the node that requested the order.

    Args:
        asked_at: time of the request for the order, by the requesting node's clock.
        left_us: remaining validity at the time when the holder gave the order, in microseconds.

    """
    # The holder gave the order after it was requested. So the order, counted from its request, ends before
    # another node can hold the role. This holds for any message delay and for clocks within their error
    # bounds (docs/election.md has the calculation).
    return asked_at + left_us
