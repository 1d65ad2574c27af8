"""Events of an elector: a ballot arrives, its process restarts, or it reads a new cluster file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.election.ballots import CandidateId
from larchlatch.cluster.election.candidate import CandidateState
from larchlatch.cluster.election.elector import Elector
from larchlatch.cluster.election.elector_side import ElectorSide
from larchlatch.cluster.election.electorate import Electorate
from larchlatch.model_checker.processes import NOW, ballot_of, candidate_name, elector_of, elector_state
from larchlatch.model_checker.state import ElectorState, VoteProgress, replace_item
from larchlatch.model_checker.trace import Transition, describe_answer, describe_ballots

if TYPE_CHECKING:
    from collections.abc import Iterator

    from larchlatch.cluster.election.lease_terms import LeaseTerms
    from larchlatch.model_checker.rules import ProtocolRules
    from larchlatch.model_checker.state import BallotInTransit, SystemState

ELECTOR, ROLE = "elector", "role"  # names in the electorate of a single elector


def ballot_arrivals(system: SystemState, index: int, rules: ProtocolRules) -> Iterator[Transition]:
    """Yield the arrival of each ballot that is in transit to an elector."""
    if system.is_repeated_elector(index):
        return
    budget = system.budget
    before = system.electors[index]
    for arrived in before.ballots:
        if arrived.under_new_file is not before.has_new_file:
            continue  # it is ignored, as if it were lost
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
    elector = elector_of(before, rules)
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
    terms = rules.terms_of(has_new_file=before.has_new_file)
    opens_in = terms.startup_silence_us if rules.silent_after_start else 0
    after = ElectorState(
        opens_in, ballots=before.ballots, votes=before.votes, has_new_file=before.has_new_file
    )
    remaining_budget = budget._replace(elector_restarts=budget.elector_restarts - 1)
    yield Transition(f"e{index} restarts", system.with_elector(index, after, remaining_budget))


def elector_file_change(system: SystemState, index: int, rules: ProtocolRules) -> Iterator[Transition]:
    """Yield that an elector reads the new file; messages to and from it stay in transit."""
    budget = system.budget
    before = system.electors[index]
    if not budget.file_changes or before.has_new_file or system.is_repeated_elector(index):
        return
    elector = _following_elector(before, rules)
    after = elector_state(elector, before)._replace(opens_in=elector.opens_at, has_new_file=True)
    remaining_budget = budget._replace(file_changes=budget.file_changes - 1)
    yield Transition(f"e{index} reads the new file", system.with_elector(index, after, remaining_budget))


def _following_elector(before: ElectorState, rules: ProtocolRules) -> Elector:
    """Return the elector after it has read the new file."""
    if not rules.outlasts_former_promises:
        return Elector.started(rules.new_lease_terms, NOW)
    side = ElectorSide(ELECTOR, _electorate(rules.lease_terms), NOW)
    side.electors[ROLE] = elector_of(before, rules)
    side.follow(_electorate(rules.new_lease_terms), NOW)
    return side.electors[ROLE]


def _electorate(lease_terms: LeaseTerms) -> Electorate:
    return Electorate(electors=(ELECTOR,), names=(ELECTOR,), roles=(ROLE,), lease_terms=lease_terms)
