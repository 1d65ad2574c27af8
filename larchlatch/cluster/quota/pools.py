"""The quota allocator's side of loans: pools of the amounts that are in no node's own share. No I/O."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.quota.account import LoanId, QuotaAccount

if TYPE_CHECKING:
    from larchlatch.cluster.protocol.messages import LoanRequest
    from larchlatch.cluster.quota.settings import QuotaSettings

ACTIVE_TERMS = 2  # loan terms for which a node keeps an equal share of a pool after its last request
PARTS_PER_SHARE = 3  # loans into which an equal share is divided, so that a part of it can be reclaimed


class Division(NamedTuple):
    """The present division of a pool, in sessions per window.

    Attributes:
        equal_share: the share of the pool for each node with a recent request.
        lent: the amount that is lent to each node, by its name.

    """

    equal_share: int
    lent: Counter[str]


class QuotaPools:
    """Lends from one pool for each quota while this node holds the role of the quota allocator.

    Attributes:
        lease: number of the lease under which this node lends from the pools; 0: it does not lend.

    """

    def __init__(self, settings: QuotaSettings) -> None:
        self.settings = settings
        self.lease = 0
        self._pools: dict[str, QuotaAccount] = {}
        self._last_request_at: dict[str, int] = {}  # time of each node's last request
        # Time at which each node last got less than its request and than 1/PARTS_PER_SHARE of an equal share.
        self._underserved_at: dict[str, int] = {}

    def apply_settings(self, settings: QuotaSettings) -> None:
        """Use the settings of a changed cluster file, and lend nothing until `set_lease` sets one."""
        self.settings = settings
        self.lease = 0
        self._pools = {}

    def set_lease(self, now: int, lease: int) -> None:
        """Lend under the lease of this number from now on; 0: stop lending."""
        if lease == self.lease:
            return
        # The loans of the previous allocator are unknown here. As after a start of the node, nothing is lent
        # until all of them must have ended.
        self.lease = lease
        self._pools = {}
        for quota in self.settings.quotas if lease else ():
            pool = QuotaAccount(self.settings.pool(quota), self.settings.loan_terms, now)
            pool.open(now)
            self._pools[quota.name] = pool

    def lend(self, now: int, request: LoanRequest) -> int:
        """Make or renew a loan from a pool; return the amount, 0 if nothing is lent."""
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
        """Record a request by `sender`; return the division of a pool among nodes with recent requests."""
        oldest = now - ACTIVE_TERMS * self.settings.loan_terms.term_us
        self._last_request_at = {name: at for name, at in self._last_request_at.items() if at > oldest}
        self._last_request_at[sender] = now
        lent: Counter[str] = Counter()
        for loan_id, loan in pool.lent.items():
            lent[loan_id.borrower] += loan.amount
        return Division(pool.share.own // len(self._last_request_at), lent)

    def _allocate(self, now: int, pool: QuotaAccount, request: LoanRequest) -> int:
        """Return the max-min fair amount for a request: at most one part of an equal share."""
        equal_share, lent = self._divide(now, pool, request.sender)
        spare = pool.spare(now)
        # The amounts by which other nodes' loans are below their equal shares are reserved for these nodes.
        others = [name for name in self._last_request_at if name != request.sender]
        reserved = sum(max(0, equal_share - lent[name]) for name in others)
        part = max(1, -(-equal_share // PARTS_PER_SHARE))
        amount = max(
            0, min(request.amount, part, spare, max(equal_share - lent[request.sender], spare - reserved))
        )
        if amount < min(request.amount, part):
            self._underserved_at[request.sender] = now
        else:
            self._underserved_at.pop(request.sender, None)
        return amount

    def _is_reclaimed(self, now: int, pool: QuotaAccount, request: LoanRequest) -> bool:
        """Return whether to refuse a renewal, so that a node below its equal share can get the amount.

        Only a loan beyond the sender's own equal share is reclaimed.
        """
        equal_share, lent = self._divide(now, pool, request.sender)
        oldest = now - self.settings.loan_terms.term_us
        others_underserved = any(
            at > oldest and lent[name] < equal_share
            for name, at in self._underserved_at.items()
            if name != request.sender
        )
        return others_underserved and lent[request.sender] - request.amount >= equal_share
