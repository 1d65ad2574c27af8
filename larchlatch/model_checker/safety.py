"""Safety properties of the election, which must hold in every state of the model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.election.candidate import CandidateState
from larchlatch.model_checker.state import STALE_LEASE

if TYPE_CHECKING:
    from larchlatch.model_checker.state import CandidateProcess, SystemState


def find_violation(state: SystemState) -> str | None:
    """Return a description of the safety violation in a state; None: all properties hold."""
    if sum(map(_holds_role, state.candidates)) > 1:
        return "two candidates hold the role"
    leases_in_force = {receiver.lease for receiver in state.receivers if receiver.order_left > 0}
    if len(leases_in_force) > 1:
        return "orders of two leases are in force at the same time"
    if any(receiver.lease == STALE_LEASE for receiver in state.receivers):
        return "an order is executed after an order of a later lease"
    return None


def _holds_role(candidate: CandidateProcess) -> bool:
    return candidate.state is CandidateState.HOLDING and candidate.lease_left > 0
