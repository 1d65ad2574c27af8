"""Nodes that exchange slow-start tokens over a bad network, and a count of what each did."""

from __future__ import annotations

import random
from collections import deque

from larchlatch.cluster.election.electorate import TOKEN_ISSUER, Electorate
from larchlatch.cluster.election.fencing import NO_PERMIT, OrderPermit
from larchlatch.cluster.election.lease_terms import LeaseTerms
from larchlatch.cluster.protocol.headers import RequestOrigin
from larchlatch.cluster.protocol.messages import TokenGrant, TokenRequest
from larchlatch.cluster.slow_start.notices import TokenNotice
from larchlatch.cluster.slow_start.requester import NOTICE_LAG_US
from larchlatch.cluster.slow_start.tokens import SlowStartTokens
from larchlatch.policy.types import TokenCandidate
from larchlatch.scenario.drifting_clock import DriftingClock

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
