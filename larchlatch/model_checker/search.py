"""Breadth-first search for a state that violates a safety property.

States are visited in the order of their distance from the initial state, so the first trace to a violation
is a shortest one.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.model_checker.safety import find_violation
from larchlatch.model_checker.trace import Visit, trace_to
from larchlatch.model_checker.transitions import initial_state, initial_state_with_holder, successors

if TYPE_CHECKING:
    from larchlatch.model_checker.cases import SearchCase


class SearchResult(NamedTuple):
    """The result of a search.

    Attributes:
        states: number of different states that the search reached.
        depth: number of events in the longest trace that the search followed.
        complete: whether the search reached all reachable states.
        trace: events of a shortest trace to a violation, then the violation; None: no violation was found.

    """

    states: int
    depth: int
    complete: bool
    trace: list[str] | None


def search(case: SearchCase, max_states: int) -> SearchResult:
    """Search until the first violation, or until `max_states` states have been reached."""
    make_initial_state = initial_state_with_holder if case.begins_with_holder else initial_state
    initial = make_initial_state(case.rules, case.budget)
    visits = {initial: Visit(None, "", 0)}
    queue = deque([initial])
    depth = 0
    while queue:
        state = queue.popleft()
        depth = visits[state].depth
        for description, successor in successors(state, case.rules):
            if successor in visits:
                continue
            visits[successor] = Visit(state, description, depth + 1)
            violation = find_violation(successor)
            if violation is not None:
                trace = [*trace_to(successor, visits), violation]
                return SearchResult(len(visits), depth + 1, complete=False, trace=trace)
            queue.append(successor)
        if len(visits) >= max_states:
            return SearchResult(len(visits), depth, complete=False, trace=None)
    return SearchResult(len(visits), depth, complete=True, trace=None)
