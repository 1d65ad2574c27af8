"""What a successor takes over: adopted sessions, and the state that the balancer has learned."""

from __future__ import annotations

import random
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import anyio
import orjson
import pytest
from anyio.abc import TaskGroup

from larchlatch.config.endpoints import EndpointEntry, EndpointList
from larchlatch.config.upstream import UpstreamSettings
from larchlatch.node.clients.connections import ClientConnections, ConnectionCounter
from larchlatch.node.clients.requests import RequestChecker
from larchlatch.node.clock import now_us
from larchlatch.node.descriptor_budget import DescriptorBudget
from larchlatch.node.hot_restart.packets import (
    SessionHandover,
)
from larchlatch.node.lifecycle_state import LifecycleState
from larchlatch.node.metrics import Counters
from larchlatch.node.upstream_registry import UpstreamRegistry
from larchlatch.policy.balancer import Balancer
from larchlatch.policy.state_export import export_state, restore_state
from larchlatch.policy.types import Forward, Outcome, ProbeResult, Session
from tests.support.balancer_harness import SECOND_US, SETTINGS, endpoint
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.sockets import connect_sockets, reset_connection


def make_connections(counters: Counters, descriptors: DescriptorBudget) -> ClientConnections:
    """Return the client connections of a node with one upstream, whose balancer actor ignores messages."""

    async def post(_: object) -> None: ...

    upstream_settings = UpstreamSettings(250_000, False, True, 50_000)
    upstreams = UpstreamRegistry([], upstream_settings, descriptors, counters, post)
    entry = EndpointEntry("s-0", ("127.0.0.1", 1), "a", 3, endpoint(0).state, 1.0, 9000)
    upstreams.update(EndpointList(1, True, [entry]))
    mailbox = SimpleNamespace(post=post)
    balancer_actor: Any = SimpleNamespace(mailbox=mailbox, upstreams=upstreams, mean_setup_us=0)
    lifecycle = LifecycleState(5.0, sessions_outlive_node=False)
    requests = RequestChecker(
        traffic_classes=["once"],
        tenants=[],
        max_deadline_us=3_000_000,
        retry_after_us=0,
        lifecycle=lifecycle,
    )
    return ClientConnections(balancer_actor, requests, descriptors, counters, anyio.Event(), lifecycle)


def handover_packet(unanswered_since_us: int = 0) -> SessionHandover:
    return SessionHandover(
        b"OPEN id1 k1 c=once,d=9\r\n", "s-0", 1.5, unanswered_since_us, int(Outcome.RESET), b"", b""
    )


def test_an_adopted_session_counts_its_wait_from_the_adoption() -> None:
    """Guards against an upstream that counts as unresponsive because of a handover.

    Neither process reads its answers meanwhile, so the wait must not count from before the adoption.
    """

    async def body(tasks: TaskGroup) -> None:
        connections = make_connections(Counters(), DescriptorBudget(64))
        started = now_us()
        for asked_at in (started - 2 * SECOND_US, 0):
            pairs = [connect_sockets(), connect_sockets()]
            tasks.start_soon(connections.adopt, handover_packet(asked_at), [ours for ours, _ in pairs])
            await wait_until(lambda: bool(connections.sessions.established))
            [record] = connections.sessions.established.values()
            assert record.awaiting_answer_since >= started if asked_at else record.awaiting_answer_since == 0
            for _, theirs in pairs:
                theirs.close()
            await wait_until(lambda: not connections.sessions.established)

    run_on_loopback(body)


@pytest.mark.parametrize("reset_side", ["client", "upstream"])
def test_a_session_whose_connection_was_reset_in_the_handover_ends_without_a_fault(reset_side: str) -> None:
    """Guards against a reset during a handover that is reported as a fault of the successor.

    The other side's connection ends in the same way, and both release their descriptors.
    """

    async def body(tasks: TaskGroup) -> None:
        counters, descriptors = Counters(), DescriptorBudget(64)
        connections = make_connections(counters, descriptors)
        (ours, theirs), reset = connect_sockets(), reset_connection()
        descriptors.reduce_capacity(-2)
        free = descriptors.free
        sockets = [reset, ours] if reset_side == "client" else [ours, reset]
        await connections.adopt(handover_packet(), sockets)
        assert counters.snapshot() == {ConnectionCounter.LOST: 1}
        assert not connections.sessions.established and descriptors.free == free + 2
        with pytest.raises(ConnectionResetError):
            theirs.recv(1)
        theirs.close()

    run_on_loopback(body)


