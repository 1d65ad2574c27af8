"""Races between other events and a client that leaves or sends more. Each test forces its race."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import orjson
import pytest
from anyio.abc import SocketStream, TaskGroup

from larchlatch.node import attempts as node_attempts
from larchlatch.node import runtime as node_run
from larchlatch.node.clients import request_reader
from larchlatch.node.clients.connections import ClientConnections
from larchlatch.node.clock import now_us
from larchlatch.node.descriptor_budget import HEADROOM
from larchlatch.node.mailbox import Mailbox
from larchlatch.node.messages import EndpointsChanged
from larchlatch.node.wire import dialing, raw_socket, stream
from larchlatch.node.wire.dialing import Unconnected
from tests.support.clients import open_session
from tests.support.configuration import endpoint_row, node_configuration
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node import start_node, start_node_with
from tests.support.node_process import admin_address, call_admin_api, node_process
from tests.support.races import (
    MANY_LINES,
    PATIENT_US,
    SOON_S,
    connect_raw,
    endpoint_changes,
    request_line,
    send_and_read_all,
    wait_until_idle,
)
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs

# Closing a connection while it has unread data.


@pytest.mark.parametrize("first", [b"nonsense\r\n", b"OPEN a\r\n", b"x" * 5000, b"OPEN half"])
def test_an_answer_arrives_although_unread_bytes_follow_the_request(
    first: bytes, client_connections: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A close with unread data resets the connection, and the client loses its answer.

    The unread data arrives after the node has read the request and before it sends the answer.
    """
    monkeypatch.setattr(request_reader, "FIRST_LINE_S", 0.2)
    clients: list[socket.socket] = []
    original = stream.LineConnection.send

    async def send(lines: stream.LineConnection, data: bytes) -> bool:
        clients[0].sendall(b"more and more\r\n" * 100)
        return await original(lines, data)

    monkeypatch.setattr(stream.LineConnection, "send", send)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("silent").start(tasks)
        port = await start_node_with(tasks, upstreams)
        clients.append(connect_raw(port, first))
        assert await send_and_read_all(clients[0]) == b"ERR\r\n"
        await wait_until_idle(client_connections[0])

    run_on_loopback(body)


def test_a_session_shed_unread_gets_its_complete_answer() -> None:
    """A close while the client still sends would reset the connection, and the answer would be lost."""

    async def body(tasks: TaskGroup) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            client = connect_raw(server.getsockname()[1], request_line("a"))
            node, _ = server.accept()
        assert node.recv(100) == request_line("a")
        node.setblocking(False)
        raw_socket.send_last_line(node, b"BUSY 7\r\n")
        tasks.start_soon(raw_socket.discard_and_close, node, 1.0)
        assert await send_and_read_all(client, MANY_LINES) == b"BUSY 7\r\n"
        await wait_until(lambda: node.fileno() < 0)

    run_on_loopback(body)


# Clients that leave.


def test_a_client_whose_end_follows_other_bytes_counts_as_gone(
    client_connections: list[ClientConnections],
) -> None:
    """Guards against an attempt for a client that has left, when unread data precedes the client's end.

    The client continues a session, sends more lines, and leaves while its session is held.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        rows = [endpoint_row(0, upstreams.addresses[0])]
        discovery = await DiscoveryStub([]).start(tasks)
        raw = node_configuration(upstreams.addresses, discovery.port)
        raw["known"]["members"][0]["phase"] = "terminating"
        raw["settings"]["tariffs"][0]["cut_off_us"] = PATIENT_US
        port = await start_node(tasks, raw)
        client = connect_raw(port, request_line("a", ",mid=1", PATIENT_US // 1000))
        await wait_until(lambda: client_connections[0].sessions.open_count == 1)
        client.sendall(b"one\r\n")
        client.sendall(b"two\r\n")
        client.close()
        with anyio.fail_after(SOON_S):
            await wait_until_idle(client_connections[0])
        client_connections[0]._balancer_actor.handle(now_us(), EndpointsChanged(endpoint_changes(rows), True))
        assert await (await open_session(port)).line() == b"UP r1\r\n"
        assert len(upstreams.lines) == 1, "an attempt was made for a client that had left"

    run_on_loopback(body)


@pytest.mark.parametrize("unread", [b"", b"unread\r\n" * 100])
def test_no_attempt_is_sent_for_a_client_that_left_after_the_decision(
    unread: bytes, client_connections: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    """An attempt after the client's end would establish a session without a client.

    The client's end arrives, and is not read yet, while the node connects to the upstream.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        port = await start_node_with(tasks, upstreams)
        clients: list[socket.socket] = []

        async def dial_with_event(address: tuple[str, int], within_s: float) -> socket.socket | Unconnected:
            connection = await dialing.dial(address, within_s)
            if clients:
                clients[0].sendall(unread)
                clients.pop().close()
            return connection

        monkeypatch.setattr(node_attempts, "dial", dial_with_event)
        clients.append(connect_raw(port, request_line("a", ",mid=1")))
        await wait_until(lambda: not clients)
        await wait_until_idle(client_connections[0])
        assert not upstreams.lines
        assert client_connections[0].counters.counts["attempt_not_begun_client_gone"] == 1

    run_on_loopback(body)


