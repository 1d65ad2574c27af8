"""One node's rights in one shared budget: what it may spend, lend and take back. No I/O.

Rights, not counters (escrow: O'Neil 1986; bounded counters: Balegas et al. 2015): the budget is dealt out
whole, and what a node spends beyond its own others have lent it for a term. Times are whole microseconds of a
clock of the node's own, which runs on while its process is stopped and is off by at most a stated share.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil
from typing import NamedTuple

from larchlatch.broker.sliding_window import SLOTS, SlidingWindowCounter

MEAN = 4  # windows that demand is taken over: a loan lasts about as long, and in one of them chance decides
Loan = tuple[str, int, int]  # to whom, in which of its lives, by which of its asks


class Spans(NamedTuple):
    """How long rights are lent, and how use is counted."""

    window_us: int
    term_us: int
    skew: float  # the worst clock gains or loses this share

    @property
    def counted_us(self) -> int:
        """The window by a clock that may be fast: no stretch of the true length is shorter by it."""
        return ceil(self.window_us * (1 + self.skew))

    @property
    def back_us(self) -> int:
        """After this a lender has back what it lent, also if its clock is fast and the borrower's slow."""
        # Danger: what was spent at the end of a term counts for a window more. A lender that took its right
        # back with the term would spend it a second time within that window.
        return ceil((1 + self.skew) * (self.term_us / (1 - self.skew) + self.window_us))


class Share(NamedTuple):
    """Of a budget, links a window: what is a node's own, and which part of that it never lends."""

    own: int
    floor: int


def dealt(limit: int, floor: float, count: int, place: int) -> Share:
    """The share of the node at that place among so many: all of them together make up the limit."""
    own = limit * (place + 1) // count - limit * place // count
    return Share(own, int(own * floor))


@dataclass(slots=True)
class Borrowed:
    lender: str
    amount: int
    ends_at: int


@dataclass(slots=True)
class Lent:
    amount: int
    back_at: int


