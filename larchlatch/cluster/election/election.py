"""The duties of a fleet as one node keeps them: elector, candidate, and who heeds a holder. No I/O."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

from xxhash import xxh3_64_intdigest

from larchlatch.cluster.election.leases import (
    Answer,
    Ballot,
    Candidate,
    Elector,
    Fence,
    State,
    Tenure,
    What,
)
from larchlatch.cluster.protocol.messages import (
    BallotRequest,
    NodeRecord,
    Promise,
    Vote,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from random import Random

ALLOTTER = "allotter"  # deals out what budgets hold above all floors
PACER = "pacer"  # says which node may send a link to a cold host
STANDING = 3  # nodes that would have a duty at a time: all others have them to vote for, and ask nothing
LATE_BEATS = 3  # a node that looks so much later than its beat is late
MOST_LATE = 3  # so often in a term, and it is too slow for a duty: others wait for its orders
RESTS = 10  # terms for which it does not stand then
FAR_US = 24 * 3600 * 1_000_000  # a number so far ahead of this node's wall clock is made up


class Roster(NamedTuple):
    """What the operator's file says of duties; the same on all that have read the same file."""

    electors: tuple[str, ...] = ()
    names: tuple[str, ...] = ()  # of all members, in order
    duties: tuple[str, ...] = ()
    tenure: Tenure = Tenure(3_000_000, 0.01)
    mark: int = 0  # tells one file from another


class Holder(NamedTuple):
    name: str
    lease: int


class Event(NamedTuple):
    """What has become of a duty here: held, ended, or given up."""

    duty: str
    what: str
    lease: int
    why: str


class Standing(NamedTuple):
    """One duty, for whoever operates the node."""

    duty: str
    holder: str | None  # as the electors tell
    lease: int
    left_ms: int  # of this node's own lease; 0: it holds none
    since_ms: int  # for how long it has been so
    next: str
    electors: int  # that are heard, of all