def test_a_client_that_leaves_before_its_decision_causes_no_attempt(
    client_connections: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request that waits while the mailbox is full must be dropped when its client leaves."""
    mailbox_has_room = anyio.Event()
    original = Mailbox.submit

    async def submit(mailbox: Mailbox, message: Any) -> None:
        await mailbox_has_room.wait()  # while the mailbox is full
        await original(mailbox, message)

    monkeypatch.setattr(Mailbox, "offer", lambda mailbox, message: False)
    monkeypatch.setattr(Mailbox, "submit", submit)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        discovery = await DiscoveryStub([]).start(tasks)
        raw = node_configuration(upstreams.addresses, discovery.port)
        raw["settings"]["tariffs"][0]["cut_off_us"] = PATIENT_US
        port = await start_node(tasks, raw)
        client = connect_raw(port, request_line("a", wait_ms=PATIENT_US // 1000))
        await wait_until(lambda: client_connections[0].sessions.open_count == 1)
        client.close()
        with anyio.fail_after(SOON_S):
            await wait_until(lambda: client_connections[0].sessions.open_count == 0)
        mailbox_has_room.set()
        await wait_until_idle(client_connections[0])
        assert not upstreams.lines

    run_on_loopback(body)


def test_a_session_without_a_decision_is_answered_in_time(
    client_connections: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client must not wait beyond its deadline when the mailbox stays full and no decision is made."""

    async def submit(mailbox: Mailbox, message: Any) -> None:
        await anyio.sleep_forever()

    monkeypatch.setattr(Mailbox, "offer", lambda mailbox, message: False)
    monkeypatch.setattr(Mailbox, "submit", submit)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        port = await start_node_with(tasks, upstreams)
        began = anyio.current_time()
        assert (await send_and_read_all(connect_raw(port, request_line("a", wait_ms=1000)))).startswith(
            b"BUSY "
        )
        assert anyio.current_time() < began + 1.0
        assert not upstreams.lines
        await wait_until_idle(client_connections[0])

    run_on_loopback(body)


# Many clients or nodes at once.


def test_idle_clients_with_all_descriptors_block_neither_discovery_nor_operators(
    client_connections: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Idle clients that take all descriptors could leave none for discovery and the admin API.

    They connect while discovery is down. The admin API must answer, and once discovery is up again, the node
    must apply its list and serve clients.
    """
    monkeypatch.setattr(node_run, "FIRST_LIST_WAIT_S", 0.1)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks, 2)
        closed = socket.create_server(("127.0.0.1", 0))
        discovery_port = closed.getsockname()[1]
        closed.close()
        raw = node_configuration(upstreams.addresses[:1], discovery_port)
        raw["limits"] = {"sockets": HEADROOM + 24}
        raw["control"] = admin_address()
        node_port = await start_node(tasks, raw)
        idle = [connect_raw(node_port, b"") for _ in range(60)]
        await wait_until(lambda: client_connections[0].counters.counts["idle_connection_evicted_silent"] > 0)
        assert (await call_admin_api(raw["control"], "GET /ops/readiness"))[0] == 200
        rows = [
            endpoint_row(0, upstreams.addresses[0], "terminating"),
            endpoint_row(1, upstreams.addresses[1]),
        ]
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=discovery_port, reuse_port=True
        )

        async def serve(session: SocketStream) -> None:
            async with session:
                await session.receive()
                update = orjson.dumps({"revision": 5, "complete": True, "members": rows}) + b"\n"
                await session.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                await session.send(b"%x\r\n%s\r\n" % (len(update), update))
                await anyio.sleep_forever()

        tasks.start_soon(listener.serve, serve)
        await wait_until(lambda: client_connections[0].counters.counts["endpoint_list_full"] == 1)
        for _ in range(5):
            assert await (await open_session(node_port)).line() == b"UP r1\r\n"
        assert {upstream for upstream, _ in upstreams.lines} == {1}
        for client in idle:
            client.close()

    run_on_loopback(body)


def test_many_nodes_that_start_at_once_are_ready_in_time(tmp_path: Path) -> None:
    """Nodes that start together compete for processor time, which must not delay their readiness for long.

    Thirty processes start while discovery can't be reached; 27 of them must be ready within 10 s.
    """

    async def body(tasks: TaskGroup) -> None:
        path = tmp_path / "node.json"
        path.write_bytes(orjson.dumps(node_configuration(["127.0.0.1:1"], 1)))
        began = anyio.current_time()
        ready: list[float] = []

        async def start() -> None:
            async with node_process(path):
                ready.append(anyio.current_time() - began)

        async with anyio.create_task_group() as starts:
            for _ in range(30):
                starts.start_soon(start)
        assert sorted(ready)[26] < 10.0

    run_on_loopback(body)
