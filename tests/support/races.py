"""Support for tests of races: raw client sockets, an upstream actor without a node, scripted upstreams."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import anyio
import anyio.to_thread
from anyio.abc import SocketStream, TaskGroup

from larchlatch.config.endpoints import EndpointList, parse_endpoint
from larchlatch.config.upstream import UpstreamSettings
from larchlatch.node.clients.connections import ClientConnections
from larchlatch.node.clock import now_us
from larchlatch.node.descriptor_budget import DescriptorBudget
from larchlatch.node.messages import AttemptFinished, Message
from larchlatch.node.metrics import Counters
from larchlatch.node.session_record import SessionRecord
from larchlatch.node.upstream_actor import UpstreamActor
from larchlatch.node.upstream_context import UpstreamContext, UpstreamTarget
from larchlatch.node.wire import lines as wire_lines
from larchlatch.policy.types import Outcome, Session
from tests.support.loopback import port_of, wait_until

MANY_LINES = (
    b"more and more\r\n" * 27_000
)  # more than one read returns, but less than the node reads in total
PATIENT_US = 15_000_000  # deadline of a client whose answer must arrive long before it
SOON_S = 8.0  # much less than PATIENT_US, and enough on a slow machine


def connect_raw(port: int, data: bytes) -> socket.socket:
    client = socket.create_connection(("127.0.0.1", port))
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    client.sendall(data)
    return client


async def send_and_read_all(client: socket.socket, more: bytes = b"") -> bytes:
    """Send more data and return all data that the client receives up to the end.

    Raises:
        ConnectionResetError: the node has reset the connection.

    """

    def read() -> bytes:
        got = b""
        client.settimeout(10)
        client.sendall(more)
        while chunk := client.recv(65536):
            got += chunk
        client.close()
        return got

    return await anyio.to_thread.run_sync(read)


def request_line(ident: str, more: str = "", wait_ms: int = 2000) -> bytes:
    return f"OPEN {ident} k1 c=rerun,t=acme,d={wait_ms}{more}\r\n".encode()


async def wait_until_idle(connections: ClientConnections) -> None:
    """Wait until the node has released every connection, session id, attempt and descriptor."""
    balancer_actor = connections._balancer_actor
    await wait_until(
        lambda: (
            not (
                connections.connection_count
                or connections.sessions.open_count
                or connections.requests.ids.records
                or connections.sessions.established
                or balancer_actor.records
            )
            and not (connections.reader.waiting or connections.reader.without_line)
            and all(
                not upstream_actor.attempts.in_flight and not upstream_actor.session_watch.sessions
                for upstream_actor in balancer_actor.upstreams.actors.values()
            )
            and connections.descriptors.in_use
            == connections.descriptors.probe_connections + 1  # one is reserved for the next client
        )
    )


class ActorHarness:
    """An upstream actor without a node, which records the messages that the actor posts."""

    def __init__(self, address: str) -> None:
        name, _, port = address.rpartition(":")
        self.messages: list[Message] = []
        self.descriptors = DescriptorBudget(1024)
        self.counters = Counters()
        upstream_settings = UpstreamSettings(250_000, False, False, 0)
        self.upstream_actor = UpstreamActor(
            UpstreamTarget(0, "s-0", (name, int(port))),
            UpstreamContext(upstream_settings, self.descriptors, self.counters, self.post),
        )

    async def post(self, message: Message) -> None:
        self.messages.append(message)

    async def attempt(self, record: SessionRecord, within_us: int = 1_000_000) -> Outcome:
        await self.upstream_actor.attempts.run(record, now_us() + within_us)
        (message,) = self.messages
        assert isinstance(message, AttemptFinished)
        assert self.upstream_actor.attempts.in_flight == 0 and record.attempt_scope is None
        return message.outcome


def make_record(traffic_class: str = "once") -> SessionRecord:
    opening = wire_lines.parse_opening(f"OPEN a k1 c={traffic_class},d=1000\r\n".encode())
    assert isinstance(opening, wire_lines.Opening)
    return SessionRecord(Session(0, 0, 1, None, now_us() + 1_000_000), opening)


def endpoint_changes(rows: list[dict[str, Any]]) -> Any:
    return EndpointList(9, False, [parse_endpoint(row, "row") for row in rows])


class ScriptedUpstream:
    """A stand-in for an upstream, which answers each connection with a given function."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.address = ("", 0)
        self.ended_connections = 0

    async def start(
        self, tasks: TaskGroup, answer: Callable[[ScriptedUpstream, SocketStream], Awaitable[None]]
    ) -> ScriptedUpstream:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.address = ("127.0.0.1", port_of(listener))

        async def serve(session: SocketStream) -> None:
            with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
                async with session:
                    self.lines.append(await session.receive())
                    await answer(self, session)
                    while True:
                        await session.receive()
            self.ended_connections += 1

        tasks.start_soon(listener.serve, serve)
        return self

    @property
    def named(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"
