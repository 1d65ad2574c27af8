"""The pacer's work: which node may send the next link to a cold host. Both sides of it. No I/O.

By itself each node keeps to turns at a cold host, by its own number: of many nodes that see few links each,
most let theirs pass. Where one node holds the duty of the pacer, the others hand their turns over to it for a
while, and ask it for each link. Times are whole microseconds of a clock of the node's own, which runs on
while its process is stopped.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from itertools import takewhile
from math import ceil
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.election.electorate import TOKEN_ISSUER, Electorate
from larchlatch.cluster.election.fencing import order_ends_at
from larchlatch.cluster.protocol.datagrams import Leave, Seek, Want

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from larchlatch.policy.types import TokenCandidate

RENEWALS = 3  # in the time for which turns are handed over, where a host is cold: two may be lost
IDLE_RENEWALS = 2  # and where none is: so that a host that comes up need not wait until all have promised
TOLD_US = 300_000  # before it is promised to others, the decisions have known it so long: they lag by less
HOLDS = 8  # a leave holds for this part of a cold host's window: the shorter, the more of the window is used
LEAST_HOLD_US = 100_000  # and at least so long: an ask, its answer, and the link's own wait for it
SEEKS = 16  # notes of links that a node may send at once, when it has sent none for a while
ALL_SEEKS = 1000  # and all nodes together in a second: the pacer checks a signature for each, 65 us
MOST_WANTS = 4  # hosts that one note names
MILLI = 1000  # budgets and weights go over the wire in thousandths of a link


class Told(NamedTuple):
    """What the decisions are told, by this node's clock."""

    until: int  # turns are handed over
    upstream: int = 0  # hash of the name of one to which a link may go; 0: none
    session: int = -1  # its number
    at: int = 0  # until when


class Pending(NamedTuple):
    pacer: str
    asked_at: int
    session: int


@dataclass(slots=True)
class Given:
    """What has been given of one host's windows: when, and how much."""

    grants: deque[tuple[int, float]] = field(default_factory=deque)

    def used(self, since: int) -> float:
        return sum(weight for _, weight in takewhile(lambda grant: grant[0] > since, reversed(self.grants)))

    def forget(self, upto: int) -> None:
        while self.grants and self.grants[0][0] <= upto:
            self.grants.popleft()


