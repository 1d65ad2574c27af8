"""Nodes that know of each other, on the emulator's clock: the real decisions and datagrams, no keys."""

from __future__ import annotations

import time
from collections.abc import Sequence

from larchlatch.cluster.election.candidate_side import RoleChange
from larchlatch.cluster.election.electorate import QUOTA_ALLOCATOR, TOKEN_ISSUER, Electorate
from larchlatch.cluster.election.lease_terms import LeaseTerms
from larchlatch.cluster.exchange.results import ExecutedOrder, OutgoingDatagram
from larchlatch.cluster.exchange.state import SharedState
from larchlatch.cluster.membership.member import MemberChange, MemberState
from larchlatch.cluster.membership.membership import Membership
from larchlatch.cluster.protocol.signing import SIGNATURE_BYTES
from larchlatch.cluster.quota.loan_terms import LoanTerms
from larchlatch.cluster.quota.settings import Quota, QuotaSettings
from larchlatch.cluster.slow_start.notices import TokenNotice
from larchlatch.emulator.clock import CHECK, TIMER, TOLD
from larchlatch.emulator.nodes import Node
from larchlatch.emulator.stage import START_US, Stage
from larchlatch.invariants.observations import (
    FleetChanged,
    MemberReported,
    NodeStarted,
    OrderExecuted,
    QuotaUsageReported,
    RoleChanged,
    SessionAdmitted,
    SessionRequested,
    UpstreamEjected,
    UpstreamFailureDetected,
)
from larchlatch.invariants.scenario_checkers import ClusterCheckers
from larchlatch.policy.types import TokenCandidate
from larchlatch.scenario.amounts import us
from larchlatch.scenario.byzantine_exchange import ByzantineExchange
from larchlatch.scenario.datagram_paths import DatagramPaths, PartitionedNodes, PathImpairment
from larchlatch.scenario.drifting_clock import DriftingClock
from larchlatch.scenario.scenario import Scenario

ROOM = 1000  # datagrams that lie unread at a node that is stopped; the system's buffer holds about so many
APART_US = 200_000  # by which the wall clocks of nodes may differ, as they are told
TELL_US = 1_000_000  # between two looks at what each node takes the fleet's use to be


def key_of(name: str) -> bytes:
    return name.encode().ljust(SIGNATURE_BYTES)


class Plain:
    """Keys cost what they cost on sockets; here a signature says who has signed, and nobody forges that."""

    def __init__(self, name: str) -> None:
        self.key = key_of(name)

    def sign(self, body: bytes) -> bytes:
        return self.key

    def verify(self, key: bytes, body: bytes, signature: bytes) -> bool:
        return key == signature


