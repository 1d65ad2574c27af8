"""What all parts of a played day stand on: clock, hosts, nodes, standing links, and who reaches whom."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from xxhash import xxh3_64

from larchlatch.emulator.checker import Checker
from larchlatch.emulator.clock import Clock
from larchlatch.emulator.nodes import Node, SessionRecord
from larchlatch.invariants.scenario_checkers import slow_start_checker
from larchlatch.invariants.session_figures import SessionFigures
from larchlatch.policy.types import Endpoint, EndpointState
from larchlatch.scenario.amounts import SECOND, us
from larchlatch.scenario.clients import Client
from larchlatch.scenario.node_settings import deployment_settings
from larchlatch.scenario.random_streams import RandomStreams
from larchlatch.scenario.scenario import Scenario
from larchlatch.scenario.upstreams import Condition, SimulatedUpstream, create_upstreams

START_US = 1_000 * SECOND  # a day begins then: a time of 0 means long before it


class Parked(NamedTuple):
    """Where a link in mid-flow is held, and under which number."""

    upstream: int
    session: int


class Stage:
    def __init__(self, day: Scenario, trace: Callable[[bytes], None] | None) -> None:
        self.day = day
        self.clock = Clock()
        self.clock.now = START_US
        self.end = START_US + us(day.span_s)
        self.chance = RandomStreams(day.seed)
        self.traffic_classes = deployment_settings(day, 0).traffic_classes
        self.group_us = day.sessions.group_ms * 1000
        self.tally = SessionFigures()
        self.warming = slow_start_checker(day)
        self.digest = xxh3_64()
        self.trace = trace
        self.checker = Checker()
        self.upstreams: list[SimulatedUpstream] = list(create_upstreams(day))
        self.nodes: list[Node] = []
        self.cut: set[int] = set()  # zones
        self.idents = 0
        self.where: dict[int, tuple[SessionRecord, Node]] = {}  # links that stand, by their numbers
        self.parked: dict[int, Parked] = {}  # of links in mid-flow that have not been tried yet
        self.counted_at = [START_US] * len(self.upstreams)  # up to when the time of its links is counted

    @staticmethod
    def line(upstream: SimulatedUpstream, state: EndpointState) -> Endpoint:
        name = f"h-{upstream.number}"
        return Endpoint(
            upstream.number, name, upstream.zone, upstream.cell, state, upstream.size, upstream.started_at
        )

    def note(self, *words: object) -> None:
        """One line of the trace: equal days have equal ones, byte for byte."""
        line = f"{self.clock.now} {' '.join(map(str, words))}\n".encode()
        self.digest.update(line)
        if self.trace is not None:
            self.trace(line)

    def count(self, upstream: SimulatedUpstream) -> None:
        """Count the time of the links at a host up to now; asked before anything changes there."""
        now, since = self.clock.now, self.counted_at[upstream.number]
        self.counted_at[upstream.number] = now
        if upstream.sessions and upstream.condition is Condition.HEALTHY:
            self.tally.served_us += (
                len(upstream.sessions) * (now - since) / max(1.0, upstream.utilization(now))
            )

    def free(self, upstream: int, number: int, client: Client) -> None:
        """A host is rid of a link."""
        self.count(self.upstreams[upstream])
        self.upstreams[upstream].remove_session(number, client.group, self.group_us)

    def standing_at(self, upstream: SimulatedUpstream) -> list[tuple[SessionRecord, Node]]:
        return [self.where[number] for number in upstream.sessions if number in self.where]

    # Who reaches whom.

    def latency(self, one: int, other: int) -> int:
        network = self.day.network
        return us((network.same_zone_ms if one == other else network.other_zone_ms) / 1e3)

    def apart(self, one: int, other: int) -> bool:
        return one != other and (one in self.cut or other in self.cut)

    def reach(self, node: Node, upstream: SimulatedUpstream) -> bool:
        away = upstream.condition in (Condition.SILENT, Condition.ABSENT)
        return not away and not self.apart(node.zone, upstream.zone)

    def parted(self, record: SessionRecord, node: Node) -> bool:
        return record.attempt is not None and self.apart(
            node.zone, self.upstreams[record.attempt.upstream].zone
        )
