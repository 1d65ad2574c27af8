"""One node's account of one quota: what it may spend, lend and take back. No I/O.

The quota is divided among the nodes as rights to spend (escrow: O'Neil 1986; bounded counters: Balegas et al.
2015); what a node spends beyond its own share others have lent it for a term. Times are whole microseconds of
a clock of the node's own, which runs on while its process is stopped and is off by at most a stated share.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.quota.demand import DemandMeter
from larchlatch.cluster.quota.settings import QuotaShare

if TYPE_CHECKING:
    from larchlatch.cluster.protocol.messages import LoanRequest
    from larchlatch.cluster.quota.loan_terms import LoanTerms


class LoanId(NamedTuple):
    """A loan as its lender knows it: the borrower, in which of its lives, by which of its requests."""

    borrower: str
    incarnation: int
    request: int

    @classmethod
    def of(cls, request: LoanRequest) -> LoanId:
        """Return the loan that a request asks for anew, or renews."""
        return cls(request.sender, request.incarnation, request.renews or request.request_id)


@dataclass(slots=True)
class Borrowed:
    """What another node has lent to this one, in sessions a window, until `ends_at`."""

    lender: str
    amount: int
    ends_at: int


@dataclass(slots=True)
class Lent:
    """What this node has lent, in sessions a window; it may be spent here again from `back_at` on."""

    amount: int
    back_at: int


@dataclass(slots=True)
class QuotaAccount:
    """What a node may spend of one quota.

    Attributes:
        share: the node's share.
        loan_terms: how long loans last, and how use is counted.
        now: the latest time that the account was asked at; time never runs back.
        spent: sessions admitted since the start.
        refused: sessions refused since the start.
        borrowed: loans from others, by the number of the request.
        lent: loans to others.
        closed: whether another process of this node may be spending.
        opens_at: time before which nothing may be spent.
        whole_at: time before which only the floor may be spent, and nothing lent.
        next_share: a larger share by a new file, once no node goes by the former one.
        next_share_at: when that share takes effect; None while some node has not told that it goes by the
            file.
        demand: what was used and asked for of late.

    """

    share: QuotaShare
    loan_terms: LoanTerms
    now: int
    spent: int = 0
    refused: int = 0
    borrowed: dict[int, Borrowed] = field(default_factory=dict)
    lent: dict[LoanId, Lent] = field(default_factory=dict)
    closed: bool = True
    opens_at: int = 0
    whole_at: int = 0
    next_share: QuotaShare | None = None
    next_share_at: int | None = None
    demand: DemandMeter = field(init=False)

    def __post_init__(self) -> None:
        self.demand = DemandMeter(self.loan_terms.counting_window_us)

    # One process of a node follows another.

    def open(self, now: int) -> None:
        """Begin to spend, as no other process of this node does from now on."""
        # A node that starts knows neither what its earlier life spent nor what it lent. It counts the window
        # before as used up, and what it could have lent as lent, until neither can matter.
        self._advance(now)
        if self.closed:
            self.closed = False
            self.opens_at = self.now + self.loan_terms.counting_window_us
        self.whole_at = max(self.whole_at, self.now + self.loan_terms.recovery_us)

    def close(self, now: int) -> int:
        """Stop to spend, as another process of this node will; return what was spent in the last window."""
        self._advance(now)
        self.closed = True
        return self.demand.use(self.now)

    def take_over(self, now: int, used: int) -> None:
        """Spend from now on in place of the process before, which has `used` so much in its last window."""
        self.open(now)
        self.opens_at = self.now
        self.demand.record_use(self.now, used)

    # Spending.

    def _advance(self, now: int) -> None:
        self.now = max(self.now, now)

    @property
    def is_open(self) -> bool:
        """Return whether this process may spend by the latest time."""
        return not self.closed and self.now >= self.opens_at

    @property
    def own(self) -> int:
        """Return what the node may spend or lend as its own."""
        return self.share.own if self.now >= self.whole_at else self.share.floor

    @property
    def lent_total(self) -> int:
        """Return what is lent to others."""
        return sum(loan.amount for loan in self.lent.values())

    @property
    def borrowed_total(self) -> int:
        """Return what others have lent to this node."""
        return sum(loan.amount for loan in self.borrowed.values())

    def expire(self, now: int) -> None:
        """Drop loans that have ended, and take a new share that has come into effect."""
        self._advance(now)
        self.borrowed = {n: loan for n, loan in self.borrowed.items() if self.now < loan.ends_at}
        self.lent = {loan_id: loan for loan_id, loan in self.lent.items() if self.now < loan.back_at}
        if self.next_share is not None and self.next_share_at is not None and self.now >= self.next_share_at:
            self.share = self.next_share
            self.next_share = self.next_share_at = None

    def limit(self, now: int) -> int:
        """Return how many sessions this process may admit in any window."""
        self.expire(now)
        if not self.is_open:
            return 0
        return max(0, self.own - self.lent_total) + self.borrowed_total

    def admit(self, now: int) -> int:
        """Spend one session; return 0, or in how many microseconds there may be room for it."""
        limit = self.limit(now)
        self.demand.record_request(self.now)
        used = self.demand.use(self.now)
        if used < limit:
            self.demand.record_use(self.now)
            self.spent += 1
            return 0
        self.refused += 1
        if not self.is_open:
            return max(self.opens_at - self.now, self.demand.slot_us)
        return self.demand.wait_us(self.now, used - limit + 1)

    # Lending and borrowing.

    def need(self, now: int) -> int:
        """Return how many sessions a window will want."""
        self._advance(now)
        return self.demand.need(self.now)

    def wanted(self, now: int) -> int:
        """Return how much it should borrow."""
        limit = self.limit(now)
        return max(0, self.need(now) - limit) if self.is_open else 0

    def spare(self, now: int) -> int:
        """Return how much it can lend: its own above the floor, and above its use and its mean demand."""
        self.expire(now)
        if self.closed or self.now < self.whole_at or self.next_share is not None:
            return 0
        busy = max(self.share.floor, self.demand.mean(self.now), self.demand.use(self.now))
        return max(0, self.share.own - self.lent_total - busy)

    def lend(self, now: int, loan_id: LoanId, amount: int) -> int:
        """Take up to `amount` off this account, before the borrower is told; return how much is lent."""
        lent = min(amount, self.spare(now))
        if lent > 0:
            self.lent[loan_id] = Lent(lent, self.now + self.loan_terms.recovery_us)
        return max(0, lent)

    def renew(self, now: int, loan_id: LoanId, amount: int) -> int:
        """Lend the same for another term, unless it is wanted here; return how much is lent."""
        self.expire(now)
        loan = self.lent.get(loan_id)
        if loan is None or loan.amount != amount or self.wanted(now):
            return 0
        loan.back_at = self.now + self.loan_terms.recovery_us
        return loan.amount

    def borrow(self, now: int, *, request: int, lender: str, amount: int, asked_at: int) -> bool:
        """Enter what another node has lent; return whether it can still be used.

        Args:
            now: present time.
            request: number of the request by which it was first lent.
            lender: the node that has lent it.
            amount: sessions a window.
            asked_at: when it was asked for, which came before the lender's own count of the term.

        """
        # A term that ran from the answer would end after the lender has its part back, by however long the
        # answer was under way.
        self.expire(now)
        ends_at = asked_at + self.loan_terms.term_us
        if amount <= 0 or self.now >= ends_at:
            return False
        known = self.borrowed.get(request)
        if known is not None:
            ends_at = max(ends_at, known.ends_at)
        self.borrowed[request] = Borrowed(lender, amount, ends_at)
        return True

    # A new cluster file.

    def follow(self, share: QuotaShare) -> None:
        """Go by another share: less at once, more only when no node goes by the former file."""
        # Nodes read a new file one after the other. One that took more at once would spend what another,
        # which has not read it yet, still has.
        self.share = QuotaShare(min(share.own, self.share.own), min(share.floor, self.share.floor))
        self.next_share = share
        self.next_share_at = None

    def note_agreement(self, now: int, *, all_agree: bool, any_differs: bool) -> None:
        """Note what the other members tell of their files.

        Args:
            now: present time.
            all_agree: whether all have told that they go by this node's file.
            any_differs: whether any has told of another file.

        """
        self.expire(now)
        if any_differs and self.now < self.whole_at:
            # Started with a new file among nodes that go by the former one: what is its own here is theirs
            # there.
            self.whole_at = self.now + self.loan_terms.recovery_us
        if not all_agree:
            self.next_share_at = None
        elif self.next_share is not None and self.next_share_at is None:
            self.next_share_at = self.now + self.loan_terms.recovery_us
