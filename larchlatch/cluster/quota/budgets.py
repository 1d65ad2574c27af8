"""The budgets that a fleet shares, as one node keeps them: whom it asks, and what it answers. No I/O."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.election.fencing import order_ends_at
from larchlatch.cluster.protocol.datagrams import Ask, Grant, Standing
from larchlatch.cluster.quota.account import Rights, Share, Spans, dealt

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from random import Random

ASKS = 8  # notes that a beat asks by, over all budgets: bounds what a node sends, whatever is wanted
LENDERS = 3  # asked for one budget in a beat: more would each lend a little, and all have to be asked again
LOANS = 24  # that a node has of one budget at a time: each has to be renewed once in half a term
ACTIVE_SETTINGS = 2  # who has asked within these counts as wanting some of a pool
PARTS = 3  # an equal share of a pool is lent in so many: what is to go to others can go back by parts
LATE_BEATS = 3  # an ask that has no answer by then is taken for lost, and others are asked for it


class Limit(NamedTuple):
    """A budget as the operator's file has it."""

    name: str
    sessions: int  # in a window, of the whole installation
    traffic_classes: tuple[str, ...]


class Dealing(NamedTuple):
    """How the budgets are dealt out among the members; the same on all that have read the same file."""

    limits: tuple[Limit, ...]
    names: tuple[str, ...]  # of all members, in order
    floor: float
    spans: Spans
    mark: int  # tells one file's dealing from another's
    allot: bool = False  # what lies above all floors is one pool, which the allotter lends from

    def share(self, limit: Limit, me: str) -> Share:
        share = dealt(limit.sessions, self.floor, len(self.names), self.names.index(me))
        return Share(share.floor, share.floor) if self.allot else share

    def pool(self, limit: Limit) -> Share:
        """What no node has of its own."""
        return Share(limit.sessions - sum(self.share(limit, name).own for name in self.names), 0)

    def by_traffic_class(self) -> dict[str, str]:
        """The name of each tariff's budget."""
        return {traffic_class: limit.name for limit in self.limits for traffic_class in limit.traffic_classes}


class Pending(NamedTuple):
    """An ask that may yet be answered."""

    lender: str
    budget: str
    amount: int
    asked_at: int
    renews: int


class Account(NamedTuple):
    """One budget, for whoever operates the node. Links in a window."""

    budget: str
    limit: int  # of the whole installation
    own: int
    floor: int
    may: int  # this node, now
    used: int
    borrowed: int
    lent: int
    spent: int  # since it started
    refused: int


