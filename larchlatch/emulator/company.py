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
from larchlatch.invariants.membership_agreement import Agreement
from larchlatch.invariants.quota_safety import spending_of
from larchlatch.invariants.single_leader import row_of, tenures_of
from larchlatch.invariants.upstream_avoidance import Avoidance
from larchlatch.policy.types import TokenCandidate
from larchlatch.scenario.amounts import us
from larchlatch.scenario.paths import Manner, Part, Paths
from larchlatch.scenario.puppets import Drift, Lying
from larchlatch.scenario.scenario import Day

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
        self.exchange = Lying(self.members, shared, company.sites, company.keys, trust, trust, company.count)
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
        if company.spending is not None:
            company.spending.asked(company.stage.clock.now, str(session))
        back_us = self.budgets.admit(self.now, f"t{traffic_class}")
        if not back_us and company.spending is not None:
            company.spending.seen(company.stage.clock.now, str(session))
        return back_us

    def update_endpoints(self, upstreams: Sequence[int], started_at: int) -> None:
        self.evidence.set_upstreams(upstreams)
        cold = self.company.stage.day.cold
        slow_start_us = started_at + us(cold.warm_s) - self.company.stage.clock.now if started_at else 0
        self.pacing.update_upstreams(
            self.now, upstreams, slow_start_us=max(0, slow_start_us), window_us=us(cold.tip_s)
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
            company.avoidance.found(now, self.number, upstream)
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
            company.tenures[order.role].carried_out(order.lease)
        for event in events:
            company.stage.note("duty", self.number, event.change.value, event.lease)
            company.tenures[event.role].held(now, self.number, event.change is RoleChange.HELD)

    def send(self, datagrams: list[OutgoingDatagram]) -> None:
        for name, data in datagrams:
            self.company.send(self.number, self.company.places[name], data)

    def told(self, changes: list[MemberChange]) -> None:
        company, now = self.company, self.company.stage.clock.now
        for change in changes:
            other = company.places[change.name]
            company.stage.note("member", self.number, other, change.state.value)
            company.agreement.said(now, self.number, other, change.state is MemberState.PRESENT)


class Company:
    def __init__(self, stage: Stage) -> None:
        count, cluster = stage.day.nodes.count, stage.day.cluster
        self.stage = stage
        self.beat_us = cluster.beat_ms * 1000
        self.names = [f"n{number}" for number in range(count)]
        self.places = {name: number for number, name in enumerate(self.names)}
        self.expelled: set[int] = set()  # nodes that the files lack
        self.refile()
        self.tenures = tenures_of(stage.day, stage.clock.now)
        self.spending = spending_of(stage.day)
        self.drifts = [Drift(stage.clock.now) for _ in range(count)]
        self.paths = Paths(stage.chance)
        self.agreement = Agreement(count, stage.clock.now)
        self.avoidance = Avoidance()
        self.starts = [0] * count
        self.counts: dict[str, int] = {}
        self.bytes = 0
        self.spent_s = 0.0  # processor time of the decisions and of reading and writing datagrams
        self.voices = [Voice(self, number) for number in range(count)]
        self.judge()
        if self.spending is not None:
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
        self.agreement.is_so(now, runs, self.paths.apart)
        for tenures in self.tenures.values():
            tenures.is_so(now, runs, self.paths.apart)
        for number, running in enumerate(runs):
            self.avoidance.runs(now, number, running)

    def look(self) -> None:
        """Compare what each node takes the fleet's use to be with what it is."""
        now = self.stage.clock.now
        assert self.spending is not None
        for voice in self.voices:
            if voice.alive and not voice.stopped:
                [known] = voice.counts.ranges(now)
                self.spending.told(now, known.least, known.most, voice.counts.span_us)
        self.stage.clock.at(now + TELL_US, CHECK, self.look)

    def advised(self, number: int, looks: list[int], failed: Sequence[tuple[int, int]]) -> None:
        node = self.stage.nodes[number]
        for upstream, _ in failed:
            reached = self.stage.reach(node, self.stage.upstreams[upstream])
            self.avoidance.left_out(self.stage.clock.now, upstream, reached)
        node.advised(looks, failed)

    def send(self, one: int, other: int, data: bytes) -> None:
        self.bytes += len(data)
        zones = self.stage.day.zones
        way = self.stage.latency(one % zones, other % zones)
        for delay in self.paths.fate(one, other):
            self.stage.clock.at(self.stage.clock.now + way + delay, TOLD, self.comes, other, data)

    def comes(self, other: int, data: bytes) -> None:
        self.voices[other].take(data)

    # What befalls it.

    def part(self, nodes: Sequence[Node], oneway: bool) -> None:
        self.paths.parts.append(Part(frozenset(node.number for node in nodes), oneway))
        self.judge()

    def join(self, nodes: Sequence[Node], oneway: bool) -> None:
        self.paths.parts.remove(Part(frozenset(node.number for node in nodes), oneway))
        self.judge()

    def treat(self, manner: Manner) -> None:
        self.paths.manner = manner

    def kill(self, number: int) -> None:
        self.voices[number].alive = False
        for tenures in self.tenures.values():
            tenures.held(self.stage.clock.now, number, False)
        self.judge()

    def restart(self, number: int) -> None:
        self.voices[number] = Voice(self, number)
        self.agreement.began(self.stage.clock.now, number)
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
        self.drifts[number].run(self.stage.clock.now, share)

    def lie(self, number: int, about: str) -> None:
        self.voices[number].exchange.about = about

    def row(self) -> dict[str, float | int | None]:
        span_s = (self.stage.clock.now - START_US) / 1e6 * len(self.voices)
        return {
            **self.agreement.row(),
            **(self.spending.row() if self.spending is not None else {}),
            **self.avoidance.row(self.stage.clock.now),
            **row_of(self.tenures, self.stage.clock.now),
            "cluster_bytes_s": round(self.bytes / span_s),
            "cluster_cpu": round(self.spent_s / span_s, 5),
        }


def dealing_for(day: Day, names: Sequence[str], mark: int) -> QuotaSettings:
    """How the day's budget, if it has one, is dealt out: as its cluster file would say it."""
    cluster = day.cluster
    spans = LoanTerms(us(cluster.window_s), us(cluster.term_s), cluster.skew)
    limits: tuple[Quota, ...] = ()
    if cluster.sessions_per_s:
        traffic_classes = tuple(f"t{place}" for place in range(len(day.sessions.effects)))
        limits = (Quota("all", int(cluster.sessions_per_s * cluster.window_s), traffic_classes),)
    return QuotaSettings(limits, tuple(sorted(names)), cluster.floor, spans, mark, cluster.allot)


def roster_for(day: Day, names: Sequence[str], mark: int) -> Electorate:
    """Who elects on this day: the first nodes, which are of all sites in turn."""
    cluster = day.cluster
    if not (cluster.allot or cluster.pace):
        return Electorate()
    tenure = LeaseTerms(us(cluster.term_s), cluster.skew, APART_US)
    electors = tuple(sorted(names[: cluster.electors]))
    duties = (QUOTA_ALLOCATOR,) * cluster.allot + (TOKEN_ISSUER,) * cluster.pace
    return Electorate(electors, tuple(sorted(names)), duties, tenure, mark)
