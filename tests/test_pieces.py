"""Messages cut at any byte, from every side; and peers that stay and say, or read, nothing."""

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
from tests.ground import (
    IDENTS,
    Discovery,
    Upstreams,
    configuration,
    dial,
    member,
    on_loopback,
    opened,
    port_of,
    process,
    until,
)
from tests.test_node import NEWS, rest_of, serving, started

BETWEEN_S = 0.002  # between two pieces: read apart as a rule, and whatever way they are read is right


async def cut(send: Callable[[bytes], Awaitable[object]], data: bytes, at: int) -> None:
    """The data in two pieces."""
    for piece in (data[:at], data[at:]):
        if piece:
            await send(piece)
            await anyio.sleep(BETWEEN_S)


def test_a_clients_dialogue_cut_at_any_byte_reaches_its_host_whole() -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await Upstreams("UP echo").start(tasks, 2)
        port = await started(tasks, upstreams)
        first = "OPEN {} k1 c=rerun,t=acme,d=2000,g=k1\r\n"
        lines = b"one line\r\nand another\r\n"
        for at in range(1, len(first) + 4):
            client = await dial(port)
            await cut(client.send, first.format(f"id{next(IDENTS)}").encode(), at)
            assert await client.line() == b"UP echo\r\n"
            await cut(client.send, lines, at % len(lines))
            assert await client.line() + await client.line() == lines  # type: ignore[operator]
            await client.close()
        assert len(upstreams.lines) == len(first) + 3 and upstreams.most_out <= 1

    on_loopback(body)


@pytest.mark.parametrize(
    "said", [b"UP r1\r\nLOAD 12\r\nback\r\nBYE\r\n", b"BUSY inflight=7\r\n", b"MOVE\r\n", b"ERR\r\n"]
)
def test_a_hosts_dialogue_cut_at_any_byte_reaches_its_client_whole(said: bytes) -> None:
    async def body(tasks: TaskGroup) -> None:
        at = 1

        async def serve(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                await cut(stream.send, said, at)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, serve)
        discovery = await Discovery([NEWS]).start(tasks)
        raw = configuration([f"127.0.0.1:{port_of(listener)}"], discovery.port)
        port = await serving(tasks, raw)
        for at in range(1, len(said) + 1):  # noqa: B007
            got = b"".join(await rest_of(await opened(port, wait_ms=150, traffic_class="once")))
            if said.startswith(b"UP"):
                assert got == said
            else:
                # Turned away where it can't have run, or where its host rests by then.
                assert got.count(b"\r\n") == 1 and got.startswith((b"ERR", b"BUSY")), "one final answer"

    on_loopback(body)


def test_a_list_cut_at_any_byte_is_read_whole() -> None:
    whole = {"revision": 5, "complete": True, "members": [member(0, "127.0.0.1:9")]}
    text = orjson.dumps(whole) + b"\n\n"
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (text[:40], text[40:]))
    answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks

    async def body(tasks: TaskGroup) -> None:
        at = 1

        async def serve(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                await cut(stream.send, answer, at)
                await anyio.sleep_forever()

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, serve)
        for at in range(1, len(answer), 2):  # noqa: B007
            got: list[Message] = []

            async def post(word: Message, got: list[Message] = got) -> None:
                got.append(word)

            listing = DiscoveryClient(
                ("127.0.0.1", port_of(listener)), 1, True, Counters(), post, lambda low, high: high
            )
            async with anyio.create_task_group() as watching:
                watching.start_soon(listing.run)
                await listing.fresh.wait()
                watching.cancel_scope.cancel()
            (told,) = got
            assert isinstance(told, EndpointsChanged) and told.endpoints.revision == 5
            assert [entry.name for entry in told.endpoints.members] == ["s-0"]

    on_loopback(body)


def test_a_list_service_that_turns_callers_away_empties_no_list() -> None:
    """An HTTP error is a failed list: the node asks again, later and later, and works with what it has."""

    async def body(tasks: TaskGroup) -> None:
        asked = 0
        upstreams = await Upstreams("UP r1").start(tasks)

        async def serve(stream: SocketStream) -> None:
            nonlocal asked
            asked += 1
            async with stream:
                await stream.receive()
                await stream.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}")

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, serve)
        port = await serving(tasks, configuration(upstreams.addresses, port_of(listener)))
        for _ in range(5):
            assert await (await opened(port)).line() == b"UP r1\r\n"
            await anyio.sleep(0.3)
        assert 2 <= asked <= 12, "as a crowd of nodes this would keep it busy"

    on_loopback(body)


def test_a_client_that_never_reads_is_cut_off_and_gives_its_descriptors_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(session_watch, "CLIENT_STALL_LIMIT_US", 500_000)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await Upstreams("UP flood").start(tasks)
        client = await opened(await started(tasks, upstreams))
        assert await client.line() == b"UP flood\r\n"
        await client.send(b"more\r\n")
        await until(lambda: upstreams.ended == 1)

    on_loopback(body)


def test_the_node_tells_host_by_host_what_it_believes_beside_its_sockets(tmp_path: Path) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await Upstreams("UP r1").start(tasks, 2)
        story = {
            "revision": 3,
            "complete": False,
            "members": [member(1, upstreams.addresses[1], "terminating")],
        }
        discovery = await Discovery([NEWS, story]).start(tasks)
        path = tmp_path / "node.json"
        path.write_bytes(orjson.dumps(configuration(upstreams.addresses, discovery.port)))
        async with process(path) as running:
            clients = [await opened(running.port, key=f"k{number}") for number in range(3)]
            for client in clients:
                assert await client.line() == b"UP r1\r\n"
            running.signal(signal.SIGUSR1)
            rows = {row["host"]: row for row in [await running.told("host") for _ in range(2)]}
        assert sum(row["links"] for row in rows.values()) == 3
        for row in rows.values():
            assert row["links"] == row["links_open"] and row["tries"] == row["tries_open"] == 0
        assert rows["s-0"]["left_out"] == "" and rows["s-1"]["left_out"] == "draining"

    on_loopback(body)


async def pong_once(stream: SocketStream) -> None:
    """A host that answers the first probe on a connection; a later one finds it silent."""
    async with stream:
        await stream.receive()
        await stream.send(b"PONG\r\n")
        await anyio.sleep_forever()


def test_a_probes_connection_takes_room_and_gives_it_back() -> None:
    async def body(tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, pong_once)
        room = DescriptorBudget(100)

        async def post(word: Message) -> None:
            pass

        reach = UpstreamSettings(250_000, False, False, 0)
        upstream = UpstreamActor(0, "s-0", ("127.0.0.1", port_of(listener)), reach, room, Counters(), post)
        free = room.free
        assert await upstream.prober.query() is not None and room.free == free - 1
        assert await upstream.prober.query() is None and room.free == free

    on_loopback(body)


def test_a_probe_ordered_while_one_is_under_way_does_not_end_the_node() -> None:
    # Danger: other nodes' words order probes beside the node's own; both would read from one connection.
    async def body(tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, pong_once)
        told: list[Message] = []

        async def post(word: Message) -> None:
            told.append(word)

        reach = UpstreamSettings(250_000, False, False, 0)
        upstream = UpstreamActor(
            0, "s-0", ("127.0.0.1", port_of(listener)), reach, DescriptorBudget(100), Counters(), post
        )
        await upstream.prober.run()
        async with anyio.create_task_group() as both:
            both.start_soon(upstream.prober.run)
            both.start_soon(upstream.prober.run)
        assert [word.answered for word in told if isinstance(word, ProbeFinished)] == [True, False]

    on_loopback(body)
