"""All quotas that the nodes of a cluster share, as one node keeps them. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.protocol.messages import LoanGrant, LoanRequest, QuotaReport
from larchlatch.cluster.quota.account import QuotaAccount
from larchlatch.cluster.quota.borrower import Borrower, Caller, PendingRequest
from larchlatch.cluster.quota.lender import Lender
from larchlatch.cluster.quota.pools import QuotaPools

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from random import Random

    from larchlatch.cluster.election.fencing import OrderPermit
    from larchlatch.cluster.quota.settings import Quota, QuotaSettings


class QuotaStatus(NamedTuple):
    """One quota, for the operators of the node; amounts are sessions in a window.

    Attributes:
        quota: its name.
        total: the quota of the whole cluster.
        own: the node's share.
        floor: the part of that which it never lends.
        limit: what the node may admit now.
        used: what it has admitted.
        borrowed: what others have lent to it.
        lent: what it has lent to others.
        spent: sessions admitted since its start.
        refused: sessions refused since its start.

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
        """Return the row that a node logs on SIGUSR1."""
        return {
            "budget": self.quota,
            "limit": self.total,
            "own": self.own,
            "floor": self.floor,
            "may": self.limit,
            "used": self.used,
            "borrowed": self.borrowed,
            "lent": self.lent,
            "spent": self.spent,
            "refused": self.refused,
        }


class SharedQuotas:
    """One node's part in all shared quotas: it admits, borrows, lends, and may be the quota allocator.

    Attributes:
        heartbeat_us: interval between heartbeats, in microseconds.
        settings: quotas by the present cluster file.
        accounts: this node's account of each quota, in the file's order.
        any_file_differs: whether a member tells that it goes by another cluster file.

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
        self._quota_names = settings.quota_names()
        self._uniform = random.uniform
        self._borrower = Borrower(own_name, settings, self.accounts, random.shuffle)
        self._pools = QuotaPools(settings)
        self._lender = Lender(own_name, settings, self.accounts, self._pools)
        self._all_agreed = False  # all members have told, since this file was read, that they go by it

    def admit(self, now: int, traffic_class: str) -> int:
        """Spend one new session of a traffic class; return 0, or in how many microseconds to come back."""
        quota = self._quota_names.get(traffic_class)
        wait_us = self.accounts[quota].admit(now) if quota is not None else 0
        if not wait_us:
            return 0
        # Spread over a window: all that were refused in one moment would come back in one.
        return wait_us + int(self._uniform(0, self.settings.loan_terms.window_us))

    # Loans.

    def update_allocator(self, now: int, allocator: str, lease: int) -> None:
        """Note which node holds the role of the quota allocator.

        Args:
            now: present time.
            allocator: that node, as far as is known; "" where none is.
            lease: number of this node's own lease of the role; 0: it has none.

        """
        self._borrower.allocator = allocator
        # A node that has not read this file yet may have more as its own than its floor by the one before.
        self._pools.hold(now, lease if self.settings.pooled and self._all_agreed else 0)

    def standings(self, now: int) -> list[QuotaReport]:
        """Return what the node's record tells of each quota, in the file's order."""
        return [QuotaReport(account.spent, account.spare(now)) for account in self.accounts.values()]

    def wants_loans(self, now: int) -> bool:
        """Return whether there may be anything to ask for."""
        return self._borrower.wants_loans(now)

    def loan_requests(
        self, now: int, wall: int, incarnation: int, spare: Mapping[str, Sequence[int]]
    ) -> list[LoanRequest]:
        """Return what this heartbeat asks for.

        Args:
            now: present time by the process's own clock.
            wall: Unix time, in microseconds.
            incarnation: present life of this node.
            spare: what each other node says it can lend of each quota, in the file's order.

        """
        return self._borrower.requests(now, Caller(incarnation, wall), self.heartbeat_us, spare)

    def request_loan(
        self, now: int, wall: int, incarnation: int, *, lender: str, quota: str, amount: int
    ) -> LoanRequest:
        """Return a request of one lender for a new loan, whatever is wanted here."""
        request = PendingRequest(lender, quota, amount, asked_at=now, renews=0)
        return self._borrower.request(Caller(incarnation, wall), request)

    def expects(self, note: LoanRequest | LoanGrant) -> bool:
        """Return whether a note, not yet trusted, is worth a check of its signature."""
        return self._borrower.expects(note) if isinstance(note, LoanGrant) else self._lender.is_new(note)

    def answer(self, now: int, ask: LoanRequest, permit: OrderPermit) -> LoanGrant | None:
        """Lend what is asked for; None where nothing is lent.

        Args:
            now: present time.
            ask: the request.
            permit: lease by which this node may lend as the quota allocator now.

        """
        return self._lender.answer(now, ask, permit)

    def accept_grant(self, now: int, grant: LoanGrant) -> bool:
        """Enter what was lent by an expected grant; return whether it can still be used."""
        return self._borrower.accept(now, grant)

    # A new cluster file.

    def follow(self, settings: QuotaSettings, now: int) -> None:
        """Go by the cluster file that was read now."""
        accounts = {quota.name: self._followed(quota, settings, now) for quota in settings.quotas}
        self.accounts.clear()
        self.accounts.update(accounts)
        self._quota_names = settings.quota_names()
        self.settings = self._borrower.settings = settings
        self._pools.follow(settings)
        self._lender.follow(settings)
        self._all_agreed = False

    def _followed(self, quota: Quota, settings: QuotaSettings, now: int) -> QuotaAccount:
        """Return the account of a quota by new settings."""
        share = settings.share(quota, self.own_name)
        former = self.accounts.get(quota.name)
        if former is not None and former.loan_terms == settings.loan_terms:
            former.follow(share)
            return former
        # Counted by other windows, what was spent can't be told: as after a start.
        account = QuotaAccount(share, settings.loan_terms, now)
        account.open(now)
        if former is not None:
            account.whole_at = max(account.whole_at, now + former.loan_terms.recovery_us)
        return account

    def note_digests(self, now: int, digests: Sequence[int | None]) -> None:
        """Note by which cluster file each other member goes; None where it has not told."""
        own = self.settings.digest
        all_agree = all(digest == own for digest in digests)
        self.any_file_differs = any(digest not in (None, own) for digest in digests)
        self._all_agreed |= all_agree
        for account in self.accounts.values():
            account.note_agreement(now, all_agree=all_agree, any_differs=self.any_file_differs)

    # One process of a node follows another.

    def open(self, now: int) -> None:
        """Begin to spend, as no other process of this node does from now on."""
        for account in self.accounts.values():
            account.open(now)

    def close(self, now: int) -> dict[str, int]:
        """Stop to spend; return what this process has spent of each quota in the last window."""
        return {name: account.close(now) for name, account in self.accounts.items()}

    def take_over(self, now: int, used: Mapping[str, int]) -> None:
        """Spend from now on in place of the process before, which has `used` so much in its last window."""
        for name, account in self.accounts.items():
            if name in used:
                account.take_over(now, used[name])

    def statuses(self, now: int) -> list[QuotaStatus]:
        """Return the status of each quota, in the file's order."""
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
