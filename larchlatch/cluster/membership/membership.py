"""Who is there, by records that members pass on (gossip of heartbeats, van Renesse et al. 1998). No I/O.

Times are whole microseconds: `now` of a clock that never runs back, `wall` of Unix time.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from heapq import nsmallest
from itertools import islice, zip_longest
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.protocol.codec import DATAGRAM_OVERHEAD_BYTES, MAX_DATAGRAM_BYTES, encoded_size
from larchlatch.cluster.protocol.messages import (
    DropReason,
    HealthObservation,
    NodeRecord,
    Promise,
    QuotaReport,
    SignedMessage,
    Suspicion,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from random import Random

USUAL_BEAT_US = 200_000  # for which the figures here were measured
FAN_OUT = 3  # members that a beat goes to: a record reaches all in a few beats, also with one in five lost
BASE_SILENCE_US = 1_600_000  # eight usual beats: by six, some of eight were misjudged at one in five lost
# Records of the whole fleet go round, about twenty a beat: at one in five lost the oldest of all pairs was
# 0.07 to 0.08 s a member old, from 50 to 200 members (docs/cluster.md).
SILENCE_A_MEMBER_US = 90_000
MOST_BEATS = 3  # of silence that one look may add: whoever was stopped heard nobody, and has to listen first
# In a fleet in which records that go round are old, a few watch each member: they hear of it directly.
WATCHERS = 8  # spread over the sites, so that in a cut both sides have some of each member's
WATCHED = 4  # of its watchers that a beat goes to besides, with its record alone: each hears it every 0.4 s
MISSED_US = 2_400_000  # six such beats: at one in five lost two watchers at once miss as many in no day
RETURN_US = MISSED_US  # a watcher that was silent until lately was cut off itself: its words wait so long
WITNESSES = 2  # watchers whose word makes a member silent: one alone may be cut off from it
NEWS = 8  # datagrams in which a record with news goes before the others: all have it within some five beats
MOST_PASSED = 16  # records that fit into one datagram, at the most: the shortest takes over 100 bytes
MOST_MISSED = 12  # in a record, the last missed first
APART_US = 30_000_000  # wall clocks may be so far apart; older records may be another day's, played again
DIRECT_ROUNDS = 4  # of its shuffled order, in each of which a member is sent to once, until it is not heard


class State(Enum):
    UNHEARD = "unheard"
    PRESENT = "present"
    SILENT = "silent"
    LEFT = "left"


@dataclass(slots=True)
class Member:
    """What is known of another node."""

    name: str
    record: NodeRecord | None = None
    signed: SignedMessage | None = None
    # By the time that this node has listened (Members.lived_us):
    heard_at: int = 0  # when there was last news of it
    renewed_at: int = 0  # the same, by its records alone, not by what its watchers say
    returned_at: int = -RETURN_US  # when it was no longer silent
    direct_at: int = -1  # when a record of it last came from itself; -1: never
    passed: int = 0  # how often that record was passed on
    silent: bool = False
    watchers: frozenset[str] = frozenset()
    missed_by: dict[str, tuple[int, int]] = field(default_factory=dict)  # watchers, and what they had of it
    false_verdicts: int = 0  # taken for silent, and then heard of in the same incarnation

    def stale(self) -> tuple[int, int]:
        """The less, the sooner its record is passed on."""
        return self.passed, -self.record.created_us if self.record is not None else 0


class Told(NamedTuple):
    """One member, for whoever operates the node."""

    name: str
    state: State
    age_us: int
    direct: bool  # heard from itself of late
    incarnation: int
    hears_us: bool | None  # it says that it has heard this node; None: it does not say


class Change(NamedTuple):
    name: str
    state: State


class Members:
    def __init__(
        self,
        me: str,
        sites: Mapping[str, str],
        beat_us: int,
        wall: int,
        now: int,
        chance: Random,
    ) -> None:
        """sites: of all members, this node included, each with its site."""
        self.me = me
        self.shuffle: Callable[[list[str]], None] = chance.shuffle
        self.beat_us = beat_us
        self.incarnation = wall
        self.number = 0
        self.looked_at = now
        self.lived_us = 0  # for which it has listened: in own beats, so that a stop adds next to nothing
        self.leaving = False
        self.members: dict[str, Member] = {}
        # A look at all members in each beat is what a large fleet would cost most by.
        self.present: dict[str, Member] = {}  # those of that state, the one longest without news first
        self.doubted: set[str] = set()  # those that any watcher misses
        self.marks: Counter[int | None] = Counter()  # by which files all go, as far as they have told
        self.order: list[str] = []  # who gets the next beats
        self.places: dict[str, int] = {}
        self.names: list[str] = []  # in their order
        self.watchers: list[str] = []  # of this node
        self.wards: dict[str, list[str]] = {}  # whom each node watches, in a large fleet
        self.own_missed: set[str] = set()
        self.follow(sites)

    def follow(self, sites: Mapping[str, str]) -> None:
        """Who belongs to the fleet, by the operator's file; what is known of those that stay is kept."""
        names = list(sites)
        new = [n for n in names if n != self.me and n not in self.members]
        known = {**self.members, **{n: Member(n, heard_at=self.lived_us) for n in new}}
        self.members = {n: known[n] for n in sorted(names) if n != self.me}
        self.present = {n: m for n, m in self.present.items() if n in self.members}
        self.doubted = {n for n in self.doubted if n in self.members}
        self.marks = Counter(self.mark(member) for member in self.members.values())
        self.order = [name for name in self.order if name in self.members]
        self.names = sorted({*names, self.me})
        self.places = {name: place for place, name in enumerate(self.names)}
        # Where silence is told by records that go round within the usual time, there is nothing to watch.
        large = self.silence_us > BASE_SILENCE_US and self.me in sites
        watchers = watchers_of(self.names, sites) if large else {}
        self.watchers = watchers.get(self.me, [])
        self.wards = {name: [] for name in self.names}
        for ward, watching in watchers.items():
            for name in watching:
                self.wards[name].append(ward)
        for member in self.members.values():
            member.watchers = frozenset(watchers.get(member.name, ()))

    @property
    def silence_us(self) -> int:
        """After so long without news of it a member counts as silent."""
        of_all = SILENCE_A_MEMBER_US * len(self.members) * self.beat_us // USUAL_BEAT_US
        return max(BASE_SILENCE_US, 8 * self.beat_us, of_all)

    # What comes.

    def news(self, record: NodeRecord, wall: int) -> DropReason | bool:
        """Whether a record that can't be trusted yet is worth a check of its signature."""
        if record.name == self.me:
            return record.incarnation > self.incarnation
        member = self.members.get(record.name)
        if member is None:
            return DropReason.UNKNOWN_MEMBER
        if member.record is not None and record.version <= member.record.version:
            return False
        return self.timely(record.created_us, wall) or True

    @staticmethod
    def timely(made_us: int, wall: int) -> DropReason | None:
        """Why what was made then is no longer, or not yet, to be believed."""
        if made_us < wall - APART_US:
            return DropReason.TOO_OLD
        return DropReason.IN_THE_FUTURE if made_us > wall + APART_US else None

    def heard(self, record: NodeRecord, signed: SignedMessage, direct: bool) -> Change | None:
        """A record that is news, and whose signature holds; direct: its origin has sent it itself."""
        if record.name == self.me:
            # An earlier life of this node had a clock that was ahead: nobody would listen to this one.
            self.incarnation, self.number = record.incarnation + 1, 0
            return None
        member = self.members[record.name]
        before = self.state(member)
        known = {m.member_index for m in member.record.suspicions} if member.record is not None else set()
        # Whoever holds a duty is known by its electors' newest records.
        news = bool(record.promises) or any(missed.member_index not in known for missed in record.suspicions)
        was = member.record if member.silent else None
        self.marks[self.mark(member)] -= 1
        member.record, member.signed = record, signed
        self.marks[record.config_digest] += 1
        member.renewed_at = self.lived_us
        member.passed = -NEWS if news else 0
        if direct:
            self.met(member)
        # Danger: old records of a dead member go round for long; only one that its watchers had not yet when
        # they missed it says that it lives.
        if member.missed_by:
            member.missed_by = {name: age for name, age in member.missed_by.items() if age >= record.version}
            self.doubt(member)
        member.silent = self.missed(member)
        if was is not None and not member.silent:
            member.returned_at = self.lived_us
            member.false_verdicts += was.incarnation == record.incarnation
        self.renewed(member)
        self.heed(record)
        after = self.state(member)
        return Change(member.name, after) if after is not before else None

    def again(self, name: str, signed: SignedMessage) -> None:
        """A record that is known came from its origin itself: another had passed it on sooner."""
        member = self.members.get(name)
        # Only what is the same to the last byte: its signature has not been checked a second time.
        if member is not None and member.signed == signed:
            self.met(member)

    def met(self, member: Member) -> None:
        """It was heard itself."""
        member.direct_at = self.lived_us
        self.own_missed.discard(member.name)

    def renewed(self, member: Member) -> None:
        """There is news of it."""
        member.heard_at = self.lived_us
        self.present.pop(member.name, None)
        if self.state(member) is State.PRESENT:
            self.present[member.name] = member

    def doubt(self, member: Member) -> None:
        """By whom it is missed has changed."""
        if member.missed_by:
            self.doubted.add(member.name)
        else:
            self.doubted.discard(member.name)

    @staticmethod
    def mark(member: Member) -> int | None:
        """By which file it goes, as far as it has told."""
        return member.record.config_digest if member.record is not None else None

    def heed(self, record: NodeRecord) -> None:
        """Whom a watcher misses, and whom no longer."""
        missed = {
            m.member_index: (m.incarnation, m.sequence)
            for m in record.suspicions
            if m.member_index < len(self.names)
        }
        # Danger: after a cut, whoever was on the other side has missed all of this side, by its word of
        # before. Here records of its own side may be older than that, and be taken for those of the dead.
        believed = self.lived_us - self.members[record.name].returned_at >= RETURN_US
        for place, age in missed.items() if believed else ():
            member = self.members.get(self.names[place])
            if member is None or record.name not in member.watchers:
                continue
            if member.record is None or self.older(member.record, age, record.created_us):
                member.missed_by[record.name] = age  # else it has been heard of since
                self.doubt(member)
        for bit, ward in enumerate(self.wards[record.name]):
            member = self.members.get(ward)
            if member is not None and self.places[ward] not in missed:
                if member.missed_by.pop(record.name, None) is not None:
                    self.doubt(member)
                # Its own records go round seldom in large fleets: that a watcher hears it says that it lives.
                if not member.silent and has(record.direct_contacts, bit):
                    self.renewed(member)

    def older(self, last: NodeRecord, age: tuple[int, int], said_us: int) -> bool:
        """Whether a watcher's word, made then, goes for all that is known here of a member."""
        # Danger: the last record before a cut may have come here and to no watcher. Their word, by the one
        # before it, would not go for it, and the member would be there for ever: so it does once they have
        # missed it for as long as it would have taken to send more than that.
        alike = last.incarnation == age[0] and last.sequence <= age[1] + MISSED_US // USUAL_BEAT_US
        return last.version <= age or (alike and said_us - last.created_us >= self.missed_us)

    @property
    def missed_us(self) -> int:
        return MISSED_US * self.beat_us // USUAL_BEAT_US

    def missed(self, member: Member) -> bool:
        """Whether enough of those who watch a member miss it."""
        return len(member.missed_by) + (member.name in self.own_missed) >= WITNESSES

    def missing(self) -> list[Suspicion]:
        """Whom this node watches, and has not heard itself for a while, though it did before."""
        missed_us = self.missed_us
        gone = [
            member
            for member in (self.members[ward] for ward in self.wards[self.me])
            if member.direct_at >= 0
            and self.lived_us - member.direct_at > missed_us
            # Danger: one that is heard of through others lives. Said to be missed by the number of such a
            # record, it would be dead to all that have an older one.
            and self.lived_us - member.renewed_at > missed_us
            and member.record is not None
            and not member.record.shutting_down
        ]
        gone.sort(key=lambda member: -member.direct_at)
        return [
            Suspicion(self.places[m.name], m.record.incarnation, m.record.sequence)
            for m in gone[:MOST_MISSED]
            if m.record is not None
        ]

    # What goes.

    def look(self, now: int) -> list[Change]:
        """Count the silence since the last look; who has fallen silent by it."""
        # A node that was stopped could not hear: what it has missed is not the others' silence.
        self.lived_us += min(max(0, now - self.looked_at), MOST_BEATS * self.beat_us)
        self.looked_at = max(self.looked_at, now)
        self.own_missed = {self.names[missed.member_index] for missed in self.missing()}
        last = self.lived_us - self.silence_us
        gone = {name for name in self.doubted | self.own_missed if self.missed(self.members[name])}
        for name, member in self.present.items():
            if member.heard_at >= last:
                break
            gone.add(name)
        changes = []
        for name in sorted(gone):
            member = self.members[name]
            if self.state(member) is State.PRESENT:
                member.silent = True
                del self.present[name]
                changes.append(Change(name, State.SILENT))
        return changes

    def own(
        self,
        wall: int,
        mark: int,
        shares: list[QuotaReport],
        findings: list[HealthObservation],
        promises: list[Promise],
    ) -> NodeRecord:
        """This node's next record, with what it tells of budgets, hosts and duties."""
        self.number += 1
        # In a large fleet a bit for each would take the room of others' records: there it tells of its wards.
        told = self.heard_of(self.me)
        bits = bytearray(-(-len(told) // 8))
        least = self.direct_least
        for place, name in enumerate(told):
            member = self.members.get(name)
            if member is not None and member.direct_at >= least and not member.silent:
                bits[place // 8] |= 1 << place % 8
        heard = bytes(bits)
        return NodeRecord(
            self.me,
            self.incarnation,
            self.number,
            wall,
            self.leaving,
            heard,
            mark,
            shares,
            findings,
            self.missing(),
            promises,
        )

    def targets(self) -> list[str]:
        """Whom the next beat goes to: all in turn, in an order that is drawn anew each round."""
        # In a cut most of what goes to silent members is lost, and the news of the cut with it: one datagram
        # a beat goes to one of them, so that its end is found, and the others to members that hear.
        chosen: list[str] = []
        while len(chosen) < min(FAN_OUT, len(self.members)):
            if not self.order:
                self.order = list(self.members)
                self.shuffle(self.order)
            name = self.order.pop()
            if self.members[name].silent and self.enough_silent(chosen):
                continue
            if name not in chosen:
                chosen.append(name)
        return chosen

    @property
    def there(self) -> dict[str, NodeRecord]:
        """The newest record of each member that is present."""
        return {name: m.record for name, m in self.present.items() if m.record is not None}

    def enough_silent(self, chosen: Sequence[str]) -> bool:
        """Whether one of these is silent already, and others that are not are left."""
        silent = sum(self.members[name].silent for name in chosen)
        return silent > 0 and len(chosen) - silent < sum(not m.silent for m in self.members.values())

    def watched(self) -> list[str]:
        """To whom the own record goes besides: some of its watchers in turn."""
        if not self.watchers:
            return []
        first = self.number * WATCHED
        return [
            self.watchers[(first + n) % len(self.watchers)] for n in range(min(WATCHED, len(self.watchers)))
        ]

    def passed_on(self, own: SignedMessage, number: int) -> list[list[SignedMessage]]:
        """What so many datagrams hold: the own record, then as many as fit of those passed on least often."""
        # What is silent is no news, and stays here. What has not been passed on yet goes first, the newest
        # before the rest: in the order of names, or in turn, old news takes the room of new.
        waiting = [m for m in self.members.values() if m.signed is not None and not m.silent]
        waiting = nsmallest(number * MOST_PASSED, waiting, key=Member.stale)
        letters = []
        for _ in range(number):
            room = MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES - encoded_size(own)
            records, went = [own], 0
            for member in waiting:
                assert member.signed is not None
                if encoded_size(member.signed) > room:
                    break
                room -= encoded_size(member.signed)
                records.append(member.signed)
                member.passed += 1
                went += 1
            letters.append(records)
            # Those that have gone now come last.
            waiting = waiting[went:] + waiting[:went]
        return letters

    # What is told.

    @property
    def direct_least(self) -> int:
        """Whoever has not been heard itself since then is no longer heard directly."""
        round_us = self.beat_us * -(-len(self.members) // FAN_OUT)
        return max(0, self.lived_us - max(self.silence_us, DIRECT_ROUNDS * round_us))

    def state(self, member: Member) -> State:
        if member.record is None:
            return State.UNHEARD
        if member.record.shutting_down:
            return State.LEFT
        return State.SILENT if member.silent else State.PRESENT

    def heard_of(self, name: str) -> list[str]:
        """Of whom a member's record says whether it hears them."""
        return self.wards[name] if self.watchers else self.names

    def hears_us(self, member: Member) -> bool | None:
        of = self.heard_of(member.name)
        if self.me not in of:
            return None
        return member.record is not None and has(member.record.direct_contacts, of.index(self.me))

    def told(self) -> list[Told]:
        least = self.direct_least
        return [
            Told(
                member.name,
                self.state(member),
                self.lived_us - member.heard_at,
                member.direct_at >= least and not member.silent,
                member.record.incarnation if member.record is not None else 0,
                self.hears_us(member),
            )
            for member in self.members.values()
        ]

    @property
    def alone(self) -> bool:
        """Whether nobody else is heard, though there are others."""
        return bool(self.members) and not self.present


def has(bits: bytes, place: int) -> bool:
    return place // 8 < len(bits) and bool(bits[place // 8] & 1 << place % 8)


def watchers_of(names: Sequence[str], sites: Mapping[str, str]) -> dict[str, list[str]]:
    """Who watches each member: as many from each site, in turns that fall on all of a site alike."""
    by_site: dict[str, list[str]] = {}
    for name in names:
        by_site.setdefault(sites.get(name, ""), []).append(name)
    each = -(-WATCHERS // len(by_site)) if by_site else 0
    rings = [(len(others), min(WATCHERS + 1, len(others)), others * 2) for others in by_site.values()]
    found = {}
    # Danger: by the order of names alone some nodes come next after many. What they miss in a cut is more
    # than a record holds, and some members' death is told by nobody on that side.
    for place, name in enumerate(names):
        firsts = ((ring, place * each % size, some) for size, some, ring in rings)
        turns = [[n for n in ring[first : first + some] if n != name] for ring, first, some in firsts]
        mixed = (other for row in zip_longest(*turns) for other in row if other is not None)
        found[name] = list(islice(mixed, WATCHERS))
    return found
