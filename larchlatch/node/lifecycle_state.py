"""Records whether a node is ready, draining or stopping, and computes how fast its sessions leave. No I/O.

All times are in seconds of the event loop's clock, and callers pass the present time in.
"""

from __future__ import annotations

DRAIN_S = 4.0  # from the start of a drain until all sessions established before it have left
DISCONNECT_S = 1.0  # the last part of DRAIN_S, to disconnect clients that do not read
HANDOVER_S = 1.5  # from the start of a stop until all established sessions are handed to the successor


class LifecycleState:
    """The lifecycle state of a node, which PING, the admin API, graceful shutdown and hot restart share.

    It alone sets the rate at which established sessions leave, for a drain and for a stop. If each had
    its own rate, sessions would be migrated twice as fast while both last.

    Attributes:
        stop_duration_s: time from the start of the stop until all sessions have to have left.
        sessions_outlive_node: established sessions need not leave, as packets pass through the node and other
            nodes can continue to forward them.
        serves: whether this process accepts clients, or is about to take them over from its predecessor.
        ready: whether the node can serve.
        drain_started_at: when the current drain started; None if there is none.
        stop_started_at: when the stop started; None before the stop.
        rejects_all: whether each new client is rejected at once, because the stop is nearly over.
        successor_serves: whether a successor accepts new clients in place of this process.

    """

    def __init__(self, stop_duration_s: float, *, sessions_outlive_node: bool) -> None:
        self.stop_duration_s = stop_duration_s
        self.sessions_outlive_node = sessions_outlive_node
        self.serves = False
        self.ready = False
        self.drain_started_at: float | None = None
        self.stop_started_at: float | None = None
        self.rejects_all = False
        self.successor_serves = False
        self._last_released_at = 0.0  # when sessions were last released
        self._fraction_due = 0.0  # fraction of a session that is due, carried over to the next call

    @property
    def draining(self) -> bool:
        """Whether the node is draining."""
        return self.drain_started_at is not None

    @property
    def stopping(self) -> bool:
        """Whether the stop has started."""
        return self.stop_started_at is not None

    @property
    def accepts_clients(self) -> bool:
        """Whether a front may send clients here, which the answer to PING tells it."""
        return self.ready and not self.draining

    @property
    def releasing_sessions(self) -> bool:
        """Whether established sessions have to leave."""
        return self.draining or self.stopping

    @property
    def hands_over_sessions(self) -> bool:
        """Whether sessions that leave are handed over to the successor instead of being migrated."""
        return self.successor_serves and self.stopping

    def start_drain(self, now: float) -> None:
        """Start a drain; calls during a drain change nothing, so that they do not extend its deadline."""
        if self.drain_started_at is None:
            self._begin_release(now)
            self.drain_started_at = now

    def end_drain(self) -> None:
        """End the drain: clients are accepted again."""
        self.drain_started_at = None

    def start_stop(self, now: float) -> None:
        """Start the stop of the node; further calls change nothing."""
        if self.stop_started_at is None:
            self._begin_release(now)
            self.stop_started_at = now

    def time_left_s(self, now: float) -> float | None:
        """Return how many seconds sessions may still be open here; None if the node is not stopping."""
        return None if self.stop_started_at is None else self.stop_started_at + self.stop_duration_s - now

    def release_deadline(self) -> float | None:
        """Return when the last established session has to have left; None if no session has to leave."""
        deadlines = []
        if self.drain_started_at is not None:
            deadlines.append(self.drain_started_at + DRAIN_S - DISCONNECT_S)
        if self.stop_started_at is not None:
            deadlines.append(self.stop_started_at + self.stop_duration_s)
        if self.hands_over_sessions and self.stop_started_at is not None:
            # Sessions are handed over even during a drain, which the successor continues.
            return min([*deadlines, self.stop_started_at + HANDOVER_S])
        return min(deadlines) if deadlines and not self.sessions_outlive_node else None

    def release_sessions(self, now: float, established_count: int) -> int:
        """Return how many of the established sessions have to leave now; the caller makes them leave."""
        deadline = self.release_deadline()
        if deadline is None:
            return 0
        # Sessions leave at an even rate, as all at once would overload the other nodes. The count follows the
        # time since the last call, so that a lagging event loop does not keep all of them until the deadline.
        elapsed_s, self._last_released_at = now - self._last_released_at, now
        if now >= deadline:
            return established_count
        self._fraction_due += established_count * elapsed_s / (elapsed_s + deadline - now)
        due_count = int(self._fraction_due)
        self._fraction_due -= due_count
        return min(due_count, established_count)

    def _begin_release(self, now: float) -> None:
        if not self.releasing_sessions:
            self._last_released_at, self._fraction_due = now, 0.0
