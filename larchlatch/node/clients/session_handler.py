"""Runs sessions, each from its accepted request to its end."""

from __future__ import annotations

from contextlib import asynccontextmanager
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

import anyio
import structlog

from larchlatch.node.clock import now_us, seconds_until
from larchlatch.node.messages import AttemptFinished, ClientLeft, SessionAdopted, SessionArrived
from larchlatch.node.relay import Relay, RelayEnd, Side
from larchlatch.node.session_record import Delivered, Failed, SessionRecord, Shed
from larchlatch.node.upstream_actor import StartAttempt
from larchlatch.node.wire import lines
from larchlatch.node.wire.raw_socket import LINGER_S
from larchlatch.node.wire.stream import Ending, LineConnection
from larchlatch.policy import admission
from larchlatch.policy.retries import RETRY_AFTER_US
from larchlatch.policy.types import Outcome

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from larchlatch.node.balancer_actor import BalancerActor
    from larchlatch.node.clients.requests import RequestChecker
    from larchlatch.node.descriptor_budget import DescriptorBudget
    from larchlatch.node.hot_restart.packets import SessionHandover
    from larchlatch.node.lifecycle_state import LifecycleState
    from larchlatch.node.metrics import Counters

MOVE_TIMEOUT_S = 0.5  # for sending MOVE; a client that does not read it in time is disconnected
MAX_EARLY_BYTES = 65536  # read from a client before its session is connected to an upstream
SHORT_LINGER_S = 0.02  # wait for a client's end after its answer, while descriptors are scarce


log = structlog.get_logger()


class SessionCounter(StrEnum):
    """Names of the counters of sessions, except those of their ends."""

    ACCEPTED = "sessions_accepted"
    ESTABLISHED = "sessions_established"
    SHED = "sessions_shed"
    FAILED = "sessions_failed"
    ABANDONED = "sessions_abandoned_by_client"
    WITHOUT_DECISION = "sessions_answered_without_decision"
    ADOPTED = "sessions_adopted"
    HANDED_OVER = "sessions_handed_over"
    MIGRATED = "sessions_migrated"
    MIGRATED_SILENT = "sessions_migrated_off_silent_upstream"
    HANDOVER_INVALID = "session_handover_invalid"
    REJECTED_SECOND_LINE = "request_rejected_more_than_one_line"


class SendSession(Protocol):
    """Callback that hands an established session over to the successor."""

    async def __call__(
        self,
        record: SessionRecord,
        *,
        client: LineConnection,
        upstream: LineConnection,
        outcome_at_end: Outcome,
    ) -> bool:
        """Hand the session over; return False if that failed and the session is still at this process."""
        ...


