"""Events of a candidate: it sends ballots, counts a vote, gives an order, resigns, or restarts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.election.ballots import Answer
from larchlatch.cluster.election.candidate import CandidateState
from larchlatch.cluster.election.fencing import order_ends_at
from larchlatch.model_checker.processes import (
    NOW,
    ballots_in_transit,
    candidate_name,
    candidate_of,
    candidate_process,
    elector_name,
    idle_candidate,
)
from larchlatch.model_checker.state import Order, VoteProgress, replace_item
from larchlatch.model_checker.trace import Transition, describe_ballots

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from larchlatch.cluster.election.ballots import Ballot
    from larchlatch.cluster.election.candidate import Candidate
    from larchlatch.model_checker.rules import ProtocolRules
    from larchlatch.model_checker.state import EventBudget, SystemState

GRANTED = Answer(granted=True, highest_lease=0, blocked_us=0)


def candidate_actions(system: SystemState, index: int, rules: ProtocolRules) -> Iterator[Transition]:
    """Yield all events that a candidate starts itself, without a message from another process."""
    if system.candidates[index].state is CandidateState.IDLE:
        yield from _round_start(system, index, rules)
    else:
        yield from _timed_step(system, index, rules)
    if candidate_of(system, index, rules).holds(NOW):
        yield from _orders(system, index, rules)
        yield from _resignation(system, index, rules)


def _round_start(system: SystemState, index: int, rules: ProtocolRules) -> Iterator[Transition]:
    """Yield the start of an idle candidate's ballot round, in which it asks the electors for promises."""
    budget = system.budget
    if not budget.rounds:
        return
    candidate = candidate_of(system, index, rules)
    if not rules.unique_lease_numbers:
        candidate.lease = 0
    candidate.step(NOW, system.time if rules.wall_clocks_run else 0, eligible=True)
    # A pre-vote changes no elector's state, so a failed one leads to no new state: it succeeds here at once.
    ballots: list[Ballot] = []
    for elector in range(rules.required_votes):
        ballots = candidate.count_answer(NOW, elector_name(elector), candidate.round_number, GRANTED)
    remaining_budget = budget._replace(rounds=budget.rounds - 1)
    yield Transition(
        f"c{index} sends {describe_ballots(ballots)}",
        _after_sending(system, index, candidate, ballots, remaining_budget),
    )


def _timed_step(system: SystemState, index: int, rules: ProtocolRules) -> Iterator[Transition]:
    """Yield the renewal, or the end of a round or lease, that is due at a candidate that is not idle."""
    budget = system.budget
    candidate = candidate_of(system, index, rules)
    before = candidate.state
    ballots = candidate.step(NOW, system.time, eligible=False)
    still_holds = before is CandidateState.HOLDING and candidate.state is CandidateState.HOLDING
    renews = still_holds and bool(ballots)
    changes = bool(ballots) or candidate.state is not before
    if changes and (budget.renewals or not renews):
        remaining_budget = budget._replace(renewals=budget.renewals - renews)
        yield Transition(
            f"c{index} sends {describe_ballots(ballots)}",
            _after_sending(system, index, candidate, ballots, remaining_budget),
        )


def _orders(system: SystemState, index: int, rules: ProtocolRules) -> Iterator[Transition]:
    """Yield two orders of the holder to each receiver: one with a duration and one without."""
    budget = system.budget
    if not budget.orders:
        return
    holder = candidate_of(system, index, rules)
    remaining_budget = budget._replace(orders=budget.orders - 1)
    for receiver in range(len(system.receivers)):
        for order_left in (order_ends_at(NOW, holder.order_left_us(NOW)), 0):
            order = Order(receiver, index, holder.lease, order_left)
            duration = "with a duration" if order_left else "without a duration"
            yield Transition(
                f"c{index} sends r{receiver} an order {duration}",
                system._replace(orders=system.orders | {order}, budget=remaining_budget),
            )


def _resignation(system: SystemState, index: int, rules: ProtocolRules) -> Iterator[Transition]:
    """Yield the holder's resignation, which names the other candidate as its successor."""
    budget = system.budget
    holder = candidate_of(system, index, rules)
    if not budget.handovers or holder.closing:
        return
    remaining_budget = budget._replace(handovers=budget.handovers - 1)
    holder.resign(NOW, candidate_name(1 - index))
    ballots: list[Ballot] = []
    if not rules.releases_after_orders:
        ballots = [holder.release_ballot()]
        holder.become_idle(NOW, 0)
    yield Transition(f"c{index} resigns", _after_sending(system, index, holder, ballots, remaining_budget))


def vote_arrivals(system: SystemState, elector_index: int, rules: ProtocolRules) -> Iterator[Transition]:
    """Yield the arrival of an elector's vote at each candidate to which a vote is in transit."""
    if system.is_repeated_elector(elector_index):
        return
    elector = system.electors[elector_index]
    for index in range(len(system.candidates)):
        if elector.votes[index] is not VoteProgress.IN_TRANSIT:
            continue
        candidate = candidate_of(system, index, rules)
        if not rules.term_from_request:
            candidate.asked_at = NOW
        name = elector_name(elector_index)
        ballots = candidate.count_answer(NOW, name, candidate.round_number, GRANTED)
        counted = elector._replace(votes=replace_item(elector.votes, index, VoteProgress.COUNTED))
        voted = system._replace(electors=replace_item(system.electors, elector_index, counted))
        yield Transition(
            f"c{index} counts the vote of {name}",
            _after_sending(voted, index, candidate, ballots, system.budget),
        )


def candidate_restarts(system: SystemState) -> Iterator[Transition]:
    """Yield the restart of each candidate, whose new process has no state of the previous one."""
    budget = system.budget
    if not budget.candidate_restarts:
        return
    remaining_budget = budget._replace(candidate_restarts=budget.candidate_restarts - 1)
    for index, before in enumerate(system.candidates):
        after = idle_candidate(before.incarnation + 1)
        candidates = replace_item(system.candidates, index, after)
        restarted = system.without_votes_for(index)._replace(candidates=candidates, budget=remaining_budget)
        yield Transition(f"c{index} restarts", restarted)


def candidate_file_change(system: SystemState, index: int) -> Iterator[Transition]:
    """Yield that a candidate reads the new file: it gives up its lease, and goes on with its numbers."""
    budget = system.budget
    before = system.candidates[index]
    if not budget.file_changes or before.has_new_file:
        return
    after = idle_candidate(before.incarnation)._replace(
        lease=before.lease, round_number=before.round_number, has_new_file=True
    )
    remaining_budget = budget._replace(file_changes=budget.file_changes - 1)
    candidates = replace_item(system.candidates, index, after)
    yield Transition(
        f"c{index} reads the new file",
        system.without_votes_for(index)._replace(candidates=candidates, budget=remaining_budget),
    )


def _after_sending(
    system: SystemState, index: int, candidate: Candidate, ballots: Sequence[Ballot], budget: EventBudget
) -> SystemState:
    """Return the system's state with the changed candidate and its ballots in transit to all electors."""
    before = system.candidates[index]
    after = candidate_process(candidate, before)
    if after.round_number != before.round_number or after.state is CandidateState.IDLE:
        system = system.without_votes_for(index)
    sent = ballots_in_transit(ballots, index, before)
    electors = system.electors
    if sent:
        electors = tuple(
            elector._replace(ballots=tuple(sorted({*elector.ballots, *sent}))) for elector in electors
        )
    return system._replace(
        electors=tuple(sorted(electors)),
        candidates=replace_item(system.candidates, index, after),
        budget=budget,
    )
