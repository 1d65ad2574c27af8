"""The quota allocator's side of loans: pools of what no node has as its own share. No I/O."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.quota.account import LoanId, QuotaAccount

if TYPE_CHECKING:
    from larchlatch.cluster.protocol.messages import LoanRequest
    from larchlatch.cluster.quota.settings import QuotaSettings

ACTIVE_TERMS = 2  # a node that has asked within so many loan terms gets an equal share of a pool
PARTS = 3  # loans in which an equal share is lent, so that a part of it can be reclaimed


class Division(NamedTuple):
    """The present division of a pool, in sessions per window.

    Attributes:
        equal: the equal share of each node that has asked recently.
        lent: the amount that is lent to each node.

    """

    equal: int
    lent: Counter[str]


class QuotaPools:
    """The pools, one for each quota, while this node holds the role of the quota allocator.

    Attributes:
        lease: number of the lease under which this node lends from the pools; 0: it holds none.

    """

    def __init__(self, settings: QuotaSettings) -> None:
        self.settings = settings
        self.lease = 0
        self._pools: dict[str, QuotaAccount] = {}
        self._asked_at: dict[str, int] = {}  # time of each node's last request
        self._short_at: dict[str, int] = {}  # time at which each node last got too little

    def follow(self, settings: QuotaSettings) -> None:
        """Use a changed cluster file; nothing is lent until the role is held under that file."""
        self.settings = settings
        self.lease = 0
        self._pools = {}

    def hold(self, now: int, lease: int) -> None:
        """Begin, continue or cease to lend under a lease; 0: this node does not hold the role."""
        if lease == self.lease:
            return
        # The loans of the previous allocator are unknown here. As after a start, nothing is lent until all of
        # them must have ended.
        self.lease = lease
        self._pools = {}
        for quota in self.settings.quotas if lease else ():
            pool = QuotaAccount(self.settings.pool(quota), self.settings.loan_terms, now)
            pool.open(now)
            self._pools[quota.name] = pool

    def lend(self, now: int, request: LoanRequest) -> int:
        """Lend from a pool, or renew a loan; return the amount that is lent."""
        pool = self._pools.get(request.quota)
        if pool is None:
            return 0
        if not request.renews:
            amount = self._allocate(now, pool, request)
            return pool.lend(now, LoanId.of(request), amount)
        if self._is_reclaimed(now, pool, request):
            return 0
        return pool.renew(now, LoanId.of(request), request.amount)

    def _divide(self, now: int, pool: QuotaAccount, sender: str) -> Division:
        """Return the division of a pool, with the sender among the nodes that get an equal share."""
        oldest = now - ACTIVE_TERMS * self.settings.loan_terms.term_us
        self._asked_at = {name: at for name, at in self._asked_at.items() if at > oldest}
        self._asked_at[sender] = now
        lent: Counter[str] = Counter()
        for loan_id, loan in pool.lent.items():
            lent[loan_id.borrower] += loan.amount
        return Division(pool.share.own // len(self._asked_at), lent)

    def _allocate(self, now: int, pool: QuotaAccount, request: LoanRequest) -> int:
        """Return the amount for a request: max-min fair by the requested amounts, one part at a time."""
        equal, lent = self._divide(now, pool, request.sender)
        spare = pool.spare(now)
        # The unused rest of the other nodes' equal shares is reserved for them.
        others = [name for name in self._asked_at if name != request.sender]
        reserved = sum(max(0, equal - lent[name]) for name in others)
        part = max(1, -(-equal // PARTS))
        amount = max(0, min(request.amount, part, spare, max(equal - lent[request.sender], spare - reserved)))
        if amount < min(request.amount, part):
            self._short_at[request.sender] = now
        else:
            self._short_at.pop(request.sender, None)
        return amount

    def _is_reclaimed(self, now: int, pool: QuotaAccount, request: LoanRequest) -> bool:
        """Return whether to reclaim a loan, as another node with less than its equal share got too little."""
        equal, lent = self._divide(now, pool, request.sender)
        oldest = now - self.settings.loan_terms.term_us
        others_short = any(
            at > oldest and lent[name] < equal
            for name, at in self._short_at.items()
            if name != request.sender
        )
        return others_short and lent[request.sender] - request.amount >= equal
