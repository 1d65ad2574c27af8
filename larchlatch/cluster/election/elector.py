"""One elector's part in the election of one role (PaxosLease, Trencseni et al. 2009).

An elector promises the role to one candidate for a limited time and stores nothing on disk. Times are whole
microseconds of the process's own clock, which also advances while the process is stopped.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from larchlatch.cluster.election.ballots import Answer, Ballot, BallotKind, CandidateId

if TYPE_CHECKING:
    from larchlatch.cluster.election.lease_terms import LeaseTerms

RESERVATION_ROUNDS = 2  # ballot rounds for which a released role is reserved for the successor


@dataclass(slots=True)
class Promise:
    """A promise of the role to one candidate, until `ends_at` by the elector's clock."""

    lease: int
    holder: CandidateId
    ends_at: int


@dataclass(slots=True)
class Elector:
    """An elector of one role.

    Attributes:
        lease_terms: length of leases and promises.
        opens_at: time before which no ballot is answered.
        promise: the last promise, which may have ended.
        highest_lease: highest number of a promised lease.
        successor: node for which the role is reserved after its release; empty: none.
        reserved_until: end of that reservation.

    """

    lease_terms: LeaseTerms
    opens_at: int
    promise: Promise | None = None
    highest_lease: int = 0
    successor: str = ""
    reserved_until: int = 0

    @classmethod
    def started(cls, lease_terms: LeaseTerms, now: int) -> Elector:
        """Return an elector that starts now and answers nothing while promises from before may hold."""
        return cls(lease_terms, now + lease_terms.startup_silence_us)

    def answer(self, now: int, candidate: CandidateId, ballot: Ballot) -> Answer | None:
        """Return the answer to a ballot; None while starting, and for releases."""
        if now < self.opens_at:
            return None
        renews = self._promised_to(candidate, ballot.lease)
        if ballot.kind is BallotKind.RELEASE:
            if renews:
                self._release(now, ballot.successor)
            return None
        blocked_until = self._blocked_until(now, candidate, renews=renews)
        if now < blocked_until:
            return Answer(granted=False, highest_lease=self.highest_lease, blocked_us=blocked_until - now)
        # The number becomes the fencing token of orders, so it has to exceed all numbers before.
        granted = renews or ballot.lease > self.highest_lease
        if granted and ballot.kind is BallotKind.GRANT:
            self.promise = Promise(ballot.lease, candidate, now + self.lease_terms.promise_us)
            self.highest_lease = max(self.highest_lease, ballot.lease)
        return Answer(granted=granted, highest_lease=self.highest_lease, blocked_us=0)

    def _promised_to(self, candidate: CandidateId, lease: int) -> bool:
        promise = self.promise
        return promise is not None and promise.holder == candidate and promise.lease == lease

    def _release(self, now: int, successor: str) -> None:
        if self.promise is not None:
            self.promise.ends_at = now
        self.successor = successor
        self.reserved_until = now + RESERVATION_ROUNDS * self.lease_terms.round_us

    def _blocked_until(self, now: int, candidate: CandidateId, *, renews: bool) -> int:
        """Return the end of a promise to, or a reservation for, another node; 0: there is none."""
        if self.promise is not None and not renews and now < self.promise.ends_at:
            return self.promise.ends_at
        if self.successor not in ("", candidate.name):
            return self.reserved_until
        return 0
