"""Leases on duties: who may hold one, by a majority of electors that keep no disk. No I/O.

An elector promises a duty to one holder for a while, by its own clock (PaxosLease, Trencseni et al. 2009).
A candidate first asks whether it would be promised, which binds nobody (Raft's pre-vote, Ongaro 2014).
Times are whole microseconds of each process's own clock, which runs on while the process is stopped, and is
off by at most a stated share.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import ceil
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

RENEWED = 2  # a lease is renewed when half of its term is left: a lost round or two must not end it
ROUNDS = 8  # rounds of asking that fit into a term: longer than an answer takes, and lost ones cost little
HEIR_ROUNDS = 2  # a duty that was handed on is kept for whom it was for so many rounds

Life = tuple[str, int]  # a node, and which of its lives: an earlier one's promise is no promise to this one


class Tenure(NamedTuple):
    """How long a duty is held."""

    term_us: int
    skew: float  # the worst clock gains or loses this share
    apart_us: int = 0  # by how much wall clocks may differ
    rounds: int = ROUNDS

    @property
    def held_us(self) -> int:
        """How long an elector keeps a promise: no shorter than the term by the slowest clock."""
        # Danger: an elector whose clock is fast would promise the duty to another while its holder, whose
        # clock is slow, still holds it.
        return ceil(self.term_us * (1 + self.skew) / (1 - self.skew))

    @property
    def quiet_us(self) -> int:
        """How long an elector that starts says nothing."""
        # Danger: it does not know what it has promised. And once all electors have forgotten the numbers, a
        # number taken from a wall clock is higher than those before only if the clocks' difference is over.
        return self.held_us + 2 * self.apart_us

    @property
    def round_us(self) -> int:
        return self.term_us // self.rounds


class What(Enum):
    WOULD = 0  # would you promise it? binds nobody
    GRANT = 1
    RELEASE = 2  # the asker never counts on that promise again


class Ballot(NamedTuple):
    """What a candidate asks of every elector."""

    lease: int  # the number that its lease has, or would have
    what: What
    round: int  # tells its answers from those to others
    heir: str = ""  # whom a released duty is kept for


class Answer(NamedTuple):
    granted: bool
    known: int  # the highest number of a lease that this elector has promised
    left_us: int  # of a promise to another


@dataclass(slots=True)
class Promise:
    lease: int
    holder: Life
    until: int


@dataclass(slots=True)
class Elector:
    """One elector's part in one duty."""

    tenure: Tenure
    opens_at: int
    promise: Promise | None = None
    known: int = 0
    heir: str = ""
    heir_until: int = 0

    @classmethod
    def started(cls, tenure: Tenure, now: int) -> Elector:
        return cls(tenure, now + tenure.quiet_us)

    def answer(self, now: int, who: Life, ballot: Ballot) -> Answer | None:
        """What it says to a candidate; nothing where it must not, or need not."""
        if now < self.opens_at:
            return None
        promise = self.promise
        own = promise is not None and promise.holder == who and promise.lease == ballot.lease
        if ballot.what is What.RELEASE:
            if promise is not None and own:
                promise.until = now
                self.heir, self.heir_until = ballot.heir, now + HEIR_ROUNDS * self.tenure.round_us
            return None
        if promise is not None and not own and now < promise.until:
            return Answer(False, self.known, promise.until - now)
        if self.heir not in ("", who[0]) and now < self.heir_until:
            return Answer(False, self.known, self.heir_until - now)
        # A lower number than was promised before is refused: orders are told apart by it.
        granted = own or ballot.lease > self.known
        if granted and ballot.what is What.GRANT:
            self.promise = Promise(ballot.lease, who, now + self.tenure.held_us)
            self.known = max(self.known, ballot.lease)
        return Answer(granted, self.known, 0)


class State(Enum):
    IDLE = 0
    ASKS = 1  # whether it would be promised
    RUNS = 2  # for it
    HOLDS = 3


