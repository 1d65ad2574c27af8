"""How events are described, and the trace that leads to a state."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from larchlatch.cluster.election.ballots import Answer, Ballot
    from larchlatch.model_checker.state import SystemState


class Transition(NamedTuple):
    """One event: its description, and the state after it."""

    description: str
    state: SystemState


class Visit(NamedTuple):
    """How a state was first reached.

    Attributes:
        predecessor: the state before; None for the initial state.
        description: the event that led from there; "" for the initial state.
        depth: number of events since the initial state.

    """

    predecessor: SystemState | None
    description: str
    depth: int


def trace_to(state: SystemState, visits: Mapping[SystemState, Visit]) -> list[str]:
    """Return the events that have led to a state, from the first one on.

    Electors with equal states may have exchanged their names on the way.
    """
    events: list[str] = []
    visit = visits[state]
    while visit.predecessor is not None:
        events.append(visit.description)
        visit = visits[visit.predecessor]
    return events[::-1]


def describe_ballots(ballots: Sequence[Ballot]) -> str:
    """Return what a candidate does, by the ballots that it sends."""
    return " and ".join(f"{ballot.kind.name.lower()} {ballot.lease}" for ballot in ballots) or "looks up"


def describe_answer(answer: Answer | None) -> str:
    """Return what an elector does with a ballot."""
    if answer is None:
        return "says nothing"
    return "grants" if answer.granted else "refuses"
