"""Connections that the other side has reset before the node reads from them.

The operating system then knows no peer of the socket, and it can't be wrapped in a stream. Such a connection
has simply ended: it must end neither the node nor be reported as a fault of it.
"""

from __future__ import annotations

import socket

import anyio
import pytest
from anyio.abc import TaskGroup
from structlog.testing import capture_logs

from larchlatch.node import attempts, probes
from larchlatch.node.admin_api import AdminApi, AdminCounter
from larchlatch.node.discovery import DiscoveryClient, DiscoveryCounter
from larchlatch.node.lifecycle_state import LifecycleState
from larchlatch.node.messages import Message
from larchlatch.node.metrics import Counters
from larchlatch.node.wire import dialing, discovery_client
from larchlatch.node.wire.dialing import send_all
from larchlatch.node.wire.listen import Listener
from larchlatch.node.wire.raw_socket import has_hung_up
from larchlatch.node.wire.stream import Ending, LineConnection
from larchlatch.policy.types import Outcome
from tests.support.clients import open_session
from tests.support.configuration import node_configuration
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node import EMPTY_CHANGE, start_node, start_node_with
from tests.support.node_process import admin_address, call_admin_api
from tests.support.races import ActorHarness, ScriptedUpstream, make_record
from tests.support.sockets import connect_and_reset, connect_sockets, reset, reset_connection
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs

READY = "GET /ops/readiness"


def test_a_caller_of_the_admin_api_that_resets_its_connection_does_not_end_the_node() -> None:
    """Guards against an accept loop that handles a connection itself, where its error ends the node."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        raw = node_configuration(upstreams.addresses, discovery.port)
        raw["control"] = admin_address()
        port = await start_node(tasks, raw)
        host, _, admin_port = raw["control"].rpartition(":")
        standing = await open_session(port)
        assert await standing.line() == b"UP echo\r\n"
        for _ in range(3):
            connect_and_reset((host, int(admin_port)))
            assert (await call_admin_api(raw["control"], READY))[0] == 200
        await standing.send(b"still here\r\n")
        assert await standing.line() == b"still here\r\n"

    run_on_loopback(body)


def test_a_caller_that_resets_its_connection_is_counted_and_releases_its_place() -> None:
    """Guards against a reset connection that keeps its caller's place, or is reported as a fault."""

    async def body(tasks: TaskGroup) -> None:
        counters = Counters()
        api = AdminApi(LifecycleState(1.0, sessions_outlive_node=False), lambda: None, counters)
        listener = Listener.bind(("127.0.0.1", 0), 16)
        tasks.start_soon(api.run, listener)
        with capture_logs() as events:
            connect_and_reset(listener.address)
            await wait_until(lambda: counters.counts[AdminCounter.CALLER_LOST] == 1)
        assert not events and not api._callers
        assert counters.snapshot() == {"admin_caller_lost": 1}

    run_on_loopback(body)


@pytest.mark.parametrize("data", [b"", b"OPEN a k1 c=once,t=acme,d=2000\r\n"])
def test_a_client_that_resets_its_connection_is_no_fault_of_the_node(data: bytes) -> None:
    """Guards against an alarm, with a traceback, for each client that dies while the node is behind."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        port = await start_node_with(tasks, upstreams)
        with capture_logs() as events:
            connect_and_reset(("127.0.0.1", port), data)
            client = await open_session(port)
            assert await client.line() == b"UP echo\r\n"
        assert not [event for event in events if event["log_level"] == "error"]

    run_on_loopback(body)


def test_a_probe_whose_connection_is_reset_at_once_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an exception in a probe, whose task has no barrier, and which ends the node."""

    async def dial_reset(address: tuple[str, int], within_s: float) -> socket.socket:
        return reset_connection()

    async def body(tasks: TaskGroup) -> None:
        monkeypatch.setattr(dialing, "dial", dial_reset)
        harness = ActorHarness("127.0.0.1:9")
        free = harness.descriptors.free
        await harness.upstream_actor.prober.run()
        assert harness.counters.snapshot() == {probes.ProbeCounter.FAILED: 1}
        assert harness.descriptors.free == free and len(harness.messages) == 1

    run_on_loopback(body)


