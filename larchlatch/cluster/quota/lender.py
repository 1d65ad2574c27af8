"""The lender's side of loans: grants in answer to loan requests. No I/O."""

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

    def apply_settings(self, settings: QuotaSettings) -> None:
        """Use the settings of a changed cluster file; forget the requests of members that it removes."""
        self.settings = settings
        self._replay_guard.keep_only(settings.names)

    def is_new(self, request: LoanRequest) -> bool:
        """Return whether a request is newer than all earlier ones of its sender that were processed.

        Any other request is a duplicate or delayed, and is not answered.
        """
        return self._replay_guard.is_new(request)

    def answer(self, now: int, request: LoanRequest, permit: OrderPermit) -> LoanGrant | None:
        """Deduct a loan from this node's account or pool, and return its grant; None if nothing is lent.

        Args:
            now: present time.
            request: the loan request.
            permit: this node's permit as quota allocator; `NO_PERMIT` if it does not hold that role.

        """
        self._replay_guard.record(request)
        if self.settings.pooled and permit.lease != self._pools.lease:
            return None
        # A borrower with another cluster file may use a longer term: it would still spend the loan when
        # this node spends the amount again.
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
        """Make or renew a loan from this node's own share; return the amount, 0 if nothing is lent."""
        account = self._accounts.get(request.quota)
        if account is None:
            return 0
        if request.renews:
            return account.renew(now, LoanId.of(request), request.amount)
        return account.lend(now, LoanId.of(request), request.amount)