class Pacing:
    def __init__(self, me: str, roster: Electorate, now: int) -> None:
        self.me = me
        self.number = 0  # of this node's notes
        self.heard: dict[str, tuple[int, int]] = {}  # the newest note of each member: its life, its number
        # Danger: a node that starts does not know for how long its earlier life has handed its turns over.
        self.handed_until = self.known_until = now + roster.lease_terms.promise_us  # known: by what was told before
        self.pending: dict[int, Pending] = {}
        self.upstreams: frozenset[int] = frozenset()
        self.cold_until = 0  # some host may be cold until then
        self.window_us = 0  # in which a cold host's budget is counted
        self.closed = False  # another process of this node places links
        self.follow(roster)

    def follow(self, roster: Electorate) -> None:
        """The operator's file: at the start, and when it has changed."""
        self.on = TOKEN_ISSUER in roster.roles
        self.names, self.mark = frozenset(roster.names), roster.digest
        # Turns are handed over for a term.
        self.term_us, self.skew = roster.lease_terms.term_us, roster.lease_terms.skew
        self.held_us = roster.lease_terms.promise_us  # a term by the slowest clock, as the fastest shows it
        # As one that asks.
        self.pacer = ""
        self.stamp = self.lease = 0  # of the pacer's last word
        self.heard_at = self.asked_at = -self.term_us  # when that was asked for; when a beat last asked
        self.begun_at: int | None = None  # since when turns are handed over
        self.looked_at = 0
        self.spare = float(SEEKS)  # notes that links may send now
        # As the pacer.
        self.held = 0  # the lease by which this node paces; 0: it does not
        self.opens_at = 0
        self.promised: dict[str, int] = {}  # who has handed its turns over, and until when at least
        self.given: dict[int, Given] = {}

    # As one that asks.

    def listed(self, now: int, upstreams: Iterable[int], slow_start_us: int, window_us: int) -> None:
        """The hosts that are ready, by the hashes of their names, and for how long one may be cold yet."""
        self.upstreams, self.cold_until, self.window_us = frozenset(upstreams), now + slow_start_us, window_us

    @property
    def hold_us(self) -> int:
        return max(LEAST_HOLD_US, self.window_us // HOLDS)

    def fresh(self, now: int) -> bool:
        """Whether the pacer has said something of late."""
        return now < self.heard_at + self.term_us

    def promises(self, now: int) -> bool:
        """Whether this node's turns are handed over for a term from now, as the decisions know."""
        # Danger: a node that was stopped since it told them would promise more than they were told.
        known = self.handed_until if now >= self.asked_at + TOLD_US else self.known_until
        begun = self.begun_at is not None and now >= self.begun_at + TOLD_US
        return begun and self.fresh(now) and now + self.term_us <= known

    def look(self, now: int, wall: int, incarnation: int, pacer: str) -> tuple[Seek | None, Told | None]:
        """One beat; pacer: who holds that duty, as far as is known. What it asks, and what is handed over."""
        passed_s = max(0, now - self.looked_at) / 1e6 if self.looked_at else 0.0
        self.spare = min(SEEKS, self.spare + passed_s * ALL_SEEKS / max(1, len(self.names)))
        self.looked_at = now
        self.pacer = pacer
        self.pending = {n: p for n, p in self.pending.items() if now < p.asked_at + self.term_us}
        if not self.on or self.closed or not pacer:
            return None, None
        renewals = RENEWALS if now < self.cold_until else IDLE_RENEWALS
        if self.promises(now) and now < self.asked_at + self.term_us // renewals:
            return None, None
        self.asked_at = now
        if not self.fresh(now):
            self.begun_at = None
            return self.seek(now, wall, incarnation), None
        self.begun_at = now if self.begun_at is None else self.begun_at
        # Until the next renewal it is promised by each note for a term more, and the decisions may lag.
        self.known_until = self.handed_until
        self.handed_until = now + self.term_us + self.term_us // IDLE_RENEWALS + TOLD_US
        return self.seek(now, wall, incarnation), Told(self.handed_until)

    def seek(
        self, now: int, wall: int, incarnation: int, session: int = -1, wants: Sequence[Want] = ()
    ) -> Seek:
        self.number += 1
        self.pending[self.number] = Pending(self.pacer, now, session)
        # Danger: the decisions hear a moment later that turns are handed over. Promised at once, a turn that
        # is being used now would be given to another as well: only what they were told before is promised.
        stamp, lease = (self.stamp, self.lease) if self.promises(now) else (0, 0)
        return Seek(self.me, incarnation, self.number, wall, self.pacer, self.mark, lease, stamp, list(wants))

    def sought(
        self, now: int, wall: int, incarnation: int, session: int, wants: Sequence[tuple[int, TokenCandidate]]
    ) -> Seek | None:
        """A link would go to one of these cold hosts, by the hashes of their names."""
        if not self.on or self.closed or not self.pacer or not self.fresh(now) or self.spare < 1:
            return None
        self.spare -= 1
        rows = [
            Want(upstream, int(sought.budget * MILLI), max(1, ceil(sought.weight * MILLI)))
            for upstream, sought in wants[:MOST_WANTS]
        ]
        return self.seek(now, wall, incarnation, session, rows)

    def awaited(self, leave: Leave) -> bool:
        """Whether a word of the pacer that can't be trusted yet is worth a check of its signature."""
        pending = self.pending.get(leave.number)
        return pending is not None and pending.pacer == leave.sender

    def told(self, now: int, leave: Leave) -> Told | None:
        """The pacer's word; what the decisions are to hear of it."""
        pending = self.pending.pop(leave.number)
        ends_at = order_ends_at(pending.asked_at, leave.left_us)
        if now >= ends_at:
            return None
        self.stamp, self.lease, self.heard_at = leave.stamp, leave.lease, pending.asked_at
        until = min(ends_at, pending.asked_at + self.hold_us)
        if not leave.upstream or self.begun_at is None or now >= until:
            return None
        return Told(self.handed_until, leave.upstream, pending.session, until)

    def unheard(self) -> None:
        """The decisions could not be told: nothing may be promised by it."""
        self.begun_at = None

    # Another process of this node.

    def close(self) -> None:
        """That one places links from now on: no turns of its own are promised here any more."""
        self.closed, self.begun_at = True, None

    def open(self, now: int) -> Told | None:
        """This one does, and the one before it no more: what that has promised runs out first."""
        self.closed = False
        self.handed_until = max(self.handed_until, now + self.held_us)
        return Told(self.handed_until) if self.on else None

    # As the pacer.

    def news(self, seek: Seek) -> bool:
        """Whether a note that can't be trusted yet is worth a check of its signature."""
        return self.on and (seek.incarnation, seek.number) > self.heard.get(seek.sender, (-1, -1))

    def pace(self, now: int, lease: int) -> None:
        """lease: by which this node holds the duty; 0: it does not."""
        if lease == self.held:
            self.forget(now)
            return
        # Danger: what the pacer before has given is not known here. Its leaves end with its lease, and count
        # for a window more.
        self.held, self.promised, self.given = lease, {}, {}
        self.opens_at = now + self.span_us

    @property
    def span_us(self) -> int:
        """Any stretch as long as a host's window holds but what was given within so long."""
        return ceil((self.window_us + self.hold_us) * (1 + self.skew))

    def answer(self, now: int, seek: Seek, order: tuple[int, int]) -> Leave | None:
        """What the pacer says to a node; order: its lease, and for how long it holds now."""
        self.heard[seek.sender] = seek.incarnation, seek.number
        lease, left_us = order
        if not lease or lease != self.held or seek.mark != self.mark or seek.sender not in self.names:
            return None
        if seek.lease == lease and 0 < seek.stamp <= now:
            # It had heard that word when it promised: its time began after that, and its clock may be fast.
            until = seek.stamp + int(self.term_us * (1 - self.skew) / (1 + self.skew))
            self.promised[seek.sender] = max(until, self.promised.get(seek.sender, 0))
        upstream = self.granted(now, seek.wants) if now >= self.opens_at else 0
        if seek.wants and not upstream:
            return None  # there is no room: who asks waits no longer than for an answer
        return Leave(self.me, seek.sender, seek.incarnation, seek.number, lease, left_us, now, upstream)

    def granted(self, now: int, wants: Sequence[Want]) -> int:
        """The first of these hosts that has room for one more link; 0: none."""
        paced = sum(now < until for until in self.promised.values())
        share = paced / len(self.names)
        for want in wants[:MOST_WANTS]:
            if want.upstream not in self.upstreams:
                continue
            # Those who go by turns still, as they hear nobody, use their part of the budget and no more.
            limit, span_us = share * want.budget / MILLI, self.span_us
            if limit < 1:
                if not share:
                    continue
                limit, span_us = 1.0, int(span_us / share)
            given = self.given.setdefault(want.upstream, Given())
            weight = max(1, want.weight) / MILLI
            used = given.used(now - span_us)
            if not used or used + weight <= limit:
                given.grants.append((now, weight))
                return want.upstream
        return 0

    def forget(self, now: int) -> None:
        """What was given long ago counts no more."""
        for given in self.given.values():
            given.forget(now - self.span_us * max(1, len(self.names)))
        self.given = {upstream: given for upstream, given in self.given.items() if given.grants}
