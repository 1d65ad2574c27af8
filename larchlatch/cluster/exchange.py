"""What a node makes of datagrams, and what it sends: members, shared state, keys and wire. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from larchlatch.cluster.election.election import ALLOTTER, PACER, Duties, Roster
from larchlatch.cluster.health.observations import EjectionAdvice, HealthObservations
from larchlatch.cluster.membership.membership import RecordNovelty
from larchlatch.cluster.protocol.datagrams import (
    Ask,
    Bid,
    Grant,
    Leave,
    Note,
    Record,
    Seek,
    Signed,
    Unread,
    Vote,
    body_of,
    datagram_of,
    note_of,
    read,
    record_of,
)
from larchlatch.cluster.quota.budgets import Budgets, Dealing
from larchlatch.cluster.quota.counts import FleetCounts
from larchlatch.cluster.slow_start.tokens import Pacing, Told

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping
    from random import Random

    from larchlatch.cluster.membership.member import MemberChange
    from larchlatch.cluster.membership.membership import Membership
    from larchlatch.policy.types import TokenCandidate


class Sealing(Protocol):
    def sign(self, body: bytes) -> bytes: ...


class Checking(Protocol):
    def holds(self, key: bytes, body: bytes, signature: bytes) -> bool: ...


class Beat(NamedTuple):
    """What falls due: who has fallen silent, what goes to whom, and what others' words on hosts come to."""

    changes: list[MemberChange]
    datagrams: list[tuple[str, bytes]]
    advice: EjectionAdvice
    leaves: list[Told]


class Carried(NamedTuple):
    """An order that was carried out here."""

    duty: str
    lease: int
    holder: str


class Taken(NamedTuple):
    """What came of a datagram: who is there again, answers that go out at once, orders carried out, and
    what the pacer gives leave for.
    """

    changes: list[MemberChange]
    datagrams: list[tuple[str, bytes]]
    orders: list[Carried]
    leaves: list[Told]


class Shared(NamedTuple):
    """What the members share."""

    budgets: Budgets
    counts: FleetCounts
    evidence: HealthObservations
    duties: Duties
    pacing: Pacing

    @classmethod
    def of(
        cls,
        me: str,
        dealing: Dealing,
        roster: Roster,
        apart_us: int,
        beat_us: int,
        now: int,
        chance: Random,
    ) -> Shared:
        """A node's part at its start; apart_us: by how much wall clocks may differ."""
        budgets = Budgets(me, dealing, beat_us, now, chance)
        duties = Duties(me, roster, beat_us, now, chance)
        counts = FleetCounts(dealing, clock_difference_us=apart_us)
        return cls(budgets, counts, HealthObservations(), duties, Pacing(me, roster, now))

    def open(self, now: int) -> None:
        """No other process of this node spends, or promises anything."""
        self.budgets.open(now)
        self.duties.open(now)


