"""Descriptions of events, and the trace of events that leads to a state."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from larchlatch.cluster.election.ballots import Answer, Ballot
    from larchlatch.model_checker.state import SystemState


class Transition(NamedTuple):
    """Description of an event, and the state after it."""

    description: str
    state: SystemState


class Visit(NamedTuple):
    """The event by which the search first reached a state.

    Attributes:
        predecessor: state before the event; None for the initial state.
        description: description of the event; "" for the initial state.
        depth: number of events since the initial state.

    """

    predecessor: SystemState | None
    description: str
    depth: int


def trace_to(state: SystemState, visits: Mapping[SystemState, Visit]) -> list[str]:
    """Return the descriptions of the events that led to a state, the earliest first.

    Electors are sorted by their states, so the same elector may have different names in two events.
    """
    events: list[str] = []
    visit = visits[state]
    while visit.predecessor is not None:
        events.append(visit.description)
        visit = visits[visit.predecessor]
    return events[::-1]


def describe_ballots(ballots: Sequence[Ballot]) -> str:
    """Return a description of the ballots that a candidate sends, such as `grant 2` for lease 2."""
    return (
        " and ".join(f"{ballot.kind.name.lower()} {ballot.lease}" for ballot in ballots)
        or "no ballot and becomes idle"
    )


def describe_answer(answer: Answer | None) -> str:
    """Return a description of an elector's answer to a ballot; None: it sends no answer."""
    if answer is None:
        return "sends no answer"
    return "grants" if answer.granted else "refuses"
