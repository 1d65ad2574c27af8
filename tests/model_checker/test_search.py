"""The search of every order of events in a small system of leases, by the rules and with planted faults."""

from __future__ import annotations

import pytest

from larchlatch.model_checker.cases import PLANTED_FAULTS, SOUND_CASES, SearchCase
from larchlatch.model_checker.search import search
from larchlatch.model_checker.state import EventBudget
from larchlatch.model_checker.transitions import initial_state, successors

# States and depth of each search: a change of these shows that something else is looked at.
EXTENT = {
    "orders and a hand-over": (177_793, 20),
    "a candidate starts anew": (81_676, 20),
    "an elector starts anew": (59_947, 16),
    "an elector votes straight after its start": (1_773, 11),
    "a term runs from the answer": (1_811, 9),
    "numbers of orders are not compared": (7_884, 12),
    "half of the electors are enough": (477, 10),
    "promises end with the term": (62, 7),
    "a duty is released with orders out": (46_880, 16),
}


@pytest.mark.parametrize("case", SOUND_CASES, ids=lambda case: case.name)
def test_no_order_of_events_leads_to_two_holders_whose_orders_are_taken(case: SearchCase) -> None:
    found = search(case, 1_000_000)
    assert found.trace is None, "\n".join(found.trace)
    assert found.complete and found.states > 20_000, "the search must not pass by looking at little"
    assert (found.states, found.depth) == EXTENT[case.name]


@pytest.mark.parametrize("case", PLANTED_FAULTS, ids=lambda case: case.name)
def test_each_planted_fault_is_found_with_a_shortest_trace(case: SearchCase) -> None:
    found = search(case, 400_000)
    assert found.trace is not None and len(found.trace) == found.depth + 1
    assert (found.states, found.depth) == EXTENT[case.name]


def test_search_that_reaches_its_limit_is_not_complete() -> None:
    found = search(SOUND_CASES[0], 100)
    assert found.trace is None and not found.complete and found.states >= 100


def test_nothing_happens_in_a_system_without_a_budget() -> None:
    case = SOUND_CASES[0]
    state = initial_state(case.rules, EventBudget(rounds=0))
    assert list(successors(state, case.rules)) == []


def test_trace_of_short_promises_is_printed_in_the_words_of_the_events() -> None:
    [case] = [case for case in PLANTED_FAULTS if case.name == "promises end with the term"]
    assert search(case, 400_000).trace == [
        "time passes",
        "time passes",
        "c1 grant 2",
        "e0 hears c1 grant 2, grants",
        "e0 hears c1 grant 2, grants",
        "c1 hears e1",
        "c1 hears e1",
        "two hold the duty",
    ]