class Duties:
    def __init__(self, me: str, roster: Roster, beat_us: int, now: int, chance: Random) -> None:
        self.me = me
        self.beat_us = beat_us
        self.uniform: Callable[[float, float], float] = chance.uniform
        self.roster = roster
        self.looked_at = now
        self.late: deque[int] = deque(maxlen=MOST_LATE)
        self.rests_until = 0
        self.leaving = False
        self.events: list[Event] = []
        self.fences = {duty: Fence() for duty in roster.duties}
        self.holders: dict[str, Holder | None] = dict.fromkeys(roster.duties)
        self.changed_at = dict.fromkeys(roster.duties, now)
        self.incarnation = 0  # of this node, under which it asks
        self.open(now)

    def open(self, now: int) -> None:
        """No other process of this node speaks: what that one has promised is not known."""
        self.names = frozenset(self.roster.names)
        self.candidates = {
            duty: Candidate(self.roster.electors, self.roster.tenure, self.uniform)
            for duty in self.roster.duties
        }
        elects = self.roster.duties if self.me in self.roster.electors else ()
        self.electors = {duty: Elector.started(self.roster.tenure, now) for duty in elects}
        self.held = dict.fromkeys(self.roster.duties, False)
        self.released: dict[str, Ballot] = {}  # by the last look
        self.called: set[str] = set()  # duties that were handed on to this node

    def follow(self, roster: Roster, now: int) -> None:
        """The operator's file has changed."""
        # Danger: promises by the old file's electors may be out. As after a start nothing is promised for as
        # long as those last, and ballots by the other file are not heard.
        if roster.mark != self.roster.mark:
            self.roster = roster
            self.fences = {duty: self.fences.get(duty, Fence()) for duty in roster.duties}
            self.holders = dict.fromkeys(roster.duties)
            self.changed_at = {duty: self.changed_at.get(duty, now) for duty in roster.duties}
            self.open(now)

    # What falls due.

    def look(
        self, now: int, wall: int, incarnation: int, there: Mapping[str, NodeRecord], ages: Mapping[str, int]
    ) -> list[BallotRequest]:
        """One beat; there: the newest record of each member that is present; ages: of those with promises."""
        self.slowness(now)
        self.incarnation = incarnation
        bids: list[BallotRequest] = []
        for place, duty in enumerate(self.roster.duties):
            one = self.candidates[duty]
            holder = self.told_holder(now, place, there, ages)
            if holder != self.holders[duty]:
                self.holders[duty], self.changed_at[duty] = holder, now
            if holder is not None:
                self.fences[duty].seen = max(self.fences[duty].seen, holder.lease)
            if self.leaving and one.holds(now):
                self.give_up(now, place, there)
            stands = not self.leaving and now >= self.rests_until and self.stands(now, duty, there)
            ballots = one.step(now, wall, stands)
            again = [] if ballots else self.repeated(now, wall, place)
            bids += again + self.sent(now, wall, place, ballots)
        return bids

    def slowness(self, now: int) -> None:
        """Notice that this node is too slow for a duty."""
        if now - self.looked_at > LATE_BEATS * self.beat_us:
            self.late.append(now)
        self.looked_at = now
        term = self.roster.tenure.term_us
        if len(self.late) == MOST_LATE and self.late[0] > now - term and now >= self.rests_until:
            self.rests_until = now + RESTS * term
            for one in self.candidates.values():
                one.give_up(now)

    def noted(self, now: int, duty: str) -> None:
        """Tell whether a duty is held here, where that has changed."""
        one = self.candidates[duty]
        holds = one.holds(now)
        if holds is not self.held[duty]:
            self.held[duty] = holds
            self.events.append(Event(duty, "held" if holds else "ended", one.lease, self.why(now, duty)))
            self.called.discard(duty)

    def why(self, now: int, duty: str) -> str:
        """Why a duty is held here from now on, or no longer."""
        if self.held[duty]:
            return "it was handed on" if duty in self.called else "nobody held it"
        if self.leaving:
            return "this node ends"
        return "this node is too slow" if now < self.rests_until else "not renewed in time"

    def drained(self) -> list[Event]:
        """What has become of duties here since this was last asked."""
        events, self.events = self.events, []
        return events

    def give_up(self, now: int, place: int, there: Mapping[str, NodeRecord]) -> None:
        duty = self.roster.duties[place]
        ranked = [name for name in self.ranked(duty, there) if name != self.me]
        self.candidates[duty].give_up(now, ranked[0] if ranked else "")

    def ranked(self, duty: str, there: Mapping[str, NodeRecord]) -> list[str]:
        """Who had better hold a duty: by chance, the same on all nodes; those that hold another last."""
        names = [name for name in (*there, self.me) if name in self.names]
        busy = {holder.name for other, holder in self.holders.items() if holder is not None and other != duty}
        return sorted(names, key=lambda name: (name in busy, xxh3_64_intdigest(f"{duty} {name}".encode())))

    def stands(self, now: int, duty: str, there: Mapping[str, NodeRecord]) -> bool:
        """Whether this node would have a duty that nobody holds."""
        holder = self.holders[duty]
        if holder is not None and holder.name in there:
            return False
        rank = self.ranked(duty, there).index(self.me) if self.me in self.roster.names else STANDING
        # Those behind the first ask only if it has not got it for a while.
        waits_us = rank * self.roster.tenure.term_us // 2
        return rank < STANDING and now >= self.changed_at[duty] + waits_us

    def told_holder(
        self, now: int, place: int, there: Mapping[str, NodeRecord], ages: Mapping[str, int]
    ) -> Holder | None:
        """Who holds a duty, by what a majority of the electors tells: one liar can't make it up."""
        told: Counter[Holder] = Counter()
        for name in self.roster.electors:
            if name == self.me:
                promises, age = self.promises(now), 0
            elif name in there:
                promises, age = there[name].promises, ages.get(name, 0)
            else:
                continue
            for promise in promises:
                if (
                    promise.role_index == place
                    and promise.remaining_us > age
                    and promise.holder_index < len(self.roster.names)
                ):
                    told[Holder(self.roster.names[promise.holder_index], promise.lease)] += 1
        for holder, count in told.items():
            if count > len(self.roster.electors) // 2:
                return holder
        return None

    def promises(self, now: int) -> list[Promise]:
        """What this node, as an elector, tells in its record."""
        rows = []
        for place, duty in enumerate(self.roster.duties):
            elector = self.electors.get(duty)
            promise = elector.promise if elector is not None else None
            if promise is not None and now < promise.until and promise.holder[0] in self.roster.names:
                holder = self.roster.names.index(promise.holder[0])
                rows.append(Promise(place, promise.lease, holder, promise.until - now))
        return rows

    # Ballots and votes.

    def sent(self, now: int, wall: int, place: int, ballots: Sequence[Ballot]) -> list[BallotRequest]:
        """Ballots to all electors; this node's own part among them is asked at once."""
        duty = self.roster.duties[place]
        one, own = self.candidates[duty], self.electors.get(duty)
        bids: list[BallotRequest] = []
        waiting = list(ballots)
        while waiting:
            ballot = waiting.pop(0)
            bids += self.bids(wall, place, ballot, set())
            if ballot.what is What.RELEASE:
                self.released[duty] = ballot
            answer = own.answer(now, (self.me, self.incarnation), ballot) if own is not None else None
            if answer is not None:
                waiting += one.answered(now, self.me, ballot.round, answer)
        self.noted(now, duty)
        return bids

    def bids(self, wall: int, place: int, ballot: Ballot, but: set[str]) -> list[BallotRequest]:
        """A ballot to all electors but these, and to whom it hands on the duty."""
        to = {*self.roster.electors, ballot.heir} - {self.me, "", *but}
        return [
            BallotRequest(
                self.me,
                self.incarnation,
                ballot.round,
                wall,
                name,
                self.roster.mark,
                place,
                ballot.lease,
                ballot.what.value,
                ballot.heir,
            )
            for name in sorted(to)
        ]

    def repeated(self, now: int, wall: int, place: int) -> list[BallotRequest]:
        """What may have been lost, once more."""
        duty = self.roster.duties[place]
        one = self.candidates[duty]
        # A promise that nobody counts on any more keeps the duty from all for a term, if its release is lost.
        released = self.released.pop(duty, None)
        bids = self.bids(wall, place, released, set()) if released is not None else []
        ballot = one.again(now)
        return bids + (self.bids(wall, place, ballot, one.granted) if ballot is not None else [])

    def bid(self, now: int, bid: BallotRequest) -> Vote | None:
        """What this node says to a candidate."""
        if (
            bid.config_digest != self.roster.mark
            or bid.role_index >= len(self.roster.duties)
            or bid.kind > What.RELEASE.value
        ):
            return None
        duty = self.roster.duties[bid.role_index]
        ballot = Ballot(bid.lease, What(bid.kind), bid.round, bid.successor)
        if ballot.what is What.RELEASE and ballot.heir == self.me:
            self.candidates[duty].called(now)
            self.called.add(duty)
            self.changed_at[duty] = now - STANDING * self.roster.tenure.term_us
            self.holders[duty] = None
        elector = self.electors.get(duty)
        answer = elector.answer(now, (bid.sender, bid.incarnation), ballot) if elector is not None else None
        if answer is None:
            return None
        return Vote(
            self.me,
            bid.sender,
            bid.incarnation,
            bid.round,
            bid.role_index,
            answer.granted,
            answer.known,
            answer.left_us,
        )

    def awaited(self, vote: Vote) -> bool:
        """Whether a vote that can't be trusted yet is worth a check of its signature."""
        if vote.role_index >= len(self.roster.duties) or vote.sender not in self.roster.electors:
            return False
        # Danger: rounds are counted anew in each life. A vote for an earlier one, under way while this node
        # started, would be counted here for a promise that nobody has made to this life.
        if vote.incarnation != self.incarnation:
            return False
        one = self.candidates[self.roster.duties[vote.role_index]]
        return vote.round == one.round and one.state is not State.IDLE and vote.sender not in one.granted

    def voted(self, now: int, wall: int, vote: Vote) -> list[BallotRequest]:
        """An elector's answer to this node; what goes out by it."""
        one = self.candidates[self.roster.duties[vote.role_index]]
        known = vote.highest_lease if vote.highest_lease <= wall + FAR_US else 0
        left_us = min(vote.remaining_us, self.roster.tenure.held_us)
        answer = Answer(vote.granted, known, left_us)
        ballots = one.answered(now, vote.sender, vote.round, answer)
        return self.sent(now, wall, vote.role_index, ballots)

    # What others ask of it, and what it is asked.

    def order(self, now: int, duty: str) -> tuple[int, int]:
        """By which lease this node may give an order now, and for how long that holds; (0, 0): it may not."""
        one = self.candidates.get(duty)
        left_us = one.left(now) if one is not None else 0
        return (one.lease, left_us) if one is not None and left_us > 0 else (0, 0)

    def takes(self, duty: str, lease: int) -> bool:
        """Whether an order by this lease may be carried out here."""
        return duty in self.fences and self.fences[duty].takes(lease)

    def told(self, now: int, there: Mapping[str, NodeRecord]) -> list[Standing]:
        rows = []
        heard = sum(name in there or name == self.me for name in self.roster.electors)
        for duty in self.roster.duties:
            one, holder = self.candidates[duty], self.holders[duty]
            ranked = [name for name in self.ranked(duty, there) if holder is None or name != holder.name]
            rows.append(
                Standing(
                    duty,
                    holder.name if holder is not None else None,
                    holder.lease if holder is not None else 0,
                    max(0, one.until - now) // 1000 if one.holds(now) else 0,
                    (now - self.changed_at[duty]) // 1000,
                    ranked[0] if ranked else "",
                    heard,
                )
            )
        return rows
