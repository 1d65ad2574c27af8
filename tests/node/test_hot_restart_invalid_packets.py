"""Packets of a hot restart that are cut, unknown, repeated or out of order, at each step, in both directions.

The process that receives one continues alone, and clients notice nothing.
"""

from __future__ import annotations

import os
import socket
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from anyio.abc import TaskGroup

from larchlatch.config.endpoints import EndpointList
from larchlatch.config.node import parse_node_configuration
from larchlatch.node.hot_restart.channel import HEADER, MAGIC, MAX_BODY_BYTES, VERSION, Channel, frame
from larchlatch.node.hot_restart.packets import (
    BalancerState,
    Hello,
    Packet,
    Serving,
    SessionHandover,
    StateHandover,
    Welcome,
)
from larchlatch.node.hot_restart.rendezvous import hello_of
from larchlatch.node.hot_restart.successor import Successor
from larchlatch.node.metrics import Counters
from larchlatch.policy.types import Outcome
from tests.support.configuration import node_configuration
from tests.support.hot_restart import (
    RestartedNode,
    components,
    connect_to_rendezvous,
    connected_channels,
    successor_of,
)
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.stand_ins import UpstreamStubs

STATE = StateHandover(BalancerState({"hosts": {}, "asked": [], "noted": 0.0}), [], 4, None, 0)
SESSION = SessionHandover(b"OPEN i k c=once,d=9\r\n", "s-0", 0.0, 0, int(Outcome.RESET), b"", b"")
PACKETS: list[Packet] = [
    Hello("n9", "127.0.0.1:1"),
    Welcome(EndpointList(1, True, [])),
    Serving(),
    STATE,
    SESSION,
]


def framed(body: bytes, descriptor_count: int = 0) -> bytes:
    return HEADER.pack(MAGIC, VERSION, descriptor_count, len(body)) + body


INVALID = {
    "nothing": b"",
    "cut header": frame(Serving(), 0)[:3],
    "cut body": frame(STATE, 0)[:-5],
    "no packet": b"GET / HTTP/1.1\r\nHost: somewhere\r\n\r\n",
    "unknown kind": framed(b'{"kind":"Later"}'),
    "no JSON": framed(b"{"),
    "missing descriptor": frame(SESSION, 2),
    "too long": HEADER.pack(MAGIC, VERSION, 0, MAX_BODY_BYTES + 1),
    **{type(packet).__name__: frame(packet, 0) for packet in PACKETS},
}
# What a successor sends at each step; sent alone it is valid there.
VALID_AT_STEP = {0: "", 1: "Serving", 2: ""}


async def take_steps(channel: Channel, hello: Hello, number: int) -> None:
    """Do what a successor does up to the given step of the hand-over."""
    exchanges: list[tuple[Packet, type[Packet]]] = [(hello, Welcome), (Serving(), StateHandover)]
    for packet, expected in exchanges[:number]:
        await channel.send(packet)
        received = await channel.receive()
        assert received is not None and isinstance(received.packet, expected)
        received.close_sockets()


async def read_to_end(channel: Channel) -> None:
    """Read until the other process has closed the connection."""
    try:
        while True:
            await channel.stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return


@pytest.mark.parametrize("step", [0, 1, 2])
def test_the_serving_process_continues_after_any_packet_of_a_successor(step: int, tmp_path: Path) -> None:
    """Guards against a node that ends, or rejects clients, because of one packet of a faulty new version."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        node = await RestartedNode(tasks, tmp_path).start(upstreams)
        async with node.node_process() as serving:
            await node.start_clients(3)
            await wait_until(lambda: node.seen["UP"] == 3)
            hello = hello_of(parse_node_configuration(node.raw))
            cases = [data for name, data in INVALID.items() if name != VALID_AT_STEP[step]]
            if step:
                cases.append(frame(hello, 0))
            for data in cases:
                channel = await connect_to_rendezvous(node)
                await take_steps(channel, hello, step)
                await channel.stream.send(data)
                await channel.stream.send_eof()
                await read_to_end(channel)
                await channel.close()
                await node.start_client()
            assert serving.process.returncode is None
            lines_before = node.seen["lines"]
            await wait_until(lambda: node.seen["lines"] > lines_before + 20)
            assert set(node.seen) == {"UP", "lines"} and node.seen["UP"] == 3 + len(cases)

    run_on_loopback(body)


@pytest.mark.parametrize("name", INVALID)
def test_a_successor_continues_alone_after_any_packet_of_its_predecessor(name: str) -> None:
    """Guards against a new process that ends at its start, or later, because of one packet of the old one."""

    async def body(tasks: TaskGroup) -> None:
        open_before = len(os.listdir("/proc/self/fd"))
        ours, theirs = await connected_channels()
        await theirs.stream.send(INVALID[name])
        await theirs.close()
        successor = successor_of(ours)
        await successor.take_over_state(components())
        await successor.run(components().connections, tasks)
        successor.listener.sock.close()
        ours, theirs = await connected_channels()
        successor = successor_of(ours)
        await theirs.stream.send(frame(STATE, 0) + INVALID[name])
        await theirs.close()
        await successor.take_over_state(components())
        await successor.run(components().connections, tasks)
        successor.listener.sock.close()
        assert len(os.listdir("/proc/self/fd")) == open_before, "a descriptor was left open"

    run_on_loopback(body)


@pytest.mark.parametrize("name", INVALID)
def test_a_process_that_gets_no_listening_socket_starts_alone(name: str) -> None:
    """Guards against a new process that can't start because of what an old one answers."""
    configuration = parse_node_configuration(node_configuration([], 2))

    async def body(tasks: TaskGroup) -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        theirs.sendall(INVALID[name])
        theirs.shutdown(socket.SHUT_WR)
        rendezvous: Any = SimpleNamespace(connect=lambda: ours)
        assert await Successor.connect(configuration, rendezvous, Counters()) is None
        theirs.close()

    run_on_loopback(body)


def test_a_descriptor_that_is_no_socket_makes_a_packet_invalid() -> None:
    """Guards against an unexpected error, and against a descriptor that stays open."""

    async def body(tasks: TaskGroup) -> None:
        ours, theirs = await connected_channels()
        read_end, write_end = os.pipe()
        open_before = len(os.listdir("/proc/self/fd"))
        await theirs.send(
            SESSION, [theirs.stream.extra(anyio.abc.SocketAttribute.raw_socket).fileno(), read_end]
        )
        await theirs.close()
        successor = successor_of(ours)
        await successor.run(components().connections, tasks)
        successor.listener.sock.close()
        assert len(os.listdir("/proc/self/fd")) == open_before - 2, "both ends of the channel are closed"
        for descriptor in (read_end, write_end):
            os.close(descriptor)

    run_on_loopback(body)
