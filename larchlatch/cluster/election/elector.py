"""One elector's part in the election of one role (PaxosLease, Trencseni et al. 2009).

An elector promises the role to one candidate for a limited time and stores nothing on disk. Times are whole
microseconds of the process's own clock, which also advances while the process is suspended.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from larchlatch.cluster.election.ballots import Answer, Ballot, BallotKind, CandidateId

if TYPE_CHECKING:
    from larchlatch.cluster.election.lease_terms import LeaseTerms

RESERVATION_ROUNDS = 2  # number of ballot rounds for which a released role is reserved for its successor


@dataclass(slots=True)
class Promise:
    """A promise of a lease to one candidate, valid until `ends_at` by the elector's own clock."""

    lease: int
    holder: CandidateId
    ends_at: int


@dataclass(slots=True)
class Elector:
    """An elector of one role.

    Attributes:
        lease_terms: lengths of a promise and of a ballot round.
        opens_at: time before which the elector answers no ballot.
        promise: the last promise, which may have ended; None: there was none since the start.
        highest_lease: highest lease number that the elector has promised.
        successor: name of the node for which a released role is reserved; empty: none.
        reserved_until: end of the reservation for the successor.

    """

    lease_terms: LeaseTerms
    opens_at: int
    promise: Promise | None = None
    highest_lease: int = 0
    successor: str = ""
    reserved_until: int = 0

    @classmethod
    def started(cls, lease_terms: LeaseTerms, now: int) -> Elector:
        """Return a new elector that stays silent while promises from before its start may be valid."""
        return cls(lease_terms, now + lease_terms.startup_silence_us)

    @property
    def promises_end_at(self) -> int:
        """Return the time at which all promises have ended that this elector made, also before its start."""
        return max(self.opens_at, self.promise.ends_at if self.promise is not None else 0)

    def answer(self, now: int, candidate: CandidateId, ballot: Ballot) -> Answer | None:
        """Return the answer to a ballot; None before `opens_at`, and for a release."""
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
        # The lease number is the fencing token of orders, so it has to exceed all earlier numbers.
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
        """Return the end of a promise to, or a reservation for, another node; 0: there is neither."""
        if self.promise is not None and not renews and now < self.promise.ends_at:
            return self.promise.ends_at
        if self.successor not in ("", candidate.name):
            return self.reserved_until
        return 0
