"""Rules of the protocol, each of which a planted fault can change."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.election.lease_terms import LeaseTerms

if TYPE_CHECKING:
    from collections.abc import Callable

# A tick is eight units of time, of which a fast clock shows ten and a slow one six. By the slow clock a term
# lasts three ticks, and by the fast one the promise for it lasts three as well: rounding favours nobody.
LEASE_TERMS = LeaseTerms(term_us=18, skew=0.25, rounds=2)
FAST, SLOW = 10, 6
LONG_AGO = -2 * LEASE_TERMS.term_us  # what is older than two terms has ended by any clock


class ClockRates(NamedTuple):
    """Units of time that clocks show in a tick."""

    electors: int = FAST
    candidates: tuple[int, int] = (SLOW, SLOW)
    receivers: int = SLOW


class ShortPromises(LeaseTerms):
    """A planted fault: electors keep promises for no longer than a term, whatever the clocks."""

    @property
    def promise_us(self) -> int:
        """Return how long an elector keeps a promise."""
        return self.term_us


def more_than_half(electors: int) -> int:
    """Return how many of the electors are a majority."""
    return electors // 2 + 1


def half(electors: int) -> int:
    """Return how many of the electors a candidate needs by a planted fault."""
    return electors // 2


@dataclass(frozen=True)
class ProtocolRules:
    """The protocol as it is; a planted fault changes one of these values.

    Attributes:
        elector_count: number of electors.
        lease_terms: length of a lease and of a promise, in the model's units.
        majority: by the number of electors, how many of them a candidate needs.
        silent_after_start: an elector answers nothing while promises of an earlier life may last.
        term_from_request: a term runs from when it was asked for, not from the last answer.
        receivers_compare_leases: an order is refused after one of a lease with a higher number.
        releases_after_orders: a role that is handed over is released when the holder's orders have ended.
        unique_lease_numbers: a candidate never uses a number twice.
        wall_clocks_run: lease numbers are taken from the wall clock; else from what electors tell alone.
        clock_rates: how fast the clocks of the processes run.

    """

    elector_count: int = 3
    lease_terms: LeaseTerms = LEASE_TERMS
    majority: Callable[[int], int] = more_than_half
    silent_after_start: bool = True
    term_from_request: bool = True
    receivers_compare_leases: bool = True
    releases_after_orders: bool = True
    unique_lease_numbers: bool = True
    wall_clocks_run: bool = True
    clock_rates: ClockRates = field(default_factory=ClockRates)

    @property
    def required_votes(self) -> int:
        """Return how many electors have to agree."""
        return self.majority(self.elector_count)
