"""Admission and loans at one node under all quotas that the cluster shares. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.protocol.messages import LoanGrant, LoanRequest, QuotaReport
from larchlatch.cluster.quota.account import QuotaAccount
from larchlatch.cluster.quota.borrower import Borrower, PendingRequest
from larchlatch.cluster.quota.lender import Lender
from larchlatch.cluster.quota.pools import QuotaPools

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from random import Random

    from larchlatch.cluster.election.fencing import OrderPermit
    from larchlatch.cluster.protocol.headers import RequestOrigin
    from larchlatch.cluster.quota.settings import Quota, QuotaSettings


class QuotaStatus(NamedTuple):
    """The status of one quota at this node, as logged for operators; amounts are sessions per window.

    Attributes:
        quota: the quota's name.
        total: the limit of the whole cluster.
        own: the node's share.
        floor: the part of the share that the node never lends.
        limit: the amount that the node may admit now, with its loans taken into account.
        used: sessions admitted in the last window.
        borrowed: sum of the loans from other nodes.
        lent: sum of the loans to other nodes.
        spent: sessions admitted since the node's start.
        refused: sessions rejected since the node's start.

    """

    quota: str
    total: int
    own: int
    floor: int
    limit: int
    used: int
    borrowed: int
    lent: int
    spent: int
    refused: int

    def to_json(self) -> dict[str, str | int]:
        """Return the status as the fields that the node logs on SIGUSR1."""
        return {
            "quota": self.quota,
            "limit": self.total,
            "own": self.own,
            "floor": self.floor,
            "node_limit": self.limit,
            "used": self.used,
            "borrowed": self.borrowed,
            "lent": self.lent,
            "spent": self.spent,
            "rejected": self.refused,
        }


class SharedQuotas:
    """Admits sessions of one node under all quotas, and borrows and lends parts of the quotas.

    If the node is the quota allocator, it also lends from the pools.

    Attributes:
        heartbeat_us: interval between heartbeats, in microseconds.
        settings: quotas by the present cluster file.
        accounts: this node's account of each quota, in the order of the file.
        any_file_differs: whether another member reports a cluster file other than this node's.

    """

    def __init__(
        self, own_name: str, settings: QuotaSettings, heartbeat_us: int, now: int, random: Random
    ) -> None:
        self.own_name = own_name
        self.settings = settings
        self.heartbeat_us = heartbeat_us
        self.any_file_differs = False
        self.accounts = {
            quota.name: QuotaAccount(settings.share(quota, own_name), settings.loan_terms, now)
            for quota in settings.quotas
        }
        self._quota_by_traffic_class = settings.quota_by_traffic_class()
        self._uniform = random.uniform
        self._borrower = Borrower(settings, self.accounts, random.shuffle)
        self._pools = QuotaPools(settings)
        self._lender = Lender(own_name, settings, self.accounts, self._pools)
        self._all_agreed = False  # whether all members have once agreed on this cluster file
        self._closed = True  # whether another process of this node may be spending
        self._handed_over = False  # whether this process has closed its accounts for a successor
        self._reports_from = now  # time before which this process can't report all that its node admitted
        # Time at which all loans under former cluster files have ended, here and at other nodes.
        self._former_loans_end_at = now
        # By the files that were read since the last `open`, or since the start of this process.
        self._longest_recovery_us = settings.loan_terms.recovery_us
        self._removed_accounts: dict[str, QuotaAccount] = {}  # of quotas that a file removed, by their names

    def admit(self, now: int, traffic_class: str) -> int:
        """Admit one session of a traffic class; return 0, or the microseconds after which to retry."""
        quota = self._quota_by_traffic_class.get(traffic_class)
        wait_us = self.accounts[quota].admit(now) if quota is not None else 0
        if not wait_us:
            return 0
        # Retries are spread over a window, so that sessions rejected together don't return together.
        return wait_us + int(self._uniform(0, self.settings.loan_terms.window_us))

    # Loans.

    def update_allocator(self, now: int, allocator: str, lease: int) -> None:
        """Record which node holds the role of the quota allocator.

        Args:
            now: present time.
            allocator: name of that node; empty: none is known.
            lease: number of this node's own lease of the role; 0: this node does not hold it.

        """
        self._borrower.allocator = allocator
        # Until all members agree on the file, a node that uses the former one may spend more than its floor,
        # and so a part of the pools.
        self._pools.set_lease(now, lease if self.settings.pooled and self._all_agreed else 0)

    def reports(self, now: int) -> list[QuotaReport]:
        """Return the report on each quota for this node's record, in the order of the cluster file.

        There are none while another process of this node may admit sessions, or has done so in the time that
        usage ranges cover: its admissions would be missing in a report.
        """
        if self._closed or now < self._reports_from:
            return []
        return [QuotaReport(account.spent, account.spare(now)) for account in self.accounts.values()]

    def wants_loans(self, now: int) -> bool:
        """Return whether there may be a loan to request or to renew."""
        return self._borrower.wants_loans(now)

    def loan_requests(
        self, now: int, origin: RequestOrigin, spare: Mapping[str, Sequence[int]]
    ) -> list[LoanRequest]:
        """Return the requests that are due with this heartbeat.

        Args:
            now: present time by the process's own clock.
            origin: the header fields that identify this node in each request.
            spare: the amounts that each other node offers to lend, in the order of the quotas.

        """
        return self._borrower.due_requests(now, origin, self.heartbeat_us, spare)

    def request_loan(
        self, now: int, origin: RequestOrigin, *, lender: str, quota: str, amount: int
    ) -> LoanRequest:
        """Return a request to one lender for a new loan, whatever the demand at this node is."""
        request = PendingRequest(lender, quota, amount, asked_at=now, renews=0)
        return self._borrower.create_request(origin, request)

    def expects(self, message: LoanRequest | LoanGrant) -> bool:
        """Return whether this node can use a message; if not, its signature need not be verified."""
        if isinstance(message, LoanGrant):
            return self._borrower.expects(message)
        return self._lender.is_new(message)

    def answer(self, now: int, request: LoanRequest, permit: OrderPermit) -> LoanGrant | None:
        """Return the grant that answers a loan request; None if nothing is lent.

        Args:
            now: present time.
            request: the loan request.
            permit: this node's permit as quota allocator; `NO_PERMIT` if it does not hold that role.

        """
        return self._lender.answer(now, request, permit)

    def accept_grant(self, now: int, grant: LoanGrant) -> bool:
        """Enter the loan of an expected grant in the account; return whether it can still be used."""
        return self._borrower.accept(now, grant)

    # A new cluster file.

    def apply_settings(self, settings: QuotaSettings, now: int) -> None:
        """Use the quotas of a changed cluster file."""
        ends = [account.loans_end_at(now) for account in self.accounts.values()]
        self._former_loans_end_at = max([self._former_loans_end_at, *ends])
        self._longest_recovery_us = max(self._longest_recovery_us, settings.loan_terms.recovery_us)
        accounts = {quota.name: self._updated_account(quota, settings, now) for quota in settings.quotas}
        self._removed_accounts |= {
            name: account for name, account in self.accounts.items() if name not in accounts
        }
        self.accounts.clear()
        self.accounts.update(accounts)
        self._quota_by_traffic_class = settings.quota_by_traffic_class()
        self.settings = settings
        self._borrower.apply_settings(settings)
        self._pools.apply_settings(settings)
        self._lender.apply_settings(settings)
        self._all_agreed = False

    def _updated_account(self, quota: Quota, settings: QuotaSettings, now: int) -> QuotaAccount:
        """Return the account of a quota under new settings: the existing one if its terms are the same."""
        share = settings.share(quota, self.own_name)
        former = self.accounts.get(quota.name)
        if former is not None and former.loan_terms == settings.loan_terms:
            former.change_share(share)
            return former
        if former is None:
            former = self._removed_accounts.pop(quota.name, None)
        # The recent use is counted in windows of the former length. In windows of the new length it is
        # unknown, as after a start. Loans go on by their former terms at nodes that have not read the file.
        former_share = former.share if former is not None else share
        account = QuotaAccount(former_share, settings.loan_terms, now)
        if former is not None:
            # Other nodes take the difference of two reports as the number of sessions that were admitted.
            account.spent, account.refused = former.spent, former.refused
        if not self._closed:
            account.open(now)
        account.full_share_at = max(account.full_share_at, self._former_loans_end_at)
        if former_share != share:
            account.change_share(share)
        return account

    def compare_digests(self, now: int, digests: Sequence[int | None]) -> None:
        """Compare the quota digests that the other members report with this node's; None: not reported."""
        own = self.settings.digest
        all_agree = all(digest == own for digest in digests)
        self.any_file_differs = any(digest not in (None, own) for digest in digests)
        self._all_agreed |= all_agree
        for account in self.accounts.values():
            account.update_agreement(now, all_agree=all_agree, any_differs=self.any_file_differs)

    # Hot restart: one process of a node replaces another.

    def open(self, now: int) -> None:
        """Allow this process to spend; no other process of this node may do so now."""
        self._closed = False
        if self._handed_over:
            self._handed_over = False
            self._reports_from = now + self.settings.loan_terms.usage_span_us
        for account in self.accounts.values():
            account.open(now, self._longest_recovery_us)
        self._longest_recovery_us = self.settings.loan_terms.recovery_us

    def close(self, now: int) -> dict[str, int]:
        """Stop spending; return the sessions admitted under each quota in the last window, by its name."""
        self._closed = True
        self._handed_over = True
        return {name: account.close(now) for name, account in self.accounts.items()}

    def take_over(self, now: int, used: Mapping[str, int]) -> None:
        """Spend in place of the predecessor process; `open` follows when that process has ended.

        Args:
            now: present time.
            used: sessions that the predecessor admitted in its last window, by the name of the quota.

        """
        self._closed = False
        for name, account in self.accounts.items():
            if name in used:
                account.take_over(now, used[name], self._longest_recovery_us)

    def statuses(self, now: int) -> list[QuotaStatus]:
        """Return the status of each quota, in the order of the cluster file."""
        return [self._status(now, quota) for quota in self.settings.quotas]

    def _status(self, now: int, quota: Quota) -> QuotaStatus:
        account = self.accounts[quota.name]
        limit = account.limit(now)
        return QuotaStatus(
            quota=quota.name,
            total=quota.sessions,
            own=account.share.own,
            floor=account.share.floor,
            limit=limit,
            used=account.demand.use(account.now),
            borrowed=account.borrowed_total,
            lent=account.lent_total,
            spent=account.spent,
            refused=account.refused,
        )
