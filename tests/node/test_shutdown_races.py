"""Races of a shutdown: a node ends during another event, at a time that the test determines."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import orjson
import pytest
from anyio.abc import SocketStream, TaskGroup

from larchlatch.node import runtime as node_runtime
from larchlatch.node.client_listener import ClientListener
from larchlatch.node.clients import request_reader
from larchlatch.node.clients.connections import ClientConnections
from larchlatch.node.shutdown import GracefulShutdown
from larchlatch.node.wire import stream
from tests.support.clients import open_session
from tests.support.configuration import node_configuration
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node import start_node, start_node_with
from tests.support.node_process import admin_address, node_process
from tests.support.races import (
    ScriptedUpstream,
    connect_raw,
    request_line,
    send_and_read_all,
    wait_until_idle,
)
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs

# SIGTERM, and what clients are answered when a node ends.


def short_deadline_configuration(upstreams: UpstreamStubs, discovery: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration with short deadlines, on which the duration of a stop depends."""
    raw = node_configuration(upstreams.addresses, discovery, **changes)
    for traffic_class in raw["settings"]["tariffs"]:
        traffic_class["cut_off_us"] = 400_000
    return raw


@pytest.mark.parametrize("mode", ["proxy", "pass"])
def test_idle_clients_get_an_answer_and_no_reset_when_the_node_ends(mode: str, tmp_path: Path) -> None:
    """Guards against clients without a complete request whose connections are reset when the node ends.

    One client sends nothing and one half a line. A session waits for its upstream's answer and gets it.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("late UP r1").start(tasks)
        discovery = await DiscoveryStub([]).start(tasks)
        path = tmp_path / "node.json"
        raw = short_deadline_configuration(upstreams, discovery.port, domain={"mode": mode})
        raw["settings"]["tariffs"][0]["cut_off_us"] = 2_000_000
        path.write_bytes(orjson.dumps(raw))
        async with node_process(path) as node:
            idle = [connect_raw(node.port, data) for data in (b"", b"OPEN half")]
            waiting = await open_session(node.port)
            await wait_until(lambda: len(upstreams.lines) == 1)
            for _ in range(2):  # the second signal has no effect
                node.signal(signal.SIGTERM)
            assert await waiting.line() == b"UP r1\r\n"
            await waiting.close()
            for client in idle:
                assert (await send_and_read_all(client)).startswith(b"BUSY ")
            assert await node.exit_code() == 0

    run_on_loopback(body)


@pytest.mark.parametrize("operation", ["start", "SIGHUP"])
def test_sigterm_during_another_operation_ends_the_node_normally(operation: str, tmp_path: Path) -> None:
    """Guards against a SIGTERM that is lost, or that interrupts another operation.

    It arrives while the node waits for its first endpoint list, and right after SIGHUP.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("late UP r1").start(tasks)
        silent_discovery = await ScriptedUpstream().start(
            tasks, lambda upstream, session: anyio.sleep_forever()
        )
        path = tmp_path / "node.json"
        raw = short_deadline_configuration(upstreams, silent_discovery.address[1])
        raw["settings"]["tariffs"][0]["cut_off_us"] = 2_000_000
        raw["control"] = admin_address()
        path.write_bytes(orjson.dumps(raw))
        event = "admin_api_listening" if operation == "start" else "serving"
        async with node_process(path, event) as node:
            if operation == "start":
                node.signal(signal.SIGTERM)
                await node.next_event("stopping")
                assert (await node.next_event("serving"))["upstreams"] == 1
            else:
                waiting = await open_session(node.port)
                await wait_until(lambda: len(upstreams.lines) == 1)
                for signal_number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                    node.signal(signal_number)
                assert await waiting.line() == b"UP r1\r\n"
                await waiting.close()
                await node.next_event("stopping")
            await node.next_event("stopped")
            assert await node.exit_code() == 0

    run_on_loopback(body)


