"""Rules of the election protocol in the model; a planted fault changes one of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.election.lease_terms import LeaseTerms

if TYPE_CHECKING:
    from collections.abc import Callable

# In a tick of eight units of time, a fast clock advances by ten units and a slow clock by six. A term lasts
# three ticks by the slow clock, and its promise three ticks by the fast one: rounding favours neither side.
LEASE_TERMS = LeaseTerms(term_us=18, skew=0.25, rounds=2)
FAST, SLOW = 10, 6
SHORT_LEASE_TERMS = LEASE_TERMS._replace(term_us=6)  # a third of the usual term: one tick
LONG_AGO = -2 * LEASE_TERMS.term_us  # anything older than two terms has ended by every clock


class ClockRates(NamedTuple):
    """Units of time by which the clocks of each kind of process advance in a tick."""

    electors: int = FAST
    candidates: tuple[int, int] = (SLOW, SLOW)
    receivers: int = SLOW


class ShortPromises(LeaseTerms):
    """Planted fault: a promise lasts no longer than a term, without allowance for clock errors."""

    @property
    def promise_us(self) -> int:
        """Return the length of an elector's promise, in the model's units."""
        return self.term_us


def more_than_half(electors: int) -> int:
    """Return the number of votes that form a majority."""
    return electors // 2 + 1


def half(electors: int) -> int:
    """Return half of the electors: a planted fault, as two candidates can each have that many votes."""
    return electors // 2


@dataclass(frozen=True)
class ProtocolRules:
    """Rules of the protocol; the defaults are correct, and a planted fault changes one of them.

    Attributes:
        elector_count: number of electors.
        lease_terms: lengths of a lease and of a promise, in the model's units.
        new_lease_terms: the same by the new cluster file, which the processes read one after the other.
        majority: function from the number of electors to the number of votes that a candidate needs.
        silent_after_start: whether an elector answers no ballot while earlier promises may last.
        outlasts_former_promises: whether an elector that reads the new file answers no ballot while its
            promises under the former file last.
        term_from_request: whether a term is counted from the request for votes, not from the last answer.
        receivers_compare_leases: whether a receiver refuses an order after one with a higher lease number.
        releases_after_orders: whether a holder that resigns releases the role after its orders have ended.
        unique_lease_numbers: whether a candidate uses each lease number only once.
        wall_clocks_run: whether lease numbers are at least the wall-clock time; else only the numbers that
            electors report determine them.
        clock_rates: rates of the processes' clocks.

    """

    elector_count: int = 3
    lease_terms: LeaseTerms = LEASE_TERMS
    new_lease_terms: LeaseTerms = LEASE_TERMS
    majority: Callable[[int], int] = more_than_half
    silent_after_start: bool = True
    outlasts_former_promises: bool = True
    term_from_request: bool = True
    receivers_compare_leases: bool = True
    releases_after_orders: bool = True
    unique_lease_numbers: bool = True
    wall_clocks_run: bool = True
    clock_rates: ClockRates = field(default_factory=ClockRates)

    @property
    def required_votes(self) -> int:
        """Return the number of votes that a candidate needs."""
        return self.majority(self.elector_count)

    def terms_of(self, *, has_new_file: bool) -> LeaseTerms:
        """Return the lease terms of a process, by the cluster file that it uses."""
        return self.new_lease_terms if has_new_file else self.lease_terms
