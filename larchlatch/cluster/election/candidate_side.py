"""One node's candidacies for all roles, and the events of gaining and losing a role."""

from __future__ import annotations

from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.election.candidate import Candidate
from larchlatch.cluster.election.fencing import NO_PERMIT, OrderPermit

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.cluster.election.ballots import Ballot
    from larchlatch.cluster.election.electorate import Electorate

LATE_AFTER_INTERVALS = 3  # a heartbeat more than this many intervals after the previous one is late
LATE_HEARTBEATS_TO_RESIGN = 3  # number of late heartbeats within one term at which a node resigns its roles
PAUSE_TERMS = 10  # number of terms for which a node that was too slow is no candidate


class RoleChange(StrEnum):
    """Whether this node began or ceased to hold a role; the values are part of logs and traces."""

    HELD = "held"
    ENDED = "ended"


class RoleChangeReason(StrEnum):
    """Why this node began or ceased to hold a role; the values are logged."""

    VACANT = "nobody held the role"
    HANDED_OVER = "the previous holder handed the role over"
    SHUTTING_DOWN = "this node is shutting down"
    TOO_SLOW = "this node is too slow"
    NOT_RENEWED = "the lease was not renewed in time"


class RoleEvent(NamedTuple):
    """The start or end of holding a role at this node, with the number of its lease and the reason."""

    role: str
    change: RoleChange
    lease: int
    reason: RoleChangeReason


class CandidateSide:
    """The candidacies of one node, one for each role.

    Attributes:
        candidates: this node's candidacy for each role, by the role's name.
        shutting_down: whether this node is shutting down, so that it hands its roles over.
        paused_until: time before which this node is no candidate, as its heartbeats were late too often.

    """

    def __init__(self, electorate: Electorate, now: int, uniform: Callable[[float, float], float]) -> None:
        self.uniform = uniform
        self.shutting_down = False
        self.paused_until = 0
        self._last_heartbeat_at = now
        self._late_heartbeats: deque[int] = deque(maxlen=LATE_HEARTBEATS_TO_RESIGN)
        self._events: list[RoleEvent] = []
        self._last_round = 0
        self._last_leases: dict[str, int] = {}
        self.candidates: dict[str, Candidate] = {}
        self.reset(electorate)

    def reset(self, electorate: Electorate) -> None:
        """Start new candidacies for the roles of an electorate; this node then holds no role.

        Numbers of rounds and leases are not used again: a vote names its round alone, and may be for a ballot
        under the previous electorate, where the role's index can be that of another role here.
        """
        self._last_leases |= {role: candidate.lease for role, candidate in self.candidates.items()}
        rounds = [candidate.round_number for candidate in self.candidates.values()]
        self._last_round = max([self._last_round, *rounds])
        self.electorate = electorate
        self.candidates = {
            role: Candidate(
                electorate.electors,
                electorate.lease_terms,
                self.uniform,
                lease=self._last_leases.get(role, 0),
                round_number=self._last_round,
            )
            for role in electorate.roles
        }
        self._held = dict.fromkeys(electorate.roles, False)
        self._released: dict[str, Ballot] = {}  # release ballots to repeat at the next heartbeat
        self._handed_over: set[str] = set()  # roles whose holder named this node as successor

    def record_heartbeat(self, now: int, heartbeat_us: int) -> None:
        """Record a heartbeat, and resign all roles if too many heartbeats within a term were late."""
        if now - self._last_heartbeat_at > LATE_AFTER_INTERVALS * heartbeat_us:
            self._late_heartbeats.append(now)
        self._last_heartbeat_at = now
        term_us = self.electorate.lease_terms.term_us
        often_late = (
            len(self._late_heartbeats) == LATE_HEARTBEATS_TO_RESIGN
            and self._late_heartbeats[0] > now - term_us
        )
        if often_late and now >= self.paused_until:
            self.paused_until = now + PAUSE_TERMS * term_us
            for candidate in self.candidates.values():
                candidate.resign(now)

    def may_be_candidate(self, now: int) -> bool:
        """Return whether this node may be a candidate: it is neither shutting down nor paused."""
        return not self.shutting_down and now >= self.paused_until

    def accept_handover(self, now: int, role: str) -> None:
        """Allow a pre-vote at once for a role whose holder named this node as successor."""
        self.candidates[role].accept_handover(now)
        self._handed_over.add(role)

    def permit(self, now: int, role: str) -> OrderPermit:
        """Return the permit for an order that this node gives now as the holder of a role."""
        candidate = self.candidates.get(role)
        if candidate is None:
            return NO_PERMIT
        left_us = candidate.order_left_us(now)
        return OrderPermit(candidate.lease, left_us) if left_us > 0 else NO_PERMIT

    def record_release(self, role: str, ballot: Ballot) -> None:
        """Record a release ballot that is sent now, so that the next heartbeat sends it again."""
        self._released[role] = ballot

    def take_release(self, role: str) -> Ballot | None:
        """Remove and return the release ballot that was sent for a role; None: there is none to repeat."""
        return self._released.pop(role, None)

    def record_change(self, now: int, role: str) -> None:
        """Record an event if this node has begun or ceased to hold the role."""
        candidate = self.candidates[role]
        holds = candidate.holds(now)
        if holds is self._held[role]:
            return
        self._held[role] = holds
        change = RoleChange.HELD if holds else RoleChange.ENDED
        self._events.append(RoleEvent(role, change, candidate.lease, self._reason(now, role)))
        self._handed_over.discard(role)

    def _reason(self, now: int, role: str) -> RoleChangeReason:
        """Return the reason for the latest change of whether this node holds a role."""
        if self._held[role]:
            handed_over = role in self._handed_over
            return RoleChangeReason.HANDED_OVER if handed_over else RoleChangeReason.VACANT
        if self.shutting_down:
            return RoleChangeReason.SHUTTING_DOWN
        return RoleChangeReason.TOO_SLOW if now < self.paused_until else RoleChangeReason.NOT_RENEWED

    def take_events(self) -> list[RoleEvent]:
        """Return the role events since the last call, and clear them."""
        events = self._events
        self._events = []
        return events
