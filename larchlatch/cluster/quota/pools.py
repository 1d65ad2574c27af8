"""The quota allocator's side: lending from what no node has as its own. No I/O."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.quota.account import LoanId, QuotaAccount

if TYPE_CHECKING:
    from larchlatch.cluster.protocol.messages import LoanRequest
    from larchlatch.cluster.quota.settings import QuotaSettings

ACTIVE_TERMS = 2  # nodes that have asked within so many loan terms count as wanting some of a pool
PARTS = 3  # an equal share of a pool is lent in so many loans: what is to go to others can go back by parts


class Division(NamedTuple):
    """How a pool is divided at present, in sessions a window.

    Attributes:
        equal: the equal share of each node that has asked of late.
        lent: what each node has.

    """

    equal: int
    lent: Counter[str]


class QuotaPools:
    """The pools, one for each quota, while this node holds the role of the quota allocator.

    Attributes:
        lease: number of the lease by which this node lends from the pools; 0: it does not.

    """

    def __init__(self, settings: QuotaSettings) -> None:
        self.settings = settings
        self.lease = 0
        self._pools: dict[str, QuotaAccount] = {}
        self._asked_at: dict[str, int] = {}  # when each node last asked
        self._short_at: dict[str, int] = {}  # when each node last got less than it might have had

    def follow(self, settings: QuotaSettings) -> None:
        """Go by a changed cluster file; nothing is lent until the role is held by it."""
        self.settings = settings
        self.lease = 0
        self._pools = {}

    def hold(self, now: int, lease: int) -> None:
        """Begin, go on or cease to lend by a lease; 0: this node does not hold the role."""
        if lease == self.lease:
            return
        # What the allocator before has lent is not known here. As after a start, nothing is lent until all of
        # it must be back.
        self.lease = lease
        self._pools = {}
        for quota in self.settings.quotas if lease else ():
            pool = QuotaAccount(self.settings.pool(quota), self.settings.loan_terms, now)
            pool.open(now)
            self._pools[quota.name] = pool

    def lend(self, now: int, request: LoanRequest) -> int:
        """Lend from a pool, or renew a loan; return how much is lent."""
        pool = self._pools.get(request.quota)
        if pool is None:
            return 0
        if not request.renews:
            amount = self._allocate(now, pool, request)
            return pool.lend(now, LoanId.of(request), amount)
        if self._due_back(now, pool, request):
            return 0
        return pool.renew(now, LoanId.of(request), request.amount)

    def _divide(self, now: int, pool: QuotaAccount, sender: str) -> Division:
        """Return how a pool is divided, with the sender among those that want some of it."""
        oldest = now - ACTIVE_TERMS * self.settings.loan_terms.term_us
        self._asked_at = {name: at for name, at in self._asked_at.items() if at > oldest}
        self._asked_at[sender] = now
        lent: Counter[str] = Counter()
        for loan_id, loan in pool.lent.items():
            lent[loan_id.borrower] += loan.amount
        return Division(pool.share.own // len(self._asked_at), lent)

    def _allocate(self, now: int, pool: QuotaAccount, request: LoanRequest) -> int:
        """Return what a request gets of a pool: max-min by what is asked, a part at a time."""
        equal, lent = self._divide(now, pool, request.sender)
        spare = pool.spare(now)
        # What others may have yet is kept for them: the first to come must not have all.
        others = [name for name in self._asked_at if name != request.sender]
        kept = sum(max(0, equal - lent[name]) for name in others)
        part = max(1, -(-equal // PARTS))
        amount = max(0, min(request.amount, part, spare, max(equal - lent[request.sender], spare - kept)))
        if amount < min(request.amount, part):
            self._short_at[request.sender] = now
        else:
            self._short_at.pop(request.sender, None)
        return amount

    def _due_back(self, now: int, pool: QuotaAccount, request: LoanRequest) -> bool:
        """Return whether a loan is not renewed, as others with less than their equal share ask in vain."""
        equal, lent = self._divide(now, pool, request.sender)
        oldest = now - self.settings.loan_terms.term_us
        others_short = any(
            at > oldest and lent[name] < equal
            for name, at in self._short_at.items()
            if name != request.sender
        )
        return others_short and lent[request.sender] - request.amount >= equal
