"""States of the model, compared by value: two paths of events that lead to equal values lead to one state.

Times are in the model's units (`rules.py`) by the clock of the process concerned, relative to the present:
a future time is positive, and a past time is 0 unless the field's description says otherwise.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple, TypeVar

if TYPE_CHECKING:
    from larchlatch.cluster.election.candidate import CandidateState

T = TypeVar("T")

NOBODY = -1  # index that stands for no candidate; not None, which cannot be sorted
STALE_LEASE = -1  # a receiver's lease after it has executed an order of an older lease, which is a violation


class VoteProgress(IntEnum):
    """Progress of an elector's vote for the present round of a candidate."""

    NOT_GRANTED = 0
    IN_TRANSIT = 1
    COUNTED = 2


class BallotInTransit(NamedTuple):
    """A ballot that is in transit to an elector.

    Attributes:
        sender: index of the candidate.
        incarnation: incarnation of the candidate at the time of sending.
        lease: number of the lease that the ballot concerns.
        kind: value of the ballot's `BallotKind`; not the member itself, which cannot be sorted.
        round_number: number of the candidate's round.
        successor: index of the candidate for which the electors reserve a released role, or NOBODY.
        under_new_file: whether the candidate used the new cluster file at the time of sending.

    """

    sender: int
    incarnation: int
    lease: int
    kind: int
    round_number: int
    successor: int
    under_new_file: bool = False


class ElectorState(NamedTuple):
    """An elector, and the messages to and from it that are in transit.

    Attributes:
        opens_in: time until the elector answers ballots; 0 unless it has just started.
        lease: number of the lease that the elector has promised; 0: none.
        holder: index of the candidate that has the promise, or NOBODY.
        holder_incarnation: incarnation of that candidate.
        promise_left: time until the promise ends.
        highest_lease: highest lease number that the elector has promised.
        successor: index of the candidate for which the elector reserves the role, or NOBODY.
        reservation_left: time until that reservation ends.
        ballots: ballots that are in transit to the elector.
        votes: progress of the elector's vote for each candidate.
        has_new_file: whether the elector has read the new cluster file.

    """

    opens_in: int = 0
    lease: int = 0
    holder: int = NOBODY
    holder_incarnation: int = 0
    promise_left: int = 0
    highest_lease: int = 0
    successor: int = NOBODY
    reservation_left: int = 0
    ballots: tuple[BallotInTransit, ...] = ()
    votes: tuple[VoteProgress, ...] = ()
    has_new_file: bool = False


class CandidateProcess(NamedTuple):
    """A candidate and its lease.

    Attributes:
        incarnation: number of restarts of the candidate's process.
        state: state of the candidacy.
        lease: number of the lease that the candidate holds or asks for.
        lease_left: time until the held lease ends.
        closing: whether the candidate releases the lease at its end.
        successor: index of the candidate for which the electors then reserve the role, or NOBODY.
        round_number: number of the latest ballot round.
        asked_at: start of the latest ballot round; 0 or negative, as it is not in the future.
        has_new_file: whether the candidate has read the new cluster file.

    """

    incarnation: int
    state: CandidateState
    lease: int
    lease_left: int
    closing: bool
    successor: int
    round_number: int
    asked_at: int
    has_new_file: bool = False


class ReceiverState(NamedTuple):
    """A process that executes the orders of the role's holder.

    Attributes:
        highest_lease: highest lease number of the orders that the receiver has executed.
        lease: lease number of the order in force; 0: none; STALE_LEASE: see there.
        order_left: time until the order in force ends.

    """

    highest_lease: int = 0
    lease: int = 0
    order_left: int = 0


class Order(NamedTuple):
    """An order that is in transit.

    Attributes:
        receiver: index of the receiver.
        holder: index of the candidate that has given the order.
        lease: number of the holder's lease.
        order_left: time until the order ends; 0: it has no duration and is executed once, on arrival.

    """

    receiver: int
    holder: int
    lease: int
    order_left: int


class EventBudget(NamedTuple):
    """Number of events of each kind that may still happen, which bounds the number of states."""

    ticks: int = 0
    rounds: int = 2  # ballot rounds that idle candidates start, both candidates together
    renewals: int = 0
    duplicates: int = 0
    elector_restarts: int = 0
    candidate_restarts: int = 0
    orders: int = 0
    handovers: int = 0
    file_changes: int = 0  # electors and candidates that read the new cluster file


class SystemState(NamedTuple):
    """State of all processes, and the orders in transit.

    Attributes:
        time: ticks since the initial state.
        electors: all electors, sorted, so that states that differ only in the electors' order are equal.
        candidates: both candidates.
        receivers: both receivers of orders.
        orders: the orders that are in transit.
        budget: number of events of each kind that may still happen.

    """

    time: int
    electors: tuple[ElectorState, ...]
    candidates: tuple[CandidateProcess, ...]
    receivers: tuple[ReceiverState, ...]
    orders: frozenset[Order]
    budget: EventBudget

    def is_repeated_elector(self, index: int) -> bool:
        """Return whether the elector equals the one before it, so that its events lead to the same states."""
        return index > 0 and self.electors[index] == self.electors[index - 1]

    def with_elector(self, index: int, elector: ElectorState, budget: EventBudget) -> SystemState:
        """Return the system's state with a new state of one elector and a new budget."""
        electors = replace_item(self.electors, index, elector)
        return self._replace(electors=tuple(sorted(electors)), budget=budget)

    def without_votes_for(self, candidate: int) -> SystemState:
        """Return the state after a candidate's round has ended, without the votes for that round."""
        electors = (
            elector._replace(votes=replace_item(elector.votes, candidate, VoteProgress.NOT_GRANTED))
            for elector in self.electors
        )
        return self._replace(electors=tuple(sorted(electors)))


def replace_item(values: tuple[T, ...], index: int, value: T) -> tuple[T, ...]:
    """Return the tuple with a new value at an index."""
    return (*values[:index], value, *values[index + 1 :])
