"""Tests of the search for safety violations, with the correct protocol rules and with planted faults."""

from __future__ import annotations

import pytest

from larchlatch.model_checker.cases import PLANTED_FAULTS, SOUND_CASES, SearchCase
from larchlatch.model_checker.search import search
from larchlatch.model_checker.state import EventBudget
from larchlatch.model_checker.transitions import initial_state, successors

# Number of states and depth of each search. Other numbers show that a search covers other states than before.
EXPECTED_EXTENT = {
    "orders and a hand-over": (177_793, 20),
    "a candidate restarts": (81_676, 20),
    "an elector restarts": (59_947, 16),
    "a file with a shorter term is read": (200_884, 22),
    "a file with a longer term is read": (176_055, 17),
    "an elector votes directly after its start": (1_773, 11),
    "a term is counted from the answer": (1_811, 9),
    "receivers do not compare lease numbers": (7_884, 12),
    "half of the electors are enough": (477, 10),
    "promises last no longer than the term": (62, 7),
    "a role is released while orders are valid": (46_880, 16),
    "an elector outlasts only promises by the new file": (2_059, 9),
}


@pytest.mark.parametrize("case", SOUND_CASES, ids=lambda case: case.name)
def test_no_order_of_events_leads_to_two_holders_whose_orders_are_taken(case: SearchCase) -> None:
    """A fault in the election lets two nodes hold one role, or orders of two leases be valid at once."""
    result = search(case, 1_000_000)
    assert result.trace is None, "\n".join(result.trace)
    assert result.complete and result.states > 20_000, "the search must not pass because it visits few states"
    assert (result.states, result.depth) == EXPECTED_EXTENT[case.name]


@pytest.mark.parametrize("case", PLANTED_FAULTS, ids=lambda case: case.name)
def test_each_planted_fault_is_found_with_a_shortest_trace(case: SearchCase) -> None:
    """A search that finds no violation in faulty rules could miss the same fault in the election itself."""
    result = search(case, 400_000)
    assert result.trace is not None and len(result.trace) == result.depth + 1
    assert (result.states, result.depth) == EXPECTED_EXTENT[case.name]


def test_search_that_reaches_its_limit_is_not_complete() -> None:
    """A search that stopped at its limit of states would otherwise count as a proof of all states."""
    result = search(SOUND_CASES[0], 100)
    assert result.trace is None and not result.complete and result.states >= 100


def test_nothing_happens_in_a_system_without_a_budget() -> None:
    """An event that ignores its budget would make the number of states unbounded."""
    case = SOUND_CASES[0]
    state = initial_state(case.rules, EventBudget(rounds=0))
    assert list(successors(state, case.rules)) == []


def test_trace_of_short_promises_is_printed_in_the_words_of_the_events() -> None:
    """A trace that omits events or lists them in the wrong order does not show how the violation arises."""
    [case] = [case for case in PLANTED_FAULTS if case.name == "promises last no longer than the term"]
    assert search(case, 400_000).trace == [
        "time passes",
        "time passes",
        "c1 sends grant 2",
        "e0 receives from c1: grant 2, and grants",
        "e0 receives from c1: grant 2, and grants",
        "c1 counts the vote of e1",
        "c1 counts the vote of e1",
        "two candidates hold the role",
    ]
