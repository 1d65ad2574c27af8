"""Faults planted in each task of a node: the task goes on with the next connection, message or round."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from anyio.abc import TaskGroup
from structlog.testing import capture_logs

from larchlatch.config.node import parse_node_configuration
from larchlatch.node import probes, session_watch, shutdown
from larchlatch.node.admin_api import AdminApi
from larchlatch.node.balancer_actor import BalancerActor
from larchlatch.node.clients.connections import ClientConnections
from larchlatch.node.descriptor_budget import DescriptorBudget
from larchlatch.node.discovery import DiscoveryClient
from larchlatch.node.hot_restart import predecessor
from larchlatch.node.hot_restart import rendezvous as rendezvous_module
from larchlatch.node.hot_restart.predecessor import Predecessor, PredecessorCounter
from larchlatch.node.hot_restart.rendezvous import Rendezvous
from larchlatch.node.lifecycle_state import LifecycleState
from larchlatch.node.messages import ProbeFinished
from larchlatch.node.metrics import Counters
from larchlatch.node.shutdown import SessionDrainer
from larchlatch.node.signal_handler import SIGNAL_FAILED, SignalHandler
from larchlatch.node.wire import dialing
from tests.support.clients import open_session
from tests.support.configuration import node_configuration
from tests.support.faults import raising_once
from tests.support.hot_restart import components, connected_channels, successor_of
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node import EMPTY_CHANGE, start_node
from tests.support.node_process import admin_address, call_admin_api
from tests.support.races import ActorHarness
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs


@pytest.mark.parametrize(
    ("owner", "method", "event"),
    [
        (AdminApi, "_handle_call", "admin_call_error"),
        (ClientConnections, "_serve", "connection_failed"),
        (BalancerActor, "_handle_session_message", "decision_failed"),
        (DiscoveryClient, "_follow", "discovery_call_error"),
        (session_watch.SessionWatch, "_check", "session_check_failed"),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_a_node_goes_on_after_a_fault_in_any_of_its_tasks(
    owner: type, method: str, event: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a loop without a barrier, where one fault ends the node and all its sessions."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        raw = node_configuration(upstreams.addresses, discovery.port)
        raw["control"] = admin_address()
        with capture_logs() as events:
            monkeypatch.setattr(owner, method, raising_once(getattr(owner, method)))
            port = await start_node(tasks, raw)
            await open_session(port)
            await call_admin_api(raw["control"], "GET /ops/readiness")
            await wait_until(lambda: event in {row["event"] for row in events})
        client = await open_session(port)
        assert await client.line() == b"UP echo\r\n"
        assert (await call_admin_api(raw["control"], "GET /ops/readiness"))[0] == 200

    run_on_loopback(body)


def test_a_fault_in_a_probe_counts_as_a_failed_probe(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a fault that ends the node, and against a probe that the balancer waits for in vain."""

    async def body(tasks: TaskGroup) -> None:
        harness = ActorHarness("127.0.0.1:9")
        monkeypatch.setattr(probes, "connect", raising_once(dialing.connect))
        await harness.upstream_actor.prober.run()
        await harness.upstream_actor.prober.run()
        counts = harness.counters.snapshot()
        assert counts[probes.ProbeCounter.FAULT] == 1 and counts[probes.ProbeCounter.FAILED] == 2
        assert [message.answered for message in harness.messages if isinstance(message, ProbeFinished)] == [
            False,
            False,
        ]

    run_on_loopback(body)


def test_a_process_waits_for_the_next_successor_after_a_fault_in_serving_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a node that ends with all its sessions because of the process that was to replace it."""

    async def body(tasks: TaskGroup) -> None:
        monkeypatch.setenv("TMPDIR", str(tmp_path))
        configuration = parse_node_configuration(node_configuration([], 2), admin_address())
        rendezvous = Rendezvous.for_node(configuration)
        assert rendezvous is not None
        counters, descriptors = Counters(), DescriptorBudget(64)
        components: Any = SimpleNamespace(
            lifecycle=None,
            balancer_actor=None,
            connections=None,
            descriptors=descriptors,
            counters=counters,
        )
        listener: Any = None
        monkeypatch.setattr(predecessor, "is_same_user", raising_once(rendezvous_module.is_same_user))
        tasks.start_soon(Predecessor(configuration, rendezvous, listener, components).run)
        free = descriptors.free
        for counter in (PredecessorCounter.FAILED, PredecessorCounter.SUCCESSOR_LOST):
            while (sock := rendezvous.connect()) is None:
                await anyio.sleep(0.01)
            sock.close()
            await wait_until(lambda counter=counter: counters.counts[counter] == 1)  # type: ignore[misc]
        assert descriptors.free == free

    run_on_loopback(body)


def test_a_successor_serves_alone_after_a_fault_in_the_adoption_of_sessions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a new process that ends with the sessions that it has adopted."""

    async def body(tasks: TaskGroup) -> None:
        ours, theirs = await connected_channels()
        successor = successor_of(ours)
        node = components()
        capacity = node.connections.descriptors.capacity
        monkeypatch.setattr(ours, "receive", raising_once(ours.receive))
        await successor.run(node.connections, tasks)
        assert await theirs.receive() is None, "the predecessor has to notice that it serves alone"
        assert node.connections.descriptors.capacity == capacity
        successor.listener.sock.close()
        await theirs.close()

    run_on_loopback(body)


def test_a_drain_goes_on_after_a_fault_in_one_round(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a drain that ends the node, or that ends itself with sessions left."""

    async def body(tasks: TaskGroup) -> None:
        counters = Counters()
        lifecycle = LifecycleState(1.0, sessions_outlive_node=False)
        connections: Any = SimpleNamespace(sessions=SimpleNamespace(established={}))
        drainer = SessionDrainer(lifecycle, connections, counters, tasks)
        rounds = 0

        def release(now: float, requested_at: object) -> None:
            nonlocal rounds
            rounds += 1
            if rounds == 1:
                raise RuntimeError("from the test")

        monkeypatch.setattr(drainer, "_release_due", release)
        lifecycle.start_drain(anyio.current_time())
        drainer.start()
        await wait_until(lambda: rounds >= 3)
        assert counters.snapshot() == {shutdown.DrainCounter.ROUND_FAILED: 1}

    run_on_loopback(body)


def test_a_fault_in_the_handling_of_a_signal_ends_neither_the_node_nor_prevents_its_stop() -> None:
    """Guards against a reload that ends the node, and against a node that can't be stopped."""

    async def body(tasks: TaskGroup) -> None:
        stopped = anyio.Event()

        def fail(*_: object) -> Any:
            raise RuntimeError("from the test")

        counters = Counters()
        lifecycle = LifecycleState(1.0, sessions_outlive_node=False)
        components: Any = SimpleNamespace(
            counters=counters,
            lifecycle=lifecycle,
            stop_requested=stopped,
            figures=fail,
            discovery=None,
            cluster=SimpleNamespace(reload=fail, resign=fail),
            balancer_actor=None,
        )

        async def signals() -> AsyncIterator[signal.Signals]:
            for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGTERM):
                yield number

        configuration: Any = None
        handler = SignalHandler(configuration, Path("none.json"), components)
        await handler.run(signals())
        await stopped.wait()
        assert counters.counts[SIGNAL_FAILED] == 4

    run_on_loopback(body)
