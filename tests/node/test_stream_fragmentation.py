"""Data that arrives in fragments, from any peer, and peers that stay connected but do not answer or read."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import orjson
import pytest
from anyio.abc import SocketStream, TaskGroup

from larchlatch.config.upstream import UpstreamSettings
from larchlatch.node import session_watch
from larchlatch.node.descriptor_budget import DescriptorBudget
from larchlatch.node.discovery import DiscoveryClient
from larchlatch.node.messages import EndpointsChanged, Message, ProbeFinished
from larchlatch.node.metrics import Counters
from larchlatch.node.upstream_actor import UpstreamActor
from larchlatch.node.upstream_context import UpstreamContext, UpstreamTarget
from tests.support.clients import CLIENT_IDS, connect, open_session, read_to_end
from tests.support.configuration import endpoint_row, node_configuration
from tests.support.loopback import port_of, run_on_loopback, wait_until
from tests.support.node import EMPTY_CHANGE, start_node, start_node_with
from tests.support.node_process import node_process
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs

FRAGMENT_INTERVAL_S = 0.002  # between two fragments: usually they are read separately, but need not be


async def send_split(send: Callable[[bytes], Awaitable[object]], data: bytes, at: int) -> None:
    """Send the data in two fragments, split at a byte."""
    for fragment in (data[:at], data[at:]):
        if fragment:
            await send(fragment)
            await anyio.sleep(FRAGMENT_INTERVAL_S)


def test_client_data_split_at_any_byte_reaches_the_upstream_complete() -> None:
    """A request or line that arrives in two fragments must be neither truncated nor taken for two lines."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        port = await start_node_with(tasks, upstreams)
        first = "OPEN {} k1 c=rerun,t=acme,d=2000,g=k1\r\n"
        lines = b"one line\r\nand another\r\n"
        for at in range(1, len(first) + 4):
            client = await connect(port)
            await send_split(client.send, first.format(f"id{next(CLIENT_IDS)}").encode(), at)
            assert await client.line() == b"UP echo\r\n"
            await send_split(client.send, lines, at % len(lines))
            assert await client.line() + await client.line() == lines  # type: ignore[operator]
            await client.close()
        assert len(upstreams.lines) == len(first) + 3 and upstreams.most_out <= 1

    run_on_loopback(body)


@pytest.mark.parametrize(
    "data", [b"UP r1\r\nLOAD 12\r\nback\r\nBYE\r\n", b"BUSY inflight=7\r\n", b"MOVE\r\n", b"ERR\r\n"]
)
def test_upstream_data_split_at_any_byte_reaches_the_client_complete(data: bytes) -> None:
    """An upstream's answer that arrives in two fragments must be parsed and relayed like a whole one."""

    async def body(tasks: TaskGroup) -> None:
        at = 1

        async def serve(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                await send_split(stream.send, data, at)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, serve)
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        raw = node_configuration([f"127.0.0.1:{port_of(listener)}"], discovery.port)
        port = await start_node(tasks, raw)
        for at in range(1, len(data) + 1):  # noqa: B007
            got = b"".join(await read_to_end(await open_session(port, wait_ms=150, traffic_class="once")))
            if data.startswith(b"UP"):
                assert got == data
            else:
                # BUSY if no attempt can have run, or if the upstream is in backoff by then.
                assert got.count(b"\r\n") == 1 and got.startswith((b"ERR", b"BUSY")), "not one final answer"

    run_on_loopback(body)


def test_an_endpoint_list_split_at_any_byte_is_read_completely() -> None:
    """A list split at any byte, also within an HTTP chunk, must be neither truncated nor rejected."""
    endpoint_list = {"revision": 5, "complete": True, "members": [endpoint_row(0, "127.0.0.1:9")]}
    text = orjson.dumps(endpoint_list) + b"\n\n"
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (text[:40], text[40:]))
    answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks

    async def body(tasks: TaskGroup) -> None:
        at = 1

        async def serve(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                await send_split(stream.send, answer, at)
                await anyio.sleep_forever()

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, serve)
        for at in range(1, len(answer), 2):  # noqa: B007
            got: list[Message] = []

            async def post(message: Message, got: list[Message] = got) -> None:
                got.append(message)

            client = DiscoveryClient(
                ("127.0.0.1", port_of(listener)),
                revision=1,
                pushed=True,
                counters=Counters(),
                post=post,
                uniform=lambda low, high: high,
            )
            async with anyio.create_task_group() as watching:
                watching.start_soon(client.run)
                await client.first_update.wait()
                watching.cancel_scope.cancel()
            (update,) = got
            assert isinstance(update, EndpointsChanged) and update.endpoints.revision == 5
            assert [entry.name for entry in update.endpoints.endpoints] == ["s-0"]

    run_on_loopback(body)