class Voice:
    """One node's part in it, from a start to its end."""

    def __init__(self, company: Company, number: int) -> None:
        stage = company.stage
        company.starts[number] += 1
        chance = stage.chance.stream(f"cluster {number} start {company.starts[number]}")
        names, now, beat_us = company.names, stage.clock.now, company.beat_us
        self.number = number
        self.company = company
        self.drift = company.drifts[number]
        own = self.now
        self.members = Membership(
            names[number], company.sites, heartbeat_us=beat_us, wall_us=now, now_us=own, rng=chance
        )
        shared = SharedState.create(
            names[number],
            company.dealing,
            company.roster,
            max_clock_difference_us=APART_US,
            heartbeat_us=beat_us,
            now=own,
            random=chance,
        )
        self.budgets, self.counts, self.evidence, self.duties, self.pacing = shared
        shared.open(own)
        trust = Plain(names[number])
        self.exchange = ByzantineExchange(
            self.members, shared, company.sites, company.keys, trust, trust, company.count
        )
        self.exchange.upstreams = range(len(stage.upstreams))
        self.alive = True
        self.stopped = False
        self.unread: list[bytes] = []
        self.beat_at = now + round(chance.random() * beat_us)
        stage.clock.at(self.beat_at, TIMER, self.woken, self.beat_at)

    @property
    def now(self) -> int:
        """By its own clock."""
        return self.drift.at(self.company.stage.clock.now)

    # What its node asks, and tells.

    def admit(self, session: int, traffic_class: int) -> int:
        company = self.company
        company.checkers.observe(SessionRequested(company.stage.clock.now, str(session)))
        back_us = self.budgets.admit(self.now, f"t{traffic_class}")
        if not back_us:
            company.checkers.observe(SessionAdmitted(company.stage.clock.now, str(session)))
        return back_us

    def update_endpoints(self, upstreams: Sequence[int], started_at: int) -> None:
        self.evidence.set_upstreams(upstreams)
        cold = self.company.stage.day.slow_start
        slow_start_us = started_at + us(cold.duration_s) - self.company.stage.clock.now if started_at else 0
        self.pacing.update_upstreams(
            self.now, upstreams, slow_start_us=max(0, slow_start_us), window_us=us(cold.overload_window_s)
        )

    def request_token(self, session: int, wants: Sequence[TokenCandidate]) -> None:
        wall = self.company.stage.clock.now
        candidates = [(want.upstream, want) for want in wants]
        taken = self.exchange.request_token(session, candidates, now=self.now, wall=wall)
        self.send(taken.datagrams)
        self.ordered(taken.orders)
        self.pace(taken.token_updates)

    def pace(self, leaves: list[TokenNotice]) -> None:
        # The decisions go by the true clock here.
        ahead = self.company.stage.clock.now - self.now
        for told in leaves:
            node = self.company.stage.nodes[self.number]
            node.paced(
                told.handed_over_until + ahead,
                told.upstream if told.session >= 0 else -1,
                told.session,
                told.token_ends_at + ahead,
            )

    def observe_reachability(self, upstream: int, good: bool | None) -> None:
        if upstream in self.evidence.upstreams:
            self.evidence.observe(self.now, upstream, reached=good)

    # Its part among the others.

    def woken(self, at: int) -> None:
        # One timer alone goes on: a stop that is over before its next beat must not leave it with two.
        if self.alive and not self.stopped and at == self.beat_at:
            self.beat()

    def beat(self) -> None:
        company, now = self.company, self.company.stage.clock.now
        began = time.perf_counter()
        beat = self.exchange.heartbeat(now=self.now, wall=now)
        company.spent_s += time.perf_counter() - began
        self.told(beat.changes)
        self.ordered([])
        self.pace(beat.token_updates)
        self.send(beat.datagrams)
        for upstream in beat.advice.newly_unreachable:
            company.checkers.observe(UpstreamFailureDetected(now, self.number, upstream))
        if beat.advice.probes or beat.advice.failures:
            company.advised(self.number, beat.advice.probes, beat.advice.failures)
        self.beat_at = now + company.beat_us
        company.stage.clock.at(self.beat_at, TIMER, self.woken, self.beat_at)

    def take(self, data: bytes) -> None:
        if self.stopped:
            self.unread = [*self.unread[-ROOM + 1 :], data]
        elif self.alive:
            began = time.perf_counter()
            taken = self.exchange.receive(data, now=self.now, wall=self.company.stage.clock.now)
            self.company.spent_s += time.perf_counter() - began
            self.told(taken.changes)
            self.ordered(taken.orders)
            self.send(taken.datagrams)
            self.pace(taken.token_updates)

    def ordered(self, orders: list[ExecutedOrder]) -> None:
        company, now = self.company, self.company.stage.clock.now
        events = self.duties.take_events()
        for order in orders:
            company.stage.note("order", self.number, order.lease)
            company.checkers.observe(OrderExecuted(now, order.role, order.lease))
        for event in events:
            company.stage.note("duty", self.number, event.change.value, event.lease)
            held = event.change is RoleChange.HELD
            company.checkers.observe(RoleChanged(now, event.role, self.number, held))

    def send(self, datagrams: list[OutgoingDatagram]) -> None:
        for name, data in datagrams:
            self.company.send(self.number, self.company.places[name], data)

    def told(self, changes: list[MemberChange]) -> None:
        company, now = self.company, self.company.stage.clock.now
        for change in changes:
            other = company.places[change.name]
            company.stage.note("member", self.number, other, change.state.value)
            present = change.state is MemberState.PRESENT
            company.checkers.observe(MemberReported(now, self.number, other, present))


