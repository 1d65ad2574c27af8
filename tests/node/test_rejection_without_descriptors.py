"""A node whose descriptors are all in use by sessions: it still answers every client."""

from __future__ import annotations

from typing import Any

import pytest
from anyio.abc import TaskGroup
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from larchlatch.node.clients import rejecter
from larchlatch.node.clients.connections import ClientConnections
from larchlatch.node.clients.rejecter import RejecterCounter
from larchlatch.node.descriptor_budget import HEADROOM, DescriptorBudget
from larchlatch.node.rejection_reserve import RejectionReserve, WaitingClient
from larchlatch.node.wire.lines import FAILED, NO, PING, PONG
from larchlatch.node.wire.stream import Ending, LineConnection
from larchlatch.policy import admission
from tests.support.clients import connect, open_session, read_to_end
from tests.support.configuration import node_configuration
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node import EMPTY_CHANGE, start_node
from tests.support.races import wait_until_idle
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs

AVAILABLE = 40  # descriptors besides HEADROOM; five of them are the reserve
RESERVE_STEPS = st.tuples(st.sampled_from(["take", "request", "close"]), st.integers(0, 20))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(RESERVE_STEPS, max_size=80), st.integers(0, 200))
def test_the_reserve_is_kept_and_the_longest_waiting_client_is_evicted(
    steps: list[tuple[str, int]], available: int
) -> None:
    """Guards against more connections than the reserve, and against silent clients that use it up."""
    reserve = RejectionReserve(available)
    waiting: list[WaitingClient] = []
    evicted: list[WaitingClient] = []
    open_count = 0

    def client() -> WaitingClient:
        made = WaitingClient(lambda: evicted.append(made))
        return made

    for step, which in steps:
        if step == "take":
            known = list(evicted)
            if reserve.take():
                open_count += 1
                waiting.append(client())
                reserve.add_waiting(waiting[-1])
                assert evicted == known
            else:
                assert open_count == reserve.size
                assert evicted == [*known, *waiting[:1]], "the one that has waited longest"
                waiting = waiting[1:]
        elif step == "request" and waiting:
            reserve.remove_waiting(waiting.pop(which % len(waiting)))
        elif step == "close" and open_count > len(waiting):
            open_count -= 1
            reserve.release()
        assert reserve.in_use == open_count <= reserve.size <= max(0, available - 2)
    reserve.evict_all()
    assert evicted[len(evicted) - len(waiting) :] == waiting


def test_the_reserve_is_no_part_of_the_budget() -> None:
    """Guards against a node that exceeds its limit while it rejects clients."""
    for max_descriptors in range(HEADROOM, 1100):
        budget = DescriptorBudget(max_descriptors)
        assert budget.capacity + budget.rejections.size == max(2, max_descriptors - HEADROOM)


async def start_full_node(tasks: TaskGroup, connections: list[ClientConnections]) -> FullNode:
    """Start a node, and open sessions until all its descriptors are in use."""
    upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
    discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
    raw: dict[str, Any] = node_configuration(
        upstreams.addresses, discovery.port, domain={"tells_delay": False}
    )
    raw["limits"] = {"sockets": HEADROOM + AVAILABLE}
    port = await start_node(tasks, raw)
    sessions: list[LineConnection] = []
    budget = connections[0].descriptors
    while budget.capacity - budget.in_use >= 1:
        session = await open_session(port, key=f"k{len(sessions)}", wait_ms=3000)
        assert await session.line() == b"UP echo\r\n"
        sessions.append(session)
        # The listener reserves a descriptor for the next client, if there is one.
        await wait_until(lambda: budget.in_use >= min(budget.capacity, 2 * len(sessions) + 1))
    return FullNode(port, connections[0], sessions, upstreams)


class FullNode:
    """A node whose descriptors are all in use by sessions, but the one for the next client."""

    def __init__(
        self,
        port: int,
        connections: ClientConnections,
        sessions: list[LineConnection],
        upstreams: UpstreamStubs,
    ) -> None:
        self.port = port
        self.connections = connections
        self.sessions = sessions
        self.upstreams = upstreams

    def count(self, counter: str) -> int:
        return self.connections.counters.counts[counter]


