"""A stub of an upstream: a server on loopback whose answers and delays come from a simulated upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import anyio

from larchlatch.invariants.observations import SessionArrived
from larchlatch.loadtest.outside_observer import Rule
from larchlatch.loadtest.streams import CONNECTION_ERRORS, abort_writer, close_writer
from larchlatch.node.clock import now_us
from larchlatch.node.wire.lines import PING, PONG, STATS, Opening, parse_opening
from larchlatch.policy.types import Idempotency
from larchlatch.scenario.amounts import SECOND, us
from larchlatch.scenario.upstreams import Condition

if TYPE_CHECKING:
    from collections.abc import Iterable

    from larchlatch.loadtest.background_tasks import BackgroundTasks
    from larchlatch.loadtest.outside_observer import OutsideObserver
    from larchlatch.scenario.clients import Client
    from larchlatch.scenario.scenario import Scenario
    from larchlatch.scenario.upstreams import SimulatedUpstream

OVERLOAD_CHECK_INTERVAL_S = 1.0
DRAIN_GRACE_US = 500_000  # for which nodes may still send to an upstream that has left the ready state
SOCKET_DELAY_ALLOWANCE_US = 50_000  # allowed for the delay of sockets
BACKLOG = 1024

BUSY_LINE = b"BUSY\r\n"
SYNTAX_ERROR_LINE = b"SYNTAX\r\n"
ESTABLISHED_LINE = b"UP stands\r\n"


class EstablishedSession(NamedTuple):
    """A session at the stub.

    Attributes:
        number: Its number at this upstream, from 1.
        group: The group of its client.

    """

    number: int
    group: int


class UpstreamStub:
    """Serves probes and sessions at an upstream's address.

    Attributes:
        upstream: The simulated upstream, which determines delays and rejections.
        address: The address on which it listens.
        port: The port on which it listens; the same after a restart.
        attempts: Number of attempts that were received.
        probes: Number of probes that were received.
        no_attempts_after_us: By when discovery has told every node that the upstream is not ready; None if
            it is ready. Later attempts violate a rule.
        setup_delay_factor: Factor by which faults multiply the delay of the shared store.

    """

    def __init__(
        self,
        upstream: SimulatedUpstream,
        scenario: Scenario,
        clients: dict[str, Client],
        observer: OutsideObserver,
    ) -> None:
        """Create a stub; `clients` holds all clients of the scenario by the keys that they send."""
        self.upstream = upstream
        self.address = ""
        self.port = 0
        self.attempts = 0
        self.probes = 0
        self.no_attempts_after_us: int | None = None
        self.setup_delay_factor = 1.0
        self._clients = clients
        self._observer = observer
        self._idempotencies = [Idempotency(effect) for effect in scenario.sessions.idempotencies]
        self._setup_delay_us = us(scenario.shared_store_ms / 1e3)
        self._group_load = scenario.sessions.group_ms * 1000
        self._message_objective_us = us(scenario.sessions.message_ms / 1e3)
        self._server: asyncio.Server | None = None
        self._sessions: dict[asyncio.StreamWriter, EstablishedSession | None] = {}
        self._session_count = 0

    @property
    def silent(self) -> bool:
        """Whether it accepts connections and data but sends nothing."""
        return self.upstream.condition is Condition.SILENT

    @property
    def setup_delay_us(self) -> int:
        """The delay that the shared store adds to each setup, in microseconds."""
        return round(self._setup_delay_us * self.setup_delay_factor)

    # Start and end of the upstream's process.

    async def listen(self, address: str, tasks: BackgroundTasks) -> None:
        """Accept connections; `tasks` owns the tasks that serve them."""
        self.address = address

        def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            tasks.start(self._serve, reader, writer)

        self._server = await asyncio.start_server(accepted, address, self.port, backlog=BACKLOG)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Refuse new connections from now on."""
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """Simulate a crash: refuse new connections and reset the existing ones."""
        self.upstream.condition = Condition.CRASHED
        self.upstream.stop()
        self.close()
        self._reset(list(self._sessions))

    async def start_again(self, tasks: BackgroundTasks) -> None:
        """Simulate the start of a new process, which has no sessions and is in slow start."""
        self._reset(list(self._sessions))
        self.upstream.start(now_us())
        self.no_attempts_after_us = None
        if self._server is None or not self._server.is_serving():
            await self.listen(self.address, tasks)

    async def drop_when_overloaded(self) -> None:
        """Reset some sessions at intervals while the upstream is overloaded, until cancelled."""
        while True:
            await anyio.sleep(OVERLOAD_CHECK_INTERVAL_S)
            count = self.upstream.sessions_to_drop(now_us())
            established = [writer for writer, session in self._sessions.items() if session is not None]
            self._reset(established[:count])

    @staticmethod
    def _reset(writers: Iterable[asyncio.StreamWriter]) -> None:
        for writer in writers:
            abort_writer(writer)

    # Connections.

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._sessions[writer] = None
        try:
            line = await self._answer_probes(reader, writer)
            opening = parse_opening(line)
            if isinstance(opening, Opening):
                await self._answer_request(opening, reader, writer)
            elif line:
                writer.write(SYNTAX_ERROR_LINE)
        except CONNECTION_ERRORS:
            pass  # the node has closed or reset the connection
        finally:
            session = self._sessions.pop(writer, None)
            if session is not None:
                self.upstream.remove_session(session.number, session.group, self._group_load)
            close_writer(writer)

    async def _answer_probes(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        """Answer probes, and return the first line that is not a probe."""
        line = await reader.readline()
        while line in (PING, STATS):
            if self.silent:
                await anyio.sleep_forever()
            self.probes += 1
            await self._send(PONG if line == PING else self._load_report(), writer)
            line = await reader.readline()
        return line

    def _load_report(self) -> bytes:
        utilization = self.upstream.utilization(now_us())
        return f"PONG x0={utilization:.4f},inflight={len(self.upstream.sessions)}\r\n".encode()

    async def _answer_request(
        self, opening: Opening, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        client = self._clients.get(opening.key)
        if client is None:
            return  # the key is of no client of the scenario: the node is defective, and gets no answer
        now = now_us()
        self._observe_attempt(opening, client, now)
        done_at = self.upstream.schedule_setup(now, client.work_us)
        if done_at is None:
            self._observer.attempt_ended(opening.ident, never_ran=True)
            await self._send(BUSY_LINE, writer)
            return
        # The node may close the connection, or send the first byte of a message, during the setup.
        first_byte = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait([first_byte], timeout=(done_at + self.setup_delay_us - now_us()) / SECOND)
            if self.silent:
                # No answer is sent. The attempt ends for the observer when the node closes the connection.
                await first_byte
            elif not first_byte.done():
                self._observer.attempt_ended(opening.ident)
                await self._establish(client, writer)
                await self._echo_messages(first_byte, reader, writer)
        finally:
            first_byte.cancel()
            self._observer.attempt_ended(opening.ident)

    def _observe_attempt(self, opening: Opening, client: Client, now: int) -> None:
        """Report a received attempt to the observer, with the rules that it violates."""
        upstream, observer = self.upstream, self._observer
        self.attempts += 1
        observer.attempt_started(opening.ident, self._idempotencies[client.traffic_class])
        withdrawn_at = self.no_attempts_after_us
        if withdrawn_at is not None and now > withdrawn_at + DRAIN_GRACE_US + SOCKET_DELAY_ALLOWANCE_US:
            late_us = now - withdrawn_at
            observer.report(
                Rule.NO_ATTEMPT_WHILE_DRAINING,
                f"session {opening.ident}: sent to upstream {upstream.number}, {late_us} us too late",
            )
        observer.slow_start.observe(SessionArrived(now, upstream, client.load))
        if upstream.is_overloaded_by(now, client.load):
            observer.report(Rule.NO_OVERLOAD, f"upstream {upstream.number}: overloaded during its slow start")

    async def _establish(self, client: Client, writer: asyncio.StreamWriter) -> None:
        self._session_count += 1
        session = EstablishedSession(self._session_count, client.group)
        self._sessions[writer] = session
        self.upstream.add_session(session.number, client.load, session.group, self._group_load)
        await self._send(ESTABLISHED_LINE + f"LOAD {client.load:.1f}\r\n".encode(), writer)

    async def _echo_messages(
        self, first_byte: asyncio.Future[bytes], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Echo each message with the latency of the simulated upstream, until the session ends."""
        incarnation = self.upstream.incarnation
        first = await first_byte
        while first and (remainder := await reader.readline()):
            if self.silent:
                await anyio.sleep_forever()
            if self.upstream.incarnation != incarnation:
                return
            delay_us = self.upstream.message_latency_us(now_us(), self._message_objective_us)
            await anyio.sleep(delay_us / SECOND)
            await self._send(first + remainder, writer)
            first = await reader.read(1)

    async def _send(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Send data to a node.

        Raises:
            OSError: The connection has ended.

        """
        writer.write(data)
