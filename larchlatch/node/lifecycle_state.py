"""Whether the node is ready, draining or stopping, and how fast its sessions leave: without I/O.

All times are seconds of the event loop's clock, and are passed in.
"""

from __future__ import annotations

DRAIN_S = 4.0  # after so long no client's connection may be held that was not told to move
DISCONNECT_S = 1.0  # part of DRAIN_S for a client that does not read, an event loop that lags included
HANDOVER_S = 1.5  # established sessions are handed to the successor within this: each costs both some work


class LifecycleState:
    """The one state that PING, the admin API, graceful shutdown and a hot restart ask and change.

    It alone sets the rate at which established sessions leave, for a drain and a stop alike: with two rates
    at once sessions would be migrated twice as fast, and neither would know of the other's end.

    Attributes:
        stop_duration_s: all sessions are to have left so long after the stop began.
        sessions_outlive_node: packets pass through, so an established session need not leave.
        ready: the node can serve.
        drain_started_at: when the drain that is on began; None where there is none.
        stop_started_at: when the stop began; None before it.
        rejects_all: the end is near: each client that still comes is rejected at once.
        successor_serves: another process of this node takes what is new.

    """

    def __init__(self, stop_duration_s: float, *, sessions_outlive_node: bool) -> None:
        self.stop_duration_s = stop_duration_s
        self.sessions_outlive_node = sessions_outlive_node
        self.ready = False
        self.drain_started_at: float | None = None
        self.stop_started_at: float | None = None
        self.rejects_all = False
        self.successor_serves = False
        self._last_released_at = 0.0  # when sessions were last asked to leave
        self._fraction_due = 0.0  # the part of one session that is due by now

    @property
    def draining(self) -> bool:
        """Whether a drain is on."""
        return self.drain_started_at is not None

    @property
    def stopping(self) -> bool:
        """Whether the stop has begun."""
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
        """Whether the sessions that leave go to the successor, which goes on with them."""
        return self.successor_serves and self.stopping

    def start_drain(self, now: float) -> None:
        """Begin a drain; of several calls the first counts, as the sessions' time runs from there."""
        if self.drain_started_at is None:
            self._begin_release(now)
            self.drain_started_at = now

    def end_drain(self) -> None:
        """Take clients again."""
        self.drain_started_at = None

    def start_stop(self, now: float) -> None:
        """Begin the stop; only the first call counts."""
        if self.stop_started_at is None:
            self._begin_release(now)
            self.stop_started_at = now

    def time_left_s(self, now: float) -> float | None:
        """Return for how long sessions may still be in hand; None where no end is in sight."""
        return None if self.stop_started_at is None else self.stop_started_at + self.stop_duration_s - now

    def release_deadline(self) -> float | None:
        """Return when the last session is to have left; None where none has to."""
        deadlines = []
        if self.drain_started_at is not None:
            deadlines.append(self.drain_started_at + DRAIN_S - DISCONNECT_S)
        if self.stop_started_at is not None:
            deadlines.append(self.stop_started_at + self.stop_duration_s)
        if self.hands_over_sessions and self.stop_started_at is not None:
            # The successor goes on with a drain.
            return min([*deadlines, self.stop_started_at + HANDOVER_S])
        return min(deadlines) if deadlines and not self.sessions_outlive_node else None

    def release_sessions(self, now: float, established_count: int) -> int:
        """Return how many of the established sessions are to leave now."""
        deadline = self.release_deadline()
        if deadline is None:
            return 0
        # All at once they would come back as one crowd at the other nodes: spread evenly, by the time that
        # has really passed, or an event loop that lags would hold them all until the end.
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
