"""One node's part in the election of one role, as its candidate or its holder.

A candidate first asks the electors whether they would promise the role (a pre-vote), then for the promise
itself. With promises of a majority it holds the role for a term, counted from when it asked. Times are whole
microseconds of the process's own clock, which runs on while the process is stopped.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from larchlatch.cluster.election.ballots import Answer, Ballot, BallotKind

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from larchlatch.cluster.election.lease_terms import LeaseTerms

RENEWALS_PER_TERM = 2  # a lease is renewed when half of its term is left: a lost round or two must not end it


class CandidateState(Enum):
    """Where a candidate stands."""

    IDLE = 0
    PRE_VOTING = 1  # asks whether it would be promised the role
    VOTING = 2  # asks for the promise
    HOLDING = 3


@dataclass(slots=True)
class Candidate:
    """A candidate for one role.

    Attributes:
        electors: names of all electors.
        lease_terms: how long the role is held.
        uniform: source of random pauses, `(low, high) -> value`.
        state: where it stands.
        lease: number of its lease, held or asked for.
        lease_ends_at: end of the lease that is held.
        closing: whether the lease is released at that end instead of renewed.
        heir: node that the role is then reserved for.
        round_number: number of the latest ballot round.
        asked_at: when that round began.
        granted_by: electors that have granted it.
        highest_lease: highest number of a lease that electors have told.
        ready_at: time before which it does not ask.
        blocked_until: when the promises to others that electors told of have ended.

    """

    electors: Sequence[str]
    lease_terms: LeaseTerms
    uniform: Callable[[float, float], float]
    state: CandidateState = CandidateState.IDLE
    lease: int = 0
    lease_ends_at: int = 0
    closing: bool = False
    heir: str = ""
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
        """Return whether it holds the role now; to be asked before each act, never remembered."""
        return self.state is CandidateState.HOLDING and now < self.lease_ends_at

    def order_left_us(self, now: int) -> int:
        """Return for how many microseconds an order given now is valid; 0: none may be given."""
        # A round is longer than an answer takes. A role that is handed over has to wait as long for its
        # orders.
        return min(self.lease_ends_at - now, self.lease_terms.round_us) if self.holds(now) else 0

    def step(self, now: int, wall: int, *, eligible: bool) -> list[Ballot]:
        """Do what is due by now.

        Args:
            now: time by the process's own clock.
            wall: Unix time, in microseconds.
            eligible: whether this node wants the role if nobody holds it.

        Returns:
            The ballots that go to every elector.

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
        """End a round that has found no majority in time, and pause for a random while."""
        if self.state is CandidateState.VOTING:
            # It counts on none of these promises any more: the next candidate need not wait for their end.
            ballots = [self.release_ballot()]
            self.become_idle(now, round(self.uniform(0, self.lease_terms.term_us / 2)))
            return ballots
        if self.state is CandidateState.PRE_VOTING:
            self.become_idle(now, round(self.uniform(1, 2) * self.lease_terms.round_us))
        return []

    def _start_pre_vote(self, now: int, wall: int) -> Ballot:
        # The number is taken from the wall clock, so that numbers go up also where all electors have
        # forgotten theirs. A number of its own that is used again would be ended by a late release of its
        # former lease.
        self.lease = max(self.highest_lease + 1, self.lease + 1, wall)
        self.state = CandidateState.PRE_VOTING
        return self._open_round(now, BallotKind.PRE_VOTE)

    def _open_round(self, now: int, kind: BallotKind) -> Ballot:
        self.round_number += 1
        self.asked_at = now
        self.granted_by = set()
        return Ballot(self.lease, kind, self.round_number)

    def repeated_ballot(self, now: int) -> Ballot | None:
        """Return this round's ballot, for electors that have not answered it yet."""
        # A round is longer than an answer takes: a ballot without an answer by the next step was lost. With
        # one of three electors gone each round needs every message of both others.
        if now >= self.asked_at + self.lease_terms.round_us:
            return None
        if self.state is CandidateState.PRE_VOTING:
            return Ballot(self.lease, BallotKind.PRE_VOTE, self.round_number)
        if self.state is CandidateState.VOTING:
            return Ballot(self.lease, BallotKind.GRANT, self.round_number)
        return None

    def release_ballot(self) -> Ballot:
        """Return the ballot that ends the promises for its lease."""
        return Ballot(self.lease, BallotKind.RELEASE, self.round_number, self.heir)

    def become_idle(self, now: int, pause_us: int) -> None:
        """Forget the round or lease, and ask no sooner than in `pause_us` microseconds."""
        self.state = CandidateState.IDLE
        self.granted_by = set()
        self.ready_at = now + pause_us
        self.closing = False
        self.heir = ""

    def count_answer(self, now: int, elector: str, round_number: int, answer: Answer) -> list[Ballot]:
        """Count an elector's answer, and return the ballots that follow from it, for all electors."""
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
            # The number was too low, as this node's wall clock is behind: it asks again by a higher one.
            self.lease = answer.highest_lease + 1
            return [self._open_round(now, BallotKind.PRE_VOTE)]
        return []

    def _begin_term(self, now: int) -> None:
        # A term that ran from the answer would end after the electors' promises, by however long the answer
        # was under way. And a term that is over by now was never held.
        ends_at = self.asked_at + self.lease_terms.term_us
        if now < ends_at:
            self.state = CandidateState.HOLDING
            self.lease_ends_at = ends_at

    def accept_handover(self, now: int) -> None:
        """Ask at once: the role is reserved for this node, so no promise to another is in the way."""
        if self.state in (CandidateState.IDLE, CandidateState.PRE_VOTING):
            self.become_idle(now, 0)
            self.blocked_until = 0

    def resign(self, now: int, heir: str = "") -> None:
        """Hold the role for one more round, then release it.

        Args:
            now: time by the process's own clock.
            heir: node that the role is reserved for; "" for none.

        """
        # Orders that were given are still under way. If the role were released at once, another node would
        # have it while they are carried out: orders from now on end with the release, those before are over
        # by then.
        if self.holds(now) and not self.closing:
            self.closing = True
            self.heir = heir
            self.lease_ends_at = min(self.lease_ends_at, now + self.lease_terms.round_us)
            self.round_number += 1  # answers to a renewal that is under way are not counted any more
