"""The properties that must hold in every state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.election.candidate import CandidateState
from larchlatch.model_checker.state import STALE_LEASE

if TYPE_CHECKING:
    from larchlatch.model_checker.state import CandidateProcess, SystemState


def find_violation(state: SystemState) -> str | None:
    """Return, in words, the property that a state violates; None where all of them hold."""
    if sum(map(_holds_role, state.candidates)) > 1:
        return "two hold the duty"
    leases_in_force = {receiver.lease for receiver in state.receivers if receiver.order_left > 0}
    if len(leases_in_force) > 1:
        return "orders of two leases are carried out at once"
    if any(receiver.lease == STALE_LEASE for receiver in state.receivers):
        return "an order is carried out after one of a later lease"
    return None


def _holds_role(candidate: CandidateProcess) -> bool:
    return candidate.state is CandidateState.HOLDING and candidate.lease_left > 0
