"""Every order of events in a small world of leases, and whether two hold a duty: an explicit-state search.

It runs the decisions themselves (cluster/election): electors, two candidates, two that take orders.
Messages are lost, doubled and overtaken; electors and candidates start anew; anybody may be stopped for any
time; clocks are a quarter fast or slow. Breadth first, so that the first trace found is a shortest.

What is left out, and why nothing is missed by it: the first round of a candidate binds nobody; it succeeds,
with the lowest number that a majority can have told. Refusals, and votes that a candidate does not count,
change nothing. An order is asked for in the instant in which it is given: asked for earlier, it ends earlier.
Electors with clocks alike can be exchanged for each other.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

from larchlatch.cluster.election.ballots import Answer, Ballot, BallotKind, CandidateId
from larchlatch.cluster.election.candidate import Candidate, CandidateState
from larchlatch.cluster.election.elector import Elector, Promise
from larchlatch.cluster.election.fencing import FencingGuard, order_ends_at
from larchlatch.cluster.election.lease_terms import LeaseTerms

T = TypeVar("T")

# A tick is eight units of time; a fast clock shows ten, a slow one six. A term is three ticks by the slowest,
# and by the fastest the promise for it is three as well: nothing is rounded in anybody's favour.
TENURE = LeaseTerms(term_us=18, skew=0.25, rounds=2)
LONG_AGO = -36  # two terms: what is older has run out by any clock
CANDIDATES = RECEIVERS = 2


class At(NamedTuple):
    """An elector, and what is on its way to it and from it. Times by its own clock, which shows 0 now."""

    opens: int
    lease: int  # that it has promised
    holder: int
    life: int
    until: int
    known: int
    heir: int
    kept: int
    inbox: tuple[tuple[int, int, int, int, int, int], ...]  # by whom, its life, lease, what, round, heir
    votes: tuple[int, int]  # for each candidate's round: 0 none, 1 under way, 2 counted


class Would(NamedTuple):
    """A candidate; by its own clock."""

    life: int
    state: int
    lease: int
    until: int
    closes: bool
    heir: int
    round: int
    asked: int


class Carries(NamedTuple):
    """Who carries orders out: the highest number seen, the lease of the order it goes by, and until when."""

    seen: int
    lease: int
    until: int


class Order(NamedTuple):
    receiver: int
    holder: int
    lease: int
    until: int  # 0: it has no end, and is carried out as it comes


class Budget(NamedTuple):
    """How much of what goes wrong there may be."""

    ticks: int = 0
    rounds: int = 2  # in which the two ask to be promised, together
    renewals: int = 0
    doubles: int = 0
    elector_restarts: int = 0
    candidate_restarts: int = 0
    orders: int = 0
    hand_overs: int = 0


class World(NamedTuple):
    time: int
    electors: tuple[At, ...]
    candidates: tuple[Would, ...]
    receivers: tuple[Carries, ...]
    orders: frozenset[Order]
    left: Budget


class Found(NamedTuple):
    """What a search came to."""

    states: int
    depth: int
    whole: bool  # nothing was left to look at
    trace: list[str] | None  # a shortest way to what must not be


@dataclass(frozen=True)
class Rules:
    """The decisions as they are; a planted fault changes one of them."""

    electors: int = 3
    tenure: LeaseTerms = TENURE
    majority: Callable[[int], int] = lambda count: count // 2 + 1
    quiet: bool = True  # an elector that starts waits
    from_ask: bool = True  # a term runs from the ask
    compares: bool = True  # who carries orders out compares numbers
    drains: bool = True  # a duty that is given up waits for its orders
    renumbers: bool = True  # a candidate never uses a number twice
    wall: bool = True  # wall clocks run; else they stand still, and numbers go up by what electors tell alone
    rates: tuple[int, int, int, int] = (
        10,
        6,
        6,
        6,
    )  # of electors, the candidates, and who carries orders out


class Chooser(Candidate):
    """A candidate whose majority may be a wrong one."""

    need = 0

    @property
    def majority(self) -> int:
        return self.need


class Search:
    def __init__(self, rules: Rules, budget: Budget, held: bool = False) -> None:
        """held: it begins with a duty that the first candidate has just been promised by all."""
        self.rules = rules
        self.names = [f"e{number}" for number in range(rules.electors)]
        self.need = rules.majority(rules.electors)
        blank = At(0, 0, -1, 0, 0, 0, -1, 0, (), (0, 0))
        candidate = Would(0, CandidateState.IDLE.value, 0, 0, False, -1, 0, LONG_AGO)
        self.start = World(
            0,
            (blank,) * rules.electors,
            (candidate,) * CANDIDATES,
            (Carries(0, 0, 0),) * RECEIVERS,
            frozenset(),
            budget,
        )
        if held:
            promised = blank._replace(lease=1, holder=0, until=rules.tenure.promise_us, known=1, votes=(2, 0))
            holder = candidate._replace(
                state=CandidateState.HOLDING.value, lease=1, until=rules.tenure.term_us, round=2, asked=0
            )
            self.start = self.start._replace(
                electors=(promised,) * rules.electors, candidates=(holder, candidate)
            )

    # From values to decisions and back.

    def elector(self, at: At) -> Elector:
        promise = (
            Promise(at.lease, CandidateId(f"c{at.holder}", at.life), at.until) if at.holder >= 0 else None
        )
        return Elector(self.rules.tenure, at.opens, promise, at.known, named(at.heir), at.kept)

    def candidate(self, world: World, place: int) -> Chooser:
        would = world.candidates[place]
        granted = {name for name, at in zip(self.names, world.electors, strict=True) if at.votes[place] == 2}
        one = Chooser(
            self.names,
            self.rules.tenure,
            lambda low, high: low,
            CandidateState(would.state),
            would.lease,
            would.until,
            would.closes,
            named(would.heir),
            would.round,
            would.asked,
            granted,
            self.least_known(world),
        )
        one.need = self.need
        return one

    def least_known(self, world: World) -> int:
        """The lowest number that a majority can have told as the highest."""
        told = sorted(at.known for at in world.electors if not at.opens)
        return told[self.need - 1] if len(told) >= self.need else 0

    # What may happen next.

    def after(self, world: World) -> Iterator[tuple[str, World]]:
        left = world.left
        if left.ticks:
            yield "time passes", self.later(world)
        for place in range(CANDIDATES):
            yield from self.acted(world, place)
        for number in range(len(self.names)):
            yield from self.heard(world, number)
            yield from self.voted(world, number)
            if left.elector_restarts and (
                number == 0 or world.electors[number] != world.electors[number - 1]
            ):
                less = left._replace(elector_restarts=left.elector_restarts - 1)
                opens = self.rules.tenure.startup_silence_us if self.rules.quiet else 0
                old = world.electors[number]
                new = At(opens, 0, -1, 0, 0, 0, -1, 0, old.inbox, old.votes)
                yield f"e{number} starts anew", self.with_elector(world, number, new, less)
        for order in world.orders:
            yield from self.carried_out(world, order)
        if left.candidate_restarts:
            less = left._replace(candidate_restarts=left.candidate_restarts - 1)
            for place, would in enumerate(world.candidates):
                blank = Would(would.life + 1, CandidateState.IDLE.value, 0, 0, False, -1, 0, LONG_AGO)
                restarted = world._replace(
                    electors=self.unvoted(world, place),
                    candidates=put(world.candidates, place, blank),
                    left=less,
                )
                yield f"c{place} starts anew", restarted

    def later(self, world: World) -> World:
        rate, *candidate_rates, receiver_rate = self.rules.rates
        electors = tuple(
            at._replace(
                opens=max(0, at.opens - rate),
                until=max(0, at.until - rate),
                kept=max(0, at.kept - rate),
                heir=at.heir if at.kept > rate else -1,
            )
            for at in world.electors
        )
        candidates = tuple(
            would._replace(
                until=max(0, would.until - aged) if would.state == CandidateState.HOLDING.value else 0,
                asked=max(LONG_AGO, would.asked - aged),
            )
            for would, aged in zip(world.candidates, candidate_rates, strict=True)
        )
        receivers = tuple(
            Carries(r.seen, r.lease, r.until - receiver_rate)
            if r.until > receiver_rate
            else Carries(r.seen, 0, 0)
            for r in world.receivers
        )
        orders = frozenset(
            order._replace(until=order.until - receiver_rate) if order.until else order
            for order in world.orders
            if not 0 < order.until <= receiver_rate
        )
        left = world.left._replace(ticks=world.left.ticks - 1)
        return World(world.time + 1, electors, candidates, receivers, orders, left)

    def acted(self, world: World, place: int) -> Iterator[tuple[str, World]]:
        """A candidate looks at its clock: all that it may do of its own accord."""
        left = world.left
        one = self.candidate(world, place)
        before = one.state
        if before is CandidateState.IDLE and left.rounds:
            wall = world.time if self.rules.wall else 0
            if not self.rules.renumbers:
                one.lease = 0
            one.step(0, wall, eligible=True)
            ballots: list[Ballot] = []
            for name in self.names[: self.need]:
                ballots = one.count_answer(0, name, one.round_number, Answer(True, 0, 0))
            less = left._replace(rounds=left.rounds - 1)
            yield f"c{place} {told(ballots)}", self.sent(world, place, one, ballots, less)
        elif before is not CandidateState.IDLE:
            ballots = one.step(0, world.time, eligible=False)
            renews = (
                before is CandidateState.HOLDING and one.state is CandidateState.HOLDING and bool(ballots)
            )
            if (ballots or one.state is not before) and (left.renewals or not renews):
                less = left._replace(renewals=left.renewals - renews)
                yield f"c{place} {told(ballots)}", self.sent(world, place, one, ballots, less)
        holder = self.candidate(world, place)
        if not holder.holds(0):
            return
        if left.orders:
            less = left._replace(orders=left.orders - 1)
            for receiver in range(RECEIVERS):
                for until in (order_ends_at(0, holder.order_left_us(0)), 0):
                    order = Order(receiver, place, holder.lease, until)
                    how = "for a while" if until else "to be carried out at once"
                    ordered = world._replace(orders=world.orders | {order}, left=less)
                    yield f"c{place} gives r{receiver} an order, {how}", ordered
        if left.hand_overs and not holder.closing:
            less = left._replace(hand_overs=left.hand_overs - 1)
            holder.resign(0, f"c{1 - place}")
            ballots = []
            if not self.rules.drains:
                ballots = [holder.release_ballot()]
                holder.become_idle(0, 0)
            yield f"c{place} gives it up", self.sent(world, place, holder, ballots, less)

    def sent(self, world: World, place: int, one: Candidate, ballots: list[Ballot], left: Budget) -> World:
        """What has become of a candidate, and its ballots on their way."""
        would = world.candidates[place]
        holds = one.state is CandidateState.HOLDING
        new = Would(
            would.life,
            one.state.value,
            one.lease,
            one.lease_ends_at if holds else 0,
            one.closing,
            numbered(one.successor),
            one.round_number,
            one.asked_at if one.state is not CandidateState.IDLE else LONG_AGO,
        )
        electors = world.electors
        if one.round_number != would.round or one.state is CandidateState.IDLE:
            electors = self.unvoted(world, place)
        letters = tuple(
            (place, would.life, b.lease, b.kind.value, b.round_number, numbered(b.successor)) for b in ballots
        )
        if letters:
            electors = tuple(at._replace(inbox=tuple(sorted({*at.inbox, *letters}))) for at in electors)
        return world._replace(
            electors=tuple(sorted(electors)), candidates=put(world.candidates, place, new), left=left
        )

    def unvoted(self, world: World, place: int) -> tuple[At, ...]:
        """Votes for a round that is over are counted no more."""
        return tuple(sorted(at._replace(votes=pair(at.votes, place, 0)) for at in world.electors))

    def heard(self, world: World, number: int) -> Iterator[tuple[str, World]]:
        """An elector gets one of the ballots that are on their way to it."""
        at, left = world.electors[number], world.left
        if number and at == world.electors[number - 1]:
            return
        for letter in at.inbox:
            place, life, lease, what, round, heir = letter
            elector = self.elector(at)
            ballot = Ballot(lease, BallotKind(what), round, named(heir))
            answer = elector.answer(0, CandidateId(f"c{place}", life), ballot)
            promise = elector.promise
            kept = max(0, elector.reserved_until)
            votes = at.votes
            would = world.candidates[place]
            counted = (would.life, would.round) == (life, round) and would.state != CandidateState.IDLE.value
            if answer is not None and answer.granted and counted and not votes[place]:
                votes = pair(votes, place, 1)
            said = "says nothing" if answer is None else "grants" if answer.granted else "refuses"
            new = At(
                at.opens,
                promise.lease if promise is not None else 0,
                int(promise.holder[0][1:]) if promise is not None else -1,
                promise.holder[1] if promise is not None else 0,
                max(0, promise.ends_at) if promise is not None else 0,
                elector.highest_lease,
                numbered(elector.successor) if kept else -1,
                kept,
                tuple(other for other in at.inbox if other != letter),
                votes,
            )
            words = f"e{number} hears c{place} {told([ballot])}, {said}"
            yield words, self.with_elector(world, number, new, left)
            if left.doubles:
                less = left._replace(doubles=left.doubles - 1)
                again = self.with_elector(world, number, new._replace(inbox=at.inbox), less)
                yield f"{words} (and will again)", again

    def with_elector(self, world: World, number: int, new: At, left: Budget) -> World:
        return world._replace(electors=tuple(sorted(put(world.electors, number, new))), left=left)

    def voted(self, world: World, number: int) -> Iterator[tuple[str, World]]:
        """A candidate gets an elector's vote."""
        at = world.electors[number]
        if number and at == world.electors[number - 1]:
            return
        for place in range(CANDIDATES):
            if at.votes[place] != 1:
                continue
            one = self.candidate(world, place)
            if not self.rules.from_ask:
                one.asked_at = 0
            ballots = one.count_answer(0, self.names[number], one.round_number, Answer(True, 0, 0))
            new = at._replace(votes=pair(at.votes, place, 2))
            voted = world._replace(electors=put(world.electors, number, new))
            yield f"c{place} hears e{number}", self.sent(voted, place, one, ballots, world.left)

    def carried_out(self, world: World, order: Order) -> Iterator[tuple[str, World]]:
        before = world.receivers[order.receiver]
        guard = FencingGuard(before.seen)
        if not guard.accepts(order.lease) and self.rules.compares:
            return
        late = not order.until and order.lease < before.seen
        after = Carries(guard.highest_lease, before.lease, before.until)
        if order.until:
            after = Carries(guard.highest_lease, order.lease, order.until)
        elif late:
            after = Carries(guard.highest_lease, -1, 0)
        receivers = put(world.receivers, order.receiver, after)
        yield (
            f"r{order.receiver} carries out the order of c{order.holder}",
            world._replace(receivers=receivers, orders=world.orders - {order}),
        )

    # What must not be.

    @staticmethod
    def broken(world: World) -> str | None:
        if (
            sum(would.state == CandidateState.HOLDING.value and would.until > 0 for would in world.candidates)
            > 1
        ):
            return "two hold the duty"
        if len({carries.lease for carries in world.receivers if carries.until > 0}) > 1:
            return "orders of two leases are carried out at once"
        if any(carries.lease < 0 for carries in world.receivers):
            return "an order is carried out after one of a later lease"
        return None

    def run(self, most: int) -> Found:
        """Look at so many states at most."""
        seen: dict[World, tuple[World | None, str, int]] = {self.start: (None, "", 0)}
        ahead = deque([self.start])
        depth = 0
        while ahead:
            world = ahead.popleft()
            depth = seen[world][2]
            for what, after in self.after(world):
                if after in seen:
                    continue
                seen[after] = (world, what, depth + 1)
                wrong = self.broken(after)
                if wrong is not None:
                    return Found(len(seen), depth + 1, False, [*way(seen, after), wrong])
                ahead.append(after)
            if len(seen) >= most:
                return Found(len(seen), depth, False, None)
        return Found(len(seen), depth, True, None)


