"""The pacer: who sends the next link to a cold host; what it may not do, whatever is lost or late."""

from __future__ import annotations

import random
from collections import deque
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.cluster.election.electorate import TOKEN_ISSUER, Electorate
from larchlatch.cluster.election.fencing import NO_PERMIT, OrderPermit
from larchlatch.cluster.election.lease_terms import LeaseTerms
from larchlatch.cluster.protocol.headers import RequestOrigin
from larchlatch.cluster.protocol.messages import TokenDemand, TokenGrant, TokenRequest
from larchlatch.cluster.slow_start.issuer import TokenIssuer
from larchlatch.cluster.slow_start.notices import TokenNotice
from larchlatch.cluster.slow_start.requester import NOTICE_LAG_US, TokenRequester
from larchlatch.cluster.slow_start.tokens import SlowStartTokens
from larchlatch.emulator.simulation import Simulation
from larchlatch.policy.types import Hold, Token, TokenCandidate
from larchlatch.scenario.drifting_clock import DriftingClock
from larchlatch.scenario.scenario import Scenario
from larchlatch.scenario.scenario_file import read_scenario_file
from tests.support.balancer_harness import BalancerHarness, endpoint, forwarded_to

SECOND = 1_000_000
BEAT, STEP = 200_000, 40_000
WINDOW, TERM = SECOND, 3 * SECOND
START, WALL = 1000 * SECOND, 1_800_000_000 * SECOND
NAMES = ("a", "b", "c", "d")
ELECTORATE = Electorate(NAMES[:3], NAMES, (TOKEN_ISSUER,), LeaseTerms(TERM, 0.01, 200_000), 7)
UPSTREAM, BUDGET = 99, 5.0


class Side:
    """One node: its part of the pacing, and what its decisions have been told a moment after."""

    def __init__(self, name: str, now: int) -> None:
        self.name = name
        self.pacing = SlowStartTokens(name, ELECTORATE, now)
        self.pacing.update_upstreams(now, [UPSTREAM], slow_start_us=1000 * SECOND, window_us=WINDOW)
        self.incarnation = now
        self.until = 0  # turns are handed over, by what the decisions know
        self.leaves: dict[int, int] = {}
        self.words: deque[tuple[int, TokenNotice]] = deque()  # not heard by the decisions yet
        self.hear(now, self.pacing.requester.open(now))
        self.told(now)
        self.awake_at = 0

    def origin(self, now: int) -> RequestOrigin:
        return RequestOrigin(self.name, self.incarnation, WALL + now)

    def hear(self, now: int, told: TokenNotice | None, lag_us: int = 0) -> None:
        if told is not None:
            last = self.words[-1][0] if self.words else 0
            self.words.append((max(last, now + lag_us), told))

    def told(self, now: int) -> None:
        while self.words and self.words[0][0] <= now:
            _, told = self.words.popleft()
            self.until = told.handed_over_until
            if told.upstream:
                self.leaves[told.session] = told.token_ends_at

    def take(
        self, now: int, note: TokenRequest | TokenGrant, order: OrderPermit, lag_us: int
    ) -> TokenGrant | None:
        if isinstance(note, TokenRequest):
            return self.pacing.issuer.answer(now, note, order) if self.pacing.issuer.is_new(note) else None
        if self.pacing.requester.expects(note):
            self.hear(now, self.pacing.requester.accept(now, note), lag_us)
        return None


