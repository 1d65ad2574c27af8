"""Counts the node's open file descriptors, and selects the connection to evict if none is free.

No I/O. Times are seconds of one monotonic clock, which the caller passes in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from larchlatch.node.rejection_reserve import RejectionReserve

if TYPE_CHECKING:
    from collections.abc import Callable

HEADROOM = 48  # descriptors outside the budget: event loop, log, listeners, discovery, hot restart
IDLE_DIVISOR = 3  # idle connections may use at most 1/IDLE_DIVISOR of the budget
MIN_IDLE_CONNECTIONS = 8  # idle connections that may be open even if the budget is small
MAX_PROBE_CONNECTIONS = 96  # to a few hosts of a large fleet; upstreams can accept only so many connections
PROBE_DIVISOR = 3  # connections for probes may use at most 1/PROBE_DIVISOR of the budget
MAX_FRAGMENTS = 3  # further fragments of a line do not postpone the eviction of its client any more


class IdleConnection:
    """A client's connection that has no session yet.

    Attributes:
        evict: ends the connection.
        fragments: how many fragments of an incomplete line were received, at most `MAX_FRAGMENTS`.
        last_received_at: when the client connected or last sent something, in seconds.

    """

    def __init__(self, evict: Callable[[], None], now: float) -> None:
        self.evict = evict
        self.fragments = 0
        self.last_received_at = now


class IdleProbeConnection:
    """A connection to an upstream that is kept open until the next probe.

    Attributes:
        evict: closes the connection before it returns.

    """

    def __init__(self, evict: Callable[[], None]) -> None:
        self.evict = evict


class DescriptorFigures(NamedTuple):
    """Who uses the descriptors of the budget; the names are those of fields in log rows.

    Attributes:
        descriptors_in_use: descriptors that are reserved.
        descriptors_free: descriptors that may still be reserved; negative if the budget is exceeded.
        idle_clients: connections of clients without a session, each with a reserved descriptor.
        probe_connections: connections for probes, each with a reserved descriptor.
        rejected_clients: connections of clients that are rejected for want of descriptors; they use the
            reserve, which is not part of the budget.

    """

    descriptors_in_use: int
    descriptors_free: int
    idle_clients: int
    probe_connections: int
    rejected_clients: int


class DescriptorBudget:
    """Counts the descriptors in use, and evicts a connection that does no work if none is free.

    Idle connections for probes are evicted first, as the next probe can connect again, then those of clients
    that have no session.

    Args:
        max_descriptors: how many the process may have open; `HEADROOM` of them and the reserve for rejected
            clients are not part of the budget.

    Attributes:
        capacity: descriptors that may be in use.
        free: descriptors that may still be reserved; negative after the capacity was reduced by more than
            were free.
        idle_limit: how many idle connections may be open.
        probe_connections: how many connections for probes are open.
        rejections: the reserve for clients that are rejected while no descriptor of the budget is free.

    """

    def __init__(self, max_descriptors: int) -> None:
        available = max(2, max_descriptors - HEADROOM)
        self.rejections = RejectionReserve(available)
        self.capacity = available - self.rejections.size
        self.free = self.capacity
        self.idle_limit = max(MIN_IDLE_CONNECTIONS, self.capacity // IDLE_DIVISOR)
        self.probe_connections = 0
        self._idle_probes: dict[IdleProbeConnection, None] = {}  # the least recently used first
        # One group for each number of fragments, ordered by the time when data was last received.
        self._idle_by_fragments: list[dict[IdleConnection, None]] = [{} for _ in range(MAX_FRAGMENTS + 1)]

    @property
    def in_use(self) -> int:
        """The number of descriptors that are reserved."""
        return self.capacity - self.free

    @property
    def idle_count(self) -> int:
        """The number of idle connections of clients."""
        return sum(map(len, self._idle_by_fragments))

    @property
    def scarce(self) -> bool:
        """Whether so few descriptors are free that sessions may soon need those of idle connections."""
        return self.free + len(self._idle_probes) < self.capacity // IDLE_DIVISOR

    @property
    def probe_limit(self) -> int:
        """How many connections for probes may be open."""
        return max(1, min(MAX_PROBE_CONNECTIONS, self.capacity // PROBE_DIVISOR))

    def reserve(self, now: float) -> bool:
        """Reserve a descriptor, if necessary by evicting an idle connection; return False if that fails."""
        if self.free <= 0 and not self.evict_idle_probe() and not self.evict_idle(now):
            return False
        self.free -= 1
        return True

    def reserve_for_probe(self) -> bool:
        """Reserve a descriptor for a connection for probes; return False if that fails.

        If none is free, or the limit is reached, only an idle connection for probes is evicted.
        """
        if self.free <= 0 or self.probe_connections >= self.probe_limit:
            self.evict_idle_probe()
        if self.free <= 0 or self.probe_connections >= self.probe_limit:
            return False
        self.free -= 1
        self.probe_connections += 1
        return True

    def release_probe(self) -> None:
        """Release the descriptor of a connection for probes that is closed."""
        self.probe_connections -= 1
        self.release()

    def release(self) -> None:
        """Release one reserved descriptor."""
        self.free += 1

    def take_over(self, count: int) -> None:
        """Count descriptors as reserved that came with connections of another process."""
        self.free -= count

    def reduce_capacity(self, count: int) -> None:
        """Remove descriptors from the budget, for example for the successor; a negative count adds them."""
        self.capacity -= count
        self.free -= count

    def add_idle_probe(self, connection: IdleProbeConnection) -> None:
        """Add a connection for probes that may be evicted until it is removed again."""
        self._idle_probes[connection] = None

    def remove_idle_probe(self, connection: IdleProbeConnection) -> None:
        """Remove a connection for probes that is used again or was closed; no effect if it was evicted."""
        self._idle_probes.pop(connection, None)

    def evict_idle_probe(self) -> bool:
        """Evict the least recently used idle connection for probes; return False if there is none.

        Its descriptor is released before this returns.
        """
        connection = next(iter(self._idle_probes), None)
        if connection is None:
            return False
        self.remove_idle_probe(connection)
        connection.evict()
        return True

    def evict_all_idle_probes(self) -> None:
        """Evict all idle connections for probes, because another process needs their descriptors."""
        while self.evict_idle_probe():
            pass

    def figures(self) -> DescriptorFigures:
        """Return who uses the descriptors now."""
        return DescriptorFigures(
            self.in_use, self.free, self.idle_count, self.probe_connections, self.rejections.in_use
        )

    def add_idle(self, connection: IdleConnection, now: float) -> None:
        """Add a connection that may be evicted until it is removed again."""
        # Without the limit, many clients that send nothing would leave no descriptor for others. A client
        # that sends its line at once is never evicted.
        if self.idle_count >= self.idle_limit:
            self.evict_idle(now)
        self._idle_by_fragments[0][connection] = None

    def record_received(
        self, connection: IdleConnection, now: float, *, is_complete_line: bool = False
    ) -> None:
        """Record that a fragment of a line, or a complete line that opens no session, was received."""
        if self.remove_idle(connection):
            connection.fragments = 0 if is_complete_line else min(MAX_FRAGMENTS, connection.fragments + 1)
            connection.last_received_at = now
            self._idle_by_fragments[connection.fragments][connection] = None

    def remove_idle(self, connection: IdleConnection) -> bool:
        """Remove a connection that opens a session or has ended; return False if it was evicted before."""
        group = self._idle_by_fragments[connection.fragments]
        was_idle = connection in group
        group.pop(connection, None)
        return was_idle

    def evict_idle(self, now: float) -> bool:
        """Evict the connection with the longest weighted silence; return False if no connection is idle.

        Its descriptor is released later, once the connection's task has closed it.
        """
        candidates = [next(iter(group)) for group in self._idle_by_fragments if group]
        if not candidates:
            return False

        # A slow client that still works keeps sending, so each fragment received halves its weighted silence.
        def weighted_silence(connection: IdleConnection) -> float:
            silence_s = now - connection.last_received_at
            return silence_s / (1 << connection.fragments)

        longest_silent = max(candidates, key=weighted_silence)
        self.remove_idle(longest_silent)
        longest_silent.evict()
        return True
