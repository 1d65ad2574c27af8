"""The lender's side: what a node answers to requests for loans. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.protocol.messages import LoanGrant
from larchlatch.cluster.quota.account import LoanId
from larchlatch.cluster.replay_guard import ReplayGuard

if TYPE_CHECKING:
    from collections.abc import Mapping

    from larchlatch.cluster.election.fencing import OrderPermit
    from larchlatch.cluster.protocol.messages import LoanRequest
    from larchlatch.cluster.quota.account import QuotaAccount
    from larchlatch.cluster.quota.pools import QuotaPools
    from larchlatch.cluster.quota.settings import QuotaSettings


class Lender:
    """Answers requests, from this node's own accounts, or from the pools of the quota allocator."""

    def __init__(
        self,
        own_name: str,
        settings: QuotaSettings,
        accounts: Mapping[str, QuotaAccount],
        pools: QuotaPools,
    ) -> None:
        self.own_name = own_name
        self.settings = settings
        self._accounts = accounts
        self._pools = pools
        self._replay_guard = ReplayGuard()

    def follow(self, settings: QuotaSettings) -> None:
        """Go by a changed cluster file; members that are gone are forgotten."""
        self.settings = settings
        self._replay_guard.keep_only(settings.names)

    def is_new(self, request: LoanRequest) -> bool:
        """Return whether a request is newer than all before of its sender."""
        # One that comes twice, or late, is not answered: what could be lent by it would have been lent
        # already.
        return self._replay_guard.is_new(request)

    def answer(self, now: int, request: LoanRequest, permit: OrderPermit) -> LoanGrant | None:
        """Lend what is asked for, taken off here before it is told; None where nothing is lent.

        Args:
            now: present time.
            request: the request.
            permit: lease by which this node may lend from the pools now.

        """
        self._replay_guard.record(request)
        if self.settings.pooled and permit.lease != self._pools.lease:
            return None
        # A node that goes by another file counts by another term, and would have the loan after it is back
        # here.
        if request.amount <= 0 or request.config_digest != self.settings.digest:
            return None
        amount = self._pools.lend(now, request) if self.settings.pooled else self._lend_own(now, request)
        if not amount:
            return None
        return LoanGrant(
            sender=self.own_name,
            recipient=request.sender,
            incarnation=request.incarnation,
            request_id=request.request_id,
            quota=request.quota,
            amount=amount,
            lease=permit.lease,
            remaining_us=permit.left_us,
        )

    def _lend_own(self, now: int, request: LoanRequest) -> int:
        """Lend from this node's own share, or renew a loan; return how much is lent."""
        account = self._accounts.get(request.quota)
        if account is None:
            return 0
        if request.renews:
            return account.renew(now, LoanId.of(request), request.amount)
        return account.lend(now, LoanId.of(request), request.amount)
