"""Searches that the command `search` runs: of the protocol as it is, and of the protocol with one fault."""

from __future__ import annotations

from typing import NamedTuple

from larchlatch.model_checker.rules import (
    FAST,
    LEASE_TERMS,
    SHORT_LEASE_TERMS,
    SLOW,
    ClockRates,
    ProtocolRules,
    ShortPromises,
    half,
)
from larchlatch.model_checker.state import EventBudget


class SearchCase(NamedTuple):
    """One search, with the protocol's rules and the events that are allowed.

    Attributes:
        name: name that the command prints.
        rules: the rules of the protocol, all correct or with one planted fault.
        budget: how many events of each kind may happen.
        begins_with_holder: whether the first candidate holds the role at the start, promised by all electors.

    """

    name: str
    rules: ProtocolRules
    budget: EventBudget
    begins_with_holder: bool = False


# Correct rules, with budgets small enough for a complete search within a minute.
SOUND_CASES = (
    SearchCase(
        "orders and a hand-over",
        ProtocolRules(),
        EventBudget(ticks=3, rounds=1, orders=2, handovers=1),
        begins_with_holder=True,
    ),
    SearchCase(
        "a candidate restarts",
        ProtocolRules(),
        EventBudget(ticks=3, candidate_restarts=1),
        begins_with_holder=True,
    ),
    SearchCase(
        "an elector restarts",
        ProtocolRules(),
        EventBudget(ticks=4, rounds=1, orders=1, elector_restarts=1),
        begins_with_holder=True,
    ),
    SearchCase(
        "a file with a shorter term is read",
        ProtocolRules(new_lease_terms=SHORT_LEASE_TERMS),
        EventBudget(ticks=3, rounds=1, renewals=1, file_changes=4),
        begins_with_holder=True,
    ),
    SearchCase(
        "a file with a longer term is read",
        ProtocolRules(lease_terms=SHORT_LEASE_TERMS, new_lease_terms=LEASE_TERMS),
        EventBudget(ticks=4, rounds=1, file_changes=4),
        begins_with_holder=True,
    ),
)
# Correct rules, with budgets for which a search takes minutes.
DEEP_CASES = (
    SearchCase(
        "orders, an elector restart and a duplicate",
        ProtocolRules(),
        EventBudget(ticks=4, rounds=1, orders=2, elector_restarts=1, duplicates=1),
        begins_with_holder=True,
    ),
    SearchCase(
        "a hand-over and a duplicate",
        ProtocolRules(),
        EventBudget(ticks=3, rounds=1, orders=1, handovers=1, duplicates=1),
        begins_with_holder=True,
    ),
    SearchCase(
        "a renewal and a duplicate",
        ProtocolRules(),
        EventBudget(ticks=4, rounds=1, renewals=1, duplicates=1),
        begins_with_holder=True,
    ),
    SearchCase(
        "all electors restart",
        ProtocolRules(),
        EventBudget(ticks=4, rounds=1, orders=1, elector_restarts=3),
        begins_with_holder=True,
    ),
    SearchCase(
        "slow clocks of electors, fast ones of others",
        ProtocolRules(clock_rates=ClockRates(electors=SLOW, candidates=(FAST, FAST), receivers=FAST)),
        EventBudget(ticks=4, rounds=2),
    ),
    SearchCase("no holder at the start", ProtocolRules(), EventBudget(ticks=3)),
)
# Rules with one planted fault each: the search must find a violation.
PLANTED_FAULTS = (
    SearchCase(
        "an elector votes directly after its start",
        ProtocolRules(silent_after_start=False),
        EventBudget(elector_restarts=1),
    ),
    SearchCase(
        "a term is counted from the answer",
        ProtocolRules(term_from_request=False, elector_count=1),
        EventBudget(ticks=3),
    ),
    SearchCase(
        "receivers do not compare lease numbers",
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
        "promises last no longer than the term",
        ProtocolRules(lease_terms=ShortPromises(*LEASE_TERMS)),
        EventBudget(ticks=2, rounds=1),
        begins_with_holder=True,
    ),
    SearchCase(
        "a role is released while orders are valid",
        ProtocolRules(releases_after_orders=False),
        EventBudget(orders=2, handovers=1),
    ),
    SearchCase(
        "an elector outlasts only promises by the new file",
        ProtocolRules(new_lease_terms=SHORT_LEASE_TERMS, outlasts_former_promises=False),
        EventBudget(ticks=2, rounds=1, file_changes=3),
        begins_with_holder=True,
    ),
)
# Rules with one planted fault each, for which a search takes minutes.
DEEP_PLANTED_FAULTS = (
    SearchCase(
        "a lease number is used twice",
        ProtocolRules(
            unique_lease_numbers=False, wall_clocks_run=False, lease_terms=LEASE_TERMS._replace(rounds=3)
        ),
        EventBudget(ticks=1, rounds=3),
    ),
)
