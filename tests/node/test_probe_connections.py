"""Connections for probes: they are bounded, give way to sessions, and end with their upstream."""

from __future__ import annotations

from functools import partial
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream, TaskGroup
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.config.endpoints import EndpointList, parse_endpoint
from larchlatch.config.upstream import UpstreamSettings
from larchlatch.node import probes
from larchlatch.node.clients.connections import ClientConnections
from larchlatch.node.descriptor_budget import HEADROOM, DescriptorBudget, IdleProbeConnection
from larchlatch.node.messages import Message, ProbeFinished
from larchlatch.node.metrics import Counters
from larchlatch.node.upstream_registry import UpstreamRegistry
from larchlatch.node.wire.dialing import Unconnected
from larchlatch.node.wire.lines import PING
from larchlatch.node.wire.stream import Ending, LineConnection
from tests.support.clients import connect, open_session
from tests.support.configuration import endpoint_row, node_configuration
from tests.support.loopback import port_of, run_on_loopback, wait_until
from tests.support.node import EMPTY_CHANGE, start_node
from tests.support.sockets import connect_sockets
from tests.support.stand_ins import DiscoveryStub

PROBE_STEPS = st.tuples(
    st.sampled_from(["probe", "finish", "fail", "client", "leave", "successor", "alone"]), st.integers(0, 40)
)


class ProbedUpstreams:
    """Upstreams that answer probes and establish every session, and count the connections for probes."""

    def __init__(self) -> None:
        self.addresses: list[str] = []
        self.probe_connections = 0  # that are open now
        self.probed: set[int] = set()  # the numbers of the upstreams that were ever probed
        self.answers_probes = True

    async def start(self, tasks: TaskGroup, number: int) -> ProbedUpstreams:
        for upstream in range(number):
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            self.addresses.append(f"127.0.0.1:{port_of(listener)}")
            tasks.start_soon(listener.serve, partial(self.serve, upstream))
        return self

    async def serve(self, upstream: int, stream: SocketStream) -> None:
        connection = LineConnection(stream)
        line = await connection.line()
        is_probe = line in (b"PING\r\n", b"STATS\r\n")
        self.probe_connections += is_probe
        if is_probe:
            self.probed.add(upstream)
        while not isinstance(line, Ending):
            if not is_probe:
                await connection.send(b"UP receipt\r\n")
            elif self.answers_probes:
                await connection.send(b"PONG inflight=0,x0=0.1\r\n")
            line = await connection.line()
        self.probe_connections -= is_probe
        await connection.close()


class ProbedRegistry:
    """A registry of upstreams with a descriptor budget, whose actors probe on request."""

    def __init__(self, addresses: list[str], max_descriptors: int) -> None:
        self.descriptors = DescriptorBudget(max_descriptors)
        self.counters = Counters()
        self.messages: list[Message] = []
        upstream_settings = UpstreamSettings(250_000, True, False, 0)
        self.registry = UpstreamRegistry(
            ["a", "b"], upstream_settings, self.descriptors, self.counters, self.post
        )
        self.update([endpoint_row(number, address) for number, address in enumerate(addresses)])

    async def post(self, message: Message) -> None:
        self.messages.append(message)

    def update(self, rows: list[dict[str, Any]], *, complete: bool = True) -> None:
        self.registry.update(EndpointList(1, complete, [parse_endpoint(row, "row") for row in rows]))

    async def probe(self, number: int) -> None:
        await self.registry.actors[number].prober.run()

    def answered(self) -> list[bool]:
        return [message.answered for message in self.messages if isinstance(message, ProbeFinished)]


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(PROBE_STEPS, max_size=120), st.integers(1, 200))
def test_probe_connections_stay_within_their_limit_and_give_way_to_clients(
    steps: list[tuple[str, int]], sockets: int
) -> None:
    """Guards against connections for probes that use up the descriptors of clients and sessions."""
    budget = DescriptorBudget(sockets)
    idle: dict[int, IdleProbeConnection] = {}
    busy: set[int] = set()
    clients = 0
    given_away = 0

    def evict(upstream: int) -> None:
        del idle[upstream]
        budget.release_probe()

    for step, number in steps:
        if step == "probe" and number not in busy:
            if number in idle:
                budget.remove_idle_probe(idle.pop(number))
                busy.add(number)
            elif budget.reserve_for_probe():
                busy.add(number)
                assert budget.probe_connections <= budget.probe_limit
            else:
                assert not idle, "an idle connection could have been evicted"
        elif step in ("finish", "fail") and number in busy:
            busy.remove(number)
            if step == "finish":
                idle[number] = IdleProbeConnection(partial(evict, number))
                budget.add_idle_probe(idle[number])
            else:
                budget.release_probe()
        elif step == "client":
            if budget.reserve(0.0):
                clients += 1
            else:
                assert not idle, "a client was refused for the sake of an idle connection"
        elif step == "leave" and clients:
            clients -= 1
            budget.release()
        elif step == "successor" and not given_away:
            budget.evict_all_idle_probes()
            assert not idle
            given_away = max(0, budget.free)
            budget.reduce_capacity(given_away)
        elif step == "alone":
            budget.reduce_capacity(-given_away)
            given_away = 0
        assert budget.probe_connections == len(idle) + len(busy)
        assert budget.in_use == clients + len(idle) + len(busy) <= max(2, sockets - HEADROOM)


