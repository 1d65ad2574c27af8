"""Whether the node is ready, draining or stopping, and how fast its sessions leave. No I/O.

All times are seconds of the event loop's clock, which the caller passes in.
"""

from __future__ import annotations

DRAIN_S = 4.0  # from the start of a drain until the last session that was established before has left
DISCONNECT_S = 1.0  # the last part of DRAIN_S, for clients that do not read
HANDOVER_S = 1.5  # from the start of a stop until the successor has all established sessions


class LifecycleState:
    """The one state that PING, the admin API, graceful shutdown and a hot restart ask and change.

    It alone sets the rate at which established sessions leave, for a drain and a stop alike. With two rates
    at the same time, sessions would be migrated twice as fast.

    Attributes:
        stop_duration_s: time from the start of the stop until all sessions have left.
        sessions_outlive_node: packets pass through, so an established session need not leave.
        ready: the node can serve.
        drain_started_at: when the present drain started; None if there is none.
        stop_started_at: when the stop started; None before it.
        rejects_all: the stop is nearly over: each new client is rejected at once.
        successor_serves: the successor accepts new clients.

    """

    def __init__(self, stop_duration_s: float, *, sessions_outlive_node: bool) -> None:
        self.stop_duration_s = stop_duration_s
        self.sessions_outlive_node = sessions_outlive_node
        self.ready = False
        self.drain_started_at: float | None = None
        self.stop_started_at: float | None = None
        self.rejects_all = False
        self.successor_serves = False
        self._last_released_at = 0.0  # when sessions were last released
        self._fraction_due = 0.0  # the part of one session that is due to leave

    @property
    def draining(self) -> bool:
        """Whether the node drains."""
        return self.drain_started_at is not None

    @property
    def stopping(self) -> bool:
        """Whether the stop has started."""
        return self.stop_started_at is not None

    @property
    def accepts_clients(self) -> bool:
        """Whether a front may send clients here: the answer to PING."""
        return self.ready and not self.draining

    @property
    def releasing_sessions(self) -> bool:
        """Whether established sessions are to leave."""
        return self.draining or self.stopping

    @property
    def hands_over_sessions(self) -> bool:
        """Whether the sessions that leave are handed over to the successor."""
        return self.successor_serves and self.stopping

    def start_drain(self, now: float) -> None:
        """Start a drain. While it lasts, further calls change nothing, as its time counts from the first."""
        if self.drain_started_at is None:
            self._begin_release(now)
            self.drain_started_at = now

    def end_drain(self) -> None:
        """End the drain: clients are accepted again."""
        self.drain_started_at = None

    def start_stop(self, now: float) -> None:
        """Start the stop; further calls change nothing."""
        if self.stop_started_at is None:
            self._begin_release(now)
            self.stop_started_at = now

    def time_left_s(self, now: float) -> float | None:
        """Return for how long sessions may still be open here, in seconds; None if the node does not stop."""
        return None if self.stop_started_at is None else self.stop_started_at + self.stop_duration_s - now

    def release_deadline(self) -> float | None:
        """Return when the last session has to have left; None if none has to leave."""
        deadlines = []
        if self.drain_started_at is not None:
            deadlines.append(self.drain_started_at + DRAIN_S - DISCONNECT_S)
        if self.stop_started_at is not None:
            deadlines.append(self.stop_started_at + self.stop_duration_s)
        if self.hands_over_sessions and self.stop_started_at is not None:
            # A drain is continued by the successor.
            return min([*deadlines, self.stop_started_at + HANDOVER_S])
        return min(deadlines) if deadlines and not self.sessions_outlive_node else None

    def release_sessions(self, now: float, established_count: int) -> int:
        """Return how many of the established sessions have to leave now."""
        deadline = self.release_deadline()
        if deadline is None:
            return 0
        # Sessions leave evenly, as all at once would overload the other nodes. The rate follows the time that
        # has passed, so that a lagging event loop does not keep all of them until the deadline.
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
