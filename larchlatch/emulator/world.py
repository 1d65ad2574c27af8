"""A day played: clients, hosts, network and list on one clock, and nodes that know what they are told."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from larchlatch.emulator.baselines import POLICIES, Policy
from larchlatch.emulator.clock import WORLD
from larchlatch.emulator.company import Company
from larchlatch.emulator.crowd import Crowd
from larchlatch.emulator.listing import Listing
from larchlatch.emulator.network import Network
from larchlatch.emulator.nodes import Around, Node
from larchlatch.emulator.stage import START_US, Parked, Stage
from larchlatch.emulator.yard import TICK_US, Yard
from larchlatch.invariants.observations import UpstreamLost, UpstreamReturned
from larchlatch.policy.types import DeploymentSettings, Endpoint
from larchlatch.scenario.amounts import us
from larchlatch.scenario.clients import client_arrivals
from larchlatch.scenario.datagram_paths import PathImpairment
from larchlatch.scenario.fault_injection import FaultInjector
from larchlatch.scenario.faults import AnyFault, trace_name
from larchlatch.scenario.node_settings import deployment_settings
from larchlatch.scenario.scenario import Scenario
from larchlatch.scenario.upstreams import Condition, SimulatedUpstream

FALLEN_S = 5.0  # a host that was pushed over while cold is down for so long

Make = Callable[[DeploymentSettings, Random], Policy]


class World:
    """The parts of a day put together, and what each fault does to them (scenario/faults.py)."""

    def __init__(
        self, day: Scenario, policy: str | Make = "larchlatch", trace: Callable[[bytes], None] | None = None
    ) -> None:
        self.day = day
        self.make: Make = POLICIES[policy] if isinstance(policy, str) else policy
        self.stage = Stage(day, trace)
        self.clock, self.checker, self.upstreams = self.stage.clock, self.stage.checker, self.stage.upstreams
        self.listing = Listing(self.stage)
        self.yard = Yard(self.stage, self.listing)
        self.network = Network(self.stage, self.fall)
        self.crowd = Crowd(self.stage)
        self.around = Around(self.clock, self.checker, self.crowd, self.network, self.listing)
        self.starts = [0] * day.nodes.count
        self.gone: set[int] = set()  # nodes that have ended for good
        self.nodes = self.stage.nodes
        self.company = Company(self.stage) if day.cluster.on else None
        self.nodes += [self.node(place) for place in range(day.nodes.count)]

    def node(self, place: int) -> Node:
        self.starts[place] += 1
        seed = self.stage.chance.stream(f"node {place} start {self.starts[place]}")
        node = Node(
            self.around, place, place % self.day.zones, self.make(deployment_settings(self.day, place), seed)
        )
        if self.company is not None:
            node.cluster = self.company.voices[place]
        return node

    def play(self) -> dict[str, Any]:
        for node in self.nodes:
            node.listed(list(self.listing.list.values()), whole=True)
        self.crowd.next_client(client_arrivals(self.day, self.stage.chance))
        for place, fault in enumerate(self.day.faults):
            self.clock.at(START_US + us(fault.at_s), WORLD, self.befall, place, fault)
        self.clock.at(START_US + TICK_US, WORLD, self.yard.tick)
        self.clock.run(self.stage.end)
        for upstream in self.upstreams:
            self.stage.count(upstream)
        return {
            **self.stage.tally.figures(),
            **self.stage.warming.figures(self.clock.now),
            **(self.company.row() if self.company is not None else {}),
            "broken": dict(self.checker.broken),
            "events": self.clock.done,
            "trace": self.stage.digest.hexdigest(),
        }

    # What goes wrong.

    def befall(self, place: int, fault: AnyFault) -> None:
        self.stage.note("fault", trace_name(fault))
        injector = FaultInjector(upstreams=self, nodes=self, network=self, clients=self, scheduler=self)
        fault.apply(injector, self.stage.chance.stream(f"fault {place}"))

    def fall(self, upstream: SimulatedUpstream) -> None:
        self.crash(upstream)
        self.call_later(FALLEN_S, self.bring_up, upstream)

    def call_later(self, after_s: float, what: Callable[..., None], *args: object) -> None:
        self.clock.at(self.clock.now + us(after_s), WORLD, what, *args)

    def ready_upstreams(self) -> list[SimulatedUpstream]:
        return [
            upstream
            for upstream in self.upstreams
            if upstream.condition is Condition.HEALTHY and not upstream.draining
        ]

    def absent_upstreams(self) -> list[SimulatedUpstream]:
        return [
            upstream
            for upstream in self.upstreams
            if upstream.condition is Condition.ABSENT and not upstream.incarnation
        ]

    def serving_nodes(self) -> list[Node]:
        return [node for node in self.nodes if node.alive]

    def role_holders(self) -> list[Node]:
        holders = self.company.checkers.role_holders() if self.company is not None else []
        return [self.nodes[number] for number in holders]

    def slow_down(self, upstream: SimulatedUpstream, factor: float) -> None:
        self.yard.slow(upstream, factor)

    def silence(self, upstream: SimulatedUpstream) -> None:
        self.lost(upstream)
        self.yard.vanish(upstream)

    def crash(self, upstream: SimulatedUpstream) -> None:
        self.lost(upstream)
        self.yard.crash(upstream)

    def lost(self, upstream: SimulatedUpstream) -> None:
        if self.company is not None:
            self.company.checkers.observe(UpstreamLost(self.clock.now, upstream.number))

    def bring_up(self, upstream: SimulatedUpstream) -> None:
        if self.company is not None:
            self.company.checkers.observe(UpstreamReturned(self.clock.now, upstream.number))
        self.yard.rise(upstream)

    def drain(self, upstream: SimulatedUpstream) -> None:
        self.yard.drain(upstream)

    def retire(self, upstream: SimulatedUpstream) -> None:
        self.yard.depart(upstream)

    def isolate_zone(self, zone: int) -> None:
        stage = self.stage
        stage.cut.add(zone)
        self.yard.hush([held for held in stage.where.values() if stage.parted(*held)], stage.parted)

    def reconnect_zone(self, zone: int) -> None:
        self.stage.cut.discard(zone)

    def slow_shared_store(self, factor: float) -> None:
        self.network.slowness *= factor

    def disconnect_clients(self, share: float, chance: Random) -> None:
        standing = list(self.stage.where.values())
        for record, node in chance.sample(standing, round(len(standing) * share)):
            if record.session.number not in self.stage.where:
                continue  # moved meanwhile: what one client's leaving shows may move another
            self.crowd.unhand(record, "lost by the client")
            node.left(record.session.number)
            self.crowd.back(record.client)

    def suspend_discovery(self, for_s: float) -> None:
        self.listing.deaf_until = self.clock.now + us(for_s)

    def nodes_in_zone(self, zone: int) -> list[Node]:
        return [node for node in self.nodes if node.zone == zone]

    def partition(self, nodes: Sequence[Node], *, oneway: bool) -> None:
        if self.company is not None:
            self.company.part(nodes, oneway)

    def heal_partition(self, nodes: Sequence[Node], *, oneway: bool) -> None:
        if self.company is not None:
            self.company.join(nodes, oneway)

    def impair_paths(self, manner: PathImpairment) -> None:
        if self.company is not None:
            self.company.treat(manner)

    def pause(self, node: Node) -> None:
        """Its process is stopped: what comes to it waits."""
        node.stall()
        for record in node.records.values():
            if not record.session.established:
                self.crowd.doubt(record, node)
        if self.company is not None:
            self.company.stall(node.number)

    def resume(self, node: Node) -> None:
        if not node.alive or self.nodes[node.number] is not node:
            return  # killed meanwhile
        if not node.goes_on():
            return
        if self.company is not None:
            self.company.wake(node.number)
        node.wake()

    def set_clock_gain(self, node: Node, share: float) -> None:
        if self.company is not None:
            self.company.skew(node.number, share)

    def decommission(self, node: Node) -> None:
        self.gone.add(node.number)
        self.kill(node)

    def update_cluster_files(self, gone: Sequence[Node], after_s: Callable[[], float]) -> None:
        if self.company is not None:
            self.company.expelled |= {node.number for node in gone}
            for number in range(len(self.nodes)):
                if number not in self.gone:
                    self.call_later(after_s(), self.company.reread, number)

    def send_false_reports(self, node: Node, about: str) -> None:
        if self.company is not None:
            self.company.lie(node.number, about)

    def kill(self, node: Node) -> None:
        """A node dies; it comes back with the list that it had."""
        if self.company is not None:
            self.company.kill(node.number)
        stage, crowd = self.stage, self.crowd
        nodes, known = self.day.nodes, list(node.list.values())
        self.checker.forgot(node.number)
        self.call_later(nodes.detection_s, self.noticed, node)
        if node.number not in self.gone:
            self.call_later(nodes.restart_after_s, self.restart, node, known)
        for record in node.stop():
            number, attempt, client = record.session.number, record.attempt, record.client
            self.checker.over(number)
            if number in stage.where:
                assert attempt is not None
                del stage.where[number]
                if self.day.packet_forwarding:
                    pause = us(nodes.detection_s) + round(
                        us(self.day.sessions.message_interval_s) * stage.chance.draw("beat", number)
                    )
                    at = self.clock.now + pause
                    self.clock.at(at, WORLD, crowd.come, client, Parked(attempt.upstream, number))
                    continue
                stage.tally.counts["lost with a node"] += 1
            parked = stage.parked.pop(number, None)
            if parked is not None:
                stage.free(parked.upstream, parked.session, client)
            if attempt is not None and attempt.held:
                stage.free(attempt.upstream, number, client)
            crowd.back(client)

    def noticed(self, node: Node) -> None:
        if not node.alive and self.nodes[node.number] is node:
            self.crowd.fronts[node.number] = False

    def restart(self, dead: Node, known: list[Endpoint]) -> None:
        if self.company is not None:
            self.company.restart(dead.number)
        node = self.nodes[dead.number] = self.node(dead.number)
        self.stage.note("restart", node.number)
        node.listed(known, whole=True, asked=False)
        self.listing.told_at[node.number] = 0
        self.listing.tell_whole(node)
        self.crowd.fronts[node.number] = True
