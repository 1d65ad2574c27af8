"""Descriptors that are kept free so that clients can be rejected while all others are in use. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_RESERVE = 16  # clients that are answered at the same time; each takes a short time
RESERVE_DIVISOR = 8  # the reserve is at most 1/RESERVE_DIVISOR of the descriptors of a node with few


class WaitingClient:
    """A client whose connection uses a descriptor of the reserve, and whose request is not complete yet.

    Attributes:
        evict: answers the client and ends its connection.

    """

    def __init__(self, evict: Callable[[], None]) -> None:
        self.evict = evict


class RejectionReserve:
    """Counts the descriptors of clients that are rejected because the node has none for their sessions.

    Attributes:
        size: how many clients can be rejected at the same time.
        in_use: how many descriptors of the reserve are in use.

    """

    def __init__(self, available: int) -> None:
        """Set a part of the available descriptors aside: at least one, unless there are only two."""
        self.size = min(MAX_RESERVE, max(1, available // RESERVE_DIVISOR), max(0, available - 2))
        self.in_use = 0
        self._waiting: dict[WaitingClient, None] = {}  # the one that waits longest first

    def take(self) -> bool:
        """Take a descriptor for one more client.

        Returns:
            False if all are in use. Then the client that has waited longest for its request to be complete is
            evicted, whose descriptor is released once its connection is closed.

        """
        if self.in_use < self.size:
            self.in_use += 1
            return True
        longest_waiting = next(iter(self._waiting), None)
        if longest_waiting is not None:
            self.remove_waiting(longest_waiting)
            longest_waiting.evict()
        return False

    def release(self) -> None:
        """Release a descriptor, as the connection that used it is closed."""
        self.in_use -= 1

    def add_waiting(self, client: WaitingClient) -> None:
        """Add a client that may be evicted until it is removed again."""
        self._waiting[client] = None

    def remove_waiting(self, client: WaitingClient) -> None:
        """Remove a client; no effect if it was evicted."""
        self._waiting.pop(client, None)

    def evict_all(self) -> None:
        """Evict all clients whose requests are not complete."""
        for client in list(self._waiting):
            self.remove_waiting(client)
            client.evict()
