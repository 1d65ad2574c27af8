"""What a node makes of datagrams, and what it sends: members, shared state, keys and wire. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from larchlatch.cluster.election.election import Election
from larchlatch.cluster.election.electorate import QUOTA_ALLOCATOR, TOKEN_ISSUER, Electorate
from larchlatch.cluster.health.observations import Advice, Evidence
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
from larchlatch.cluster.quota.counts import Counts
from larchlatch.cluster.quota.settings import QuotaSettings
from larchlatch.cluster.quota.shared_quotas import SharedQuotas
from larchlatch.cluster.slow_start.notices import TokenNotice
from larchlatch.cluster.slow_start.tokens import SlowStartTokens

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping
    from random import Random

    from larchlatch.cluster.membership.membership import Change, Members
    from larchlatch.policy.types import TokenCandidate


class Sealing(Protocol):
    def sign(self, body: bytes) -> bytes: ...


class Checking(Protocol):
    def holds(self, key: bytes, body: bytes, signature: bytes) -> bool: ...


class Beat(NamedTuple):
    """What falls due: who has fallen silent, what goes to whom, and what others' words on hosts come to."""

    changes: list[Change]
    datagrams: list[tuple[str, bytes]]
    advice: Advice
    leaves: list[TokenNotice]


class Carried(NamedTuple):
    """An order that was carried out here."""

    duty: str
    lease: int
    holder: str


class Taken(NamedTuple):
    """What came of a datagram: who is there again, answers that go out at once, orders carried out, and
    what the pacer gives leave for.
    """

    changes: list[Change]
    datagrams: list[tuple[str, bytes]]
    orders: list[Carried]
    leaves: list[TokenNotice]


class Shared(NamedTuple):
    """What the members share."""

    budgets: SharedQuotas
    counts: Counts
    evidence: Evidence
    duties: Election
    pacing: SlowStartTokens

    @classmethod
    def of(
        cls,
        me: str,
        dealing: QuotaSettings,
        roster: Electorate,
        apart_us: int,
        beat_us: int,
        now: int,
        chance: Random,
    ) -> Shared:
        """A node's part at its start; apart_us: by how much wall clocks may differ."""
        budgets = SharedQuotas(me, dealing, beat_us, now, chance)
        duties = Election(me, roster, beat_us, now, chance)
        return cls(budgets, Counts(dealing, apart_us), Evidence(), duties, SlowStartTokens(me, roster, now))

    def open(self, now: int) -> None:
        """No other process of this node spends, or promises anything."""
        self.budgets.open(now)
        self.duties.open(now)