class Exchange:
    def __init__(
        self,
        members: Membership,
        shared: Shared,
        sites: Mapping[str, str],
        keys: Mapping[str, bytes],
        seal: Sealing,
        checks: Checking,
        count: Callable[[str], None],
    ) -> None:
        """sites, keys: of each member."""
        self.members = members
        self.budgets, self.counts, self.evidence, self.duties, self.pacing = shared
        self.sites = sites
        self.keys = keys
        self.seal = seal
        self.checks = checks
        self.count = count
        self.foreign: int | None = None  # the version that was first met and is not spoken here

    def follow(
        self,
        sites: Mapping[str, str],
        keys: Mapping[str, bytes],
        dealing: Dealing,
        roster: Roster,
        beat_us: int,
        now: int,
    ) -> None:
        """The operator's file has changed: members that are gone are forgotten, those that stay are kept."""
        self.sites, self.keys = sites, keys
        self.members.heartbeat_us = self.budgets.beat_us = self.duties.beat_us = beat_us
        self.members.set_members(sites)
        if dealing.mark != self.budgets.dealing.mark:
            self.budgets.follow(dealing, now)
            self.counts.set_quotas(dealing)
        if roster.mark != self.pacing.mark:
            self.pacing.follow(roster)
        self.duties.follow(roster, now)

    # What comes.

    def take(self, data: bytes, now: int, wall: int) -> Taken:
        """One datagram; what can't be used is dropped and counted by cause."""
        taken = Taken([], [], [], [])
        found = read(data)
        if isinstance(found, Unread):
            self.dropped(found)
            if found is Unread.VERSION and self.foreign is None:
                self.foreign = data[0]
            return taken
        for place, signed in enumerate(found.records):
            if not self.recorded(signed, wall, place == 0, taken):
                return taken
        for signed in found.notes:
            if not self.noted(signed, now, wall, taken):
                break
        return taken

    def recorded(self, signed: Signed, wall: int, direct: bool, taken: Taken) -> bool:
        """One record; False where the rest of the datagram is worth no further look."""
        record = record_of(signed.body)
        if record is None:
            self.dropped(Unread.FORM)
            return False
        news = self.members.classify(record, wall)
        if isinstance(news, Unread):
            self.dropped(news)
        elif news is RecordNovelty.KNOWN:
            self.count("cluster: record known")
            if direct:
                self.members.receive_again(record.name, signed)
        elif not self.checks.holds(self.keys[record.name], signed.body, signed.signature):
            # Whoever sends this is no member, or broken: the rest of it is worth no further check.
            self.dropped(Unread.SIGNATURE)
            return False
        else:
            self.count("cluster: record heard")
            self.counts.receive(record)
            change = self.members.receive(record, signed, direct=direct)
            if change is not None:
                taken.changes.append(change)
        return True

    def noted(self, signed: Signed, now: int, wall: int, taken: Taken) -> bool:
        """One note, as recorded()."""
        note = note_of(signed.body)
        if note is None:
            self.dropped(Unread.FORM)
            return False
        known = note.sender in self.members.members
        made_us = note.made_us if isinstance(note, Ask | Bid | Seek) else wall  # answers are awaited, or not
        news = self.members.check_time(made_us, wall) if known else None
        if not known:
            self.dropped(Unread.STRANGER)
        elif note.to != self.members.own_name:
            self.dropped(Unread.ASTRAY)
        elif news is not None:
            self.dropped(news)
        elif not self.awaited(note):
            self.count("cluster: note known")
        elif not self.checks.holds(self.keys[note.sender], signed.body, signed.signature):
            self.dropped(Unread.SIGNATURE)
            return False
        elif isinstance(note, Grant):
            self.granted(note, now, taken)
        elif isinstance(note, Ask):
            grant = self.budgets.answer(now, note, self.duties.order(now, ALLOTTER))
            self.count("cluster: lent by us" if grant is not None else "cluster: nothing to lend")
            if grant is not None:
                taken.datagrams.append((note.sender, self.letter(grant)))
        elif isinstance(note, Seek):
            leave = self.pacing.answer(now, note, self.duties.order(now, PACER))
            if leave is not None:
                taken.datagrams.append((note.sender, self.letter(leave)))
        elif isinstance(note, Leave):
            self.left(note, now, taken)
        elif isinstance(note, Bid):
            vote = self.duties.bid(now, note)
            if vote is not None:
                taken.datagrams.append((note.sender, self.letter(vote)))
        else:
            bids = self.duties.voted(now, wall, note)
            taken.datagrams.extend((bid.to, self.letter(bid)) for bid in bids)
        return True

    def awaited(self, note: Note) -> bool:
        """Whether a note that can't be trusted yet is worth a check of its signature."""
        if isinstance(note, Vote):
            return self.duties.awaited(note)
        if isinstance(note, Seek):
            return self.pacing.news(note)
        if isinstance(note, Leave):
            return self.pacing.awaited(note)
        return isinstance(note, Bid) or self.budgets.news(note)

    def granted(self, grant: Grant, now: int, taken: Taken) -> None:
        """Rights have been lent to this node: by an order, where there is an allotter."""
        if grant.lease and not self.duties.takes(ALLOTTER, grant.lease):
            self.count("cluster: order refused by its number")
            return
        lent = self.budgets.granted(now, grant)
        self.count("cluster: lent to us" if lent else "cluster: lent too late")
        if lent and grant.lease:
            taken.orders.append(Carried(ALLOTTER, grant.lease, grant.sender))

    def left(self, leave: Leave, now: int, taken: Taken) -> None:
        """The pacer's word."""
        if not self.duties.takes(PACER, leave.lease):
            self.count("cluster: order refused by its number")
            return
        told = self.pacing.told(now, leave)
        if told is not None:
            taken.leaves.append(told)
            taken.orders.append(Carried(PACER, leave.lease, leave.sender))
        if leave.upstream:
            self.count("cluster: leave for a cold host" if told is not None else "cluster: leave too late")

    def sought(self, now: int, wall: int, session: int, wants: list[tuple[int, TokenCandidate]]) -> Taken:
        """A link would go to one of these cold hosts, by the hashes of their names."""
        taken = Taken([], [], [], [])
        seek = self.pacing.sought(now, wall, self.members.incarnation, session, wants)
        if seek is not None:
            self.ask_pacer(now, seek, taken)
        return taken

    def ask_pacer(self, now: int, seek: Seek, taken: Taken) -> None:
        if seek.to != self.members.own_name:
            taken.datagrams.append((seek.to, self.letter(seek)))
            return
        leave = self.pacing.answer(now, seek, self.duties.order(now, PACER))
        if leave is not None:
            self.left(leave, now, taken)

    def dropped(self, why: Unread) -> None:
        self.count(f"cluster: dropped, {why.value}")

    # What goes.

    def beat(self, now: int, wall: int) -> Beat:
        members, budgets = self.members, self.budgets
        changes = members.advance(now)
        budgets.agreed(now, members.configuration_digests())
        mark = budgets.dealing.mark
        there = members.present_records
        telling = {name: record for name, record in there.items() if record.findings or record.promises}
        ages = {name: max(0, wall - record.made_us) for name, record in telling.items()}
        bids = self.duties.look(now, wall, members.incarnation, there, ages)
        holder = self.duties.holders.get(ALLOTTER)
        lease, _ = self.duties.order(now, ALLOTTER)
        budgets.allot(now, holder.name if holder is not None else "", lease)
        paced = self.paced(now, wall)
        promises = self.duties.promises(now)
        own = members.next_record(
            wall,
            digest=mark,
            shares=budgets.told(now),
            observations=self.evidence.own_report(now),
            promises=promises,
        )
        self.counts.receive(own)
        signed = self.signed(own)
        targets = members.gossip_targets()
        letters = members.pack_records(signed, len(targets))
        datagrams = [(name, datagram_of(part)) for name, part in zip(targets, letters, strict=True)]
        datagrams += [
            (name, datagram_of([signed])) for name in members.watcher_targets() if name not in targets
        ]
        if not members.is_departing and budgets.wanting(now):
            spare = {
                name: [share.spare for share in record.shares]
                for name, record in there.items()
                if record.mark == mark
            }
            asks = budgets.asks(now, wall, members.incarnation, spare)
            datagrams += [(ask.to, self.letter(ask)) for ask in asks if ask.to != members.own_name]
            self.ask_itself(now, [ask for ask in asks if ask.to == members.own_name])
        datagrams += [(bid.to, self.letter(bid)) for bid in bids]
        own_site = self.sites.get(members.own_name, "")
        advice = self.evidence.advise(
            now,
            {name: record.findings for name, record in telling.items()},
            ages,
            self.sites,
            several_sites=any(self.sites[name] != own_site for name in there),
        )
        return Beat(changes, datagrams + paced.datagrams, advice, paced.leaves)

    def paced(self, now: int, wall: int) -> Taken:
        """A beat's part of the pacing."""
        taken = Taken([], [], [], [])
        if not self.pacing.on:
            return taken
        holder = self.duties.holders.get(PACER)
        lease, _ = self.duties.order(now, PACER)
        self.pacing.pace(now, lease)
        pacer = holder.name if holder is not None else ""
        seek, told = self.pacing.look(now, wall, self.members.incarnation, pacer)
        if told is not None:
            taken.leaves.append(told)
        if seek is not None:
            self.ask_pacer(now, seek, taken)
        return taken

    def ask_itself(self, now: int, asks: Iterable[Ask]) -> None:
        """A node that deals out a pool wants some of it."""
        for ask in asks:
            grant = self.budgets.answer(now, ask, self.duties.order(now, ALLOTTER))
            if grant is not None:
                self.budgets.granted(now, grant)

    def signed(self, told: Record | Note) -> Signed:
        body = body_of(told)
        return Signed(body, self.seal.sign(body))

    def letter(self, note: Note) -> bytes:
        """A note by itself."""
        return datagram_of([], [self.signed(note)])
