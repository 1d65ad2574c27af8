"""One node's part in the election of one role, as its candidate or its holder.

A candidate first asks the electors whether they would promise the role (a pre-vote), then for the promise
itself. With promises of a majority it holds the role for a term, counted from the time of its request. Times
are whole microseconds of the process's own clock, which also advances while the process is stopped.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from larchlatch.cluster.election.ballots import Answer, Ballot, BallotKind

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from larchlatch.cluster.election.lease_terms import LeaseTerms

RENEWALS_PER_TERM = 2  # a lease is renewed when half of its term is left, to allow for lost ballots


class CandidateState(Enum):
    """The state of a candidate for one role."""

    IDLE = 0
    PRE_VOTING = 1  # asks whether the role would be promised to it
    VOTING = 2  # asks for the promise
    HOLDING = 3


@dataclass(slots=True)
class Candidate:
    """A candidate for one role.

    Attributes:
        electors: names of all electors.
        lease_terms: length of a lease.
        uniform: source of random pauses, `(low, high) -> value`.
        state: its present state.
        lease: number of the lease that it holds or asks for.
        lease_ends_at: end of the lease that it holds.
        closing: whether it releases the lease at that end instead of renewing it.
        successor: node for which the role is then reserved; empty: none.
        round_number: number of the latest ballot round.
        asked_at: start of that round.
        granted_by: electors that have granted its ballot.
        highest_lease: highest number of a lease that electors have reported.
        ready_at: time before which it starts no round.
        blocked_until: end of the promises to others that electors have reported.

    """

    electors: Sequence[str]
    lease_terms: LeaseTerms
    uniform: Callable[[float, float], float]
    state: CandidateState = CandidateState.IDLE
    lease: int = 0
    lease_ends_at: int = 0
    closing: bool = False
    successor: str = ""
    round_number: int = 0
    asked_at: int = 0
    granted_by: set[str] = field(default_factory=set)
    highest_lease: int = 0
    ready_at: int = 0
    blocked_until: int = 0

    @property
    def majority(self) -> int:
        """Return how many electors have to agree."""
        return len(self.electors) // 2 + 1

    def holds(self, now: int) -> bool:
        """Return whether it holds the role now; to be called before each act, as the answer expires."""
        return self.state is CandidateState.HOLDING and now < self.lease_ends_at

    def order_left_us(self, now: int) -> int:
        """Return for how many microseconds an order given now is valid; 0: none may be given."""
        # A hand-over has to wait until the orders given before have expired: they last a round at most.
        return min(self.lease_ends_at - now, self.lease_terms.round_us) if self.holds(now) else 0

    def step(self, now: int, wall: int, *, eligible: bool) -> list[Ballot]:
        """Return the ballots that are due now, and update the state.

        Args:
            now: time by the process's own clock.
            wall: Unix time, in microseconds.
            eligible: whether this node is to become the holder if there is none.

        Returns:
            The ballots, each for every elector.

        """
        ballots: list[Ballot] = []
        if self.state is CandidateState.HOLDING and now >= self.lease_ends_at:
            if self.closing:
                ballots.append(self.release_ballot())
            self.become_idle(now, 0)
        round_over = now >= self.asked_at + self.lease_terms.round_us
        if self.state is CandidateState.HOLDING:
            return [self._open_round(now, BallotKind.GRANT)] if round_over and self._renewal_due(now) else []
        if round_over:
            ballots += self._abandon_round(now)
        may_ask = now >= max(self.ready_at, self.blocked_until)
        if self.state is CandidateState.IDLE and eligible and may_ask:
            ballots.append(self._start_pre_vote(now, wall))
        return ballots

    def _renewal_due(self, now: int) -> bool:
        left_us = self.lease_ends_at - now
        return not self.closing and left_us <= self.lease_terms.term_us // RENEWALS_PER_TERM

    def _abandon_round(self, now: int) -> list[Ballot]:
        """End a round that got no majority in time, and pause for a random time."""
        if self.state is CandidateState.VOTING:
            # Released promises let other candidates ask before the promises expire.
            ballots = [self.release_ballot()]
            self.become_idle(now, round(self.uniform(0, self.lease_terms.term_us / 2)))
            return ballots
        if self.state is CandidateState.PRE_VOTING:
            self.become_idle(now, round(self.uniform(1, 2) * self.lease_terms.round_us))
        return []

    def _start_pre_vote(self, now: int, wall: int) -> Ballot:
        # Numbers start at the wall clock, so that they still grow after all electors were restarted. A number
        # is never used twice: a delayed release of the earlier lease would end the later one.
        self.lease = max(self.highest_lease + 1, self.lease + 1, wall)
        self.state = CandidateState.PRE_VOTING
        return self._open_round(now, BallotKind.PRE_VOTE)

    def _open_round(self, now: int, kind: BallotKind) -> Ballot:
        self.round_number += 1
        self.asked_at = now
        self.granted_by = set()
        return Ballot(self.lease, kind, self.round_number)

    def repeated_ballot(self, now: int) -> Ballot | None:
        """Return the present round's ballot, for electors that have not answered it; None: there is none."""
        # A ballot without an answer by the next step was probably lost. While one of three electors is gone,
        # a round fails if any message of the other two is lost.
        if now >= self.asked_at + self.lease_terms.round_us:
            return None
        if self.state is CandidateState.PRE_VOTING:
            return Ballot(self.lease, BallotKind.PRE_VOTE, self.round_number)
        if self.state is CandidateState.VOTING:
            return Ballot(self.lease, BallotKind.GRANT, self.round_number)
        return None

    def release_ballot(self) -> Ballot:
        """Return the ballot that ends the promises for this candidate's lease."""
        return Ballot(self.lease, BallotKind.RELEASE, self.round_number, self.successor)

    def become_idle(self, now: int, pause_us: int) -> None:
        """End the round or lease, and start no round for `pause_us` microseconds."""
        self.state = CandidateState.IDLE
        self.granted_by = set()
        self.ready_at = now + pause_us
        self.closing = False
        self.successor = ""

    def count_answer(self, now: int, elector: str, round_number: int, answer: Answer) -> list[Ballot]:
        """Count an elector's answer, and return the ballots that follow from it, each for every elector."""
        self.highest_lease = max(self.highest_lease, answer.highest_lease)
        outdated = round_number != self.round_number or self.state is CandidateState.IDLE
        if outdated or elector not in self.electors:
            return []
        if not answer.granted:
            return self._count_refusal(now, answer)
        self.granted_by.add(elector)
        if len(self.granted_by) < self.majority or self.closing:
            return []
        if self.state is CandidateState.PRE_VOTING:
            self.state = CandidateState.VOTING
            return [self._open_round(now, BallotKind.GRANT)]
        self._begin_term(now)
        return []

    def _count_refusal(self, now: int, answer: Answer) -> list[Ballot]:
        self.blocked_until = max(self.blocked_until, now + answer.blocked_us)
        if self.state is CandidateState.PRE_VOTING and self.lease <= answer.highest_lease:
            # The number was too low, as this node's wall clock is behind: ask again with a higher one.
            self.lease = answer.highest_lease + 1
            return [self._open_round(now, BallotKind.PRE_VOTE)]
        return []

    def _begin_term(self, now: int) -> None:
        # Counted from the answer, the term could end later than the electors' promises. A term that is over
        # already was never held.
        ends_at = self.asked_at + self.lease_terms.term_us
        if now < ends_at:
            self.state = CandidateState.HOLDING
            self.lease_ends_at = ends_at

    def accept_handover(self, now: int) -> None:
        """Prepare to ask at once, as the role was released and is reserved for this node."""
        if self.state in (CandidateState.IDLE, CandidateState.PRE_VOTING):
            self.become_idle(now, 0)
            self.blocked_until = 0

    def resign(self, now: int, successor: str = "") -> None:
        """Hold the role for one more round, then release it.

        Args:
            now: time by the process's own clock.
            successor: node for which the role is then reserved; empty: none.

        """
        # Orders that were given before must expire before another node may hold the role. Orders given from
        # now on expire with the shortened lease.
        if self.holds(now) and not self.closing:
            self.closing = True
            self.successor = successor
            self.lease_ends_at = min(self.lease_ends_at, now + self.lease_terms.round_us)
            self.round_number += 1  # pending answers to a renewal no longer count