def way(seen: dict[World, tuple[World | None, str, int]], world: World) -> list[str]:
    """What has led there. Electors with clocks alike may have changed names on the way."""
    words: list[str] = []
    at: World | None = world
    while at is not None:
        at, what, _ = seen[at]
        words.append(what)
    return [word for word in words[::-1] if word]


def put(values: tuple[T, ...], place: int, value: T) -> tuple[T, ...]:
    return (*values[:place], value, *values[place + 1 :])


def pair(votes: tuple[int, int], place: int, value: int) -> tuple[int, int]:
    return (value, votes[1]) if place == 0 else (votes[0], value)


def named(place: int) -> str:
    return f"c{place}" if place >= 0 else ""


def numbered(name: str) -> int:
    return int(name[1:]) if name else -1


def told(ballots: list[Ballot]) -> str:
    return " and ".join(f"{ballot.kind.name.lower()} {ballot.lease}" for ballot in ballots) or "looks up"


class Case(NamedTuple):
    """One search."""

    name: str
    rules: Rules
    budget: Budget
    held: bool = False


class NoSkew(LeaseTerms):
    """A planted fault: promises as long as the term, whatever the clocks."""

    @property
    def promise_us(self) -> int:
        return self.term_us


# What must be found to hold: small enough to be looked at whole, in a minute together.
SOUND = (
    Case("orders and a hand-over", Rules(), Budget(ticks=3, rounds=1, orders=2, hand_overs=1), True),
    Case("a candidate starts anew", Rules(), Budget(ticks=3, candidate_restarts=1), True),
    Case(
        "an elector starts anew",
        Rules(),
        Budget(ticks=4, rounds=1, orders=1, elector_restarts=1),
        True,
    ),
)
# And those that take minutes.
DEEP = (
    Case(
        "orders, an elector anew",
        Rules(),
        Budget(ticks=4, rounds=1, orders=2, elector_restarts=1, doubles=1),
        True,
    ),
    Case(
        "a hand-over, doubled",
        Rules(),
        Budget(ticks=3, rounds=1, orders=1, hand_overs=1, doubles=1),
        True,
    ),
    Case("a renewal, doubled", Rules(), Budget(ticks=4, rounds=1, renewals=1, doubles=1), True),
    Case("all electors anew", Rules(), Budget(ticks=4, rounds=1, orders=1, elector_restarts=3), True),
    Case("clocks the other way round", Rules(rates=(6, 10, 10, 10)), Budget(ticks=4, rounds=2)),
    Case("from the beginning", Rules(), Budget(ticks=3)),
)
# What must be found: each is the decisions with one thing wrong.
PLANTED = (
    Case("an elector votes straight after its start", Rules(quiet=False), Budget(elector_restarts=1)),
    Case("a term runs from the answer", Rules(from_ask=False, electors=1), Budget(ticks=3)),
    Case(
        "numbers of orders are not compared",
        Rules(compares=False),
        Budget(ticks=3, rounds=1, orders=2),
        True,
    ),
    Case("half of the electors are enough", Rules(electors=4, majority=lambda n: n // 2), Budget()),
    Case(
        "promises end with the term",
        Rules(tenure=NoSkew(*TENURE)),
        Budget(ticks=2, rounds=1),
        True,
    ),
    Case("a duty is released with orders out", Rules(drains=False), Budget(orders=2, hand_overs=1)),
)
PLANTED_DEEP = (
    Case(
        "a number is used again",
        Rules(renumbers=False, wall=False, tenure=TENURE._replace(rounds=3)),
        Budget(ticks=1, rounds=3),
    ),
)
