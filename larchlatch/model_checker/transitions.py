"""Initial states of the model, and all events that may happen next in a state.

Messages may be lost, duplicated and reordered, electors and candidates may restart, each process may be
suspended for any time, and clocks are a quarter fast or slow. The processes may read a new cluster file with
other lease terms and the same electors, one after the other, in any order.

The model leaves out events on which no violation depends. A pre-vote, which changes no elector's state,
succeeds at once, with the lowest lease number that a majority can report. Refusals, and votes that a
candidate does not count, change nothing. An order is requested at the time when it is given, as an earlier
request would only make it end earlier.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.election.candidate import CandidateState
from larchlatch.cluster.election.fencing import FencingGuard
from larchlatch.model_checker.candidate_events import (
    candidate_actions,
    candidate_file_change,
    candidate_restarts,
    vote_arrivals,
)
from larchlatch.model_checker.elector_events import ballot_arrivals, elector_file_change, elector_restart
from larchlatch.model_checker.processes import idle_candidate
from larchlatch.model_checker.rules import LONG_AGO, ClockRates, ProtocolRules
from larchlatch.model_checker.state import (
    NOBODY,
    STALE_LEASE,
    CandidateProcess,
    ElectorState,
    EventBudget,
    Order,
    ReceiverState,
    SystemState,
    VoteProgress,
    replace_item,
)
from larchlatch.model_checker.trace import Transition

if TYPE_CHECKING:
    from collections.abc import Iterator

CANDIDATES = 2
RECEIVERS = 2


# Initial states.


def initial_state(rules: ProtocolRules, budget: EventBudget) -> SystemState:
    """Return the state before any event, in which no candidate has a promise."""
    elector = ElectorState(votes=(VoteProgress.NOT_GRANTED,) * CANDIDATES)
    return SystemState(
        time=0,
        electors=(elector,) * rules.elector_count,
        candidates=(idle_candidate(incarnation=0),) * CANDIDATES,
        receivers=(ReceiverState(),) * RECEIVERS,
        orders=frozenset(),
        budget=budget,
    )


def initial_state_with_holder(rules: ProtocolRules, budget: EventBudget) -> SystemState:
    """Return the state in which all electors have just promised the role to the first candidate."""
    elector = ElectorState(
        lease=1,
        holder=0,
        promise_left=rules.lease_terms.promise_us,
        highest_lease=1,
        votes=(VoteProgress.COUNTED, VoteProgress.NOT_GRANTED),
    )
    holder = idle_candidate(incarnation=0)._replace(
        state=CandidateState.HOLDING,
        lease=1,
        lease_left=rules.lease_terms.term_us,
        round_number=2,
        asked_at=0,
    )
    state = initial_state(rules, budget)
    return state._replace(
        electors=(elector,) * rules.elector_count, candidates=replace_item(state.candidates, 0, holder)
    )


# Events.


def successors(system: SystemState, rules: ProtocolRules) -> Iterator[Transition]:
    """Yield all events that may happen next in a state, with the state after each."""
    if system.budget.ticks:
        yield Transition("time passes", _after_tick(system, rules.clock_rates))
    for index in range(CANDIDATES):
        yield from candidate_actions(system, index, rules)
        yield from candidate_file_change(system, index)
    for index in range(rules.elector_count):
        yield from ballot_arrivals(system, index, rules)
        yield from vote_arrivals(system, index, rules)
        yield from elector_restart(system, index, rules)
        yield from elector_file_change(system, index, rules)
    for order in system.orders:
        yield from _order_arrival(system, order, rules)
    yield from candidate_restarts(system)


def _order_arrival(system: SystemState, order: Order, rules: ProtocolRules) -> Iterator[Transition]:
    """Yield the execution of an order, unless its receiver refuses it."""
    before = system.receivers[order.receiver]
    guard = FencingGuard(before.highest_lease)
    if not guard.accepts(order.lease) and rules.receivers_compare_leases:
        return
    after = before._replace(highest_lease=guard.highest_lease)
    if order.order_left:
        after = after._replace(lease=order.lease, order_left=order.order_left)
    elif order.lease < before.highest_lease:
        after = after._replace(lease=STALE_LEASE, order_left=0)
    executed = system._replace(
        receivers=replace_item(system.receivers, order.receiver, after), orders=system.orders - {order}
    )
    yield Transition(f"r{order.receiver} executes the order of c{order.holder}", executed)


# Time.


def _after_tick(system: SystemState, rates: ClockRates) -> SystemState:
    """Return the state after one tick, in which each clock has advanced at its rate."""
    budget = system.budget._replace(ticks=system.budget.ticks - 1)
    return SystemState(
        time=system.time + 1,
        electors=tuple(_advance_elector(elector, rates.electors) for elector in system.electors),
        candidates=tuple(map(_advance_candidate, system.candidates, rates.candidates)),
        receivers=tuple(_advance_receiver(receiver, rates.receivers) for receiver in system.receivers),
        orders=frozenset(_advance_orders(system.orders, rates.receivers)),
        budget=budget,
    )


def _advance_elector(elector: ElectorState, elapsed: int) -> ElectorState:
    still_reserved = elector.reservation_left > elapsed
    return elector._replace(
        opens_in=max(0, elector.opens_in - elapsed),
        promise_left=max(0, elector.promise_left - elapsed),
        reservation_left=max(0, elector.reservation_left - elapsed),
        successor=elector.successor if still_reserved else NOBODY,
    )


def _advance_candidate(candidate: CandidateProcess, elapsed: int) -> CandidateProcess:
    return candidate._replace(
        lease_left=max(0, candidate.lease_left - elapsed),
        asked_at=max(LONG_AGO, candidate.asked_at - elapsed),
    )


def _advance_receiver(receiver: ReceiverState, elapsed: int) -> ReceiverState:
    if receiver.order_left > elapsed:
        return receiver._replace(order_left=receiver.order_left - elapsed)
    return ReceiverState(receiver.highest_lease)


def _advance_orders(orders: frozenset[Order], elapsed: int) -> Iterator[Order]:
    """Yield the orders that are still in transit after a tick: the valid ones and those without duration."""
    for order in orders:
        if not order.order_left:
            yield order
        elif order.order_left > elapsed:
            yield order._replace(order_left=order.order_left - elapsed)
