"""What a node keeps for an upstream ends with it: number, entry, actor, tasks and descriptors."""

from __future__ import annotations

import asyncio
import random

import anyio
import pytest
from anyio.abc import TaskGroup

from larchlatch.config.deployment import read_deployment_settings
from larchlatch.config.endpoints import EndpointList, parse_endpoint
from larchlatch.config.upstream import UpstreamSettings
from larchlatch.node import balancer_actor as balancer_actor_module
from larchlatch.node.balancer_actor import BalancerActor
from larchlatch.node.clients.connections import ClientConnections
from larchlatch.node.descriptor_budget import DescriptorBudget
from larchlatch.node.mailbox import Mailbox
from larchlatch.node.messages import EndpointsChanged
from larchlatch.node.metrics import Counters
from larchlatch.node.upstream_registry import UpstreamRegistry
from larchlatch.policy.balancer import Balancer
from tests.support.clients import open_session
from tests.support.configuration import endpoint_row, node_configuration
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node import EMPTY_CHANGE, start_node
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs

SECOND_US = 1_000_000
SERVING = 200  # upstreams that are listed at a time
REPLACED_IN_A_STEP = 20


class ReplacedFleet:
    """A balancer actor whose upstreams are replaced, by a clock that the test moves."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100 * SECOND_US
        monkeypatch.setattr(balancer_actor_module, "now_us", lambda: self.now)
        settings = read_deployment_settings(node_configuration([], 1)["settings"], "settings")
        self.descriptors = DescriptorBudget(1024)
        counters = Counters()
        mailbox = Mailbox(counters)
        self.registry = UpstreamRegistry(
            ["a", "b"], UpstreamSettings(250_000, True, False, 0), self.descriptors, counters, mailbox.post
        )
        self.balancer = Balancer(settings, random.Random(1))
        self.actor = BalancerActor(self.balancer, ["rerun"], mailbox, self.registry, counters)

    def change(self, *rows: tuple[int, str], complete: bool = False) -> None:
        entries = [
            parse_endpoint(endpoint_row(number, "127.0.0.1:9", phase), "row") for number, phase in rows
        ]
        self.actor.handle(self.now, EndpointsChanged(EndpointList(1, complete, entries), from_discovery=True))

    def wait(self, duration_us: int) -> None:
        for _ in range(duration_us // SECOND_US):
            self.now += SECOND_US
            self.actor._run_timers()

    def replace(self, first: int) -> None:
        """Replace the oldest upstreams, of which the first one has this number."""
        for number in range(first, first + REPLACED_IN_A_STEP):
            self.change((number, "terminating"))
            self.change((number, "terminated"))
            self.change((number + SERVING, "in_service"))

    def sizes(self) -> dict[str, int]:
        """Return how much the node keeps for its upstreams."""
        return {
            "actors": len(self.registry.actors),
            "names": len(self.registry.names),
            "numbers": len(self.registry._numbers),
            "entries": len(self.registry._entries),
            "records": len(self.balancer.fleet.upstreams),
            "gone": len(self.balancer.fleet.gone),
            "ring points": len(self.balancer.ring.hash_ring.points),
            "descriptors": self.descriptors.in_use,
            "tasks": len(asyncio.all_tasks()),
        }


def test_thousands_of_upstreams_in_turn_leave_nothing_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory, tasks and descriptors for each upstream that ever was in the list."""

    async def body(tasks: TaskGroup) -> None:
        fleet = ReplacedFleet(monkeypatch)
        fleet.registry.start(tasks)
        fleet.change(*((number, "in_service") for number in range(SERVING)), complete=True)
        sizes = []
        for step in range(100):
            fleet.replace(step * REPLACED_IN_A_STEP)
            fleet.wait(2 * SECOND_US)
            await anyio.wait_all_tasks_blocked()
            sizes.append(fleet.sizes())
        assert sizes[-1] == sizes[20]
        assert sizes[-1]["actors"] == SERVING
        fleet.wait(fleet.balancer.retention.retention_us + SECOND_US)
        await anyio.wait_all_tasks_blocked()
        assert fleet.sizes()["records"] == fleet.sizes()["entries"] == SERVING
        tasks.cancel_scope.cancel()

    run_on_loopback(body)


def test_complete_list_after_a_silence_ends_what_it_does_not_name(monkeypatch: pytest.MonkeyPatch) -> None:
    async def body(tasks: TaskGroup) -> None:
        fleet = ReplacedFleet(monkeypatch)
        fleet.registry.start(tasks)
        fleet.change(*((number, "in_service") for number in range(40)), complete=True)
        fleet.change(*((number, "in_service") for number in range(30, 50)), complete=True)
        fleet.wait(2 * SECOND_US)
        assert len(fleet.registry.actors) == 20 and len(fleet.registry.names) == 50
        fleet.wait(fleet.balancer.retention.retention_us + SECOND_US)
        assert len(fleet.registry.names) == len(fleet.balancer.fleet.upstreams) == 20
        tasks.cancel_scope.cancel()

    run_on_loopback(body)


@pytest.mark.parametrize("within", [True, False])
def test_upstream_that_returns_under_its_name_gets_orders_again(
    monkeypatch: pytest.MonkeyPatch, within: bool
) -> None:
    """Within its time it has its number, later another one; its actor was ended in both cases."""

    async def body(tasks: TaskGroup) -> None:
        fleet = ReplacedFleet(monkeypatch)
        fleet.registry.start(tasks)
        fleet.change((0, "in_service"), (1, "in_service"), complete=True)
        fleet.change((0, "terminated"))
        fleet.wait(2 * SECOND_US if within else fleet.balancer.retention.retention_us + SECOND_US)
        assert 0 not in fleet.registry.actors
        fleet.change((0, "in_service"))
        [number] = set(fleet.registry.actors) - {1}
        assert number == (0 if within else 2)
        assert fleet.registry.actors[number].target.accepts_sessions
        assert fleet.registry.actors[number].is_idle
        tasks.cancel_scope.cancel()

    run_on_loopback(body)


def test_session_at_an_upstream_that_is_gone_keeps_its_actor(
    client_connections: list[ClientConnections],
) -> None:
    """Guards against an actor that ends while it has a session, which would not be watched any more."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks, 2)
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        port = await start_node(tasks, node_configuration(upstreams.addresses, discovery.port))
        client = await open_session(port)
        assert await client.line() == b"UP echo\r\n"
        balancer_actor = client_connections[0]._balancer_actor
        rows = [
            endpoint_row(number, address, "terminated") for number, address in enumerate(upstreams.addresses)
        ]
        gone = EndpointList(3, False, [parse_endpoint(row, "row") for row in rows])
        await balancer_actor.mailbox.post(EndpointsChanged(gone, from_discovery=True))
        await wait_until(lambda: len(balancer_actor.upstreams.actors) == 1)
        await client.send(b"hello\r\n")
        assert await client.line() == b"hello\r\n"
        await client.close()
        await wait_until(lambda: not balancer_actor.upstreams.actors)

    run_on_loopback(body)