class SessionHandler:
    """Runs sessions; each uses the connections of its client and its upstream until both have ended.

    Attributes:
        established: the sessions that are established here, by number.
        open_count: how many sessions have been accepted and have not ended.

    """

    def __init__(
        self,
        balancer_actor: BalancerActor,
        requests: RequestChecker,
        descriptors: DescriptorBudget,
        counters: Counters,
        lifecycle: LifecycleState,
    ) -> None:
        self.established: dict[int, SessionRecord] = {}
        self.open_count = 0
        self._balancer_actor = balancer_actor
        self._requests = requests
        self._descriptors = descriptors
        self._counters = counters
        self._lifecycle = lifecycle
        self._send_to_successor: SendSession | None = None

    def hand_sessions_to(self, send: SendSession | None) -> None:
        """Set the callback that hands sessions over to the successor; None if there is no successor."""
        self._send_to_successor = send

    @property
    def linger_s(self) -> float:
        """How long a connection stays open for its client's end after the answer, in seconds."""
        return SHORT_LINGER_S if self._descriptors.scarce else LINGER_S

    async def run(self, client: LineConnection, record: SessionRecord, received_us: int) -> None:
        """Run a session whose request was accepted, until it is over."""
        self._counters.add(SessionCounter.ACCEPTED)
        opening = record.opening
        log.debug(
            "session_accepted",
            key=opening.key,
            group=opening.group,
            late_us=now_us() - received_us,
            wait_ms=opening.wait_ms,
            mid_flow=opening.mid_flow,
        )
        record.client_hung_up = client.hung_up
        async with self._open(record):
            await self._wait_for_answer(client, record)
            await self._carry_out(client, record)

    async def adopt(self, packet: SessionHandover, client: LineConnection, upstream: LineConnection) -> None:
        """Continue an established session of the predecessor, on the same connections."""
        opening = lines.parse_opening(packet.request_line)
        number = self._balancer_actor.upstreams.number_of(packet.upstream)
        known = not isinstance(opening, lines.BadLine) and self._requests.knows_class(opening)
        if isinstance(opening, lines.BadLine) or not known or number is None:
            self._counters.add(SessionCounter.HANDOVER_INVALID)
            await client.send(lines.MOVE)
            await client.finish(Ending.END)
            return
        record = self._requests.make_record(opening, now_us())
        record.session.load = packet.load
        # Neither process read from the upstream during the hand-over. The upstream must not count as silent.
        record.awaiting_answer_since = now_us() if packet.unanswered_since_us else 0
        delivered = Delivered(upstream, b"", number)
        record.set_final_answer(delivered)
        async with self._open(record):
            self._requests.ids.adopt(opening.ident)
            self._counters.add(SessionCounter.ADOPTED)
            await self._balancer_actor.mailbox.post(SessionAdopted(record, number))
            await self._relay(client, record, delivered, Outcome(packet.outcome_at_end))

    # Before the final answer.

    @asynccontextmanager
    async def _open(self, record: SessionRecord) -> AsyncIterator[None]:
        """Count a session as open while the block runs; then cancel its attempt and report its end."""
        self.open_count += 1
        self._requests.ids.add(record)
        try:
            yield
        finally:
            self.open_count -= 1
            record.client_gone = True
            self._requests.ids.remove(record)
            if record.attempt_scope is not None:
                record.attempt_scope.cancel()
            await self._balancer_actor.mailbox.post(ClientLeft(record))

    async def _wait_for_answer(self, client: LineConnection, record: SessionRecord) -> None:
        """Wait until the session has its final answer, or its client has left."""
        wait_us = self._requests.wait_us(record.opening)
        answer_by = admission.answer_by(deadline=record.session.deadline, wait_us=wait_us)
        async with anyio.create_task_group() as tasks:
            # The client is watched from the start: it may leave while the balancer actor's mailbox is full.
            tasks.start_soon(self._watch_client, client, record)
            if not self._start(record):
                tasks.start_soon(self._balancer_actor.mailbox.submit, SessionArrived(record))
            with anyio.move_on_after(seconds_until(answer_by)) as timeout:
                await record.finished.wait()
            if timeout.cancelled_caught and not record.finished.is_set():
                self._counters.add(SessionCounter.WITHOUT_DECISION)
                is_shed = admission.sheds_undecided(record.session)
                record.set_final_answer(Shed(RETRY_AFTER_US) if is_shed else Failed())
            tasks.cancel_scope.cancel()

    def _start(self, record: SessionRecord) -> bool:
        """Shed, rejoin or place a session; return False if the balancer actor's mailbox is full."""
        upstream = record.opening.established_upstream
        if upstream is not None:
            self._rejoin(record, upstream)
            return True
        sheds_new_session = admission.sheds_new_session(
            now_s=anyio.current_time(),
            drain_started_at_s=self._lifecycle.drain_started_at,
            rejects_all=self._lifecycle.rejects_all,
        )
        if sheds_new_session:
            record.set_final_answer(Shed(RETRY_AFTER_US))
            return True
        return self._balancer_actor.mailbox.offer(SessionArrived(record))

    def _rejoin(self, record: SessionRecord, upstream: str) -> None:
        """Send a session to the upstream where it was established before, without asking the balancer."""
        upstreams = self._balancer_actor.upstreams
        number = upstreams.number_of(upstream)
        attempt = StartAttempt(record, record.session.deadline)
        if number is None or not upstreams.actor(number).offer(attempt):
            record.set_final_answer(Failed())

    async def _watch_client(self, client: LineConnection, record: SessionRecord) -> None:
        """Watch a client until its answer; it may leave, or send more lines if it continues a session."""
        early: list[bytes] = []
        try:
            while sum(map(len, early)) < MAX_EARLY_BYTES:
                received = await client.receive_lines()
                if received is Ending.END or received is Ending.RESET:
                    record.mark_client_gone()
                    return
                if isinstance(received, Ending) or not record.opening.may_continue:
                    # The client of a new session must not send a second line before its answer.
                    self._counters.add(SessionCounter.REJECTED_SECOND_LINE)
                    record.set_final_answer(Failed())
                    return
                early += received  # relayed once the continued session has its upstream again
        finally:
            client.unread_lines = early + client.unread_lines

    # After the final answer.

    async def _carry_out(self, client: LineConnection, record: SessionRecord) -> None:
        """Pass the final answer on to the client; relay the session if it was established."""
        match record.final_answer:
            case Delivered() as delivered:
                self._counters.add(SessionCounter.ESTABLISHED)
                try:
                    await self._relay(client, record, delivered, Outcome.RESET)
                finally:
                    await delivered.connection.close(reset=True)
                    self._descriptors.release()
            case None:
                self._counters.add(SessionCounter.ABANDONED)
            case Shed(retry_after_us):
                self._counters.add(SessionCounter.SHED)
                await self._answer(client, lines.shed_line(retry_after_us))
            case Failed():
                self._counters.add(SessionCounter.FAILED)
                await self._answer(client, lines.FAILED)

    async def _answer(self, client: LineConnection, line: bytes) -> None:
        await client.send(line)
        await client.finish(Ending.END, self.linger_s)

    async def _relay(
        self, client: LineConnection, record: SessionRecord, delivered: Delivered, outcome_at_end: Outcome
    ) -> None:
        """Relay a session until it is over.

        Args:
            client: the client's connection.
            record: the session.
            delivered: the final answer, with the connection to the upstream.
            outcome_at_end: the outcome that the balancer records if the upstream ends its connection.

        """
        actor = self._balancer_actor.upstreams.actor(delivered.upstream)
        number = record.session.number
        watched = actor.session_watch.sessions
        watched[number] = self.established[number] = record
        try:
            end = await self._relay_until_end(client, record, delivered, outcome_at_end)
            if end is None:
                return
            del watched[number]
            self._requests.ids.remove(record)
            await self._end(client, record, delivered, end)
        finally:
            watched.pop(number, None)
            del self.established[number]

    async def _relay_until_end(
        self, client: LineConnection, record: SessionRecord, delivered: Delivered, outcome_at_end: Outcome
    ) -> RelayEnd | None:
        """Relay a session; return how it ended at this node, or None if the successor continues it."""
        if delivered.line and not await client.send(delivered.line):
            return RelayEnd(Side.CLIENT, Ending.RESET, Outcome.CANCELLED)
        actor = self._balancer_actor.upstreams.actor(delivered.upstream)
        relay = Relay(
            record, actor, client=client, upstream=delivered.connection, outcome_at_end=outcome_at_end
        )
        record.request_handover = relay.stop_between_lines
        end = await relay.run()
        if end.side is not Side.SUCCESSOR:
            return end
        send = self._send_to_successor
        if send is not None and await send(
            record, client=client, upstream=delivered.connection, outcome_at_end=relay.outcome_at_end
        ):
            self._counters.add(SessionCounter.HANDED_OVER)
            return None
        return RelayEnd(Side.NODE, Ending.END, Outcome.CANCELLED)

    async def _end(
        self, client: LineConnection, record: SessionRecord, delivered: Delivered, end: RelayEnd
    ) -> None:
        """Report how a session has ended, and end both its connections in that way."""
        self._counters.add(f"sessions_ended_by_{end.side.value}_{end.ending.value}")
        log.debug(
            "session_ended",
            upstream=self._balancer_actor.upstreams.names.get(delivered.upstream),
            key=record.opening.key,
            side=end.side.name,
            ending=end.ending.name,
        )
        if end.side is not Side.CLIENT:
            await self._balancer_actor.mailbox.post(AttemptFinished(record, end.outcome, True))
        if end.side is Side.NODE:
            self._counters.add(
                SessionCounter.MIGRATED_SILENT if record.upstream_silent else SessionCounter.MIGRATED
            )
            with anyio.move_on_after(MOVE_TIMEOUT_S):
                await client.send(lines.MOVE)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.finish, end.ending)
            tasks.start_soon(delivered.connection.finish, end.ending)
