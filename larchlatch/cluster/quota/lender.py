"""The lender's side: what a node answers to requests for loans. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.protocol.messages import LoanGrant
from larchlatch.cluster.quota.account import LoanId
from larchlatch.cluster.replay_guard import ReplayGuard, RequestAge

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

    def is_new(self, ask: LoanRequest) -> bool:
        """Return whether a request is newer than all before of its sender."""
        # One that comes twice, or late, is not answered: what could be lent by it would have been lent
        # already.
        return self._replay_guard.is_new(ask.sender, RequestAge(ask.incarnation, ask.request_id))

    def answer(self, now: int, ask: LoanRequest, permit: OrderPermit) -> LoanGrant | None:
        """Lend what is asked for, taken off here before it is told; None where nothing is lent.

        Args:
            now: present time.
            ask: the request.
            permit: lease by which this node may lend from the pools now.

        """
        self._replay_guard.record(ask.sender, RequestAge(ask.incarnation, ask.request_id))
        if self.settings.pooled and permit.lease != self._pools.lease:
            return None
        # A node that goes by another file counts by another term, and would have the loan after it is back
        # here.
        if ask.amount <= 0 or ask.config_digest != self.settings.digest:
            return None
        amount = self._pools.lend(now, ask) if self.settings.pooled else self._lend_own(now, ask)
        if not amount:
            return None
        return LoanGrant(
            sender=self.own_name,
            recipient=ask.sender,
            incarnation=ask.incarnation,
            request_id=ask.request_id,
            quota=ask.quota,
            amount=amount,
            lease=permit.lease,
            remaining_us=permit.left_us,
        )

    def _lend_own(self, now: int, ask: LoanRequest) -> int:
        """Lend from this node's own share, or renew a loan; return how much is lent."""
        account = self._accounts.get(ask.quota)
        if account is None:
            return 0
        if ask.renews:
            return account.renew(now, LoanId(ask.sender, ask.incarnation, ask.renews), ask.amount)
        return account.lend(now, LoanId(ask.sender, ask.incarnation, ask.request_id), ask.amount)
