"""A node's part as a candidate for all roles, and what becomes of them here."""

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

LATE_HEARTBEATS = 3  # a heartbeat that comes so many intervals after the one before is late
MAX_LATE_HEARTBEATS = 3  # so many in a term, and the node is too slow for a role: others wait for its orders
PAUSE_TERMS = 10  # terms for which it does not stand for a role then


class RoleChange(StrEnum):
    """What has become of a role here; the values go into logs and traces."""

    HELD = "held"
    ENDED = "ended"


class RoleEvent(NamedTuple):
    """A role that this node has begun or ceased to hold, by which lease, and why."""

    role: str
    change: RoleChange
    lease: int
    reason: str


class CandidateSide:
    """The candidates, one for each role, of one node.

    Attributes:
        candidates: each role's candidate.
        shutting_down: whether this node is about to end: it stands for no role and hands its roles over.
        paused_until: until when this node stands for no role, as it was too slow.

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
        """Begin anew, holding nothing."""
        self.electorate = electorate
        self.candidates = {
            role: Candidate(electorate.electors, electorate.lease_terms, self.uniform)
            for role in electorate.roles
        }
        self._held = dict.fromkeys(electorate.roles, False)
        self._released: dict[str, Ballot] = {}  # by the last heartbeat
        self._handed_over: set[str] = set()  # roles that were reserved for this node

    def watch_lateness(self, now: int, heartbeat_us: int) -> None:
        """Note a heartbeat; give all roles up where this node is too slow for them."""
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
        """Return whether this node may ask for roles at all."""
        return not self.shutting_down and now >= self.paused_until

    def accept_handover(self, now: int, role: str) -> None:
        """Ask for a role that its holder has reserved for this node."""
        self.candidates[role].accept_handover(now)
        self._handed_over.add(role)

    def permit(self, now: int, role: str) -> OrderPermit:
        """Return by which lease this node may give an order of this role now."""
        candidate = self.candidates.get(role)
        if candidate is None:
            return NO_PERMIT
        left_us = candidate.order_left_us(now)
        return OrderPermit(candidate.lease, left_us) if left_us > 0 else NO_PERMIT

    def note_release(self, role: str, ballot: Ballot) -> None:
        """Remember a release that goes out now, to repeat it with the next heartbeat."""
        self._released[role] = ballot

    def take_release(self, role: str) -> Ballot | None:
        """Return, once, the release of this role that went out with the last heartbeat."""
        return self._released.pop(role, None)

    def note_change(self, now: int, role: str) -> None:
        """Record an event where this node has begun or ceased to hold the role."""
        candidate = self.candidates[role]
        holds = candidate.holds(now)
        if holds is self._held[role]:
            return
        self._held[role] = holds
        change = RoleChange.HELD if holds else RoleChange.ENDED
        self._events.append(RoleEvent(role, change, candidate.lease, self._reason(now, role)))
        self._handed_over.discard(role)

    def _reason(self, now: int, role: str) -> str:
        """Return why a role is held here from now on, or no longer."""
        if self._held[role]:
            return "it was handed on" if role in self._handed_over else "nobody held it"
        if self.shutting_down:
            return "this node ends"
        return "this node is too slow" if now < self.paused_until else "not renewed in time"

    def take_events(self) -> list[RoleEvent]:
        """Return, once, what has become of roles here since the last call."""
        events = self._events
        self._events = []
        return events