def test_the_endpoint_list_is_kept_if_discovery_rejects_calls() -> None:
    """A node that took an HTTP error for an empty list could serve no client.

    The error is a failed call: the node keeps the list that it has and calls again with backoff.
    """

    async def body(tasks: TaskGroup) -> None:
        call_count = 0
        upstreams = await UpstreamStubs("UP r1").start(tasks)

        async def serve(stream: SocketStream) -> None:
            nonlocal call_count
            call_count += 1
            async with stream:
                await stream.receive()
                await stream.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}")

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, serve)
        port = await start_node(tasks, node_configuration(upstreams.addresses, port_of(listener)))
        for _ in range(5):
            assert await (await open_session(port)).line() == b"UP r1\r\n"
            await anyio.sleep(0.3)
        assert 2 <= call_count <= 12, "no further call, or so many that nodes would overload discovery"

    run_on_loopback(body)


def test_a_client_that_never_reads_is_disconnected_and_releases_its_descriptors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client that never reads would otherwise occupy two descriptors and buffered data without end."""
    monkeypatch.setattr(session_watch, "CLIENT_STALL_LIMIT_US", 500_000)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP flood").start(tasks)
        client = await open_session(await start_node_with(tasks, upstreams))
        assert await client.line() == b"UP flood\r\n"
        await client.send(b"more\r\n")
        await wait_until(lambda: upstreams.ended_connections == 1)

    run_on_loopback(body)


def test_upstream_status_agrees_with_the_open_connections(tmp_path: Path) -> None:
    """The sessions and attempts that the balancer counts must agree with the connections that are open.

    A difference would mean that one of them loses track of a session.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks, 2)
        update = {
            "revision": 3,
            "complete": False,
            "members": [endpoint_row(1, upstreams.addresses[1], "terminating")],
        }
        discovery = await DiscoveryStub([EMPTY_CHANGE, update]).start(tasks)
        path = tmp_path / "node.json"
        path.write_bytes(orjson.dumps(node_configuration(upstreams.addresses, discovery.port)))
        async with node_process(path) as running:
            clients = [await open_session(running.port, key=f"k{number}") for number in range(3)]
            for client in clients:
                assert await client.line() == b"UP r1\r\n"
            running.signal(signal.SIGUSR1)
            rows = {
                row["upstream"]: row
                for row in [await running.next_event("upstream_status") for _ in range(2)]
            }
        assert sum(row["sessions"] for row in rows.values()) == 3
        for row in rows.values():
            assert row["sessions"] == row["sessions_open"]
            assert row["attempts"] == row["attempts_open"] == 0
        assert rows["s-0"]["exclusion"] == "" and rows["s-1"]["exclusion"] == "draining"

    run_on_loopback(body)


async def pong_once(stream: SocketStream) -> None:
    """Answer the first probe on a connection and leave a later one without an answer."""
    async with stream:
        await stream.receive()
        await stream.send(b"PONG\r\n")
        await anyio.sleep_forever()


def test_a_probes_connection_reserves_and_releases_a_descriptor() -> None:
    """Probe connections that are not counted would let the node exceed its descriptor limit."""

    async def body(tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, pong_once)
        descriptors = DescriptorBudget(100)

        async def post(message: Message) -> None:
            pass

        upstream_settings = UpstreamSettings(250_000, False, False, 0)
        upstream = UpstreamActor(
            UpstreamTarget(0, "s-0", ("127.0.0.1", port_of(listener))),
            UpstreamContext(upstream_settings, descriptors, Counters(), post),
        )
        free = descriptors.free
        assert await upstream.prober.query() is not None and descriptors.free == free - 1
        assert await upstream.prober.query() is None and descriptors.free == free

    run_on_loopback(body)


def test_a_probe_requested_while_one_is_running_does_not_end_the_node() -> None:
    """Two probes at once would read from the same connection, and the exception would end the node.

    A probe that other nodes' observations request can coincide with one of the node's own schedule.
    """

    async def body(tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, pong_once)
        posted: list[Message] = []

        async def post(message: Message) -> None:
            posted.append(message)

        upstream_settings = UpstreamSettings(250_000, False, False, 0)
        upstream = UpstreamActor(
            UpstreamTarget(0, "s-0", ("127.0.0.1", port_of(listener))),
            UpstreamContext(upstream_settings, DescriptorBudget(100), Counters(), post),
        )
        await upstream.prober.run()
        async with anyio.create_task_group() as both:
            both.start_soon(upstream.prober.run)
            both.start_soon(upstream.prober.run)
        assert [message.answered for message in posted if isinstance(message, ProbeFinished)] == [True, False]

    run_on_loopback(body)