class Played:
    """Nodes whose links all want one cold host, through a bad network; the holder of the duty is given."""

    def __init__(
        self, seed: int, loss: float, double: float, late: float, faults: bool, changes: bool = False
    ) -> None:
        """faults: cuts, starts, stops, and changes of the holder; changes: these alone, all the time."""
        self.chance = random.Random(seed)
        self.loss, self.double, self.late, self.faults = loss, double, late, faults
        self.changes = changes
        self.drifts = {name: DriftingClock(START) for name in NAMES}
        for drift in self.drifts.values():
            drift.set_gain(START, self.chance.choice((-0.01, 0.0, 0.01)))
        self.sides = {name: Side(name, START) for name in NAMES}
        self.bag: list[tuple[int, int, str, TokenRequest | TokenGrant]] = []
        self.cut: frozenset[str] = frozenset()
        self.by_leave: list[int] = []  # when links were sent
        self.by_turn = 0
        self.taken_twice = 0  # turns that their node used while the pacer counted on its promise
        self.holder, self.lease, self.held_until = "a", 1, START + 10**12
        self.sessions = 0

    def now_of(self, name: str, now: int) -> int:
        return self.drifts[name].at(now)

    def lag(self) -> int:
        """Until the decisions hear of something."""
        return self.chance.randrange(10_000 if self.chance.random() < 0.9 else NOTICE_LAG_US)

    def order(self, name: str, now: int) -> OrderPermit:
        """Of the lease, as its holder's own clock has it: a round at most."""
        left = self.held_until - now if name == self.holder else 0
        return OrderPermit(self.lease, min(left, TERM // 8)) if left > 0 else NO_PERMIT

    def send(self, now: int, one: str, note: TokenRequest | TokenGrant | None) -> None:
        if (
            note is None
            or self.chance.random() < self.loss
            or (one in self.cut) is not (note.recipient in self.cut)
        ):
            return
        for _ in range(2 if self.chance.random() < self.double else 1):
            way = 4 * SECOND if self.chance.random() < self.late else 40_000
            self.bag.append((now + self.chance.randrange(way), self.chance.randrange(10**9), one, note))

    def befall(self, now: int) -> None:
        self.cut = frozenset(self.chance.choice(("", "", "a", "ab", "d")))
        name, what = self.chance.choice(NAMES), self.chance.random()
        if what < 0.15:
            self.sides[name] = Side(name, self.now_of(name, now))
        elif what < 0.3:
            self.sides[name].awake_at = now + self.chance.randrange(4 * SECOND)
        elif what < 0.6:
            self.change(now)

    def change(self, now: int) -> None:
        """Another has the duty from when the lease before has run out, as the electors see to."""
        self.holder, self.lease = self.chance.choice(NAMES), self.lease + 1
        self.held_until = now + 10**12

    def run(self, span_s: int) -> Played:
        for now in range(START, START + span_s * SECOND, STEP):
            if self.faults and now % (2 * SECOND) == 0:
                self.befall(now)
            if self.changes and now % (2 * SECOND) == 0:
                self.change(now)
            due = sorted(entry[:2] for entry in self.bag if entry[0] <= now)
            going = {entry[:2]: entry for entry in self.bag if entry[0] <= now}
            self.bag = [entry for entry in self.bag if entry[0] > now]
            for key in due:
                _, _, _, note = going[key]
                side = self.sides[note.recipient]
                if now >= side.awake_at:
                    lag = self.lag()
                    own = self.now_of(note.recipient, now)
                    self.send(now, note.recipient, side.take(own, note, self.order(note.recipient, now), lag))
            for name, side in self.sides.items():
                if now >= side.awake_at:
                    self.act(now, name, side)
        return self

    def act(self, now: int, name: str, side: Side) -> None:
        own = self.now_of(name, now)
        lease, _ = self.order(name, now)
        if now % BEAT == 0:
            side.pacing.issuer.hold(own, lease)
            seek, told = side.pacing.requester.tick(own, side.origin(now), self.holder)
            side.hear(own, told, self.lag())
            self.ask(now, own, name, seek)
        side.told(own)
        # A link that waits goes as soon as it may, or at the last moment.
        for number, at in list(side.leaves.items()):
            if own >= at or self.chance.random() < 0.7:
                del side.leaves[number]
                if own < at:
                    self.by_leave.append(now)
        if self.chance.random() < 0.5:
            self.sessions += 1
            self.session(now, own, name, side)

    def ask(self, now: int, own: int, name: str, seek: TokenRequest | None) -> None:
        """Of the pacer, which may be that node itself."""
        if seek is None or seek.recipient != name:
            self.send(now, name, seek)
            return
        leave = self.sides[name].pacing.issuer.answer(own, seek, self.order(name, now))
        if leave is not None:
            self.sides[name].take(own, leave, NO_PERMIT, self.lag())

    def session(self, now: int, own: int, name: str, side: Side) -> None:
        """One more link: it asks for leave, or goes by a turn of its node's, or not at all."""
        if own < side.until:
            want = [(UPSTREAM, TokenCandidate(UPSTREAM, BUDGET, 1.0))]
            seek = side.pacing.requester.request_token(own, side.origin(now), self.sessions, want)
            self.ask(now, own, name, seek)
        elif now // WINDOW % len(NAMES) == NAMES.index(name):
            self.by_turn += 1
            for other, pacer in self.sides.items():
                if self.order(other, now)[0] and pacer.pacing.issuer.lease:
                    until = pacer.pacing.issuer.promised_until.get(name, 0)
                    self.taken_twice += self.now_of(other, now) < until

    @property
    def most(self) -> int:
        """The most that were sent by leave within any window."""
        sent, first, most = self.by_leave, 0, 0
        for place, at in enumerate(sent):
            while sent[first] <= at - WINDOW:
                first += 1
            most = max(most, place - first + 1)
        return most

    @property
    def sound(self) -> bool:
        return self.most <= BUDGET and not self.taken_twice


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.integers(0, 10**6), st.floats(0, 0.4), st.floats(0, 0.4), st.floats(0, 0.3), st.booleans())
def test_no_window_gets_more_than_its_budget_and_no_turn_is_used_that_was_handed_over(
    seed: int, loss: float, double: float, late: float, faults: bool
) -> None:
    played = Played(seed, loss, double, late, faults, not faults).run(24)
    assert played.most <= BUDGET and not played.taken_twice
    assert played.by_turn + len(played.by_leave) > 3


def test_where_all_is_well_nearly_the_whole_budget_is_used_by_whoever_has_links() -> None:
    played = Played(1, 0.0, 0.0, 0.0, False).run(30)
    assert played.sound and len(played.by_leave) > 0.7 * BUDGET * 22, "8 s pass until a start has its turns"


def forgetful(one: TokenRequester, now: int) -> None:
    one.handed_over_until = 0


def hasty(one: TokenRequester, now: int) -> bool:
    return one.answered_lately(now)


def at_once(one: TokenIssuer, now: int, lease: int) -> None:
    if lease != one.lease:
        one.lease, one.promised_until, one.issued, one.opens_at = lease, {}, {}, now


PLANTED: list[tuple[object, str, Any]] = [
    (TokenRequester, "open", forgetful),
    (TokenRequester, "promises", hasty),
    (TokenIssuer, "hold", at_once),
    (TokenIssuer, "counting_span_us", property(lambda one: WINDOW // 2)),
]


@pytest.mark.parametrize("planted", PLANTED, ids=lambda planted: str(planted[1]))
def test_what_is_planted_is_caught(planted: tuple[object, str, Any], monkeypatch: pytest.MonkeyPatch) -> None:
    """A start that forgets what its earlier life handed over, a promise that the decisions have not heard of,
    a pacer that gives before what the one before gave has run out, windows counted too short."""
    monkeypatch.setattr(*planted)
    worlds = ((0.1, 0.2, 0.1, True, False), (0.0, 0.0, 0.0, False, True))
    assert not all(Played(seed, *world).run(25).sound for seed in range(20) for world in worlds)


def paced(now: int = START, lease: int = 5) -> TokenIssuer:
    """A pacer to which all have handed their turns over."""
    one = TokenIssuer("a", ELECTORATE)
    one.update_upstreams([UPSTREAM], window_us=WINDOW)
    one.hold(now - TERM, lease)
    one.promised_until = dict.fromkeys(NAMES, now + TERM)
    return one


def asked(number: int, budget: float = BUDGET, weight: float = 1.0, **changes: Any) -> TokenRequest:
    want = TokenDemand(UPSTREAM, int(budget * 1000), int(weight * 1000))
    return msgspec.structs.replace(TokenRequest("b", 1, number, WALL, "a", 7, 0, 0, [want]), **changes)


def test_a_heavy_link_counts_for_what_it_asks_of_a_host_and_none_is_too_heavy_for_an_empty_window() -> None:
    one, order = paced(), OrderPermit(5, 300_000)
    assert one.answer(START, asked(1, weight=9.0), order) is not None
    assert one.answer(START, asked(2, weight=0.1), order) is None
    later = START + one.counting_span_us + 1
    assert one.answer(later, asked(3, weight=4.5), order) is not None
    assert one.answer(later, asked(4, weight=1.0), order) is None
    assert one.answer(later, asked(5, weight=0.5), order) is not None


def test_those_who_go_by_turns_still_keep_their_part() -> None:
    one, order = paced(), OrderPermit(5, 300_000)
    one.promised_until = {"a": START + TERM, "b": START + TERM}
    given = [one.answer(START, asked(number), order) is not None for number in range(1, 6)]
    assert given == [True, True, False, False, False], "half of five, for two of four"
    one.promised_until = {}
    assert one.answer(START + 5 * SECOND, asked(9), order) is None


def test_a_promise_counts_from_the_word_that_its_node_had_heard() -> None:
    # Danger: how old a note is can't be told. Counted from when it comes, a late one would be a promise that
    # ran out long ago.
    one, order = paced(), OrderPermit(5, 300_000)
    one.promised_until = {}
    one.answer(START + 2 * SECOND, asked(1, lease=5, issued_us=START), order)
    assert START + TERM * 0.97 < one.promised_until["b"] < START + TERM * 0.99
    one.answer(START + 2 * SECOND, asked(2, lease=4, issued_us=START + SECOND), order)
    assert one.promised_until["b"] < START + TERM, "by another lease's clock"
    one.answer(START, asked(3, lease=5, issued_us=START + 9 * SECOND), order)
    assert one.promised_until["b"] < START + TERM, "a word that was not said yet"


def test_who_holds_no_duty_or_another_file_gives_nothing() -> None:
    one = paced()
    assert one.answer(START, asked(1), NO_PERMIT) is None
    assert one.answer(START, asked(2), OrderPermit(6, 300_000)) is None, "a lease that has only begun"
    assert one.answer(START, asked(3, config_digest=8), OrderPermit(5, 300_000)) is None
    assert one.answer(START, asked(4, sender="x"), OrderPermit(5, 300_000)) is None
    stranger = msgspec.structs.replace(asked(6), demands=[TokenDemand(UPSTREAM + 1, 9000, 1)])
    assert one.answer(START, stranger, OrderPermit(5, 300_000)) is None, "a host that is not on the list"
    one.hold(START, 6)
    assert one.answer(START + SECOND, asked(5), OrderPermit(6, 300_000)) is None, (
        "what the one before gave is out yet"
    )


def test_however_many_links_come_a_fleet_asks_so_often_and_no_more() -> None:
    one, now, asked = TokenRequester(ELECTORATE, START), START, 0
    one.update_slow_start(now, slow_start_us=100 * SECOND, window_us=WINDOW)
    one.names = frozenset(map(str, range(200)))
    one.issuer, one.answered_at = "b", START + 10**9
    for beat in range(50):
        one.tick(now + beat * BEAT, RequestOrigin("a", 1, WALL), "b")
        for _ in range(20):
            want = [(UPSTREAM, TokenCandidate(UPSTREAM, BUDGET, 1.0))]
            asked += one.request_token(now + beat * BEAT, RequestOrigin("a", 1, WALL), 7, want) is not None
    assert 1000 * 10 / 200 - 5 <= asked <= 1000 * 10 / 200 + 16


def test_what_was_given_long_ago_is_forgotten() -> None:
    one = paced()
    assert one.answer(START, asked(1), OrderPermit(5, 300_000)) is not None
    one.hold(START + 2 * one.counting_span_us, 5)
    assert one.issued
    one.hold(START + 5 * one.counting_span_us, 5)
    assert not one.issued


def test_a_leave_is_for_its_link_alone_and_ends() -> None:
    # Danger: a heavy link that was refused would take the leave of a light one.
    harness = BalancerHarness(upstreams=0, nodes=40, probes=False)
    harness.update_endpoints(endpoint(0, started_at=harness.now), endpoint(1, started_at=harness.now))
    balancer, now = harness.balancer, harness.now
    balancer.record_token(now, now + 10 * SECOND)
    one, other = (harness.arrive(key=key, deadline=2 * SECOND) for key in (1, 2))
    assert not harness.attempt_upstreams, "all hosts are cold, and turns are handed over"
    sought = {
        want.upstream
        for answer in [balancer.place(now, session) for session in (one, other)]
        if isinstance(answer, Hold)
        for want in answer.token_candidates
    }
    assert sought <= {0, 1}
    balancer.record_token(now, now + 10 * SECOND, Token(1, one.number, now + 100_000))
    assert isinstance(balancer.place(now, other), Hold)
    late = balancer.place(now + 200_000, one)
    assert isinstance(late, Hold), "it has run out"
    balancer.record_token(now + 200_000, now + 10 * SECOND, Token(1, one.number, now + 300_000))
    assert forwarded_to(balancer.place(now + 210_000, one)) == 1
    again = harness.arrive(key=3)
    assert again.number in harness.held_until and not harness.balancer.fleet.upstreams[1].tokens, (
        "it was used"
    )


PACE = Path(__file__).parents[2] / "scenarios" / "pace.toml"


def day(pace: bool, **changes: Any) -> Scenario:
    small: dict[str, Any] = {"nodes.count": 20, "hosts.0.count": 15, "hosts.0.late": 10, "faults.0.hosts": 10}
    small |= {"links.rate": 70.0, "faults.1.holder": pace, "faults.1.at_s": 20.0, "span_s": 24.0}
    return read_scenario_file(PACE, {"cluster.pace": pace, **small, **changes})


def test_hosts_that_come_up_bear_their_share_sooner_and_none_gets_too_much() -> None:
    turns, by_leave = (Simulation(day(pace)).run() for pace in (False, True))
    assert by_leave["cold_over"] == 0 and by_leave["two_holders"] == 0 and by_leave["orders"] > 200
    assert by_leave["cold_used"] > 1.2 * turns["cold_used"] and by_leave["served"] > turns["served"]
    assert not any(by_leave["broken"].values())


def test_where_nobody_paces_turns_are_as_ever() -> None:
    """A duty that nobody can hold, as most electors are gone, changes nothing."""
    with_it, without = (Simulation(day(pace, **{"cluster.electors": 3})) for pace in (True, False))
    for simulation in (with_it, without):
        assert simulation.cluster is not None
        for number in (0, 1):
            simulation.cluster.members[number].is_alive = False
    rows = [simulation.run() for simulation in (with_it, without)]
    assert rows[0]["orders"] == 0 and abs(rows[0]["cold_used"] - rows[1]["cold_used"]) < 0.06


def test_a_node_that_was_stopped_promises_no_longer_than_its_decisions_know() -> None:
    # Danger: it wakes just before the pacer's last word is old, and a link asks before its next beat finds
    # that it is. Turns would be promised for a term more, and used again sooner.
    one, now = TokenRequester(ELECTORATE, START), START
    one.update_slow_start(now, slow_start_us=100 * SECOND, window_us=WINDOW)
    for _ in range(10):
        seek, _ = one.tick(now, RequestOrigin("b", 1, WALL), "a")
        if seek is not None:
            one.accept(now, TokenGrant("a", "b", 1, seek.request_id, 5, 300_000, now, 0))
        now += BEAT
    want = [(UPSTREAM, TokenCandidate(UPSTREAM, BUDGET, 1.0))]
    soon = one.request_token(now, RequestOrigin("b", 1, WALL), 7, want)
    assert soon is not None and soon.lease == 5 and one.handed_over_until >= now + TERM
    late = one.answered_at + TERM - 50_000
    asked = one.request_token(late, RequestOrigin("b", 1, WALL), 8, want)
    assert asked is not None and (not asked.lease or one.handed_over_until >= late + TERM)
