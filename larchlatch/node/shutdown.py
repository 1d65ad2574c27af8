"""Drain and graceful shutdown: sessions migrate bit by bit, and attempts end before the node does."""

from __future__ import annotations

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

STOP_GRACE_S = 0.7  # what the protocol grants a node beyond the longest deadline before it is ended
STOP_MARGIN_S = 0.4  # all is over this long before that: a migrated session takes a moment to close
LINE_BOUNDARY_S = 0.4  # for a session to stop between two lines: well under the second that one may be held
ROUND_INTERVAL_S = 0.05  # between two rounds of migrations
# Waiting clients without a request are rejected so long before the last answers are due.
EARLY_REJECTION_S = 0.1
LAST_ANSWERS_S = 0.4  # for the last answers and connection ends: within EARLY_REJECTION_S and STOP_MARGIN_S

SESSIONS_RELEASED = "session_released"

log = structlog.get_logger()


class SessionDrainer:
    """Makes established sessions leave at the rate of the lifecycle state, for a drain and a stop alike."""

    def __init__(
        self, lifecycle: LifecycleState, connections: ClientConnections, counters: Counters, tasks: TaskGroup
    ) -> None:
        self._lifecycle = lifecycle
        self._connections = connections
        self._counters = counters
        self._tasks = tasks
        self._running = False

    def start(self) -> None:
        """Release sessions for as long as the lifecycle state wants it; again and again changes nothing."""
        if not self._running:
            self._running = True
            self._tasks.start_soon(self._run)

    async def _run(self) -> None:
        handed_over_at: dict[SessionRecord, float] = {}  # when the hand-over to the successor was asked for
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
        # Where packets pass through none is due: sessions go on through other nodes.
        due_count = self._lifecycle.release_sessions(now, len(established))
        for record in established[:due_count]:
            if not self._lifecycle.hands_over_sessions:
                self._counters.add(SESSIONS_RELEASED)
                record.migration_requested.set()
            elif record.request_handover is not None:
                handed_over_at[record] = now
                record.request_handover()

    def _migrate_unready(self, now: float, handed_over_at: dict[SessionRecord, float]) -> None:
        # A side that does not read keeps its session from stopping between two lines: it has to be migrated.
        overdue = [record for record, at in handed_over_at.items() if now >= at + LINE_BOUNDARY_S]
        for record in overdue:
            del handed_over_at[record]
            record.migration_requested.set()


class GracefulShutdown:
    """Ends the node once all that it has in hand is answered and the time granted is over."""

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
        # Cut off as it is, a connection whose request has just come would be reset: each gets an answer
        # first, also those that the system has accepted for this node and that it has not taken yet.
        self._connections.reject_all()
        # Where a successor goes on, what waits to be accepted is its own.
        if not self._lifecycle.hands_over_sessions:
            await self._listener.close()
        with anyio.move_on_after(LAST_ANSWERS_S):
            while self._connections.connection_count > 0:  # noqa: ASYNC110 - a count, which sets no event
                await anyio.sleep(ROUND_INTERVAL_S)
        self._tasks.cancel_scope.cancel()

    async def _finish_requests(self) -> None:
        reject_at = anyio.current_time() + self._lifecycle.stop_duration_s - EARLY_REJECTION_S
        # Until the time is up new sessions may come through a front that has not noticed, unless a successor
        # takes them; those that have connected here get their answer here.
        while self._connections.sessions.open_count > 0 or (
            anyio.current_time() < reject_at and not self._nothing_more_comes()
        ):
            if anyio.current_time() >= reject_at:
                self._connections.reject_all()
            await anyio.sleep(ROUND_INTERVAL_S)

    def _nothing_more_comes(self) -> bool:
        return self._lifecycle.hands_over_sessions and not self._connections.reader.without_line
