"""Runs sessions of clients: the request, the wait for the final answer, and the established session."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

import anyio

from larchlatch.invariants.observations import SessionRequested
from larchlatch.invariants.session_figures import SessionEvent
from larchlatch.loadtest.outside_observer import Rule
from larchlatch.loadtest.streams import CONNECTION_ERRORS, abort_writer, close_writer
from larchlatch.loadtest.upstream_stub import SOCKET_DELAY_ALLOWANCE_US
from larchlatch.node.clock import now_us
from larchlatch.node.wire.lines import MOVE
from larchlatch.scenario.amounts import SECOND

if TYPE_CHECKING:
    from random import Random

    from larchlatch.invariants.session_figures import SessionFigures
    from larchlatch.loadtest.node_process import NodeProcess
    from larchlatch.loadtest.outside_observer import OutsideObserver
    from larchlatch.loadtest.scenario_clock import ScenarioClock
    from larchlatch.scenario.clients import Client
    from larchlatch.scenario.scenario import Scenario

READ_DELAY_ALLOWANCE_US = 50_000  # allowed for this process to read an answer late
EXTRA_DATA_WAIT_S = 0.2  # how long to wait for data that wrongly follows a final answer
MESSAGE = b"still here\r\n"
ESTABLISHED = b"UP"
REJECTED = b"BUSY"


class SessionResult(NamedTuple):
    """How a session ended for its client.

    Attributes:
        established: Whether it was established.
        retry_after_us: Delay in microseconds after which the client may retry, as named by the node; 0 if the
            node named none.

    """

    established: bool
    retry_after_us: int = 0


class Connection(NamedTuple):
    """A client's connection to a node.

    Attributes:
        node: The node.
        reader: Reads what the node sends.
        writer: Sends to the node.
        interruption_count: The node's `interruption_count` before the connection was made.

    """

    node: NodeProcess
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    interruption_count: int


class Request(NamedTuple):
    """A client's request for a session.

    Attributes:
        client: The client.
        session_id: ID of the session.
        due_s: When the client wanted the session, in seconds of the scenario.
        end_s: Until when the client wants the session, in seconds of the scenario.
        sent_us: When the request was sent, by the clock of `now_us`.

    """

    client: Client
    session_id: str
    due_s: float
    end_s: float
    sent_us: int


class ClientSessions:
    """Runs the sessions of all clients and counts how they end."""

    def __init__(
        self, scenario: Scenario, clock: ScenarioClock, observer: OutsideObserver, figures: SessionFigures
    ) -> None:
        self._scenario = scenario
        self._clock = clock
        self._observer = observer
        self._figures = figures
        self._session_count = 0
        self._established: dict[int, asyncio.StreamWriter] = {}  # by number of the client

    async def run(self, client: Client, node: NodeProcess, *, due_s: float, end_s: float) -> SessionResult:
        """Run one session of a client until it ends, and return its result.

        Args:
            client: The client.
            node: The node that the client connects to.
            due_s: When the client wanted the session, in seconds of the scenario.
            end_s: Until when the client wants the session, in seconds of the scenario.

        """
        # A killed process still accepts connections for some milliseconds. The count is therefore read before
        # connecting: it then shows the kill, and the missing answer is not reported as a violation.
        interruption_count = node.interruption_count
        try:
            reader, writer = await asyncio.open_connection(node.address, node.port)
        except OSError:
            self._figures.counts[SessionEvent.NO_NODE] += 1
            return SessionResult(established=False)
        self._session_count += 1
        self._figures.counts[SessionEvent.REQUESTED] += 1
        request = Request(client, f"id{self._session_count}", due_s, end_s, now_us())
        connection = Connection(node, reader, writer, interruption_count)
        try:
            return await self._request(request, connection)
        except OSError as error:
            self._count_unanswered(request, connection, type(error).__name__)
            return SessionResult(established=False)
        finally:
            close_writer(writer)

    def disconnect_clients(self, share: float, rng: Random) -> None:
        """Reset a share of the established sessions; their clients soon request new ones."""
        clients = list(self._established)
        for client in rng.sample(clients, round(len(clients) * share)):
            abort_writer(self._established.pop(client))

    # Up to the final answer.

    async def _request(self, request: Request, connection: Connection) -> SessionResult:
        if self._observer.quota is not None:
            self._observer.quota.observe(SessionRequested(request.sent_us, request.session_id))
        connection.writer.write(self._request_line(request))
        answer = await self._read_answer(connection.reader)
        status, *values = answer.split() or [b""]
        if status == ESTABLISHED:
            latency_s = self._clock.elapsed_s() - request.due_s
            self._figures.record_established(round(latency_s * SECOND))
            await self._stay_established(request, connection)
            return SessionResult(established=True)
        await self._check_final_answer(request, connection, answer)
        if status == REJECTED:
            self._figures.counts[SessionEvent.SHED] += 1
            return SessionResult(established=False, retry_after_us=int(values[0]) * 1000 if values else 0)
        if status:
            self._figures.counts[SessionEvent.FAILED] += 1
        else:
            self._count_unanswered(request, connection, "no final answer before the deadline")
        return SessionResult(established=False)

    def _request_line(self, request: Request) -> bytes:
        client, wait_ms = request.client, round(self._scenario.sessions.wait_ms)
        values = f"c=t{client.traffic_class},d={wait_ms},g=g{client.group},h={client.load}"
        return f"OPEN {request.session_id} k{client.key} {values}\r\n".encode()

    async def _read_answer(self, reader: asyncio.StreamReader) -> bytes:
        """Return the line of the final answer; empty if none came in time or the node disconnected."""
        wait_s = self._scenario.sessions.wait_ms / 1e3
        with anyio.move_on_after(wait_s + (SOCKET_DELAY_ALLOWANCE_US + READ_DELAY_ALLOWANCE_US) / SECOND):
            return await reader.readline()
        return b""

    async def _check_final_answer(self, request: Request, connection: Connection, answer: bytes) -> None:
        """Report a violation if the node sends more after a final answer that ended the session."""
        if answer.split() and await _sends_more(connection.reader):
            node = connection.node.number
            self._observer.report(
                Rule.ONE_ANSWER, f"session {request.session_id}: node {node} sent more data after {answer!r}"
            )

    def _count_unanswered(self, request: Request, connection: Connection, reason: str) -> None:
        """Count a session without a final answer; it is a violation if its node ran without interruption."""
        self._figures.counts[SessionEvent.UNANSWERED] += 1
        node = connection.node
        if node.has_run_since(connection.interruption_count):
            after_ms = (now_us() - request.sent_us) // 1000
            self._observer.report(
                Rule.ONE_ANSWER,
                f"session {request.session_id}: node {node.number}: {reason}, after {after_ms} ms",
            )

    # While the session is established.

    async def _stay_established(self, request: Request, connection: Connection) -> None:
        """Send messages until the client leaves or the session ends, and count how it ended."""
        client, node, end_s = request.client, connection.node, request.end_s
        interruption_count = node.interruption_count
        began_s = self._clock.elapsed_s()
        self._established[client.number] = connection.writer
        try:
            ending = await self._exchange_messages(end_s, connection)
        finally:
            disconnected = self._established.pop(client.number, None) is None
            self._figures.served_us += (min(self._clock.elapsed_s(), end_s) - began_s) * SECOND
        if ending is SessionEvent.DROPPED and disconnected:
            ending = SessionEvent.LOST_BY_CLIENT
        elif ending is SessionEvent.DROPPED and node.interruption_count > interruption_count:
            ending = SessionEvent.LOST_WITH_NODE
        self._figures.counts[ending] += 1

    async def _exchange_messages(self, end_s: float, connection: Connection) -> SessionEvent:
        """Send messages and read until the session or `end_s` ends it; return how the session ended."""
        ending = SessionEvent.FINISHED
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_messages, connection.writer)
            with anyio.CancelScope(deadline=self._clock.loop_time(end_s)):
                ending = await _read_to_end(connection.reader)
            tasks.cancel_scope.cancel()
        return ending

    async def _send_messages(self, writer: asyncio.StreamWriter) -> None:
        with suppress(*CONNECTION_ERRORS):
            while True:
                await anyio.sleep(self._scenario.sessions.message_interval_s)
                writer.write(MESSAGE)


async def _sends_more(reader: asyncio.StreamReader) -> bool:
    """Return whether the node sends anything after its final answer."""
    with suppress(OSError), anyio.move_on_after(EXTRA_DATA_WAIT_S):
        return bool(await reader.read(1))
    return False


async def _read_to_end(reader: asyncio.StreamReader) -> SessionEvent:
    """Read until the node closes the session or asks the client to migrate; return which of them happened."""
    try:
        while line := await reader.readline():
            if line == MOVE:
                return SessionEvent.MIGRATED
    except OSError:
        pass  # the connection was reset
    return SessionEvent.DROPPED