def test_an_attempt_whose_connection_is_reset_after_its_request_ends_as_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reset that is reported as a fault of the node, with another outcome."""

    async def send_and_await_reset(sock: socket.socket, data: bytes) -> bool:
        sent = await send_all(sock, data)
        await wait_until(lambda: has_hung_up(sock))
        return sent

    async def close_by_reset(upstream: ScriptedUpstream, stream: anyio.abc.SocketStream) -> None:
        await LineConnection(stream).close(reset=True)

    async def body(tasks: TaskGroup) -> None:
        monkeypatch.setattr(attempts, "send_all", send_and_await_reset)
        upstream = await ScriptedUpstream().start(tasks, close_by_reset)
        harness = ActorHarness(upstream.named)
        free = harness.descriptors.free
        assert await harness.attempt(make_record()) is Outcome.RESET
        assert harness.counters.snapshot() == {attempts.AttemptCounter.RESET: 1}
        assert harness.descriptors.free == free

    run_on_loopback(body)


def test_discovery_that_resets_a_connection_at_once_counts_as_a_failed_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a restart of discovery that is reported as a fault of each node, with a traceback."""
    dialed: list[socket.socket] = []

    async def dial_reset(address: tuple[str, int], within_s: float) -> socket.socket:
        dialed.append(reset_connection())
        return dialed[-1]

    async def post(message: Message) -> None:
        pass

    async def body(tasks: TaskGroup) -> None:
        monkeypatch.setattr(discovery_client, "dial", dial_reset)
        counters = Counters()
        client = DiscoveryClient(
            ("127.0.0.1", 9),
            revision=1,
            pushed=True,
            counters=counters,
            post=post,
            uniform=lambda low, high: high,
        )
        with capture_logs() as events:
            tasks.start_soon(client.run)
            await wait_until(lambda: counters.counts[DiscoveryCounter.CALL_FAILED] >= 2)
        assert {event["event"] for event in events} == {"discovery_call_failed"}
        assert all(sock.fileno() == -1 for sock in dialed[:2]), "a socket was left open"

    run_on_loopback(body)


def test_a_connection_that_was_reset_while_detached_stays_closed() -> None:
    """Guards against an exception when a handover fails and the connection was reset meanwhile."""

    async def body(tasks: TaskGroup) -> None:
        ours, theirs = connect_sockets()
        connection = await LineConnection.of_socket(ours)
        assert connection is not None
        detached = connection.detach()
        assert detached is not None
        descriptor, unread = detached
        reset(theirs)
        await connection.reattach(descriptor, unread)
        assert connection.closed and connection.hung_up()
        assert not await connection.send(b"MOVE\r\n")
        await connection.finish(Ending.END)
        with pytest.raises(OSError, match="Bad file descriptor"):
            socket.socket(fileno=descriptor)

    run_on_loopback(body)


@pytest.mark.parametrize("resets", [True, False])
def test_end_of_a_connection_that_was_reset_before_is_no_fault(resets: bool) -> None:
    """Guards against a RuntimeError of uvloop, which a fault barrier reported as `connection_failed`."""

    async def body(tasks: TaskGroup) -> None:
        ours, theirs = connect_sockets()
        ours.setblocking(False)
        connection = await LineConnection.of_socket(ours)
        assert connection is not None
        if resets:
            reset(theirs)
        else:
            theirs.close()
        assert await connection.line() is (Ending.RESET if resets else Ending.END)
        await anyio.wait_all_tasks_blocked()
        await connection.finish(Ending.END)
        assert connection.closed

    run_on_loopback(body)
