"""One elector's part in the election of one role (PaxosLease, Trencseni et al. 2009).

An elector promises the role to one candidate for a while, by its own clock, and stores nothing on disk.
Times are whole microseconds of the process's own clock, which runs on while the process is stopped.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from larchlatch.cluster.election.ballots import Answer, Ballot, BallotKind, CandidateId

if TYPE_CHECKING:
    from larchlatch.cluster.election.lease_terms import LeaseTerms

HEIR_ROUNDS = 2  # ballot rounds for which a released role is reserved for its heir


@dataclass(slots=True)
class Promise:
    """A role promised to one life of a node, until `ends_at` by the elector's clock."""

    lease: int
    holder: CandidateId
    ends_at: int


@dataclass(slots=True)
class Elector:
    """An elector of one role.

    Attributes:
        lease_terms: how long promises last.
        opens_at: time before which nothing is answered.
        promise: the last promise, which may have ended.
        highest_lease: highest number of a lease that was promised.
        heir: node that the role is reserved for after its release.
        heir_until: when that reservation ends.

    """

    lease_terms: LeaseTerms
    opens_at: int
    promise: Promise | None = None
    highest_lease: int = 0
    heir: str = ""
    heir_until: int = 0

    @classmethod
    def started(cls, lease_terms: LeaseTerms, now: int) -> Elector:
        """Return an elector that starts now and is silent while promises of an earlier life may last."""
        return cls(lease_terms, now + lease_terms.startup_silence_us)

    def answer(self, now: int, candidate: CandidateId, ballot: Ballot) -> Answer | None:
        """Answer a ballot; None where the elector must be silent, or need not answer."""
        if now < self.opens_at:
            return None
        renews = self._promised_to(candidate, ballot.lease)
        if ballot.kind is BallotKind.RELEASE:
            if renews:
                self._release(now, ballot.heir)
            return None
        blocked_until = self._blocked_until(now, candidate, renews=renews)
        if now < blocked_until:
            return Answer(granted=False, highest_lease=self.highest_lease, blocked_us=blocked_until - now)
        # Orders are told apart by the numbers of leases: one that is not higher than all before is refused.
        granted = renews or ballot.lease > self.highest_lease
        if granted and ballot.kind is BallotKind.GRANT:
            self.promise = Promise(ballot.lease, candidate, now + self.lease_terms.promise_us)
            self.highest_lease = max(self.highest_lease, ballot.lease)
        return Answer(granted=granted, highest_lease=self.highest_lease, blocked_us=0)

    def _promised_to(self, candidate: CandidateId, lease: int) -> bool:
        promise = self.promise
        return promise is not None and promise.holder == candidate and promise.lease == lease

    def _release(self, now: int, heir: str) -> None:
        if self.promise is not None:
            self.promise.ends_at = now
        self.heir = heir
        self.heir_until = now + HEIR_ROUNDS * self.lease_terms.round_us

    def _blocked_until(self, now: int, candidate: CandidateId, *, renews: bool) -> int:
        """Return until when the role is promised to, or reserved for, another node; 0: it is not."""
        if self.promise is not None and not renews and now < self.promise.ends_at:
            return self.promise.ends_at
        if self.heir not in ("", candidate.name):
            return self.heir_until
        return 0