def test_probes_of_many_upstreams_leave_descriptors_for_clients() -> None:
    """Guards against a node that keeps a connection to each upstream that it has ever probed (review/6)."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await ProbedUpstreams().start(tasks, 40)
        node = ProbedRegistry(upstreams.addresses, HEADROOM + 34)  # four are the reserve for rejections
        for number in range(40):
            await node.probe(number)
        assert node.answered() == [True] * 40
        assert node.descriptors.probe_connections == node.descriptors.in_use == 10
        await wait_until(lambda: upstreams.probe_connections == 10)
        for _ in range(30):
            assert node.descriptors.reserve(0.0)
        assert node.descriptors.probe_connections == 0
        await wait_until(lambda: upstreams.probe_connections == 0)

    run_on_loopback(body)


def test_a_node_with_more_upstreams_than_descriptors_answers_every_client(
    client_connections: list[ClientConnections],
) -> None:
    """Guards against the same on a node: clients without an answer, although no session is open."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await ProbedUpstreams().start(tasks, 48)
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        raw = node_configuration(
            upstreams.addresses,
            discovery.port,
            caps={"probes": True},
            telemetry={"via": "answers", "fields": ["x0", "inflight"]},
            domain={"tells_delay": False},
        )
        raw["limits"]["sockets"] = HEADROOM + 24
        port = await start_node(tasks, raw)
        number = 0
        while len(upstreams.probed) < 40:
            number += 1
            client = await open_session(port, key=f"k{number}")
            assert await client.line() == b"UP receipt\r\n"
            await client.close()
        front = await connect(port)
        await front.send(PING)
        assert await front.line() == b"PONG\r\n"
        await front.close()
        assert client_connections[0].descriptors.probe_connections <= 8

    run_on_loopback(body)


@pytest.mark.parametrize("change", ["terminating", "terminated", "unlisted", "moved"])
def test_a_probe_connection_ends_when_its_upstream_leaves_or_moves(change: str) -> None:
    """Guards against a descriptor that is lost with each upstream that is replaced."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await ProbedUpstreams().start(tasks, 3)
        node = ProbedRegistry(upstreams.addresses[:2], 200)
        for number in range(2):
            await node.probe(number)
        assert node.descriptors.probe_connections == node.descriptors.in_use == 2
        if change == "unlisted":
            node.update([endpoint_row(1, upstreams.addresses[1])])
        elif change == "moved":
            node.update([endpoint_row(0, upstreams.addresses[2])], complete=False)
        else:
            node.update([endpoint_row(0, upstreams.addresses[0], change)], complete=False)
        assert node.descriptors.probe_connections == node.descriptors.in_use == 1
        await wait_until(lambda: upstreams.probe_connections == 1)
        if change == "moved":
            await node.probe(0)
            assert upstreams.probed == {0, 1, 2}

    run_on_loopback(body)


def test_a_probe_that_ends_after_its_upstream_has_left_keeps_no_connection() -> None:
    """Guards against a connection that is kept because the upstream left while it was being probed."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await ProbedUpstreams().start(tasks, 1)
        node = ProbedRegistry(upstreams.addresses, 200)
        upstreams.answers_probes = False
        async with anyio.create_task_group() as probing:
            probing.start_soon(node.probe, 0)
            await wait_until(lambda: upstreams.probe_connections == 1)
            node.update([])
            assert node.descriptors.probe_connections == 1, "the probe still uses it"
        assert node.descriptors.probe_connections == node.descriptors.in_use == 0
        await wait_until(lambda: upstreams.probe_connections == 0)

    run_on_loopback(body)


@pytest.mark.parametrize("reason", ["budget", "system"])
def test_a_probe_without_a_descriptor_says_nothing_about_its_upstream(
    reason: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a node that takes its own want of descriptors for a fault of the upstream."""

    async def no_descriptor(address: tuple[str, int], within_s: float) -> Unconnected:
        return Unconnected.NO_DESCRIPTOR

    async def body(tasks: TaskGroup) -> None:
        node = ProbedRegistry(["127.0.0.1:9"], HEADROOM + 2)
        free = node.descriptors.free
        if reason == "budget":
            while node.descriptors.reserve(0.0):
                pass
            free = 0
        else:
            monkeypatch.setattr(probes, "connect", no_descriptor)
        await node.probe(0)
        assert node.counters.snapshot() == {probes.ProbeCounter.NOT_SENT: 1}
        assert not node.messages
        assert node.descriptors.free == free and node.descriptors.probe_connections == 0

    run_on_loopback(body)


def test_an_evicted_probe_connection_is_closed_and_the_next_probe_connects_again() -> None:
    """Guards against a probe over a connection whose descriptor now belongs to a client."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await ProbedUpstreams().start(tasks, 1)
        node = ProbedRegistry(upstreams.addresses, HEADROOM + 2)
        await node.probe(0)
        assert node.descriptors.reserve(0.0) and node.descriptors.reserve(0.0)
        assert node.counters.snapshot()[probes.ProbeCounter.CONNECTION_EVICTED] == 1
        await wait_until(lambda: upstreams.probe_connections == 0)
        node.descriptors.release()
        await node.probe(0)
        assert node.answered() == [True, True] and upstreams.probe_connections == 1

    run_on_loopback(body)


def test_aborting_a_connection_releases_its_socket() -> None:
    """Guards against a descriptor that counts as free while the connection is still open."""

    async def body(tasks: TaskGroup) -> None:
        ours, theirs = connect_sockets()
        theirs.settimeout(5)
        connection = await LineConnection.of_socket(ours)
        assert connection is not None
        connection.abort()
        connection.abort()
        await anyio.sleep(0)
        assert await anyio.to_thread.run_sync(theirs.recv, 1) == b""
        assert not await connection.send(b"late\r\n")
        theirs.close()

    run_on_loopback(body)