@dataclass(slots=True)
class Candidate:
    """One node's own part in one duty, as who would hold it, or does."""

    electors: Sequence[str]
    tenure: Tenure
    uniform: Callable[[float, float], float]
    state: State = State.IDLE
    lease: int = 0
    until: int = 0  # the end of the lease that is held
    closes: bool = False  # it is given up at that end, and not renewed
    heir: str = ""
    round: int = 0
    asked_at: int = 0
    granted: set[str] = field(default_factory=set)
    known: int = 0
    ready_at: int = 0  # it asks no sooner
    blocked_until: int = 0  # when the promises to others that were told have ended

    @property
    def majority(self) -> int:
        return len(self.electors) // 2 + 1

    def holds(self, now: int) -> bool:
        """Whether it holds the duty; asked before each act, never remembered."""
        return self.state is State.HOLDS and now < self.until

    def left(self, now: int) -> int:
        """How long an order that is given now holds, at most; 0: none may be given."""
        # A round is longer than an answer takes; a duty that is given up has to wait as long for its orders.
        return min(self.until - now, self.tenure.round_us) if self.holds(now) else 0

    def step(self, now: int, wall: int, stands: bool) -> list[Ballot]:
        """What goes to every elector now; wall: Unix time; stands: whether it would have the duty."""
        ballots: list[Ballot] = []
        if self.state is State.HOLDS and now >= self.until:
            if self.closes:
                ballots.append(self.release())
            self.idle(now, 0)
        over = now >= self.asked_at + self.tenure.round_us
        if self.state is State.HOLDS:
            renews = not self.closes and self.until - now <= self.tenure.term_us // RENEWED
            return [self.ask(now, What.GRANT)] if renews and over else []
        if self.state is State.RUNS and over:
            # It counts on none of these promises any more: whoever asks next need not wait for their end.
            ballots.append(self.release())
            self.idle(now, round(self.uniform(0, self.tenure.term_us / 2)))
        elif self.state is State.ASKS and over:
            self.idle(now, round(self.uniform(1, 2) * self.tenure.round_us))
        if self.state is State.IDLE and stands and now >= max(self.ready_at, self.blocked_until):
            # By the wall clock, so that numbers go up also where all electors have forgotten theirs. Danger:
            # a number of its own that is used again would be ended by a release of before, which comes late.
            self.lease = max(self.known + 1, self.lease + 1, wall)
            self.state = State.ASKS
            ballots.append(self.ask(now, What.WOULD))
        return ballots

    def ask(self, now: int, what: What) -> Ballot:
        self.round += 1
        self.asked_at, self.granted = now, set()
        return Ballot(self.lease, what, self.round)

    def again(self, now: int) -> Ballot | None:
        """This round's ballot, for electors that have not answered it yet."""
        # A round is longer than an answer takes: what has none by the next look was lost. With one of three
        # electors gone each round wants every message of both others.
        if self.state not in (State.ASKS, State.RUNS) or now >= self.asked_at + self.tenure.round_us:
            return None
        return Ballot(self.lease, What.WOULD if self.state is State.ASKS else What.GRANT, self.round)

    def release(self) -> Ballot:
        return Ballot(self.lease, What.RELEASE, self.round, self.heir)

    def idle(self, now: int, rest_us: int) -> None:
        self.state, self.granted, self.ready_at = State.IDLE, set(), now + rest_us
        self.closes, self.heir = False, ""

    def answered(self, now: int, elector: str, round: int, answer: Answer) -> list[Ballot]:
        """An elector's answer; what follows from it for all of them."""
        self.known = max(self.known, answer.known)
        if round != self.round or self.state is State.IDLE or elector not in self.electors:
            return []
        if not answer.granted:
            self.blocked_until = max(self.blocked_until, now + answer.left_us)
            if self.state is State.ASKS and self.lease <= answer.known:
                # Its number is too low, as its wall clock is behind: asked anew by a higher one.
                self.lease = answer.known + 1
                return [self.ask(now, What.WOULD)]
            return []
        self.granted.add(elector)
        if len(self.granted) < self.majority or self.closes:
            return []
        if self.state is State.ASKS:
            self.state = State.RUNS
            return [self.ask(now, What.GRANT)]
        # Danger: a term that ran from the answer would end after the electors' promises, by however long the
        # answer was under way. And one that is over by now was never held.
        until = self.asked_at + self.tenure.term_us
        if now < until:
            self.state, self.until = State.HOLDS, until
        return []

    def called(self, now: int) -> None:
        """The holder keeps the duty for this node: no promise to another stands in its way."""
        if self.state in (State.IDLE, State.ASKS):
            self.idle(now, 0)
            self.blocked_until = 0

    def give_up(self, now: int, heir: str = "") -> None:
        """Hold the duty for a moment more, then no longer; heir: whom it is kept for."""
        # Danger: orders that were given are still under way. Released at once, the duty would be another's
        # while they are carried out: those given from now on hold up to the release alone, those before are
        # over by then.
        if self.holds(now) and not self.closes:
            self.closes, self.heir = True, heir
            self.until = min(self.until, now + self.tenure.round_us)
            self.round += 1  # a renewal that is under way changes nothing any more


@dataclass(slots=True)
class Fence:
    """Whoever carries orders out: of which lease they may be."""

    seen: int = 0

    def takes(self, lease: int) -> bool:
        """Whether an order by this lease is carried out."""
        # Danger: a holder that was stopped between its look at the clock and its act sends an order when
        # another holds the duty already.
        if lease < self.seen:
            return False
        self.seen = lease
        return True

    @staticmethod
    def ends_at(asked_at: int, left_us: int) -> int:
        """Until when an order holds that was asked for then, by the clock of who asked; left_us: of the lease
        when it was given.
        """
        # It was given after it was asked for: it ends before any other can hold the duty, however long it was
        # under way, and however far the clocks are off (docs/duties.md has the reckoning).
        return asked_at + left_us