def test_clients_of_a_node_without_descriptors_are_rejected_and_served_again_later(
    client_connections: list[ClientConnections],
) -> None:
    """Guards against clients that get no answer while sessions hold all descriptors (review/7)."""

    async def body(tasks: TaskGroup) -> None:
        with capture_logs() as events:
            node = await start_full_node(tasks, client_connections)
            for number in range(12):
                # One at a time may use the descriptor that is left, but there is none for its upstream.
                client = await open_session(node.port, key=f"late{number}", wait_ms=1000)
                (answer,) = await read_to_end(client)
                assert answer.startswith(b"BUSY")
            held = [await open_session(node.port, key=f"held{n}", wait_ms=3000) for n in range(6)]
            front = await connect(node.port)
            await front.send(PING)
            assert await front.line() == NO
            for client in held:
                (answer,) = await read_to_end(client)
                assert answer.startswith(b"BUSY")
            assert node.count(RejecterCounter.SHED) >= 4 and node.count(RejecterCounter.PING_DENIED) == 1
            assert len(node.upstreams.lines) == len(node.sessions), "a rejected request was forwarded"
            for session in node.sessions:
                await session.close()
            while await (client := await open_session(node.port)).line() != b"UP echo\r\n":
                await client.close()
            await client.close()
            front = await connect(node.port)
            await front.send(PING)
            assert await front.line() == PONG
            await front.close()
            await wait_until_idle(node.connections)
        names = [row["event"] for row in events]
        assert 0 < names.index("descriptors_exhausted") < names.index("descriptors_available")
        assert node.connections.descriptors.rejections.in_use == 0

    run_on_loopback(body)


def test_silent_and_invalid_clients_of_a_full_node_are_answered_and_give_way(
    client_connections: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a reserve that is used up by clients that send nothing, or only a part of a line."""
    monkeypatch.setattr(rejecter, "REQUEST_TIMEOUT_S", 1000.0)
    monkeypatch.setattr(admission, "EXHAUSTION_GRACE_S", 0.0)

    async def body(tasks: TaskGroup) -> None:
        node = await start_full_node(tasks, client_connections)
        last = await open_session(node.port, key="last", wait_ms=3000)
        reserve = node.connections.descriptors.rejections
        await wait_until(lambda: node.connections.descriptors.free <= 0)
        silent = []
        for number in range(3 * reserve.size):
            silent.append(await connect(node.port))
            if number % 2:
                await silent[-1].send(b"OPEN half")
        client = await open_session(node.port, key="late")
        (answer,) = await read_to_end(client)
        assert answer.startswith(b"BUSY")
        invalid = await connect(node.port)
        await invalid.send(b"OPEN nonsense\r\n")
        assert await read_to_end(invalid) == [FAILED]
        for early in silent[: reserve.size]:
            (answer,) = await read_to_end(early)
            assert answer.startswith(b"BUSY") or answer == FAILED
        (answer,) = await read_to_end(last)
        assert answer.startswith(b"BUSY")
        assert node.count(RejecterCounter.SHED) + node.count(RejecterCounter.INVALID) > reserve.size

    run_on_loopback(body)


def test_a_descriptor_that_is_released_soon_serves_the_client_that_waits(
    client_connections: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a node that rejects clients for a shortage of a moment."""
    monkeypatch.setattr(admission, "EXHAUSTION_GRACE_S", 1000.0)

    async def body(tasks: TaskGroup) -> None:
        node = await start_full_node(tasks, client_connections)
        clients = [await open_session(node.port, key=f"w{n}", wait_ms=3000) for n in range(2)]
        await wait_until(lambda: node.connections.descriptors.free <= 0)
        for session in node.sessions[:3]:
            await session.close()
        for client in clients:
            assert await client.line() == b"UP echo\r\n"
        assert not node.count(RejecterCounter.SHED)

    run_on_loopback(body)


def test_clients_in_the_reserve_are_answered_when_the_node_stops(
    client_connections: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against clients that are cut off at the end of a stop because the node was full."""
    monkeypatch.setattr(rejecter, "REQUEST_TIMEOUT_S", 1000.0)
    monkeypatch.setattr(admission, "EXHAUSTION_GRACE_S", 0.0)

    async def body(tasks: TaskGroup) -> None:
        node = await start_full_node(tasks, client_connections)
        last = await open_session(node.port, key="last", wait_ms=3000)
        reserve = node.connections.descriptors.rejections
        await wait_until(lambda: node.connections.descriptors.free <= 0)
        silent = [await connect(node.port) for _ in range(reserve.size - 1)]
        await wait_until(lambda: reserve.in_use == reserve.size)  # one is for the next client
        node.connections.reject_all()
        for client in silent:
            (answer,) = await read_to_end(client)
            assert answer.startswith(b"BUSY")
        assert not isinstance(await last.line(), Ending)

    run_on_loopback(body)