def test_a_reset_of_an_established_session_is_passed_on_to_its_client(
    client_connections: list[ClientConnections],
) -> None:
    """Guards against a reset that reaches the client as a normal end, which it would take for completion."""

    async def body(tasks: TaskGroup) -> None:
        session_established = anyio.Event()

        async def answer(upstream: ScriptedUpstream, session: SocketStream) -> None:
            await session.send(b"UP r1\r\n")
            await session_established.wait()
            await stream.LineConnection(session).close(reset=True)

        upstream = await ScriptedUpstream().start(tasks, answer)
        discovery = await DiscoveryStub([]).start(tasks)
        port = await start_node(tasks, node_configuration([upstream.named], discovery.port))
        client = await open_session(port)
        assert await client.line() == b"UP r1\r\n"
        session_established.set()
        assert await client.line() is stream.Ending.RESET
        await wait_until_idle(client_connections[0])
        assert len(upstream.lines) == 1

    run_on_loopback(body)


def test_clients_in_the_backlog_are_answered_at_the_end_and_later_ones_refused(
    client_connections: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against clients that get a reset instead of an answer when the node closes its listener.

    The operating system has accepted their connections and received their requests, but the node has not.
    """
    listeners: list[ClientListener] = []

    class RecordedListener(ClientListener):
        def __init__(self, *arguments: Any) -> None:
            super().__init__(*arguments)
            listeners.append(self)

    monkeypatch.setattr(node_runtime, "ClientListener", RecordedListener)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        port = await start_node_with(tasks, upstreams)
        (listener,) = listeners
        listener.pause()
        await listener.idle.wait()
        waiting = [
            connect_raw(port, data) for data in [request_line(f"id{n}") for n in range(50)] + [b"", b"half"]
        ]
        assert client_connections[0].connection_count == 0
        client_connections[0].reject_all()
        await listener.close()
        with pytest.raises(ConnectionRefusedError):
            connect_raw(port, b"")
        for client in waiting:
            assert (await send_and_read_all(client)).startswith(b"BUSY ")
        assert not upstreams.lines

    run_on_loopback(body)


def test_clients_in_the_backlog_are_answered_before_a_node_without_other_clients_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reset of the clients that are accepted last, while no other client is connected.

    Found by `larchlatch soak --single --minutes 4 --seed 8`.
    """
    shutdowns: list[GracefulShutdown] = []

    class RecordedShutdown(GracefulShutdown):
        def __init__(self, *arguments: Any) -> None:
            super().__init__(*arguments)
            shutdowns.append(self)

    monkeypatch.setattr(node_runtime, "GracefulShutdown", RecordedShutdown)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        port = await start_node_with(tasks, upstreams)
        (shutdown,) = shutdowns
        shutdown._listener.pause()
        await shutdown._listener.idle.wait()
        waiting = [connect_raw(port, data) for data in (request_line("a"), b"", b"half")]
        shutdown._lifecycle.stop_duration_s = 0.0
        shutdown._lifecycle.start_stop(anyio.current_time())
        await shutdown.run()
        for client in waiting:
            assert (await send_and_read_all(client)).startswith(b"BUSY ")
        assert not upstreams.lines

    run_on_loopback(body)


def test_a_node_that_ends_sheds_connections_accepted_by_the_system(
    client_connections: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against clients without an answer whose connections are accepted while the node ends."""
    monkeypatch.setattr(request_reader, "FIRST_LINE_S", 1000.0)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        port = await start_node_with(tasks, upstreams)
        idle = connect_raw(port, b"")
        await wait_until(lambda: client_connections[0].reader.without_line == 1)
        client_connections[0].reject_all()
        connected = [connect_raw(port, data) for data in (request_line("a"), b"", b"half a li")]
        for client in (idle, *connected):
            assert (await send_and_read_all(client)).startswith(b"BUSY ")
        assert not upstreams.lines
        await wait_until_idle(client_connections[0])

    run_on_loopback(body)


def test_sessions_in_flight_are_answered_before_the_node_ends(
    client_connections: list[ClientConnections],
) -> None:
    """Guards against a node that ends, or is killed, while requests are in flight, which then get no answer.

    Their clients would wait longer than the stop lasts.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("silent").start(tasks)
        port = await start_node_with(tasks, upstreams)
        lifecycle = client_connections[0]._lifecycle
        lifecycle.start_stop(anyio.current_time())
        lifecycle.stop_duration_s = 0.3
        started_at = anyio.current_time()
        assert await send_and_read_all(connect_raw(port, request_line("a", wait_ms=3000)))
        assert anyio.current_time() < started_at + 2.0
        await wait_until_idle(client_connections[0])

    run_on_loopback(body)
