"""States of the model. Two states are the same where their values are equal.

Times are in the model's units (`rules.py`), relative to the present by the clock of the process concerned:
the future is positive, and what has passed is 0 unless a field says otherwise.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple, TypeVar

if TYPE_CHECKING:
    from larchlatch.cluster.election.candidate import CandidateState

T = TypeVar("T")

NOBODY = -1  # in place of a candidate's index; states are sorted, and None has no order
STALE_LEASE = -1  # in place of the lease by which a receiver goes: it has executed an order of an older one


class VoteProgress(IntEnum):
    """How far an elector's vote for a candidate's present round has come."""

    NOT_GRANTED = 0
    IN_TRANSIT = 1
    COUNTED = 2


class BallotInTransit(NamedTuple):
    """A ballot that is under way to an elector.

    Attributes:
        sender: index of the candidate.
        incarnation: life of the candidate in which it was sent.
        lease: number of the lease asked for.
        kind: value of its `BallotKind`; ballots are sorted, and members of that enumeration have no order.
        round_number: round of the candidate.
        successor: index of the candidate for which a released role is reserved, or NOBODY.

    """

    sender: int
    incarnation: int
    lease: int
    kind: int
    round_number: int
    successor: int


class ElectorState(NamedTuple):
    """An elector, and the messages to it and from it that are under way.

    Attributes:
        opens_in: time until it answers for the first time after its start.
        lease: number of the lease that it has promised.
        holder: index of the candidate that has the promise, or NOBODY.
        holder_incarnation: life of that candidate.
        promise_left: time until the promise ends.
        highest_lease: highest number of a lease that it has promised.
        successor: index of the candidate for which it reserves the role, or NOBODY.
        reservation_left: time until that reservation ends.
        ballots: ballots that are under way to it.
        votes: for each candidate, how far this elector's vote has come.

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


class CandidateProcess(NamedTuple):
    """A candidate's process.

    Attributes:
        incarnation: counts its starts.
        state: where the candidate stands.
        lease: number of its lease, held or asked for.
        lease_left: time until the lease that it holds ends.
        closing: whether the lease is released at that end.
        successor: index of the candidate for which the role is then reserved, or NOBODY.
        round_number: number of its latest ballot round.
        asked_at: when that round began; below 0, as it lies in the past.

    """

    incarnation: int
    state: CandidateState
    lease: int
    lease_left: int
    closing: bool
    successor: int
    round_number: int
    asked_at: int


class ReceiverState(NamedTuple):
    """A process that executes the orders of whoever holds the role.

    Attributes:
        highest_lease: highest number of a lease of which it has seen an order.
        lease: lease of the order that it goes by, 0 for none, or STALE_LEASE.
        order_left: time until that order ends.

    """

    highest_lease: int = 0
    lease: int = 0
    order_left: int = 0


class Order(NamedTuple):
    """An order that is under way.

    Attributes:
        receiver: index of the receiver.
        holder: index of the candidate that has given it.
        lease: the holder's lease.
        order_left: time until it ends; 0: it has no duration, and is executed as it arrives.

    """

    receiver: int
    holder: int
    lease: int
    order_left: int


class EventBudget(NamedTuple):
    """How many more events of each kind may happen; bounds the number of states."""

    ticks: int = 0
    rounds: int = 2  # that candidates open of their own accord, both together
    renewals: int = 0
    duplicates: int = 0
    elector_restarts: int = 0
    candidate_restarts: int = 0
    orders: int = 0
    handovers: int = 0


class SystemState(NamedTuple):
    """The whole system.

    Attributes:
        time: ticks since the beginning.
        electors: all electors, sorted: those with equal states can be exchanged for each other.
        candidates: both candidates.
        receivers: both receivers of orders.
        orders: the orders that are under way.
        budget: what may still happen.

    """

    time: int
    electors: tuple[ElectorState, ...]
    candidates: tuple[CandidateProcess, ...]
    receivers: tuple[ReceiverState, ...]
    orders: frozenset[Order]
    budget: EventBudget

    def is_repeated_elector(self, index: int) -> bool:
        """Return whether the elector equals its predecessor, so that its events have been looked at."""
        return index > 0 and self.electors[index] == self.electors[index - 1]

    def with_elector(self, index: int, elector: ElectorState, budget: EventBudget) -> SystemState:
        """Return the state with another state of one elector, and what may happen after that."""
        electors = replace_item(self.electors, index, elector)
        return self._replace(electors=tuple(sorted(electors)), budget=budget)

    def without_votes_for(self, candidate: int) -> SystemState:
        """Return the state after a candidate's round has ended: votes for it are not counted any more."""
        electors = (
            elector._replace(votes=replace_item(elector.votes, candidate, VoteProgress.NOT_GRANTED))
            for elector in self.electors
        )
        return self._replace(electors=tuple(sorted(electors)))


def replace_item(values: tuple[T, ...], index: int, value: T) -> tuple[T, ...]:
    """Return the values with another one at an index."""
    return (*values[:index], value, *values[index + 1 :])