class Budgets:
    def __init__(self, me: str, dealing: Dealing, beat_us: int, now: int, chance: Random) -> None:
        self.me = me
        self.dealing = dealing
        self.beat_us = beat_us
        self.shuffle: Callable[[list[str]], None] = chance.shuffle
        self.uniform = chance.uniform
        self.rights = {
            limit.name: Rights(dealing.share(limit, me), dealing.spans, now) for limit in dealing.limits
        }
        self.by_traffic_class = dealing.by_traffic_class()
        self.number = 0  # of this node's asks
        self.pending: dict[int, Pending] = {}
        self.other = False  # a member tells that it goes by another file
        self.heard: dict[str, tuple[int, int]] = {}  # the newest ask of each member: its life, its number
        self.allotter = ""  # whom this node asks; none where nobody is known to have that duty
        self.lease = 0  # by which this node deals out the pools; 0: it does not
        self.pools: dict[str, Rights] = {}
        self.askers: dict[str, int] = {}  # when each last wanted some of a pool
        self.short: dict[str, int] = {}  # and when in vain
        self.all_read = False  # all members have told, since this one started, that they go by this file

    # What is asked of it.

    def admit(self, now: int, traffic_class: str) -> int:
        """Spend one new link of this tariff: 0; or, where there is none, after how long to come back."""
        budget = self.by_traffic_class.get(traffic_class)
        back_us = 0 if budget is None else self.rights[budget].admit(now)
        # Spread over a window: all who were refused in one moment would come back in one.
        return back_us + int(self.uniform(0, self.dealing.spans.window_us)) if back_us else 0

    # The pools, where there is an allotter.

    def allot(self, now: int, allotter: str, lease: int) -> None:
        """Who has that duty, as far as is known; lease: this node's own, 0: it has not."""
        self.allotter = allotter
        # Danger: who has not read this file yet may have more of its own than its floor by the one before.
        lease = lease if self.dealing.allot and self.all_read else 0
        if lease == self.lease:
            return
        # Danger: what the allotter before has lent is not known here. As after a start nothing is lent until
        # all of it must be back.
        self.lease, self.pools = lease, {}
        for limit in self.dealing.limits if lease else ():
            self.pools[limit.name] = Rights(self.dealing.pool(limit), self.dealing.spans, now)
            self.pools[limit.name].open(now)

    def wanted(self, now: int, pool: Rights, sender: str) -> tuple[int, Counter[str]]:
        """The equal share of each node that has wanted some of a pool of late, and what each has."""
        lately = now - ACTIVE_SETTINGS * self.dealing.spans.term_us
        self.askers = {name: at for name, at in self.askers.items() if at > lately}
        self.askers[sender] = now
        has: Counter[str] = Counter()
        for (name, _, _), loan in pool.lent.items():
            has[name] += loan.amount
        return pool.share.own // len(self.askers), has

    def allotted(self, now: int, pool: Rights, ask: Ask) -> int:
        """What an ask gets of a pool: max-min by what is asked, a part at a time."""
        equal, has = self.wanted(now, pool, ask.sender)
        spare = pool.spare(now)
        # What others may have yet is kept for them: whoever comes first must not have all.
        kept = sum(max(0, equal - has[name]) for name in self.askers if name != ask.sender)
        part = max(1, -(-equal // PARTS))
        amount = max(0, min(ask.amount, part, spare, max(equal - has[ask.sender], spare - kept)))
        if amount < min(ask.amount, part):
            self.short[ask.sender] = now
        else:
            self.short.pop(ask.sender, None)
        return amount

    def due_back(self, now: int, pool: Rights, ask: Ask) -> bool:
        """Whether a loan is not renewed: others have less than their equal share, and ask for it in vain."""
        equal, has = self.wanted(now, pool, ask.sender)
        lately = now - self.dealing.spans.term_us
        others = any(at > lately and has[n] < equal for n, at in self.short.items() if n != ask.sender)
        return others and has[ask.sender] - ask.amount >= equal

    # What it says.

    def told(self, now: int) -> list[Standing]:
        """Of each budget, in the file's order: for the node's record."""
        return [Standing(rights.spent, rights.spare(now)) for rights in self.rights.values()]

    def wanting(self, now: int) -> bool:
        """Whether there may be anything to ask for."""
        return any(rights.borrowed or rights.wants(now) for rights in self.rights.values())

    def asks(self, now: int, wall: int, incarnation: int, spare: Mapping[str, Sequence[int]]) -> list[Ask]:
        """What this beat asks for, and of whom; spare: what others say they can lend, in that order."""
        notes: list[Ask] = []
        late = now - LATE_BEATS * self.beat_us
        over = now - self.dealing.spans.term_us
        self.pending = {number: ask for number, ask in self.pending.items() if ask.asked_at > over}
        for place, (name, rights) in enumerate(self.rights.items()):
            wants = rights.wants(now)
            limit, need = rights.limit(now), rights.need(now)
            hoped = [p for p in self.pending.values() if p.budget == name and p.asked_at > late]
            wants -= sum(ask.amount for ask in hoped if not ask.renews)
            for number, loan in rights.borrowed.items():
                asked = any(ask.renews == number for ask in hoped)
                if loan.ends_at - now > self.dealing.spans.term_us // 2 or asked or len(notes) >= ASKS:
                    continue
                # What is no longer wanted runs out by itself.
                if limit - loan.amount < need:
                    notes.append(self.ask(now, wall, incarnation, loan.lender, name, loan.amount, number))
                else:
                    limit -= loan.amount
            if self.dealing.allot:
                lenders = [self.allotter] if self.allotter else []
                spare = {name: [wants] * len(self.rights) for name in lenders}
            else:
                lenders = [n for n, told in spare.items() if place < len(told) and told[place] > 0]
                self.shuffle(lenders)
            for lender in lenders[:LENDERS]:
                if wants <= 0 or len(notes) >= ASKS or len(rights.borrowed) >= LOANS:
                    break
                if any(ask.lender == lender for ask in hoped):
                    continue
                amount = min(wants, spare[lender][place])
                notes.append(self.ask(now, wall, incarnation, lender, name, amount, 0))
                wants -= amount
        return notes

    def ask(
        self, now: int, wall: int, incarnation: int, lender: str, budget: str, amount: int, renews: int
    ) -> Ask:
        self.number += 1
        self.pending[self.number] = Pending(lender, budget, amount, now, renews)
        return Ask(self.me, incarnation, self.number, wall, lender, self.dealing.mark, budget, amount, renews)

    # What it hears.

    def news(self, note: Ask | Grant) -> bool:
        """Whether a note that can't be trusted yet is worth a check of its signature."""
        if isinstance(note, Grant):
            pending = self.pending.get(note.number)
            return pending is not None and pending.lender == note.sender and pending.budget == note.budget
        # An ask that comes twice, or late, is not answered: who lent by it would have lent by it already.
        return (note.incarnation, note.number) > self.heard.get(note.sender, (-1, -1))

    def answer(self, now: int, ask: Ask, order: tuple[int, int] = (0, 0)) -> Grant | None:
        """What is lent to whoever asks: taken off here before it is told; order: the lease by which this node
        may deal out the pools now, and how long that holds.
        """
        self.heard[ask.sender] = ask.incarnation, ask.number
        lease, left_us = order
        if self.dealing.allot and lease != self.lease:
            return None
        rights = (self.pools if self.dealing.allot else self.rights).get(ask.budget)
        # Danger: who goes by another file counts by another term, and would have the loan after it is back.
        if rights is None or ask.amount <= 0 or ask.mark != self.dealing.mark:
            return None
        if ask.renews and self.dealing.allot and self.due_back(now, rights, ask):
            amount = 0
        elif ask.renews:
            amount = rights.renew(now, (ask.sender, ask.incarnation, ask.renews), ask.amount)
        else:
            amount = self.allotted(now, rights, ask) if self.dealing.allot else ask.amount
            amount = rights.lend(now, (ask.sender, ask.incarnation, ask.number), amount)
        if not amount:
            return None
        return Grant(self.me, ask.sender, ask.incarnation, ask.number, ask.budget, amount, lease, left_us)

    def granted(self, now: int, grant: Grant) -> bool:
        """What was asked for has been lent; whether it can be used still."""
        pending, rights = self.pending.pop(grant.number), self.rights.get(grant.budget)
        late = self.dealing.allot and now >= order_ends_at(pending.asked_at, grant.left_us)
        if rights is None or late:
            return False
        amount = min(grant.amount, pending.amount)
        if pending.renews:
            known = rights.borrowed.get(pending.renews)
            if known is None or known.amount != amount:
                return False
        return rights.borrow(now, pending.renews or grant.number, grant.sender, amount, pending.asked_at)

    # A new file, and another process of this node.

    def follow(self, dealing: Dealing, now: int) -> None:
        """The operator's file has changed."""
        for limit in dealing.limits:
            share = dealing.share(limit, self.me)
            rights = self.rights.get(limit.name)
            if rights is None or rights.spans != dealing.spans:
                # Counted by other windows, what was spent can't be told: as after a start.
                before, rights = rights, Rights(share, dealing.spans, now)
                rights.open(now)
                if before is not None:
                    rights.whole_at = max(rights.whole_at, now + before.spans.back_us)
                self.rights[limit.name] = rights
            else:
                rights.follow(share)
        self.rights = {limit.name: self.rights[limit.name] for limit in dealing.limits}
        self.by_traffic_class = dealing.by_traffic_class()
        self.dealing = dealing
        self.lease, self.pools, self.all_read = 0, {}, False
        self.heard = {name: newest for name, newest in self.heard.items() if name in dealing.names}

    def agreed(self, now: int, marks: Sequence[int | None]) -> None:
        """By which dealing each other member goes, as far as it has told."""
        mine = self.dealing.mark
        alike = all(mark == mine for mark in marks)
        self.other = any(mark not in (None, mine) for mark in marks)
        self.all_read |= alike
        for rights in self.rights.values():
            rights.agreed(now, alike, self.other)

    def open(self, now: int) -> None:
        """No other process of this node spends."""
        for rights in self.rights.values():
            rights.open(now)

    def close(self, now: int) -> dict[str, int]:
        """Another process of this node spends from now on; what this one has in the last window."""
        return {name: rights.close(now) for name, rights in self.rights.items()}

    def take_over(self, now: int, used: Mapping[str, int]) -> None:
        """This process spends from now on, and the one before it no more."""
        for name, rights in self.rights.items():
            if name in used:
                rights.take_over(now, used[name])

    def accounts(self, now: int) -> list[Account]:
        rows = []
        for limit in self.dealing.limits:
            rights = self.rights[limit.name]
            may = rights.limit(now)
            rows.append(
                Account(
                    limit.name,
                    limit.sessions,
                    rights.share.own,
                    rights.share.floor,
                    may,
                    rights.uses.roll(rights.slot(now)),
                    rights.had_in,
                    rights.lent_out,
                    rights.spent,
                    rights.refused,
                )
            )
        return rows
