"""The searches that the command `search` runs: sound rules, and one planted fault each."""

from __future__ import annotations

from typing import NamedTuple

from larchlatch.model_checker.rules import (
    FAST,
    LEASE_TERMS,
    SLOW,
    ClockRates,
    ProtocolRules,
    ShortPromises,
    half,
)
from larchlatch.model_checker.state import EventBudget


class SearchCase(NamedTuple):
    """One search.

    Attributes:
        name: name by which the command prints it.
        rules: the protocol, as it is or with a planted fault.
        budget: what may happen.
        begins_with_holder: whether all electors have just promised the role to the first candidate.

    """

    name: str
    rules: ProtocolRules
    budget: EventBudget
    begins_with_holder: bool = False


# Sound rules, in systems small enough for a complete search within a minute.
SOUND_CASES = (
    SearchCase(
        "orders and a hand-over",
        ProtocolRules(),
        EventBudget(ticks=3, rounds=1, orders=2, handovers=1),
        begins_with_holder=True,
    ),
    SearchCase(
        "a candidate starts anew",
        ProtocolRules(),
        EventBudget(ticks=3, candidate_restarts=1),
        begins_with_holder=True,
    ),
    SearchCase(
        "an elector starts anew",
        ProtocolRules(),
        EventBudget(ticks=4, rounds=1, orders=1, elector_restarts=1),
        begins_with_holder=True,
    ),
)
# Sound rules, in systems whose search takes minutes.
DEEP_CASES = (
    SearchCase(
        "orders, an elector anew",
        ProtocolRules(),
        EventBudget(ticks=4, rounds=1, orders=2, elector_restarts=1, duplicates=1),
        begins_with_holder=True,
    ),
    SearchCase(
        "a hand-over, doubled",
        ProtocolRules(),
        EventBudget(ticks=3, rounds=1, orders=1, handovers=1, duplicates=1),
        begins_with_holder=True,
    ),
    SearchCase(
        "a renewal, doubled",
        ProtocolRules(),
        EventBudget(ticks=4, rounds=1, renewals=1, duplicates=1),
        begins_with_holder=True,
    ),
    SearchCase(
        "all electors anew",
        ProtocolRules(),
        EventBudget(ticks=4, rounds=1, orders=1, elector_restarts=3),
        begins_with_holder=True,
    ),
    SearchCase(
        "clocks the other way round",
        ProtocolRules(clock_rates=ClockRates(electors=SLOW, candidates=(FAST, FAST), receivers=FAST)),
        EventBudget(ticks=4, rounds=2),
    ),
    SearchCase("from the beginning", ProtocolRules(), EventBudget(ticks=3)),
)
# Rules with one fault each, which a search must find.
PLANTED_FAULTS = (
    SearchCase(
        "an elector votes straight after its start",
        ProtocolRules(silent_after_start=False),
        EventBudget(elector_restarts=1),
    ),
    SearchCase(
        "a term runs from the answer",
        ProtocolRules(term_from_request=False, elector_count=1),
        EventBudget(ticks=3),
    ),
    SearchCase(
        "numbers of orders are not compared",
        ProtocolRules(receivers_compare_leases=False),
        EventBudget(ticks=3, rounds=1, orders=2),
        begins_with_holder=True,
    ),
    SearchCase(
        "half of the electors are enough",
        ProtocolRules(elector_count=4, majority=half),
        EventBudget(),
    ),
    SearchCase(
        "promises end with the term",
        ProtocolRules(lease_terms=ShortPromises(*LEASE_TERMS)),
        EventBudget(ticks=2, rounds=1),
        begins_with_holder=True,
    ),
    SearchCase(
        "a duty is released with orders out",
        ProtocolRules(releases_after_orders=False),
        EventBudget(orders=2, handovers=1),
    ),
)
DEEP_PLANTED_FAULTS = (
    SearchCase(
        "a number is used again",
        ProtocolRules(
            unique_lease_numbers=False, wall_clocks_run=False, lease_terms=LEASE_TERMS._replace(rounds=3)
        ),
        EventBudget(ticks=1, rounds=3),
    ),
)
