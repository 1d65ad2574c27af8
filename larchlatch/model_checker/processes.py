"""Conversion of the model's states into the electors and candidates of `cluster/election`, and back.

The checker so runs the code of the election itself, not a copy of its rules. The clock of each process always
shows 0 as the present time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from larchlatch.cluster.election.ballots import Ballot, BallotKind, CandidateId
from larchlatch.cluster.election.candidate import Candidate, CandidateState
from larchlatch.cluster.election.elector import Elector, Promise
from larchlatch.model_checker.rules import LONG_AGO
from larchlatch.model_checker.state import (
    NOBODY,
    BallotInTransit,
    CandidateProcess,
    ElectorState,
    SystemState,
    VoteProgress,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from larchlatch.model_checker.rules import ProtocolRules

NOW = 0


def candidate_name(index: int) -> str:
    """Return a candidate's name, such as `c0`; "" for NOBODY."""
    return "" if index == NOBODY else f"c{index}"


def candidate_index(name: str) -> int:
    """Return the index of the candidate with this name; NOBODY for ""."""
    return int(name[1:]) if name else NOBODY


def elector_name(index: int) -> str:
    """Return an elector's name, such as `e0`."""
    return f"e{index}"


@dataclass
class ModelCandidate(Candidate):
    """A candidate whose majority comes from the protocol rules, so that a fault can make it too small."""

    required_votes: int = 0

    @property
    def majority(self) -> int:
        """Return the number of votes that the candidate needs."""
        return self.required_votes


# Electors.


def elector_of(state: ElectorState, rules: ProtocolRules) -> Elector:
    """Return the elector that corresponds to its state in the model."""
    promise = None
    if state.holder != NOBODY:
        holder = CandidateId(candidate_name(state.holder), state.holder_incarnation)
        promise = Promise(state.lease, holder, state.promise_left)
    return Elector(
        rules.terms_of(has_new_file=state.has_new_file),
        opens_at=state.opens_in,
        promise=promise,
        highest_lease=state.highest_lease,
        successor=candidate_name(state.successor),
        reserved_until=state.reservation_left,
    )


def elector_state(elector: Elector, before: ElectorState) -> ElectorState:
    """Return the model's state of an elector, with the messages in transit of its state before."""
    reservation_left = max(NOW, elector.reserved_until)
    state = before._replace(
        highest_lease=elector.highest_lease,
        successor=candidate_index(elector.successor) if reservation_left else NOBODY,
        reservation_left=reservation_left,
    )
    promise = elector.promise
    if promise is None:
        return state._replace(lease=0, holder=NOBODY, holder_incarnation=0, promise_left=0)
    return state._replace(
        lease=promise.lease,
        holder=candidate_index(promise.holder.name),
        holder_incarnation=promise.holder.incarnation,
        promise_left=max(NOW, promise.ends_at),
    )


# Candidates.


def idle_candidate(incarnation: int) -> CandidateProcess:
    """Return the model's state of a candidate that has just started."""
    return CandidateProcess(
        incarnation,
        CandidateState.IDLE,
        lease=0,
        lease_left=0,
        closing=False,
        successor=NOBODY,
        round_number=0,
        asked_at=LONG_AGO,
    )


def candidate_of(system: SystemState, index: int, rules: ProtocolRules) -> ModelCandidate:
    """Return the candidate that corresponds to its state in the model."""
    process = system.candidates[index]
    granted_by = {
        elector_name(place)
        for place, elector in enumerate(system.electors)
        if elector.votes[index] is VoteProgress.COUNTED
    }
    return ModelCandidate(
        [elector_name(place) for place in range(rules.elector_count)],
        rules.terms_of(has_new_file=process.has_new_file),
        lambda low, _high: low,
        state=process.state,
        lease=process.lease,
        lease_ends_at=process.lease_left,
        closing=process.closing,
        successor=candidate_name(process.successor),
        round_number=process.round_number,
        asked_at=process.asked_at,
        granted_by=granted_by,
        highest_lease=_majority_highest_lease(
            system, rules.required_votes, has_new_file=process.has_new_file
        ),
        required_votes=rules.required_votes,
    )


def candidate_process(candidate: Candidate, before: CandidateProcess) -> CandidateProcess:
    """Return the model's state of a candidate, with the incarnation and the file of its state before."""
    holds = candidate.state is CandidateState.HOLDING
    idle = candidate.state is CandidateState.IDLE
    return CandidateProcess(
        before.incarnation,
        candidate.state,
        candidate.lease,
        lease_left=candidate.lease_ends_at if holds else 0,
        closing=candidate.closing,
        successor=candidate_index(candidate.successor),
        round_number=candidate.round_number,
        asked_at=LONG_AGO if idle else candidate.asked_at,
        has_new_file=before.has_new_file,
    )


def _majority_highest_lease(system: SystemState, required_votes: int, *, has_new_file: bool) -> int:
    """Return the lowest value that a candidate can learn from a majority as the highest lease number.

    0 if fewer electors than the required votes answer ballots under the candidate's file.
    """
    reported = sorted(
        elector.highest_lease
        for elector in system.electors
        if not elector.opens_in and elector.has_new_file is has_new_file
    )
    return reported[required_votes - 1] if len(reported) >= required_votes else 0


# Ballots.


def ballots_in_transit(
    ballots: Sequence[Ballot], sender: int, process: CandidateProcess
) -> tuple[BallotInTransit, ...]:
    """Return the model's ballots in transit for the ballots that a candidate sends."""
    return tuple(
        BallotInTransit(
            sender,
            process.incarnation,
            ballot.lease,
            ballot.kind.value,
            ballot.round_number,
            candidate_index(ballot.successor),
            process.has_new_file,
        )
        for ballot in ballots
    )


def ballot_of(arrived: BallotInTransit) -> Ballot:
    """Return the ballot that an elector receives when a ballot in transit arrives."""
    return Ballot(
        arrived.lease, BallotKind(arrived.kind), arrived.round_number, candidate_name(arrived.successor)
    )
