"""Setup tries and probes on their way between nodes and hosts."""

from __future__ import annotations

from collections.abc import Callable

from larchlatch.emulator.clock import TIMER, TOLD, WORLD
from larchlatch.emulator.nodes import Attempt, Node, SessionRecord
from larchlatch.emulator.stage import Stage
from larchlatch.invariants.observations import SessionArrived
from larchlatch.policy.types import Outcome, ProbeResult
from larchlatch.scenario.amounts import us
from larchlatch.scenario.upstreams import Condition, SimulatedUpstream


class Network:
    def __init__(self, stage: Stage, falls: Callable[[SimulatedUpstream], None]) -> None:
        self.stage = stage
        self.clock = stage.clock
        self.falls = falls  # a cold host was pushed over
        self.slowness = 1.0  # of what all setups need

    @property
    def store_us(self) -> int:
        return round(us(self.stage.day.shared_store_ms / 1e3) * self.slowness)

    def tried(self, record: SessionRecord, attempt: Attempt) -> None:
        now, node, upstream = self.clock.now, attempt.node, self.stage.upstreams[attempt.upstream]
        self.stage.tally.counts["tries"] += 1
        self.stage.note("try", attempt.session, node.number, upstream.number)
        self.stage.checker.sent(now, attempt.session, node.number, upstream.number)
        way = self.stage.latency(node.zone, upstream.zone)
        dial = us(self.stage.day.network.connect_timeout_ms / 1e3)
        self.clock.at(attempt.ends_at, TIMER, self.timed_out, attempt, Outcome.TIMED_OUT)
        if not self.stage.reach(node, upstream):
            self.clock.at(
                min(now + dial, attempt.ends_at), TIMER, self.timed_out, attempt, Outcome.CONNECT_FAILED
            )
        elif upstream.condition is Condition.CRASHED:
            self.clock.at(now + 2 * way, TOLD, node.ended, attempt, Outcome.CONNECT_FAILED)
        else:
            self.clock.at(now + way, WORLD, self.reached, record, attempt, way)

    def timed_out(self, attempt: Attempt, what: Outcome) -> None:
        if attempt.live and not attempt.stands:
            attempt.node.ended(attempt, what)

    def given_up(self, attempt: Attempt) -> None:
        self.timed_out(attempt, Outcome.CANCELLED)

    def reached(self, record: SessionRecord, attempt: Attempt, way: int) -> None:
        """The link's line has come to the host."""
        now, upstream, client = self.clock.now, self.stage.upstreams[attempt.upstream], record.client
        tell = self.clock.at
        if upstream.condition is not Condition.HEALTHY:
            if upstream.condition is Condition.CRASHED:
                tell(now + way, TOLD, attempt.node.ended, attempt, Outcome.RESET)
            return
        parked = self.stage.parked.pop(attempt.session, None)
        if parked is not None:
            holds = parked.upstream == upstream.number and parked.session in upstream.sessions
            self.stage.tally.counts["mid right" if holds else "mid wrong"] += 1
            self.stage.free(parked.upstream, parked.session, client)
            if holds:
                self.taken(record, attempt, upstream, way)
                return
        self.stage.warming.observe(SessionArrived(now, upstream, client.load))
        if upstream.is_overloaded_by(now, client.load):
            self.stage.checker.tipped(now, upstream.number)
            self.falls(upstream)
            return
        done = upstream.schedule_setup(now, client.work_us)
        if done is None:
            tell(now + way, TOLD, attempt.node.ended, attempt, Outcome.REJECTED)
        else:
            tell(done + self.store_us, WORLD, self.set_up, record, attempt, upstream.incarnation, way)

    def set_up(self, record: SessionRecord, attempt: Attempt, life: int, way: int) -> None:
        upstream = self.stage.upstreams[attempt.upstream]
        if upstream.incarnation != life or upstream.condition is not Condition.HEALTHY:
            # Its process died in between: the connection ends, unless the machine says nothing any more.
            if upstream.condition is not Condition.SILENT:
                self.clock.at(self.clock.now + way, TOLD, attempt.node.ended, attempt, Outcome.RESET)
        elif attempt.live:  # else nobody waits there any more
            self.taken(record, attempt, upstream, way)

    def taken(self, record: SessionRecord, attempt: Attempt, upstream: SimulatedUpstream, way: int) -> None:
        """The link stands at its host, which says so."""
        self.stage.count(upstream)
        upstream.add_session(attempt.session, record.client.load, record.client.group, self.stage.group_us)
        attempt.held = True
        self.clock.at(self.clock.now + way, TOLD, self.up, record, attempt)

    def up(self, record: SessionRecord, attempt: Attempt) -> None:
        if (
            attempt.live
            and attempt.node.alive
            and attempt.session in self.stage.upstreams[attempt.upstream].sessions
        ):
            attempt.node.ended(attempt, Outcome.ESTABLISHED)
        else:
            self.stage.free(attempt.upstream, attempt.session, record.client)

    def probed(self, node: Node, number: int) -> None:
        upstream, now = self.stage.upstreams[number], self.clock.now
        self.stage.tally.counts["probes"] += 1
        way = self.stage.latency(node.zone, upstream.zone)
        if not self.stage.reach(node, upstream):
            self.clock.at(
                now + us(self.stage.day.network.connect_timeout_ms / 1e3),
                TOLD,
                self.report,
                node,
                number,
                None,
            )
        elif upstream.condition is Condition.CRASHED:
            self.clock.at(now + 2 * way, TOLD, self.report, node, number, None)
        else:
            figures = (upstream.utilization(now), float(len(upstream.sessions)))
            self.clock.at(now + 2 * way, TOLD, self.report, node, number, figures)

    def report(self, node: Node, number: int, figures: tuple[float, float] | None) -> None:
        if node.alive and not node.waits(self.report, node, number, figures):
            utilization, held = figures if figures is not None else (None, None)
            node.saw(number, figures is not None)
            node.policy.record_probe(
                self.clock.now, number, ProbeResult(figures is not None, utilization, held)
            )
            node.look()
