"""Drain and graceful shutdown: sessions leave gradually, and the node answers all requests before it ends."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
import structlog

from larchlatch.node.fault_barrier import FaultBarrier

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from larchlatch.node.client_listener import ClientListener
    from larchlatch.node.clients.connections import ClientConnections
    from larchlatch.node.lifecycle_state import LifecycleState
    from larchlatch.node.metrics import Counters
    from larchlatch.node.session_record import SessionRecord

STOP_GRACE_S = 0.7  # from the longest deadline until the protocol allows the process to be killed
STOP_MARGIN_S = 0.4  # before the end of the grace, for closing sessions: by then all must have left
EARLY_REJECTION_S = 0.1  # before sessions must have left, clients that have sent no request are rejected
LAST_ANSWERS_TIMEOUT_S = 0.4  # to send the last answers; below the sum of EARLY_REJECTION_S and STOP_MARGIN_S
LINE_BOUNDARY_TIMEOUT_S = 0.4  # for a session to stop between two lines; a session may pause for at most 1 s
ROUND_INTERVAL_S = 0.05  # between two rounds of releasing sessions or checking whether they have ended

log = structlog.get_logger()


class DrainCounter(StrEnum):
    """Names of the counters of drain and graceful shutdown."""

    SESSION_RELEASED = "session_released"
    ROUND_FAILED = "drain_round_failed"


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
        """Release sessions in a task while the lifecycle state requires it; has no effect while that runs."""
        if not self._running:
            self._running = True
            self._tasks.start_soon(self._run)

    async def _run(self) -> None:
        handover_requested_at: dict[SessionRecord, float] = {}
        while self._lifecycle.releasing_sessions:
            now = anyio.current_time()
            with FaultBarrier(self._counters, counter=DrainCounter.ROUND_FAILED, event="drain_round_failed"):
                self._release_due(now, handover_requested_at)
                self._migrate_overdue(now, handover_requested_at)
            await anyio.sleep(ROUND_INTERVAL_S)
        self._running = False

    def _release_due(self, now: float, handover_requested_at: dict[SessionRecord, float]) -> None:
        established = [
            record
            for record in self._connections.sessions.established.values()
            if not record.migration_requested.is_set() and record not in handover_requested_at
        ]
        # No session is due where packets pass through, as other nodes continue to forward its packets.
        due_count = self._lifecycle.release_sessions(now, len(established))
        for record in established[:due_count]:
            if not self._lifecycle.hands_over_sessions:
                self._counters.add(DrainCounter.SESSION_RELEASED)
                record.migration_requested.set()
            elif record.request_handover is not None:
                handover_requested_at[record] = now
                record.request_handover()

    def _migrate_overdue(self, now: float, handover_requested_at: dict[SessionRecord, float]) -> None:
        # A session can't stop between two lines while its client or upstream does not read; it is migrated.
        overdue = [
            record
            for record, requested_at in handover_requested_at.items()
            if now >= requested_at + LINE_BOUNDARY_TIMEOUT_S
        ]
        for record in overdue:
            del handover_requested_at[record]
            record.migration_requested.set()


class GracefulShutdown:
    """Ends the node: releases its sessions and answers all requests within the time for the stop."""

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

    async def run_when_requested(self, requested: anyio.Event) -> None:
        """Wait for the request to stop, then end the node.

        A process that does not serve yet ends at once, and leaves the clients to its predecessor.
        """
        await requested.wait()
        if self._lifecycle.serves:
            await self.run()
        else:
            log.info("stopped_before_serving")
            self._tasks.cancel_scope.cancel()

    async def run(self) -> None:
        """Release the sessions, answer all clients, close the listener, and cancel the node's tasks."""
        log.info("stopping", sessions=len(self._connections.sessions.established))
        self._drainer.start()
        await self._finish_requests()
        # Closing a connection with an unread request would reset it. So all clients are answered first, also
        # those in the listener's backlog.
        self._connections.reject_all()
        # A successor shares the listening socket and accepts the connections in the backlog.
        if not self._lifecycle.hands_over_sessions:
            await self._listener.close()
        with anyio.move_on_after(LAST_ANSWERS_TIMEOUT_S):
            while self._connections.connection_count > 0:  # noqa: ASYNC110 - no event is set when the count changes
                await anyio.sleep(ROUND_INTERVAL_S)
        self._tasks.cancel_scope.cancel()

    async def _finish_requests(self) -> None:
        # Until then, a front that has not noticed the stop may send new clients here, unless a successor
        # accepts them. Clients that are already connected to this process are answered by it.
        while self._connections.sessions.open_count > 0 or (
            self._may_receive_requests() and not self._all_requests_received()
        ):
            if not self._may_receive_requests():
                self._connections.reject_all()
            await anyio.sleep(ROUND_INTERVAL_S)

    def _may_receive_requests(self) -> bool:
        """Return whether enough of the time for the stop is left to answer a request that arrives now."""
        time_left_s = self._lifecycle.time_left_s(anyio.current_time())
        return time_left_s is not None and time_left_s > EARLY_REJECTION_S

    def _all_requests_received(self) -> bool:
        """Return whether a successor accepts new clients, and all clients here have sent their requests."""
        return self._lifecycle.hands_over_sessions and not self._connections.reader.without_line
