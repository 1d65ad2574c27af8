"""One node as a candidate for all roles, and the events of holding and losing them."""

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

LATE_HEARTBEATS = 3  # a heartbeat counts as late if it follows the previous one after so many intervals
MAX_LATE_HEARTBEATS = 3  # within a term; a node with so many resigns, as its orders would come late, too
PAUSE_TERMS = 10  # terms for which such a node is no candidate


class RoleChange(StrEnum):
    """What has happened to a role at this node; the values are part of logs and traces."""

    HELD = "held"
    ENDED = "ended"


class RoleChangeReason(StrEnum):
    """Why a role is held or no longer held at this node; the values are logged."""

    VACANT = "nobody held the role"
    HANDED_OVER = "the previous holder handed the role over"
    SHUTTING_DOWN = "this node is shutting down"
    TOO_SLOW = "this node is too slow"
    NOT_RENEWED = "the lease was not renewed in time"


class RoleEvent(NamedTuple):
    """A change of a role at this node, the number of its lease, and the reason."""

    role: str
    change: RoleChange
    lease: int
    reason: RoleChangeReason


class CandidateSide:
    """The candidates of one node, one for each role.

    Attributes:
        candidates: the candidate for each role.
        shutting_down: whether this node is shutting down, so that it hands its roles over.
        paused_until: time before which this node is no candidate, as it was too slow.

    """

    def __init__(self, electorate: Electorate, now: int, uniform: Callable[[float, float], float]) -> None:
        self.uniform = uniform
        self.shutting_down = False
        self.paused_until = 0
        self._last_heartbeat_at = now
        self._late_heartbeats: deque[int] = deque(maxlen=MAX_LATE_HEARTBEATS)
        self._events: list[RoleEvent] = []
        self.reset(electorate)

    def reset(self, electorate: Electorate) -> None:
        """Start over without any role."""
        self.electorate = electorate
        self.candidates = {
            role: Candidate(electorate.electors, electorate.lease_terms, self.uniform)
            for role in electorate.roles
        }
        self._held = dict.fromkeys(electorate.roles, False)
        self._released: dict[str, Ballot] = {}  # in the last heartbeat
        self._handed_over: set[str] = set()  # roles that were reserved for this node

    def watch_lateness(self, now: int, heartbeat_us: int) -> None:
        """Record a heartbeat, and resign all roles if heartbeats are late too often."""
        if now - self._last_heartbeat_at > LATE_HEARTBEATS * heartbeat_us:
            self._late_heartbeats.append(now)
        self._last_heartbeat_at = now
        term_us = self.electorate.lease_terms.term_us
        often_late = (
            len(self._late_heartbeats) == MAX_LATE_HEARTBEATS and self._late_heartbeats[0] > now - term_us
        )
        if often_late and now >= self.paused_until:
            self.paused_until = now + PAUSE_TERMS * term_us
            for candidate in self.candidates.values():
                candidate.resign(now)

    def may_stand(self, now: int) -> bool:
        """Return whether this node may ask for any role."""
        return not self.shutting_down and now >= self.paused_until

    def accept_handover(self, now: int, role: str) -> None:
        """Ask for a role that its holder has reserved for this node."""
        self.candidates[role].accept_handover(now)
        self._handed_over.add(role)

    def permit(self, now: int, role: str) -> OrderPermit:
        """Return the permit by which this node may give an order of this role now."""
        candidate = self.candidates.get(role)
        if candidate is None:
            return NO_PERMIT
        left_us = candidate.order_left_us(now)
        return OrderPermit(candidate.lease, left_us) if left_us > 0 else NO_PERMIT

    def record_release(self, role: str, ballot: Ballot) -> None:
        """Record a release that is sent now, so that the next heartbeat repeats it."""
        self._released[role] = ballot

    def take_release(self, role: str) -> Ballot | None:
        """Return and forget the release of this role that the last heartbeat sent."""
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
        """Return why the latest change of a role has happened."""
        if self._held[role]:
            handed_over = role in self._handed_over
            return RoleChangeReason.HANDED_OVER if handed_over else RoleChangeReason.VACANT
        if self.shutting_down:
            return RoleChangeReason.SHUTTING_DOWN
        return RoleChangeReason.TOO_SLOW if now < self.paused_until else RoleChangeReason.NOT_RENEWED

    def take_events(self) -> list[RoleEvent]:
        """Return the events since the last call."""
        events = self._events
        self._events = []
        return events
