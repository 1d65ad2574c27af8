"""Eviction of idle connections: the rule without I/O, and a node with many idle and some slow clients."""

from __future__ import annotations

import socket
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from anyio.abc import TaskGroup, UNIXSocketStream
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.config.endpoints import EndpointList
from larchlatch.node.clients import request_reader
from larchlatch.node.descriptor_budget import (
    HEADROOM,
    MAX_FRAGMENTS,
    MIN_IDLE_CONNECTIONS,
    DescriptorBudget,
    IdleConnection,
)
from larchlatch.node.hot_restart.channel import Channel
from larchlatch.node.hot_restart.packets import BalancerState, SessionHandover, StateHandover
from larchlatch.node.hot_restart.successor import Successor
from larchlatch.node.metrics import Counters
from larchlatch.node.wire.listen import Listener
from larchlatch.node.wire.stream import Ending
from larchlatch.policy.types import Outcome
from tests.support.clients import CLIENT_IDS, connect
from tests.support.configuration import node_configuration
from tests.support.loopback import run_on_loopback
from tests.support.node import EMPTY_CHANGE, start_node
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs

STEPS = st.tuples(
    st.sampled_from(["connect", "part", "ping", "line", "leave", "socket", "end"]),
    st.integers(0, 30),
    st.floats(0.0, 1.0),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(STEPS, max_size=80), st.integers(1, 200))
def test_the_budget_is_kept_and_idle_connections_are_evicted_in_order(
    steps: list[tuple[str, int, float]], sockets: int
) -> None:
    budget, now = DescriptorBudget(sockets), 50.0
    idle: list[IdleConnection] = []  # connected, in their order
    evicted: list[IdleConnection] = []
    held = 0

    def evict(connection: IdleConnection) -> None:
        nonlocal held
        idle.remove(connection)
        evicted.append(connection)
        held -= 1
        budget.release()

    def new_connection(now: float) -> IdleConnection:
        connection = IdleConnection(lambda: evict(connection), now)
        return connection

    for step, which, passed in steps:
        now += passed
        connection = idle[which % len(idle)] if idle else None
        if step in ("connect", "socket"):
            before, had_free = list(idle), budget.free > 0
            if budget.reserve(now):
                held += 1
                if step == "connect":
                    idle.append(new_connection(now))
                    budget.add_idle(idle[-1], now)
            else:
                assert not before and not had_free, "refused though an idle connection could be evicted"
            for victim in [victim for victim in before if victim not in idle]:
                # One that goes on with a line is kept while another has been silent for twice as long.
                for other in idle:
                    longest = (now - victim.last_received_at) / 2 ** min(MAX_FRAGMENTS, victim.fragments)
                    assert (
                        longest
                        >= (now - other.last_received_at) / 2 ** min(MAX_FRAGMENTS, other.fragments) - 1e-9
                    )
        elif connection is None:
            continue
        elif step in ("part", "ping"):
            budget.record_received(connection, now, is_complete_line=step == "ping")
        elif step == "line":  # it has a session now and is never evicted
            assert budget.remove_idle(connection)
            idle.remove(connection)
        else:
            assert budget.remove_idle(connection)
            idle.remove(connection)
            held -= 1
            budget.release()
        assert held == budget.in_use <= max(2, sockets - HEADROOM)
        assert len(idle) <= max(MIN_IDLE_CONNECTIONS, budget.idle_limit)
    assert not set(evicted) & set(idle)


def test_slow_clients_are_served_beside_a_thousand_idle_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    """Many idle clients must not cause the eviction of clients that send their requests slowly.

    A thousand idle clients connect, which is twenty times the number that may stay open.
    """
    monkeypatch.setattr(request_reader, "FIRST_LINE_S", 2.0)
    monkeypatch.setattr(request_reader, "AFTER_PING_S", 2.0)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks, 2)
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        raw: dict[str, Any] = node_configuration(upstreams.addresses, discovery.port)
        raw["limits"]["sockets"] = 192
        port = await start_node(tasks, raw)
        idle_answers = []

        async def idle_client(data: bytes) -> None:
            client = await connect(port)
            if data:
                await client.send(data)
            line = await client.line()
            if data == b"PING\r\n":
                assert line == b"PONG\r\n"
                line = await client.line()
            idle_answers.append(line)
            await client.close()

        async def slow_client() -> None:
            client = await connect(port)
            text = f"OPEN id{next(CLIENT_IDS)} k1 c=rerun,t=acme,d=2000,g=k1\r\n".encode()
            for offset in range(0, len(text), 9):
                await client.send(text[offset : offset + 9])
                await anyio.sleep(0.3 if offset else 0.03)
            slow_answers.append(await client.line())

        slow_answers: list[bytes | Ending] = []
        async with anyio.create_task_group() as idle_tasks:
            for number in range(1000):
                idle_tasks.start_soon(
                    idle_client, (b"", b"OPEN i", b"PING\r\n", b"", b"PING\r\n")[number % 5]
                )
                if number % 100 == 50:
                    tasks.start_soon(slow_client)
                if number % 10 == 0:
                    await anyio.sleep(0.04)
            with anyio.fail_after(6):
                while len(slow_answers) < 10:
                    await anyio.sleep(0.02)
        assert slow_answers == [b"UP r1\r\n"] * 10
        assert len(idle_answers) == 1000 and set(idle_answers) <= {b"ERR\r\n", Ending.END, Ending.RESET}

    run_on_loopback(body)


def test_adopted_sessions_count_as_in_use_until_they_end() -> None:
    """Guards against a next successor that is told of too few descriptors in use by this process."""

    async def body(tasks: TaskGroup) -> None:
        ours, theirs = socket.socketpair()
        for sock in (ours, theirs):
            sock.setblocking(False)
        channel = Channel(await UNIXSocketStream.from_socket(ours))
        listener = Listener(socket.create_server(("127.0.0.1", 0)))
        successor = Successor(channel, EndpointList(1, True, []), listener, Counters())
        descriptors = DescriptorBudget(100)
        capacity = descriptors.capacity

        async def adopt(packet: SessionHandover, sockets: list[socket.socket]) -> None:
            for sock in sockets:
                sock.close()
                if packet.load:  # a session that ends before the predecessor does
                    descriptors.release()

        def accept(*_: object) -> None: ...

        ids = SimpleNamespace(reserve=accept, release_reserved=accept)
        connections: Any = SimpleNamespace(
            requests=SimpleNamespace(ids=ids), descriptors=descriptors, adopt=adopt
        )
        components: Any = SimpleNamespace(
            descriptors=descriptors,
            connections=connections,
            lifecycle=None,
            balancer_actor=SimpleNamespace(restore=accept),
        )
        predecessor = Channel(await UNIXSocketStream.from_socket(theirs))
        await predecessor.send(StateHandover(BalancerState({}), [], 30, None, 0))
        for load in (0.0, 0.0, 0.0, 1.0):
            pair = socket.socketpair()
            packet = SessionHandover(b"", "s-0", load, 0, int(Outcome.RESET), b"", b"")
            await predecessor.send(packet, [sock.fileno() for sock in pair])
            for sock in pair:
                sock.close()
        await predecessor.close()
        await successor.take_over_state(components)
        async with anyio.create_task_group() as adopting:
            await successor.run(connections, adopting)
        assert descriptors.capacity == capacity and descriptors.in_use == 6
        for _ in range(6):
            descriptors.release()
        assert descriptors.in_use == 0
        listener.sock.close()

    run_on_loopback(body)