class Company:
    def __init__(self, stage: Stage) -> None:
        count, cluster = stage.day.nodes.count, stage.day.cluster
        self.stage = stage
        self.beat_us = cluster.heartbeat_ms * 1000
        self.names = [f"n{number}" for number in range(count)]
        self.places = {name: number for number, name in enumerate(self.names)}
        self.expelled: set[int] = set()  # nodes that the files lack
        self.refile()
        self.checkers = ClusterCheckers(stage.day, stage.clock.now)
        self.drifts = [DriftingClock(stage.clock.now) for _ in range(count)]
        self.paths = DatagramPaths(stage.chance)
        self.starts = [0] * count
        self.counts: dict[str, int] = {}
        self.bytes = 0
        self.spent_s = 0.0  # processor time of the decisions and of reading and writing datagrams
        self.voices = [Voice(self, number) for number in range(count)]
        self.judge()
        if self.checkers.quota is not None:
            stage.clock.at(stage.clock.now + TELL_US, CHECK, self.look)

    def refile(self) -> None:
        """What the cluster files say from now on."""
        day, left = self.stage.day, [n for n in self.names if self.places[n] not in self.expelled]
        self.sites = {name: f"z{self.places[name] % day.zones}" for name in left}
        self.keys = {name: key_of(name) for name in left}
        self.dealing = dealing_for(day, left, 1 + len(self.expelled))
        self.roster = roster_for(day, left, 1 + len(self.expelled))

    def reread(self, number: int) -> None:
        """A node reads its file anew; one that does not run, as it starts."""
        self.refile()
        voice = self.voices[number]
        if voice.alive:
            voice.exchange.apply_configuration(
                self.sites,
                self.keys,
                self.dealing,
                self.roster,
                heartbeat_us=self.beat_us,
                now=voice.now,
            )

    def count(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def judge(self) -> None:
        runs = [voice.alive and not voice.stopped for voice in self.voices]
        now = self.stage.clock.now
        self.checkers.observe(FleetChanged(now, runs, self.paths.is_blocked))

    def look(self) -> None:
        """Compare what each node takes the fleet's use to be with what it is."""
        now = self.stage.clock.now
        for voice in self.voices:
            if voice.alive and not voice.stopped:
                [known] = voice.counts.ranges(now)
                report = QuotaUsageReported(now, known.least, known.most, voice.counts.span_us)
                self.checkers.observe(report)
        self.stage.clock.at(now + TELL_US, CHECK, self.look)

    def advised(self, number: int, looks: list[int], failed: Sequence[tuple[int, int]]) -> None:
        node = self.stage.nodes[number]
        for upstream, _ in failed:
            reached = self.stage.reach(node, self.stage.upstreams[upstream])
            self.checkers.observe(UpstreamEjected(self.stage.clock.now, upstream, reached))
        node.advised(looks, failed)

    def send(self, one: int, other: int, data: bytes) -> None:
        self.bytes += len(data)
        zones = self.stage.day.zones
        way = self.stage.latency(one % zones, other % zones)
        for delay in self.paths.delays_of_next(one, other):
            self.stage.clock.at(self.stage.clock.now + way + delay, TOLD, self.comes, other, data)

    def comes(self, other: int, data: bytes) -> None:
        self.voices[other].take(data)

    # What befalls it.

    def part(self, nodes: Sequence[Node], oneway: bool) -> None:
        self.paths.partitions.append(PartitionedNodes(frozenset(node.number for node in nodes), oneway))
        self.judge()

    def join(self, nodes: Sequence[Node], oneway: bool) -> None:
        self.paths.partitions.remove(PartitionedNodes(frozenset(node.number for node in nodes), oneway))
        self.judge()

    def treat(self, manner: PathImpairment) -> None:
        self.paths.impairment = manner

    def kill(self, number: int) -> None:
        self.voices[number].alive = False
        for role in self.checkers.leaders:
            self.checkers.observe(RoleChanged(self.stage.clock.now, role, number, held=False))
        self.judge()

    def restart(self, number: int) -> None:
        self.voices[number] = Voice(self, number)
        self.checkers.observe(NodeStarted(self.stage.clock.now, number))
        self.judge()

    def stall(self, number: int) -> None:
        self.voices[number].stopped = True
        self.judge()

    def wake(self, number: int) -> None:
        voice = self.voices[number]
        voice.stopped = False
        self.judge()
        # Its timer is overdue and goes off before it reads what lies there.
        if voice.beat_at <= self.stage.clock.now:
            voice.beat()
        unread, voice.unread = voice.unread, []
        for data in unread:
            voice.take(data)

    def skew(self, number: int, share: float) -> None:
        self.drifts[number].set_gain(self.stage.clock.now, share)

    def lie(self, number: int, about: str) -> None:
        self.voices[number].exchange.false_subject = about

    def row(self) -> dict[str, float | int | None]:
        span_s = (self.stage.clock.now - START_US) / 1e6 * len(self.voices)
        return {
            **self.checkers.figures(self.stage.clock.now),
            "cluster_bytes_s": round(self.bytes / span_s),
            "cluster_cpu": round(self.spent_s / span_s, 5),
        }


def dealing_for(day: Scenario, names: Sequence[str], mark: int) -> QuotaSettings:
    """How the day's budget, if it has one, is dealt out: as its cluster file would say it."""
    cluster = day.cluster
    spans = LoanTerms(us(cluster.window_s), us(cluster.term_s), cluster.max_clock_skew)
    limits: tuple[Quota, ...] = ()
    if cluster.sessions_per_s:
        traffic_classes = tuple(f"t{place}" for place in range(len(day.sessions.idempotencies)))
        limits = (Quota("all", int(cluster.sessions_per_s * cluster.window_s), traffic_classes),)
    return QuotaSettings(limits, tuple(sorted(names)), cluster.floor, spans, mark, cluster.quota_allocator)


def roster_for(day: Scenario, names: Sequence[str], mark: int) -> Electorate:
    """Who elects on this day: the first nodes, which are of all sites in turn."""
    cluster = day.cluster
    if not (cluster.quota_allocator or cluster.token_issuer):
        return Electorate()
    tenure = LeaseTerms(us(cluster.term_s), cluster.max_clock_skew, APART_US)
    electors = tuple(sorted(names[: cluster.electors]))
    duties = (QUOTA_ALLOCATOR,) * cluster.quota_allocator + (TOKEN_ISSUER,) * cluster.token_issuer
    return Electorate(electors, tuple(sorted(names)), duties, tenure, mark)
