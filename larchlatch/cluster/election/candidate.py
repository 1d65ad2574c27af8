"""One node's part in the election of one role, as a candidate and as the role's holder.

A candidate first asks the electors whether they would promise it the role (a pre-vote), and then for the
promise itself. With promises from a majority it holds the role for one term, counted from the time at which
it asked for them. Times are whole microseconds of the process's own clock, which also advances while the
process is suspended.
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
    """The state of one node's candidacy for one role."""

    IDLE = 0
    PRE_VOTING = 1  # the candidate has asked whether the electors would promise it the role
    VOTING = 2  # the candidate has asked the electors for their promises
    HOLDING = 3


@dataclass(slots=True)
class Candidate:
    """A node's candidacy for one role, and its lease while it holds the role.

    Attributes:
        electors: names of all electors.
        lease_terms: lengths of a lease and of a ballot round.
        uniform: function that returns a random number between two bounds, for random pauses.
        state: present state of the candidacy.
        lease: number of the lease that the candidate holds or asks for.
        lease_ends_at: end of the held lease.
        closing: whether the candidate releases its lease at the end instead of renewing it.
        successor: name of the node for which the electors reserve the released role; empty: none.
        round_number: number of the latest ballot round.
        asked_at: start of the latest ballot round.
        granted_by: names of the electors that have granted the ballot of the latest round.
        highest_lease: highest lease number that any elector has reported.
        ready_at: time before which the candidate starts no pre-vote, as it pauses after a failed round.
        blocked_until: latest reported end of a promise to, or a reservation for, another node.

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
        """Return the number of electors that form a majority."""
        return len(self.electors) // 2 + 1

    def holds(self, now: int) -> bool:
        """Return whether the candidate holds the role at `now`.

        The lease can end at any time, so the holder checks this before each action.
        """
        return self.state is CandidateState.HOLDING and now < self.lease_ends_at

    def order_left_us(self, now: int) -> int:
        """Return for how many microseconds an order given at `now` is valid; 0: no order may be given."""
        # A hand-over has to wait until all earlier orders have expired, so an order lasts one round at most.
        return min(self.lease_ends_at - now, self.lease_terms.round_us) if self.holds(now) else 0

    def step(self, now: int, wall: int, *, eligible: bool) -> list[Ballot]:
        """Update the state, and return the ballots that are due.

        Args:
            now: time by the process's own clock.
            wall: Unix time, in microseconds.
            eligible: whether this node should try to become the holder if it does not hold the role.

        Returns:
            The ballots, each of which goes to every elector.

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
        """End a round that has not reached a majority in time, and pause for a random time."""
        if self.state is CandidateState.VOTING:
            # With a release, other candidates need not wait until the promises of this round expire.
            ballots = [self.release_ballot()]
            self.become_idle(now, round(self.uniform(0, self.lease_terms.term_us / 2)))
            return ballots
        if self.state is CandidateState.PRE_VOTING:
            self.become_idle(now, round(self.uniform(1, 2) * self.lease_terms.round_us))
        return []

    def _start_pre_vote(self, now: int, wall: int) -> Ballot:
        # Lease numbers are at least the wall-clock time, so that they still increase after all electors have
        # restarted. No number is used twice: a delayed release of the earlier lease would end the later one.
        self.lease = max(self.highest_lease + 1, self.lease + 1, wall)
        self.state = CandidateState.PRE_VOTING
        return self._open_round(now, BallotKind.PRE_VOTE)

    def _open_round(self, now: int, kind: BallotKind) -> Ballot:
        self.round_number += 1
        self.asked_at = now
        self.granted_by = set()
        return Ballot(self.lease, kind, self.round_number)

    def repeated_ballot(self, now: int) -> Ballot | None:
        """Return the ballot of a running round to send again; None: no ballot is to be repeated."""
        # A ballot that has no answer by the next heartbeat was probably lost. While one of three electors is
        # unreachable, both others have to grant the ballot: without repetition, one lost message would fail
        # the round.
        if now >= self.asked_at + self.lease_terms.round_us:
            return None
        if self.state is CandidateState.PRE_VOTING:
            return Ballot(self.lease, BallotKind.PRE_VOTE, self.round_number)
        if self.state is CandidateState.VOTING:
            return Ballot(self.lease, BallotKind.GRANT, self.round_number)
        return None

    def release_ballot(self) -> Ballot:
        """Return the ballot that ends the electors' promises of this candidate's lease."""
        return Ballot(self.lease, BallotKind.RELEASE, self.round_number, self.successor)

    def become_idle(self, now: int, pause_us: int) -> None:
        """End the running round or the lease, and start no pre-vote for `pause_us` microseconds."""
        self.state = CandidateState.IDLE
        self.granted_by = set()
        self.ready_at = now + pause_us
        self.closing = False
        self.successor = ""

    def count_answer(self, now: int, elector: str, round_number: int, answer: Answer) -> list[Ballot]:
        """Count an elector's answer, and return the ballots that it leads to, each for every elector."""
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
            # The lease number was too low, as this node's wall clock is slow: ask again with a higher number.
            self.lease = answer.highest_lease + 1
            return [self._open_round(now, BallotKind.PRE_VOTE)]
        return []

    def _begin_term(self, now: int) -> None:
        # A term counted from the answer could end later than the electors' promises. If the term has already
        # ended when the majority is reached, the node does not become the holder.
        ends_at = self.asked_at + self.lease_terms.term_us
        if now < ends_at:
            self.state = CandidateState.HOLDING
            self.lease_ends_at = ends_at

    def accept_handover(self, now: int) -> None:
        """Allow a pre-vote at once, as the holder has released the role and named this node as successor."""
        if self.state in (CandidateState.IDLE, CandidateState.PRE_VOTING):
            self.become_idle(now, 0)
            self.blocked_until = 0

    def resign(self, now: int, successor: str = "") -> None:
        """Hold the role for one more ballot round at most, then release it.

        Args:
            now: time by the process's own clock.
            successor: name of the node for which the electors reserve the role then; empty: none.

        """
        # Earlier orders must expire before another node can hold the role. Orders that are given from now on
        # expire at the end of the shortened lease.
        if self.holds(now) and not self.closing:
            self.closing = True
            self.successor = successor
            self.lease_ends_at = min(self.lease_ends_at, now + self.lease_terms.round_us)
            self.round_number += 1  # answers to a pending renewal no longer count
