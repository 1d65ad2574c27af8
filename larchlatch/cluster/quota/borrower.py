"""The borrower's side of loans: requests to lenders, and the grants received for them. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.election.fencing import order_ends_at
from larchlatch.cluster.protocol.messages import LoanRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from larchlatch.cluster.protocol.headers import RequestOrigin
    from larchlatch.cluster.protocol.messages import LoanGrant
    from larchlatch.cluster.quota.account import QuotaAccount
    from larchlatch.cluster.quota.settings import QuotaSettings

MAX_REQUESTS = 8  # requests sent in one heartbeat, for all quotas together
MAX_LENDERS = 3  # lenders asked for one quota in one heartbeat: each loan has to be renewed separately
MAX_LOANS = 24  # loans of one quota at a time: each has to be renewed once in half a term
ANSWER_HEARTBEATS = 3  # heartbeats after which a request without an answer counts as lost


class Offer(NamedTuple):
    """The amount that may be requested from a lender, in sessions per window."""

    lender: str
    amount: int


class PendingRequest(NamedTuple):
    """A loan request that has not been answered yet.

    Attributes:
        lender: the node that was asked.
        quota: name of the quota.
        amount: sessions per window.
        asked_at: time of the request, by this node's own clock.
        renews: number of the request that first obtained the loan to be renewed; 0: a new loan is requested.

    """

    lender: str
    quota: str
    amount: int
    asked_at: int
    renews: int


class Borrower:
    """Requests loans from other nodes and enters granted loans in this node's accounts.

    Attributes:
        settings: quotas by the present cluster file.
        allocator: the node that lends from the pools; empty: none is known.

    """

    def __init__(
        self,
        settings: QuotaSettings,
        accounts: Mapping[str, QuotaAccount],
        shuffle: Callable[[list[str]], None],
    ) -> None:
        self.settings = settings
        self.allocator = ""
        self._accounts = accounts
        self._shuffle = shuffle
        self._last_number = 0
        self._pending: dict[int, PendingRequest] = {}

    def apply_settings(self, settings: QuotaSettings) -> None:
        """Use the settings of a changed cluster file.

        Loans that this node has stay in its accounts. Those of a removed member end with their term, before
        the member's share can be spent elsewhere, and are not renewed.
        """
        self.settings = settings
        # A lender counts the term of a grant by the file under which the loan was requested, and this node
        # would count it by the new file.
        self._pending = {}

    def wants_loans(self, now: int) -> bool:
        """Return whether there may be a loan to request or to renew."""
        return any(account.borrowed or account.shortfall(now) for account in self._accounts.values())

    def due_requests(
        self, now: int, origin: RequestOrigin, heartbeat_us: int, spare: Mapping[str, Sequence[int]]
    ) -> list[LoanRequest]:
        """Return the requests that are due with this heartbeat.

        Args:
            now: present time.
            origin: the header fields that identify this node in each request.
            heartbeat_us: interval between heartbeats.
            spare: the amounts that each other node offers to lend, in the order of the quotas.

        """
        self._drop_expired(now)
        awaited_since = now - ANSWER_HEARTBEATS * heartbeat_us
        requests: list[LoanRequest] = []
        for index, (name, account) in enumerate(self._accounts.items()):
            awaited = [
                request
                for request in self._pending.values()
                if request.quota == name and request.asked_at > awaited_since
            ]
            shortfall = account.shortfall(now) - sum(
                request.amount for request in awaited if not request.renews
            )
            drafts = self._renewals(now, name, account, awaited)
            offers = self._offers(index, shortfall, spare)
            if len(account.borrowed) < MAX_LOANS:
                drafts += self._new_loans(now, name, shortfall, offers, awaited)
            requests += [
                self.create_request(origin, draft) for draft in drafts[: MAX_REQUESTS - len(requests)]
            ]
        return requests

    def _drop_expired(self, now: int) -> None:
        """Remove pending requests whose loan would have ended by now."""
        oldest = now - self.settings.loan_terms.term_us
        self._pending = {n: request for n, request in self._pending.items() if request.asked_at > oldest}

    def _renewals(
        self, now: int, quota: str, account: QuotaAccount, awaited: Sequence[PendingRequest]
    ) -> list[PendingRequest]:
        """Return requests to renew the loans that end within half a term and are still needed."""
        if account.closed:
            return []
        limit, expected_demand = account.limit(now), account.expected_demand(now)
        half_term_us = self.settings.loan_terms.term_us // 2
        renewing = {request.renews for request in awaited}
        drafts = []
        for number, loan in account.borrowed.items():
            if loan.ends_at - now > half_term_us or number in renewing:
                continue
            if loan.lender not in self.settings.names:
                limit -= loan.amount
                continue
            # A loan that is no longer needed is left to end without renewal.
            if limit - loan.amount < expected_demand:
                drafts.append(PendingRequest(loan.lender, quota, loan.amount, asked_at=now, renews=number))
            else:
                limit -= loan.amount
        return drafts

    def _offers(self, index: int, shortfall: int, spare: Mapping[str, Sequence[int]]) -> list[Offer]:
        """Return offers for the quota at `index`: the allocator's, or else other nodes' in random order."""
        if self.settings.pooled:
            return [Offer(self.allocator, shortfall)] if self.allocator else []
        lenders = [name for name, amounts in spare.items() if index < len(amounts) and amounts[index] > 0]
        self._shuffle(lenders)
        return [Offer(name, spare[name][index]) for name in lenders[:MAX_LENDERS]]

    def _new_loans(
        self,
        now: int,
        quota: str,
        shortfall: int,
        offers: Sequence[Offer],
        awaited: Sequence[PendingRequest],
    ) -> list[PendingRequest]:
        """Return requests that divide the shortfall among lenders without a pending request."""
        asked = {request.lender for request in awaited}
        drafts = []
        for offer in offers:
            if shortfall <= 0:
                break
            if offer.lender not in asked:
                amount = min(shortfall, offer.amount)
                drafts.append(PendingRequest(offer.lender, quota, amount, asked_at=now, renews=0))
                shortfall -= amount
        return drafts

    def create_request(self, origin: RequestOrigin, request: PendingRequest) -> LoanRequest:
        """Record a request as pending under a new number, and return the message to send."""
        self._last_number += 1
        self._pending[self._last_number] = request
        return LoanRequest(
            **origin.header(
                request_id=self._last_number, recipient=request.lender, config_digest=self.settings.digest
            ),
            quota=request.quota,
            amount=request.amount,
            renews=request.renews,
        )

    def expects(self, grant: LoanGrant) -> bool:
        """Return whether a grant answers a pending request; if not, its signature need not be verified."""
        request = self._pending.get(grant.request_id)
        return request is not None and request.lender == grant.sender and request.quota == grant.quota

    def accept(self, now: int, grant: LoanGrant) -> bool:
        """Enter the loan of an expected grant in the account; return whether it can still be used."""
        request = self._pending.pop(grant.request_id)
        account = self._accounts.get(grant.quota)
        permit_ended = self.settings.pooled and now >= order_ends_at(request.asked_at, grant.remaining_us)
        if account is None or permit_ended:
            return False
        amount = min(grant.amount, request.amount)
        if request.renews:
            loan = account.borrowed.get(request.renews)
            if loan is None or loan.amount != amount:
                return False
        return account.borrow(
            now,
            request=request.renews or grant.request_id,
            lender=grant.sender,
            amount=amount,
            asked_at=request.asked_at,
        )
