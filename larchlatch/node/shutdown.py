"""Drain and graceful shutdown: sessions leave gradually, and requests are answered before the node ends."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
import structlog

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from larchlatch.node.client_listener import ClientListener
    from larchlatch.node.clients.connections import ClientConnections
    from larchlatch.node.lifecycle_state import LifecycleState
    from larchlatch.node.metrics import Counters
    from larchlatch.node.session_record import SessionRecord

STOP_GRACE_S = 0.7  # after the longest deadline: then the protocol allows that the process is killed
STOP_MARGIN_S = 0.4  # sessions have left so long before the end of the grace, to allow for closing them
EARLY_REJECTION_S = 0.1  # waiting clients without a request are rejected so long before sessions have left
LAST_ANSWERS_S = 0.4  # for the last answers; shorter than EARLY_REJECTION_S and STOP_MARGIN_S together
LINE_BOUNDARY_S = 0.4  # for a session to stop between two lines; a session may be paused for 1 s
ROUND_INTERVAL_S = 0.05  # between two rounds of releasing sessions

log = structlog.get_logger()


class DrainCounter(StrEnum):
    """Names of the counters of draining."""

    SESSION_RELEASED = "session_released"


class SessionDrainer:
    """Makes established sessions leave at the rate that the lifecycle state sets, for a drain or a stop."""

    def __init__(
        self, lifecycle: LifecycleState, connections: ClientConnections, counters: Counters, tasks: TaskGroup
    ) -> None:
        self._lifecycle = lifecycle
        self._connections = connections
        self._counters = counters
        self._tasks = tasks
        self._running = False

    def start(self) -> None:
        """Release sessions while the lifecycle state requires it; calls while this runs change nothing."""
        if not self._running:
            self._running = True
            self._tasks.start_soon(self._run)

    async def _run(self) -> None:
        handed_over_at: dict[SessionRecord, float] = {}  # when its hand-over was requested
        while self._lifecycle.releasing_sessions:
            now = anyio.current_time()
            self._release_due(now, handed_over_at)
            self._migrate_unready(now, handed_over_at)
            await anyio.sleep(ROUND_INTERVAL_S)
        self._running = False

    def _release_due(self, now: float, handed_over_at: dict[SessionRecord, float]) -> None:
        established = [
            record
            for record in self._connections.sessions.established.values()
            if not record.migration_requested.is_set() and record not in handed_over_at
        ]
        # None is due where packets pass through, as sessions continue through other nodes.
        due_count = self._lifecycle.release_sessions(now, len(established))
        for record in established[:due_count]:
            if not self._lifecycle.hands_over_sessions:
                self._counters.add(DrainCounter.SESSION_RELEASED)
                record.migration_requested.set()
            elif record.request_handover is not None:
                handed_over_at[record] = now
                record.request_handover()

    def _migrate_unready(self, now: float, handed_over_at: dict[SessionRecord, float]) -> None:
        # A session does not stop between two lines while one side does not read: then it is migrated.
        overdue = [record for record, at in handed_over_at.items() if now >= at + LINE_BOUNDARY_S]
        for record in overdue:
            del handed_over_at[record]
            record.migration_requested.set()


class GracefulShutdown:
    """Ends the node once all requests are answered and the time for the stop is over."""

    def __init__(
        self,
        lifecycle: LifecycleState,
        connections: ClientConnections,
        drainer: SessionDrainer,
        listener: ClientListener,
        tasks: TaskGroup,
    ) -> None:
        self._lifecycle = lifecycle
        self._connections = connections
        self._drainer = drainer
        self._listener = listener
        self._tasks = tasks

    async def run(self) -> None:
        """Release the sessions, answer all clients, close the listener, and cancel the node's tasks."""
        log.info("stopping", sessions=len(self._connections.sessions.established))
        self._drainer.start()
        await self._finish_requests()
        # A connection closed over an unread request would be reset, so each is answered first, also those in
        # the backlog.
        self._connections.reject_all()
        # The successor accepts the connections in the backlog.
        if not self._lifecycle.hands_over_sessions:
            await self._listener.close()
        with anyio.move_on_after(LAST_ANSWERS_S):
            while self._connections.connection_count > 0:  # noqa: ASYNC110 - a count has no event
                await anyio.sleep(ROUND_INTERVAL_S)
        self._tasks.cancel_scope.cancel()

    async def _finish_requests(self) -> None:
        reject_at = anyio.current_time() + self._lifecycle.stop_duration_s - EARLY_REJECTION_S
        # Until then a front that has not noticed the stop may send new sessions, unless the successor accepts
        # them. Clients that have connected here get their answer here.
        while self._connections.sessions.open_count > 0 or (
            anyio.current_time() < reject_at and not self._all_requests_received()
        ):
            if anyio.current_time() >= reject_at:
                self._connections.reject_all()
            await anyio.sleep(ROUND_INTERVAL_S)

    def _all_requests_received(self) -> bool:
        """Return whether the successor accepts new clients, and each client here has sent its request."""
        return self._lifecycle.hands_over_sessions and not self._connections.reader.without_line