class Exchange:
    def __init__(
        self,
        members: Members,
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
        dealing: QuotaSettings,
        roster: Electorate,
        beat_us: int,
        now: int,
    ) -> None:
        """The operator's file has changed: members that are gone are forgotten, those that stay are kept."""
        self.sites, self.keys = sites, keys
        self.members.beat_us = self.budgets.heartbeat_us = self.duties.heartbeat_us = beat_us
        self.members.follow(sites)
        if dealing.digest != self.budgets.settings.digest:
            self.budgets.follow(dealing, now)
            self.counts.follow(dealing)
        if roster.digest != self.pacing.digest:
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
        news = self.members.news(record, wall)
        if isinstance(news, Unread):
            self.dropped(news)
        elif not news:
            self.count("cluster: record known")
            if direct:
                self.members.again(record.name, signed)
        elif not self.checks.holds(self.keys[record.name], signed.body, signed.signature):
            # Whoever sends this is no member, or broken: the rest of it is worth no further check.
            self.dropped(Unread.SIGNATURE)
            return False
        else:
            self.count("cluster: record heard")
            self.counts.heard(record)
            change = self.members.heard(record, signed, direct)
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
        news = self.members.timely(made_us, wall) if known else None
        if not known:
            self.dropped(Unread.STRANGER)
        elif note.to != self.members.me:
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
            grant = self.budgets.answer(now, note, self.duties.order_permit(now, QUOTA_ALLOCATOR))
            self.count("cluster: lent by us" if grant is not None else "cluster: nothing to lend")
            if grant is not None:
                taken.datagrams.append((note.sender, self.letter(grant)))
        elif isinstance(note, Seek):
            leave = self.pacing.issuer.answer(now, note, self.duties.order_permit(now, TOKEN_ISSUER))
            if leave is not None:
                taken.datagrams.append((note.sender, self.letter(leave)))
        elif isinstance(note, Leave):
            self.left(note, now, taken)
        elif isinstance(note, Bid):
            vote = self.duties.answer_bid(now, note)
            if vote is not None:
                taken.datagrams.append((note.sender, self.letter(vote)))
        else:
            bids = self.duties.count_vote(now, wall, note)
            taken.datagrams.extend((bid.to, self.letter(bid)) for bid in bids)
        return True

    def awaited(self, note: Note) -> bool:
        """Whether a note that can't be trusted yet is worth a check of its signature."""
        if isinstance(note, Vote):
            return self.duties.expects_vote(note)
        if isinstance(note, Seek):
            return self.pacing.issuer.is_new(note)
        if isinstance(note, Leave):
            return self.pacing.requester.expects(note)
        return isinstance(note, Bid) or self.budgets.expects(note)

    def granted(self, grant: Grant, now: int, taken: Taken) -> None:
        """Rights have been lent to this node: by an order, where there is an allotter."""
        if grant.lease and not self.duties.accepts_order(QUOTA_ALLOCATOR, grant.lease):
            self.count("cluster: order refused by its number")
            return
        lent = self.budgets.accept_grant(now, grant)
        self.count("cluster: lent to us" if lent else "cluster: lent too late")
        if lent and grant.lease:
            taken.orders.append(Carried(QUOTA_ALLOCATOR, grant.lease, grant.sender))

    def left(self, leave: Leave, now: int, taken: Taken) -> None:
        """The pacer's word."""
        if not self.duties.accepts_order(TOKEN_ISSUER, leave.lease):
            self.count("cluster: order refused by its number")
            return
        told = self.pacing.requester.accept(now, leave)
        if told is not None:
            taken.leaves.append(told)
            taken.orders.append(Carried(TOKEN_ISSUER, leave.lease, leave.sender))
        if leave.upstream:
            self.count("cluster: leave for a cold host" if told is not None else "cluster: leave too late")

    def sought(self, now: int, wall: int, session: int, wants: list[tuple[int, TokenCandidate]]) -> Taken:
        """A link would go to one of these cold hosts, by the hashes of their names."""
        taken = Taken([], [], [], [])
        seek = self.pacing.requester.request_token(now, wall, self.members.incarnation, session, wants)
        if seek is not None:
            self.ask_pacer(now, seek, taken)
        return taken

    def ask_pacer(self, now: int, seek: Seek, taken: Taken) -> None:
        if seek.to != self.members.me:
            taken.datagrams.append((seek.to, self.letter(seek)))
            return
        leave = self.pacing.issuer.answer(now, seek, self.duties.order_permit(now, TOKEN_ISSUER))
        if leave is not None:
            self.left(leave, now, taken)

    def dropped(self, why: Unread) -> None:
        self.count(f"cluster: dropped, {why.value}")

    # What goes.

    def beat(self, now: int, wall: int) -> Beat:
        members, budgets = self.members, self.budgets
        changes = members.look(now)
        budgets.note_digests(now, [mark for mark, count in members.marks.items() if count])
        mark = budgets.settings.digest
        there = members.there
        telling = {name: record for name, record in there.items() if record.findings or record.promises}
        ages = {name: max(0, wall - record.made_us) for name, record in telling.items()}
        bids = self.duties.tick(now, wall, members.incarnation, there, ages)
        holder = self.duties.holder(QUOTA_ALLOCATOR)
        lease, _ = self.duties.order_permit(now, QUOTA_ALLOCATOR)
        budgets.note_allocator(now, holder.name if holder is not None else "", lease)
        paced = self.paced(now, wall)
        promises = self.duties.promises(now)
        own = members.own(wall, mark, budgets.standings(now), self.evidence.told(now), promises)
        self.counts.heard(own)
        signed = self.signed(own)
        targets = members.targets()
        letters = members.passed_on(signed, len(targets))
        datagrams = [(name, datagram_of(part)) for name, part in zip(targets, letters, strict=True)]
        datagrams += [(name, datagram_of([signed])) for name in members.watched() if name not in targets]
        if not members.leaving and budgets.wants_loans(now):
            spare = {
                name: [share.spare for share in record.shares]
                for name, record in there.items()
                if record.mark == mark
            }
            asks = budgets.loan_requests(now, wall, members.incarnation, spare)
            datagrams += [(ask.to, self.letter(ask)) for ask in asks if ask.to != members.me]
            self.ask_itself(now, [ask for ask in asks if ask.to == members.me])
        datagrams += [(bid.to, self.letter(bid)) for bid in bids]
        own_site = self.sites.get(members.me, "")
        advice = self.evidence.weigh(
            now,
            {name: record.findings for name, record in telling.items()},
            ages,
            self.sites,
            any(self.sites[name] != own_site for name in there),
        )
        return Beat(changes, datagrams + paced.datagrams, advice, paced.leaves)

    def paced(self, now: int, wall: int) -> Taken:
        """A beat's part of the pacing."""
        taken = Taken([], [], [], [])
        if not self.pacing.enabled:
            return taken
        holder = self.duties.holder(TOKEN_ISSUER)
        lease, _ = self.duties.order_permit(now, TOKEN_ISSUER)
        self.pacing.issuer.hold(now, lease)
        pacer = holder.name if holder is not None else ""
        seek, told = self.pacing.requester.tick(now, wall, self.members.incarnation, pacer)
        if told is not None:
            taken.leaves.append(told)
        if seek is not None:
            self.ask_pacer(now, seek, taken)
        return taken

    def ask_itself(self, now: int, asks: Iterable[Ask]) -> None:
        """A node that deals out a pool wants some of it."""
        for ask in asks:
            grant = self.budgets.answer(now, ask, self.duties.order_permit(now, QUOTA_ALLOCATOR))
            if grant is not None:
                self.budgets.accept_grant(now, grant)

    def signed(self, told: Record | Note) -> Signed:
        body = body_of(told)
        return Signed(body, self.seal.sign(body))

    def letter(self, note: Note) -> bytes:
        """A note by itself."""
        return datagram_of([], [self.signed(note)])