@dataclass(slots=True)
class Rights:
    """What a node may spend of one budget."""

    share: Share
    spans: Spans
    now: int
    spent: int = 0  # since this start
    refused: int = 0
    borrowed: dict[int, Borrowed] = field(default_factory=dict)  # by the number of the ask
    lent: dict[Loan, Lent] = field(default_factory=dict)
    uses: SlidingWindowCounter = field(default_factory=SlidingWindowCounter)
    asks: SlidingWindowCounter = field(
        default_factory=SlidingWindowCounter
    )  # all that was asked for, refused or not, in the last window
    lately: SlidingWindowCounter = field(default_factory=SlidingWindowCounter)  # and in some windows
    closed: bool = True  # another process of this node may be spending
    opens_at: int = 0
    whole_at: int = 0
    grows_to: Share | None = None  # by a new file, once nobody goes by the old one
    grows_at: int | None = None

    def open(self, now: int) -> None:
        """No other process of this node spends from now on."""
        # Danger: a node that starts knows neither what its earlier life spent nor what it lent. It counts the
        # window before as used up, and what it could have lent as lent, until neither can matter.
        self.now = max(self.now, now)
        if self.closed:
            self.closed, self.opens_at = False, self.now + self.spans.counted_us
        self.whole_at = max(self.whole_at, self.now + self.spans.back_us)

    def close(self, now: int) -> int:
        """Another process of this node spends from now on; what this one has in the last window."""
        self.closed = True
        return self.uses.advance(self.slot(now))

    def take_over(self, now: int, used: int) -> None:
        """From now on this process spends and the one before it no more; used: by that in its last window."""
        self.open(now)
        self.opens_at = self.now
        self.uses.add(self.slot(now), used)

    def slot(self, now: int) -> int:
        self.now = max(self.now, now)
        return self.now // self.slot_us

    @property
    def slot_us(self) -> int:
        return -(-self.spans.counted_us // SLOTS)

    # What it may do.

    def look(self, now: int) -> None:
        """What has run out by now is no longer there."""
        self.now = max(self.now, now)
        for number in [n for n, loan in self.borrowed.items() if self.now >= loan.ends_at]:
            del self.borrowed[number]
        for key in [k for k, loan in self.lent.items() if self.now >= loan.back_at]:
            del self.lent[key]
        if self.grows_to is not None and self.grows_at is not None and self.now >= self.grows_at:
            self.share, self.grows_to, self.grows_at = self.grows_to, None, None

    @property
    def own(self) -> int:
        return self.share.own if self.now >= self.whole_at else self.share.floor

    @property
    def lent_out(self) -> int:
        return sum(loan.amount for loan in self.lent.values())

    @property
    def had_in(self) -> int:
        """What others have lent it."""
        return sum(loan.amount for loan in self.borrowed.values())

    def limit(self, now: int) -> int:
        """Links that it may have in any window."""
        self.look(now)
        if self.closed or self.now < self.opens_at:
            return 0
        return max(0, self.own - self.lent_out) + self.had_in

    def admit(self, now: int) -> int:
        """Spend one: 0; or, where there is none, after how long there may be."""
        slot, limit = self.slot(now), self.limit(now)
        self.asks.add(slot, 1)
        self.lately.add(slot // MEAN, 1)
        used = self.uses.advance(slot)
        if used < limit:
            self.uses.add(slot, 1)
            self.spent += 1
            return 0
        self.refused += 1
        if self.closed or self.now < self.opens_at:
            return max(self.opens_at - self.now, self.slot_us)
        return self.uses.slots_until_free(slot, used - limit + 1) * self.slot_us

    # Lending and borrowing.

    def need(self, now: int) -> int:
        """What it wants in a window: a rise shows in the last, the level of demand in the mean."""
        return max(self.asks.advance(self.slot(now)), self.mean(now))

    def mean(self, now: int) -> int:
        """What was asked for in a window of late."""
        return -(-self.lately.advance(self.slot(now) // MEAN) // MEAN)

    def wants(self, now: int) -> int:
        """What it had better borrow."""
        limit = self.limit(now)
        need = self.need(now)
        return max(0, need - limit) if not self.closed and self.now >= self.opens_at else 0

    def spare(self, now: int) -> int:
        """What it can lend: of its own, above its floor, what it neither has spent of late nor will want."""
        self.look(now)
        if self.closed or self.now < self.whole_at or self.grows_to is not None:
            return 0
        busy = max(self.share.floor, self.mean(now), self.uses.advance(self.slot(now)))
        return max(0, self.share.own - self.lent_out - busy)

    def lend(self, now: int, loan: Loan, amount: int) -> int:
        """Take it off, before anybody is told: how much of it is lent."""
        lent = min(amount, self.spare(now))
        if lent > 0:
            self.lent[loan] = Lent(lent, self.now + self.spans.back_us)
        return max(0, lent)

    def renew(self, now: int, loan: Loan, amount: int) -> int:
        """Lend the same for longer, unless it is wanted here."""
        self.look(now)
        known = self.lent.get(loan)
        if known is None or known.amount != amount or self.wants(now):
            return 0
        known.back_at = self.now + self.spans.back_us
        return known.amount

    def borrow(self, now: int, number: int, lender: str, amount: int, asked_at: int) -> bool:
        """What another has lent; the term runs from the ask, which came before the lender's own time."""
        # Danger: a term that ran from the answer would end after the lender has its right back, by however
        # long the answer was under way.
        self.look(now)
        if amount <= 0 or self.now >= asked_at + self.spans.term_us:
            return False
        ends_at = asked_at + self.spans.term_us
        known = self.borrowed.get(number)
        self.borrowed[number] = Borrowed(lender, amount, max(ends_at, known.ends_at) if known else ends_at)
        return True

    # A new file, and another process of this node.

    def follow(self, share: Share) -> None:
        """Another share: less at once, more only when nobody goes by the old one."""
        # Danger: nodes read a new file one after the other. One that took more at once would spend what
        # another, which has not read it yet, still has.
        self.share = Share(min(share.own, self.share.own), min(share.floor, self.share.floor))
        self.grows_to, self.grows_at = share, None

    def agreed(self, now: int, alike: bool, other: bool) -> None:
        """Whether all members have told that they go by this file; whether any tells of another."""
        self.look(now)
        if other and self.now < self.whole_at:
            # Started with a new file among those that go by the old: what is its own here is theirs there.
            self.whole_at = self.now + self.spans.back_us
        if not alike:
            self.grows_at = None
        elif self.grows_to is not None and self.grows_at is None:
            self.grows_at = self.now + self.spans.back_us
