"""Events of an elector: a ballot arrives, or its process restarts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.election.ballots import CandidateId
from larchlatch.cluster.election.candidate import CandidateState
from larchlatch.model_checker.processes import NOW, ballot_of, candidate_name, elector_of, elector_state
from larchlatch.model_checker.state import ElectorState, VoteProgress, replace_item
from larchlatch.model_checker.trace import Transition, describe_answer, describe_ballots

if TYPE_CHECKING:
    from collections.abc import Iterator

    from larchlatch.model_checker.rules import ProtocolRules
    from larchlatch.model_checker.state import BallotInTransit, SystemState


def ballot_arrivals(system: SystemState, index: int, rules: ProtocolRules) -> Iterator[Transition]:
    """Yield the arrival of each ballot that is in transit to an elector."""
    if system.is_repeated_elector(index):
        return
    budget = system.budget
    before = system.electors[index]
    for arrived in before.ballots:
        after, answer = _answer(system, before, arrived, rules)
        remaining = tuple(other for other in before.ballots if other != arrived)
        asked = describe_ballots([ballot_of(arrived)])
        description = f"e{index} receives from c{arrived.sender}: {asked}, and {answer}"
        yield Transition(description, system.with_elector(index, after._replace(ballots=remaining), budget))
        if budget.duplicates:
            remaining_budget = budget._replace(duplicates=budget.duplicates - 1)
            yield Transition(
                f"{description} (a duplicate stays in transit)",
                system.with_elector(index, after, remaining_budget),
            )


def _answer(
    system: SystemState, before: ElectorState, arrived: BallotInTransit, rules: ProtocolRules
) -> tuple[ElectorState, str]:
    """Return an elector's state after its answer to a ballot, and the description of the answer."""
    elector = elector_of(before, rules.lease_terms)
    sender = CandidateId(candidate_name(arrived.sender), arrived.incarnation)
    answer = elector.answer(NOW, sender, ballot_of(arrived))
    after = elector_state(elector, before)
    granted = answer is not None and answer.granted
    if granted and _is_awaited(system, arrived) and not before.votes[arrived.sender]:
        after = after._replace(votes=replace_item(before.votes, arrived.sender, VoteProgress.IN_TRANSIT))
    return after, describe_answer(answer)


def _is_awaited(system: SystemState, ballot: BallotInTransit) -> bool:
    """Return whether the sender of a ballot still counts votes of that ballot's round."""
    sender = system.candidates[ballot.sender]
    same_round = (sender.incarnation, sender.round_number) == (ballot.incarnation, ballot.round_number)
    return same_round and sender.state is not CandidateState.IDLE


def elector_restart(system: SystemState, index: int, rules: ProtocolRules) -> Iterator[Transition]:
    """Yield an elector's restart, which loses its promise; messages to and from it stay in transit."""
    budget = system.budget
    if not budget.elector_restarts or system.is_repeated_elector(index):
        return
    before = system.electors[index]
    opens_in = rules.lease_terms.startup_silence_us if rules.silent_after_start else 0
    after = ElectorState(opens_in, ballots=before.ballots, votes=before.votes)
    remaining_budget = budget._replace(elector_restarts=budget.elector_restarts - 1)
    yield Transition(f"e{index} restarts", system.with_elector(index, after, remaining_budget))
