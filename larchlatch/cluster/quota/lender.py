"""The lender's side of loans: the answers to requests. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.protocol.headers import response_header
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
    """Lends from this node's own accounts, or from the pools if it is the quota allocator."""

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
        """Use a changed cluster file; members that it no longer has are forgotten."""
        self.settings = settings
        self._replay_guard.keep_only(settings.names)

    def is_new(self, request: LoanRequest) -> bool:
        """Return whether a request is newer than all earlier ones of its sender.

        Others are duplicates or delayed, and are not answered.
        """
        return self._replay_guard.is_new(request)

    def answer(self, now: int, request: LoanRequest, permit: OrderPermit) -> LoanGrant | None:
        """Return the grant of a loan, which is deducted here first; None if nothing is lent.

        Args:
            now: present time.
            request: the request.
            permit: permit of the quota allocator, if this node holds that role.

        """
        self._replay_guard.record(request)
        if self.settings.pooled and permit.lease != self._pools.lease:
            return None
        # With another cluster file the borrower may use another term, which could end too late.
        if request.amount <= 0 or request.config_digest != self.settings.digest:
            return None
        amount = self._pools.lend(now, request) if self.settings.pooled else self._lend_own(now, request)
        if not amount:
            return None
        return LoanGrant(
            **response_header(self.own_name, request),
            quota=request.quota,
            amount=amount,
            lease=permit.lease,
            remaining_us=permit.left_us,
        )

    def _lend_own(self, now: int, request: LoanRequest) -> int:
        """Lend from this node's own share, or renew a loan; return the amount that is lent."""
        account = self._accounts.get(request.quota)
        if account is None:
            return 0
        if request.renews:
            return account.renew(now, LoanId.of(request), request.amount)
        return account.lend(now, LoanId.of(request), request.amount)