# State that the balancer has learned.


def balancer(started_at: int, **deployment_settings: Any) -> Balancer:
    subject = Balancer(
        replace(SETTINGS, probes=True, probes_report_load=True, reports_delay=False, **deployment_settings),
        random.Random(3),
    )
    subject.update_endpoints(
        100 * SECOND_US,
        [endpoint(0), endpoint(1), endpoint(2, started_at=started_at)],
        whole=True,
        from_discovery=True,
    )
    return subject


def place_sessions(subject: Balancer, now: int, first_number: int, count: int) -> int:
    """Place new sessions, and return how many of them go to the upstream that is in slow start."""
    slow_start_count = 0
    for number in range(first_number, first_number + count):
        session = Session(number, 0, number, number, now + 2 * SECOND_US)
        for upstream in subject.fleet.upstreams.values():
            upstream.probed_at = now
            subject.record_probe(
                now,
                upstream.number,
                ProbeResult(True, *((0.05, 0.0) if upstream.started_at else (0.5, 50.0))),
            )
        answer = subject.place(now, session)
        if isinstance(answer, Forward):
            slow_start_count += answer.upstream == 2
            subject.outcome(now, session, Outcome.ESTABLISHED)
    return slow_start_count


def test_a_slow_start_budget_is_spent_once_by_both_processes() -> None:
    """Guards against two processes of a node that each spend the whole slow-start budget of one window."""
    now = 100 * SECOND_US
    for seed in range(20):
        started_at = now - 14 * SECOND_US - seed * SECOND_US // 20
        reference, old, new = (balancer(started_at, nodes=1) for _ in range(3))
        full_budget = place_sessions(reference, now, 1000 * seed, 400)
        assert full_budget > 0
        released = balancer(started_at, nodes=1)
        released.release_slow_start_budget(released=True)
        assert place_sessions(released, now, 1000 * seed, 400) == 0, "spent a budget that it had released"
        spent_by_old = place_sessions(old, now, 1000 * seed, 200)
        old.release_slow_start_budget(released=True)
        restore_state(new, export_state(old), 0)
        assert place_sessions(old, now, 5000 + 1000 * seed, 50) == 0, "spent the budget after handing it over"
        assert spent_by_old + place_sessions(new, now, 1000 * seed + 200, 200) <= full_budget + 1
        old.release_slow_start_budget(released=False)  # the successor failed, but the window is spent
        assert spent_by_old + place_sessions(old, now, 1000 * seed + 200, 200) <= full_budget + 1


def test_restored_state_is_shifted_by_the_clock_offset_and_dropped_for_a_restarted_upstream() -> None:
    """Guards against times of another process's clock, and the load of an upstream before its restart."""
    now, shift = 100 * SECOND_US, 7 * SECOND_US
    old, new = balancer(0), balancer(now - SECOND_US)
    for upstream in (0, 1, 2):
        old.record_probe(now, upstream, ProbeResult(True, 0.9, 90.0))
        old.record_unresponsive(now, upstream)
    exported = orjson.loads(orjson.dumps(export_state(old)))
    restore_state(new, exported, shift)
    for number in (0, 1):
        assert new.fleet.upstreams[number].utilization == 0.9
        assert new.fleet.upstreams[number].slow_until == old.fleet.upstreams[number].slow_until + shift
    assert new.fleet.upstreams[2].utilization == 0.0, "kept the load of the process that has ended"


@pytest.mark.parametrize(
    "change", [{"hosts": {"host-0": {"came_up": 0}}}, {"asked": ["x"]}, {"noted": None}, {"hosts": 3}]
)
def test_unreadable_state_changes_nothing(change: dict[str, Any]) -> None:
    """Guards against a partly restored state, when an error is found after valid values."""
    old, new = balancer(0), balancer(0)
    old.record_probe(100 * SECOND_US, 1, ProbeResult(True, 0.9, 90.0))
    before = export_state(new)
    with pytest.raises((KeyError, TypeError, ValueError, AttributeError)):
        restore_state(new, {**export_state(old), **change}, 0)
    assert export_state(new) == before
