"""One node's account of one quota: what the node may spend and lend. No I/O.

The quota is divided among the nodes as rights to spend (escrow: O'Neil 1986; bounded counters: Balegas et al.
2015); admitting a session spends one unit. A node may spend more than its own share only while it has loans
from other nodes, each of which ends after a term. Times are whole microseconds of the node's own clock, which
also advances while its process is stopped and whose relative error is bounded (`LoanTerms.skew`).
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
    """Identifies a loan at its lender.

    Attributes:
        borrower: name of the node that borrows.
        incarnation: the borrower's incarnation.
        request: number of the request by which the loan was first made; renewals keep it.

    """

    borrower: str
    incarnation: int
    request: int

    @classmethod
    def of(cls, request: LoanRequest) -> LoanId:
        """Return the id of the loan that a request asks for or renews."""
        return cls(request.sender, request.incarnation, request.renews or request.request_id)


@dataclass(slots=True)
class Borrowed:
    """A loan to this node, in sessions per window; this node may spend it until `ends_at`."""

    lender: str
    amount: int
    ends_at: int


@dataclass(slots=True)
class Lent:
    """A loan by this node, in sessions per window; it recovers the amount at `recovered_at`."""

    amount: int
    recovered_at: int


@dataclass(slots=True)
class QuotaAccount:
    """What a node may spend of one quota.

    Attributes:
        share: the node's share of the quota.
        loan_terms: length of loans and of the quota window.
        now: the latest time passed to any method; an earlier time counts as this one.
        spent: sessions admitted since the start.
        refused: sessions rejected since the start.
        borrowed: loans from other nodes, by the number of the request by which each was first made.
        lent: loans to other nodes.
        closed: whether this process must not spend, as another process of this node may be spending.
        opens_at: time before which nothing may be spent.
        full_share_at: time before which only the floor may be spent, and nothing may be lent.
        next_share: the share by a new cluster file, which has not taken effect; None: there is none.
        next_share_at: time at which that share takes effect; None while not all members have reported that
            they use the new file.
        demand: recent use of the quota at this node, and the demand for it.

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
    full_share_at: int = 0
    next_share: QuotaShare | None = None
    next_share_at: int | None = None
    demand: DemandMeter = field(init=False)

    def __post_init__(self) -> None:
        self.demand = DemandMeter(self.loan_terms.counting_window_us)

    # Hot restart: one process of a node replaces another.

    def open(self, now: int, former_recovery_us: int = 0) -> None:
        """Allow this process to spend; no other process of this node may do so now.

        Args:
            now: present time.
            former_recovery_us: longest time in which a loan ends that another process of this node may have
                made under a former cluster file, in microseconds.

        """
        # The amounts that were spent and lent before the start are unknown. Until they no longer count, the
        # last window is taken as fully used, and everything above the floor as lent.
        self._advance(now)
        if self.closed:
            self.closed = False
            self.opens_at = self.now + self.loan_terms.counting_window_us
        recovery_us = max(self.loan_terms.recovery_us, former_recovery_us)
        self.full_share_at = max(self.full_share_at, self.now + recovery_us)

    def close(self, now: int) -> int:
        """Stop spending, as another process of this node takes over; return the use in the last window."""
        self._advance(now)
        self.closed = True
        return self.demand.use(self.now)

    def take_over(self, now: int, used: int, former_recovery_us: int = 0) -> None:
        """Spend in place of the predecessor process.

        Args:
            now: present time.
            used: number of sessions that the predecessor admitted in its last window.
            former_recovery_us: as of `open`.

        """
        self.open(now, former_recovery_us)
        self.opens_at = self.now
        self.demand.record_use(self.now, used)

    # Spending.

    def _advance(self, now: int) -> None:
        self.now = max(self.now, now)

    @property
    def is_open(self) -> bool:
        """Return whether this process may spend at the time `now` of the account."""
        return not self.closed and self.now >= self.opens_at

    @property
    def own(self) -> int:
        """Return the part of the node's share that may be spent or lent now, in sessions per window."""
        return self.share.own if self.now >= self.full_share_at else self.share.floor

    @property
    def lent_total(self) -> int:
        """Return the sum of the loans to other nodes, in sessions per window."""
        return sum(loan.amount for loan in self.lent.values())

    @property
    def borrowed_total(self) -> int:
        """Return the sum of the loans from other nodes, in sessions per window."""
        return sum(loan.amount for loan in self.borrowed.values())

    def expire(self, now: int) -> None:
        """Remove loans that have ended, and apply a new share that has taken effect."""
        self._advance(now)
        self.borrowed = {n: loan for n, loan in self.borrowed.items() if self.now < loan.ends_at}
        self.lent = {loan_id: loan for loan_id, loan in self.lent.items() if self.now < loan.recovered_at}
        if self.next_share is not None and self.next_share_at is not None and self.now >= self.next_share_at:
            self.share = self.next_share
            self.next_share = self.next_share_at = None

    def limit(self, now: int) -> int:
        """Return the number of sessions that this process may admit per window now."""
        self.expire(now)
        if not self.is_open:
            return 0
        return max(0, self.own - self.lent_total) + self.borrowed_total

    def admit(self, now: int) -> int:
        """Admit one session if the limit allows it; return 0, or the microseconds until there may be room."""
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

    def expected_demand(self, now: int) -> int:
        """Return the expected demand at this node, in sessions per window."""
        self._advance(now)
        return self.demand.expected_demand(self.now)

    def shortfall(self, now: int) -> int:
        """Return the expected demand above the limit, which is to be borrowed, in sessions per window."""
        limit = self.limit(now)
        return max(0, self.expected_demand(now) - limit) if self.is_open else 0

    def spare(self, now: int) -> int:
        """Return the amount that can be lent: the part of the share above floor, use and mean demand."""
        self.expire(now)
        if self.closed or self.now < self.full_share_at or self.next_share is not None:
            return 0
        reserved = max(self.share.floor, self.demand.mean_demand(self.now), self.demand.use(self.now))
        return max(0, self.share.own - self.lent_total - reserved)

    def lend(self, now: int, loan_id: LoanId, amount: int) -> int:
        """Lend up to `amount`, which is deducted from this account; return the amount that is lent."""
        lent = min(amount, self.spare(now))
        if lent > 0:
            self.lent[loan_id] = Lent(lent, self.now + self.loan_terms.recovery_us)
        return max(0, lent)

    def renew(self, now: int, loan_id: LoanId, amount: int) -> int:
        """Renew a loan for another term, unless this node needs it; return the amount, 0 if not renewed.

        A closed account renews none: the process that took over counts on the end of all loans.
        """
        self.expire(now)
        loan = self.lent.get(loan_id)
        if self.closed or loan is None or loan.amount != amount or self.shortfall(now):
            return 0
        loan.recovered_at = self.now + self.loan_terms.recovery_us
        return loan.amount

    def borrow(self, now: int, *, request: int, lender: str, amount: int, asked_at: int) -> bool:
        """Enter a loan from another node; return whether it can still be used.

        Args:
            now: present time.
            request: number of the request by which the loan was first made.
            lender: name of the node that lends.
            amount: sessions per window.
            asked_at: time of the request, which is before the start of the term at the lender.

        """
        # The term is counted from the request: counted from the arrival of the grant, it could end here after
        # the lender may spend the amount again.
        self.expire(now)
        ends_at = asked_at + self.loan_terms.term_us
        if amount <= 0 or self.now >= ends_at:
            return False
        existing = self.borrowed.get(request)
        if existing is not None:
            ends_at = max(ends_at, existing.ends_at)
        self.borrowed[request] = Borrowed(lender, amount, ends_at)
        return True

    # A new cluster file.

    def loans_end_at(self, now: int) -> int:
        """Return the time at which every loan of this node's share has ended that was made until now."""
        self._advance(now)
        return max(self.full_share_at, self.now + self.loan_terms.recovery_us)

    def change_share(self, share: QuotaShare) -> None:
        """Change the share: a reduction applies at once, an increase once no node uses the former file."""
        # Nodes read a new file one after the other. If an increase applied at once, it would be spent while
        # another node that has not read the file yet still spends the same amount.
        self.share = QuotaShare(min(share.own, self.share.own), min(share.floor, self.share.floor))
        self.next_share = share
        self.next_share_at = None

    def update_agreement(self, now: int, *, all_agree: bool, any_differs: bool) -> None:
        """Record whether the other members use the same cluster file.

        Args:
            now: present time.
            all_agree: whether all other members have reported that they use this node's file.
            any_differs: whether any other member has reported another file.

        """
        self.expire(now)
        if any_differs and self.now < self.full_share_at:
            # This node started with a new file among nodes that use the former one. By the former file, a
            # part of this node's share may belong to them.
            self.full_share_at = self.now + self.loan_terms.recovery_us
        if not all_agree:
            self.next_share_at = None
        elif self.next_share is not None and self.next_share_at is None:
            # Loans by longer terms of a former file may end later.
            self.next_share_at = max(self.now + self.loan_terms.recovery_us, self.full_share_at)
