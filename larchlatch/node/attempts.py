"""Makes the attempts to establish sessions at one upstream: connects, sends the request, reads the answer."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
import structlog

from larchlatch.node.clock import now_us, seconds_until
from larchlatch.node.fault_barrier import FaultBarrier
from larchlatch.node.messages import AttemptFinished, LoadReported, SessionAdopted
from larchlatch.node.session_record import Delivered, Failed
from larchlatch.node.wire import lines as wire
from larchlatch.node.wire.dialing import Unconnected, dial, send_all
from larchlatch.node.wire.stream import Ending, LineConnection
from larchlatch.policy.retries import is_repeat_recognized
from larchlatch.policy.types import Outcome

if TYPE_CHECKING:
    import socket

    from larchlatch.node.session_record import SessionRecord
    from larchlatch.node.upstream_context import UpstreamContext, UpstreamTarget

DESCRIPTOR_RETRY_S = 0.005  # pause between two tries to reserve a file descriptor while none is free

# Outcomes after which the receiver of the session's final answer owns the connection.
CONNECTION_DELIVERED = frozenset({Outcome.ESTABLISHED, Outcome.COMPLETED})

log = structlog.get_logger()


class AttemptCounter(StrEnum):
    """Names of the counters of attempts.

    There is one for each outcome, `FAILED` for attempts that raised an unexpected exception, and one for each
    reason why an attempt was not sent.
    """

    ESTABLISHED = "attempt_established"
    COMPLETED = "attempt_completed"
    REJECTED = "attempt_rejected"
    CONNECT_FAILED = "attempt_connect_failed"
    NOT_SENT = "attempt_not_sent"
    ERROR = "attempt_error"
    TIMED_OUT = "attempt_timed_out"
    RESET = "attempt_reset"
    CANCELLED = "attempt_cancelled"
    FAILED = "attempt_failed"
    NOT_BEGUN_CLIENT_GONE = "attempt_not_begun_client_gone"
    NOT_BEGUN_UPSTREAM_DRAINING = "attempt_not_begun_upstream_draining"
    NOT_BEGUN_TOO_LATE = "attempt_not_begun_too_late"
    NOT_BEGUN_DEDUP_WINDOW_OVER = "attempt_not_begun_dedup_window_over"


COUNTER_BY_OUTCOME = {
    Outcome.ESTABLISHED: AttemptCounter.ESTABLISHED,
    Outcome.COMPLETED: AttemptCounter.COMPLETED,
    Outcome.REJECTED: AttemptCounter.REJECTED,
    Outcome.CONNECT_FAILED: AttemptCounter.CONNECT_FAILED,
    Outcome.NOT_SENT: AttemptCounter.NOT_SENT,
    Outcome.ERROR: AttemptCounter.ERROR,
    Outcome.TIMED_OUT: AttemptCounter.TIMED_OUT,
    Outcome.RESET: AttemptCounter.RESET,
    Outcome.CANCELLED: AttemptCounter.CANCELLED,
}


class Attempts:
    """Runs the attempts at one upstream.

    It owns the socket and the reserved descriptor of each attempt until the outcome is one of
    CONNECTION_DELIVERED. From then on the receiver of the session's final answer owns them.

    Attributes:
        in_flight: the number of attempts in flight.

    """

    def __init__(self, target: UpstreamTarget, context: UpstreamContext) -> None:
        self.in_flight = 0
        self._target = target
        self._settings = context.settings
        self._descriptors = context.descriptors
        self._counters = context.counters
        self._post = context.post

    async def run(self, record: SessionRecord, give_up_at: int) -> None:
        """Make one attempt and report its outcome.

        Args:
            record: the session.
            give_up_at: when the attempt times out, in microseconds of the node's clock.

        """
        started_at = now_us()
        outcome = Outcome.NOT_SENT
        if self._may_send(record, give_up_at):
            outcome = await self._attempt_cancellable(record, give_up_at)
        self._counters.add(COUNTER_BY_OUTCOME[outcome])
        log.debug(
            "attempt_finished",
            upstream=self._target.name,
            key=record.opening.key,
            outcome=outcome.name,
            duration_us=now_us() - started_at,
        )
        await self._report(record, outcome)

    async def _report(self, record: SessionRecord, outcome: Outcome) -> None:
        """Report an outcome to the balancer actor.

        A session that was established before is not placed again: if its attempt fails, so does the session.
        """
        if record.opening.established_upstream is None:
            done = record.final_answer is not None
            await self._post(AttemptFinished(record, outcome, done))
        elif outcome is Outcome.ESTABLISHED:
            await self._post(SessionAdopted(record, self._target.number))
        else:
            record.set_final_answer(Failed())

    async def _attempt_cancellable(self, record: SessionRecord, give_up_at: int) -> Outcome:
        """Make one attempt, which `record.attempt_scope` can cancel; an unexpected exception means ERROR."""
        outcome = Outcome.CANCELLED
        self.in_flight += 1
        with anyio.CancelScope() as scope:
            record.attempt_scope = scope
            with FaultBarrier(
                self._counters, counter=AttemptCounter.FAILED, event="attempt_failed"
            ) as barrier:
                outcome = await self._attempt(record, give_up_at)
            if barrier.caught:
                outcome = Outcome.ERROR  # the request may have been sent, so it may have run
        record.attempt_scope = None
        self.in_flight -= 1
        return outcome

    async def _attempt(self, record: SessionRecord, give_up_at: int) -> Outcome:
        # Without a descriptor nothing is sent, so another attempt may follow in any traffic class.
        if not await self._reserve_descriptor(self._connect_timeout_s(give_up_at)):
            return Outcome.NOT_SENT
        delivered = False
        try:
            outcome = await self._connect_and_request(record, give_up_at)
            delivered = outcome in CONNECTION_DELIVERED
            return outcome
        finally:
            if not delivered:
                self._descriptors.release()

    def _connect_timeout_s(self, give_up_at: int) -> float:
        return min(self._settings.connect_timeout_us / 1e6, seconds_until(give_up_at))

    async def _reserve_descriptor(self, within_s: float) -> bool:
        """Reserve a descriptor for one more connection; return whether one became free in time."""
        # If no descriptor is free, an idle connection is evicted, whose descriptor is released only once its
        # task has closed it. Without this wait a session would use up all its attempts in the meantime.
        with anyio.move_on_after(within_s):
            # The descriptor budget does not signal when a descriptor is released, so it is polled.
            while not self._descriptors.reserve(anyio.current_time()):  # noqa: ASYNC110
                await anyio.sleep(DESCRIPTOR_RETRY_S)
            return True
        return False

    async def _connect_and_request(self, record: SessionRecord, give_up_at: int) -> Outcome:
        sock = await dial(self._target.address, self._connect_timeout_s(give_up_at))
        if sock is Unconnected.NO_DESCRIPTOR:
            return Outcome.NOT_SENT
        if isinstance(sock, Unconnected):
            return Outcome.CONNECT_FAILED
        with anyio.move_on_after(seconds_until(give_up_at)):
            return await self._request(sock, record, give_up_at)
        return Outcome.TIMED_OUT

    async def _request(self, sock: socket.socket, record: SessionRecord, give_up_at: int) -> Outcome:
        """Send the session's request over a new connection and read the answer to it."""
        # The conditions for sending may have changed while the connection was being established.
        if not self._may_send(record, give_up_at):
            sock.close()
            return Outcome.NOT_SENT
        if not await self._send_request(sock, record, give_up_at):
            return Outcome.CONNECT_FAILED
        connection = await LineConnection.of_socket(sock)
        if connection is None:
            return Outcome.RESET
        outcome: Outcome | None = None
        try:
            outcome = await self._read_answer(record, connection)
            return outcome
        finally:
            # An answer after this outcome must never reach the client, so the connection is closed.
            if outcome not in CONNECTION_DELIVERED:
                await connection.close()

    def _may_send(self, record: SessionRecord, give_up_at: int) -> bool:
        """Return whether the attempt may still be sent; if not, count the reason."""
        reason = self._reason_not_to_send(record, give_up_at)
        if reason is not None:
            self._counters.add(reason)
        return reason is None

    def _reason_not_to_send(self, record: SessionRecord, give_up_at: int) -> AttemptCounter | None:
        """Return the counter of the reason why an attempt must not be sent now, or None."""
        now = now_us()
        if record.check_finished():
            return AttemptCounter.NOT_BEGUN_CLIENT_GONE
        if record.opening.established_upstream is None and not self._target.accepts_sessions:
            return AttemptCounter.NOT_BEGUN_UPSTREAM_DRAINING
        if now >= give_up_at:
            return AttemptCounter.NOT_BEGUN_TOO_LATE
        if not is_repeat_recognized(now, record.session):
            return AttemptCounter.NOT_BEGUN_DEDUP_WINDOW_OVER
        return None

    async def _send_request(self, sock: socket.socket, record: SessionRecord, give_up_at: int) -> bool:
        """Write the request line; return whether all of it was written. If not, no upstream has run it."""
        written = False
        try:
            written = await send_all(sock, wire.attempt_line(record.opening, give_up_at - now_us()))
        finally:
            if not written:
                sock.close()
        return written

    async def _read_answer(self, record: SessionRecord, connection: LineConnection) -> Outcome:
        """Read lines until one determines the outcome; post the load reports that come before it."""
        while True:
            line = await connection.line()
            if line is Ending.TOO_LONG:
                return Outcome.ERROR
            if isinstance(line, Ending):
                return Outcome.RESET
            answer = wire.parse_upstream_line(line)
            if not isinstance(answer, wire.Load):
                return self._outcome_of(answer, record, Delivered(connection, line, self._target.number))
            await self._post(LoadReported(record, answer.load))

    @staticmethod
    def _outcome_of(answer: wire.UpstreamLine, record: SessionRecord, delivered: Delivered) -> Outcome:
        """Return the outcome that an answer means; UP and BYE become the session's final answer."""
        match answer:
            case wire.Busy():
                return Outcome.REJECTED
            case wire.Moved():
                return Outcome.CANCELLED
            case wire.Up() | wire.Bye():
                if not record.set_final_answer(delivered):
                    return Outcome.CANCELLED
                return Outcome.ESTABLISHED if isinstance(answer, wire.Up) else Outcome.COMPLETED
            case _:
                return Outcome.ERROR
