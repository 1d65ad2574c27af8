"""The file descriptors that the node may hold, and which idle connection is evicted when they run short.

It decides only, without I/O. Times are seconds of one monotonic clock, passed in by the caller.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Descriptors kept out of the budget: for the event loop, the log, the listener, discovery, and probes of a
# fleet of the first size.
HEADROOM = 48
IDLE_DIVISOR = 3  # idle connections may hold one part in so many; sessions and upstreams have the others
MIN_IDLE_CONNECTIONS = 8  # may be held however few descriptors there are
MAX_FRAGMENTS = 3  # fragments of a line after which a further one no longer protects its client


class IdleConnection:
    """A client's connection that holds a descriptor and has no session yet.

    Attributes:
        evict: ends the connection.
        fragments: the fragments received of a line that is not complete, `MAX_FRAGMENTS` at most.
        last_received_at: when it connected or last sent something, in seconds.

    """

    def __init__(self, evict: Callable[[], None], now: float) -> None:
        self.evict = evict
        self.fragments = 0
        self.last_received_at = now


class DescriptorBudget:
    """Counts descriptors in use and evicts idle connections where none is free.

    Args:
        max_descriptors: what the process may hold in all; `HEADROOM` of these stay out of the budget.

    Attributes:
        capacity: descriptors that may be in use.
        free: descriptors that may still be reserved; negative after more were lent than were free.
        idle_limit: idle connections that may be held.

    """

    def __init__(self, max_descriptors: int) -> None:
        self.capacity = max(2, max_descriptors - HEADROOM)
        self.free = self.capacity
        self.idle_limit = max(MIN_IDLE_CONNECTIONS, self.capacity // IDLE_DIVISOR)
        # By number of fragments; each in the order in which they last sent something.
        self._idle_by_fragments: list[dict[IdleConnection, None]] = [{} for _ in range(MAX_FRAGMENTS + 1)]

    @property
    def in_use(self) -> int:
        """The number of descriptors that are reserved."""
        return self.capacity - self.free

    @property
    def scarce(self) -> bool:
        """Whether sessions may soon need the descriptors that idle connections hold."""
        return self.free < self.capacity // IDLE_DIVISOR

    def reserve(self, now: float) -> bool:
        """Reserve one descriptor, if need be by evicting an idle connection; False where none is left."""
        if self.free <= 0 and not self.evict_idle(now):
            return False
        self.free -= 1
        return True

    def release(self) -> None:
        """Give one reserved descriptor back."""
        self.free += 1

    def lend(self, count: int) -> None:
        """Move capacity to another process of this node; a negative count moves it back."""
        self.capacity -= count
        self.free -= count

    def add_idle(self, connection: IdleConnection, now: float) -> None:
        """Add a connection that may be evicted until it is removed again."""
        # A crowd that sends nothing would otherwise shut out sound clients. A client that sends its line at
        # once is never evicted.
        if sum(map(len, self._idle_by_fragments)) >= self.idle_limit:
            self.evict_idle(now)
        self._idle_by_fragments[0][connection] = None

    def record_received(
        self, connection: IdleConnection, now: float, *, is_complete_line: bool = False
    ) -> None:
        """Note that a connection has sent a fragment of a line, or a complete line that opens no session."""
        if self.remove_idle(connection):
            connection.fragments = 0 if is_complete_line else min(MAX_FRAGMENTS, connection.fragments + 1)
            connection.last_received_at = now
            self._idle_by_fragments[connection.fragments][connection] = None

    def remove_idle(self, connection: IdleConnection) -> bool:
        """Remove a connection that opens a session or has ended; False where it was evicted before."""
        group = self._idle_by_fragments[connection.fragments]
        was_idle = connection in group
        group.pop(connection, None)
        return was_idle

    def evict_idle(self, now: float) -> bool:
        """Evict the connection that has been silent for longest; False where there is none.

        Its descriptor is released a moment later, when its task has closed it.
        """
        candidates = [next(iter(group)) for group in self._idle_by_fragments if group]
        if not candidates:
            return False

        # A sound client may be slow, but goes on: each fragment of its line halves its silence.
        def weighted_silence(connection: IdleConnection) -> float:
            silence_s = now - connection.last_received_at
            return silence_s / (1 << connection.fragments)

        longest_silent = max(candidates, key=weighted_silence)
        self.remove_idle(longest_silent)
        longest_silent.evict()
        return True
