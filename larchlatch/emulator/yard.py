"""What hosts show of themselves, and what befalls them."""

from __future__ import annotations

from collections.abc import Callable

from larchlatch.emulator.clock import TIMER, TOLD, WORLD
from larchlatch.emulator.listing import Listing
from larchlatch.emulator.nodes import Node, SessionRecord
from larchlatch.emulator.stage import Stage
from larchlatch.invariants.observations import UpstreamsSampled
from larchlatch.policy.types import EndpointState, Outcome
from larchlatch.scenario.amounts import SECOND, us
from larchlatch.scenario.upstreams import Condition, SimulatedUpstream

TICK_US = SECOND  # hosts are looked at for lateness, and drop links, once in this
QUIET_US = 500_000  # as real nodes do: a host that has answered nothing for so long is told of as quiet
SILENT_US = 1_500_000  # and a line without an answer for so long moves its link
NEAR = 0.34  # share of the wanted time from which nodes tell what a message takes


class Yard:
    def __init__(self, stage: Stage, listing: Listing) -> None:
        self.stage = stage
        self.listing = listing
        self.late: set[tuple[int, int]] = set()  # node and host, told of as late

    def tick(self) -> None:
        """Lateness is told, and hosts that bear far too much drop links."""
        now, wanted = self.stage.clock.now, us(self.stage.day.sessions.message_ms / 1e3)
        self.stage.clock.at(now + TICK_US, WORLD, self.tick)
        self.stage.warming.observe(UpstreamsSampled(now, self.stage.upstreams, TICK_US))
        for upstream in self.stage.upstreams:
            if upstream.condition is not Condition.HEALTHY:
                continue
            self.stage.count(upstream)  # its speed may change with its warmth
            took = upstream.message_latency_us(now, wanted)
            late = took > NEAR * wanted
            if late or self.late:
                self.tell_delay(upstream, took, late)
            most = list(upstream.sessions)[: upstream.sessions_to_drop(now)]
            self.reset_sessions(
                upstream, [self.stage.where[number] for number in most if number in self.stage.where]
            )

    def tell_delay(self, upstream: SimulatedUpstream, took: int, late: bool) -> None:
        """Each node with links there notes once a second what a message takes, and once when it is over."""
        heard: dict[int, tuple[Node, SessionRecord]] = {}
        for number in upstream.sessions:
            if number in self.stage.where:
                record, node = self.stage.where[number]
                heard.setdefault(node.number, (node, record))
        for number, (node, record) in heard.items():
            if late or (number, upstream.number) in self.late:
                self.stage.clock.at(self.stage.clock.now, TOLD, self.delay, node, record, took)
            if late:
                self.late.add((number, upstream.number))
            else:
                self.late.discard((number, upstream.number))

    def delay(self, node: Node, record: SessionRecord, took: int) -> None:
        if node.waits(self.delay, node, record, took):
            return
        if node.alive and record.session.number in node.records and record.session.established:
            node.policy.record_delay(self.stage.clock.now, record.session, took)
            node.look()

    def hush(
        self, held: list[tuple[SessionRecord, Node]], still: Callable[[SessionRecord, Node], bool]
    ) -> None:
        """Links on which nothing comes back any more: what nodes make of that, as real ones do."""
        now, beat = self.stage.clock.now, us(self.stage.day.sessions.message_interval_s)
        quiet: dict[tuple[int, int], int] = {}
        for record, node in held:
            assert record.attempt is not None
            said = now + round(beat * self.stage.chance.draw("beat", record.session.number))
            pair = (node.number, record.attempt.upstream)
            quiet[pair] = min(quiet.get(pair, said), said)
            self.stage.clock.at(said + SILENT_US, TIMER, self.silent, record, node, still)
        for (number, upstream), said in quiet.items():
            self.stage.clock.at(said + QUIET_US, TIMER, self.quiet, self.stage.nodes[number], upstream)

    def silent(self, record: SessionRecord, node: Node, still: Callable[[SessionRecord, Node], bool]) -> None:
        if record.attempt is not None and record.attempt.live and node.alive and still(record, node):
            node.ended(record.attempt, Outcome.RESET)

    def quiet(self, node: Node, upstream: int) -> None:
        if node.waits(self.quiet, node, upstream):
            return
        if node.alive and not self.stage.reach(node, self.stage.upstreams[upstream]):
            node.policy.record_unresponsive(self.stage.clock.now, upstream)
            node.saw(upstream, None)
            node.look()

    # What befalls them.

    def slow(self, upstream: SimulatedUpstream, factor: float) -> None:
        self.stage.count(upstream)
        upstream.slowness *= factor

    def vanish(self, upstream: SimulatedUpstream) -> None:
        self.stage.count(upstream)
        upstream.condition = Condition.SILENT
        life = upstream.incarnation
        self.hush(self.stage.standing_at(upstream), lambda record, node: upstream.incarnation == life)

    def crash(self, upstream: SimulatedUpstream) -> None:
        held = self.stage.standing_at(upstream)
        self.stage.count(upstream)
        upstream.condition = Condition.CRASHED
        upstream.stop()
        self.reset_sessions(upstream, held)

    def reset_sessions(self, upstream: SimulatedUpstream, held: list[tuple[SessionRecord, Node]]) -> None:
        for record, node in held:
            way = self.stage.latency(node.zone, upstream.zone)
            self.stage.clock.at(self.stage.clock.now + way, TOLD, node.ended, record.attempt, Outcome.RESET)

    def rise(self, upstream: SimulatedUpstream) -> None:
        """A host starts, cold; links that it held before are reset."""
        held = self.stage.standing_at(upstream)
        self.stage.count(upstream)
        upstream.start(self.stage.clock.now)
        self.reset_sessions(upstream, held)
        self.listing.change(upstream, EndpointState.READY)

    def depart(self, upstream: SimulatedUpstream) -> None:
        held = self.stage.standing_at(upstream)
        self.stage.count(upstream)
        upstream.stop()
        upstream.condition = Condition.ABSENT
        self.reset_sessions(upstream, held)
        self.listing.change(upstream, EndpointState.GONE)

    def drain(self, upstream: SimulatedUpstream) -> None:
        upstream.draining = True
        self.listing.change(upstream, EndpointState.DRAINING)
