"""The record of an upstream, and the fleet of all upstreams.

The deciding modules share one record per upstream. This module holds its fields, session counts, and the
lists of upstreams by state. Thresholds and choices belong to the deciding modules.
"""

from __future__ import annotations

from dataclasses import InitVar, dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.policy.backoff import Backoff
from larchlatch.policy.types import Endpoint, EndpointState

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from larchlatch.policy.types import Session, Token

NEVER = -10_000_000  # microseconds; earlier than every time with which a node compares it


@dataclass(slots=True, eq=False)
class Upstream:
    """This node's record of one upstream; times are in microseconds.

    Attributes:
        endpoint: Its entry in the endpoint list, whose fields are copied to the record.
        number: Its number at this node.
        name: Its name.
        zone: The number of its zone; -1 if unknown.
        cell: The number of its cell; -1 if unknown.
        state: Its state in the endpoint list.
        gone_since: Since when it is gone; earlier than every time that occurs if no list has named it.
        size: Its capacity, in units of a standard upstream's capacity.
        started_at: When it started; 0 if its slow start is long over.
        ring_points: The number of its points on the ring.
        sessions: This node's sessions by number, established there or with an attempt in flight.
        known_load: The sum of the known loads of those sessions, in microseconds of work per second.
        unknown_loads: How many of those sessions have no known load.
        backoff: Its backoff; while a delay lasts, the upstream is ejected.
        overload_penalty: Factor on its load estimate; above 1 if it recently lacked capacity.
        penalized_at: When the overload penalty was last raised.
        unreachable: Whether the last attempt or probe got no connection.
        slow_until: Until when its messages count as late.
        latency_ratio: The ratio of its last message latency to the strictest message objective.
        unresponsive_until: Until when it counts as answering no messages on its sessions.
        migrate_at: When sessions may next migrate off it, if it is slow.
        utilization: The ratio of load to capacity in its last load report.
        utilization_at: When that report was received.
        capacity: How many sessions fill it, by its last probe; 0 if unknown.
        warm_capacity: How many sessions fill it, if it was past slow start at its last probe; else 0.
        probe_requested: Whether a session waits for its load report.
        probed_at: When it was last probed.
        sessions_at_probe: The number of this node's sessions there when it was last probed.
        turn: The number of the overload window in which this node last spent slow-start budget there.
        spent_in_turn: The budget that this node spent in that window, in average sessions.
        tokens: When each slow-start token expires, by the number of its session.
    """

    endpoint: InitVar[Endpoint]
    number: int = field(init=False)
    name: str = field(init=False)
    zone: int = field(init=False)
    cell: int = field(init=False)
    state: EndpointState = field(init=False)
    size: float = field(init=False)
    started_at: int = field(init=False, default=0)
    gone_since: int = NEVER
    ring_points: int = 0
    sessions: dict[int, Session] = field(default_factory=dict)
    known_load: float = 0.0
    unknown_loads: int = 0
    backoff: Backoff = field(default_factory=Backoff.of_upstream)
    overload_penalty: float = 1.0
    penalized_at: int = 0
    unreachable: bool = False
    slow_until: int = 0
    latency_ratio: float = 1.0
    unresponsive_until: int = 0
    migrate_at: int = 0
    utilization: float = 0.0
    utilization_at: int = NEVER
    capacity: float = 0.0
    warm_capacity: float = 0.0
    probe_requested: bool = False
    probed_at: int = NEVER
    sessions_at_probe: int = 0
    turn: int = -1
    spent_in_turn: float = 0.0
    tokens: dict[int, int] = field(default_factory=dict)

    def __post_init__(self, endpoint: Endpoint) -> None:
        self.update_from(endpoint)

    def update_from(self, endpoint: Endpoint) -> None:
        """Copy the fields of its endpoint; a restart clears the state learned from the previous process."""
        if endpoint.started_at > self.started_at and endpoint.state is EndpointState.READY:
            self.backoff.reset()
            self.slow_until = 0
            self.unresponsive_until = 0
            self.capacity = 0.0
            self.warm_capacity = 0.0
        self.number = endpoint.upstream
        self.name = endpoint.name
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.state = endpoint.state
        self.size = endpoint.size
        self.started_at = endpoint.started_at

    def add(self, session: Session) -> None:
        """Count a session at this upstream, if it is not counted there yet."""
        if session.number not in self.sessions:
            self.sessions[session.number] = session
            self.known_load += session.load
            self.unknown_loads += not session.load

    def remove(self, session: Session) -> None:
        """Stop counting a session at this upstream."""
        if self.sessions.pop(session.number, None) is not None:
            self.known_load -= session.load
            self.unknown_loads -= not session.load

    def established(self) -> list[Session]:
        """Return this node's sessions that are established at this upstream."""
        return [session for session in self.sessions.values() if session.established]

    def probe_sent(self, now: int) -> None:
        """Record that a probe is sent to this upstream."""
        self.probed_at = now
        self.probe_requested = False
        self.sessions_at_probe = len(self.sessions)

    def load_reported(self, now: int, utilization: float) -> None:
        """Record the utilization that this upstream has reported."""
        self.utilization = utilization
        self.utilization_at = now

    def add_token(self, now: int, token: Token) -> None:
        """Store a slow-start token for its session, and drop expired tokens."""
        held = {session: until for session, until in self.tokens.items() if now < until}
        self.tokens = {**held, token.session: token.until}


class Candidates(NamedTuple):
    """The upstreams to which a session may be sent, in order of preference.

    Attributes:
        pair: The session's two candidates: the master, which is preferred, and the second.
        spread: Further upstreams over which a large group spreads.
        rest_of_ring: The rest of the ring walk.
    """

    pair: list[Upstream]
    spread: list[Upstream]
    rest_of_ring: Iterator[Upstream]


def mean_utilization(upstreams: Collection[Upstream]) -> float:
    """Return the mean of the reported utilizations, not weighted by size; 0 without upstreams."""
    return sum(other.utilization for other in upstreams) / len(upstreams) if upstreams else 0.0


def joint_utilization(upstreams: Collection[Upstream]) -> float | None:
    """Return the mean of the reported utilizations, weighted by size; None without upstreams."""
    size = sum(other.size for other in upstreams)
    return sum(other.utilization * other.size for other in upstreams) / size if size else None


class FleetUpdate(NamedTuple):
    """The records that an endpoint list, or changes to it, concern.

    Attributes:
        named: The upstreams that it names, in its order.
        gone: The upstreams that are gone as a complete list does not name them any more.
    """

    named: list[Upstream]
    gone: list[Upstream]


class Fleet:
    """All known upstreams; owns their records.

    Attributes:
        upstreams: The records by number, including those of upstreams that are gone.
        gone: The records of the upstreams that are gone, by number.
        ready_count: The number of ready upstreams.
        mean_session_load: Running mean of known session loads, in microseconds of work per second; 0 if none
            is known.
        next_check_at: When an upstream may next have a probe or migrations due, in microseconds.
    """

    def __init__(self) -> None:
        self.upstreams: dict[int, Upstream] = {}
        self.gone: dict[int, Upstream] = {}
        self.ready_count = 0
        self._ready: list[Upstream] | None = []  # the ready upstreams; None if they have to be listed again
        self.mean_session_load = 0.0
        self.next_check_at = 0

    @property
    def ready(self) -> list[Upstream]:
        """The records of the ready upstreams, in the order in which the upstreams became known."""
        if self._ready is None:
            self._ready = [
                upstream for upstream in self.upstreams.values() if upstream.state is EndpointState.READY
            ]
        return self._ready

    def schedule_check_now(self, now: int) -> None:
        """Record that an upstream may have a probe or migrations due now."""
        self.next_check_at = now

    def schedule_check_by(self, at: int) -> None:
        """Record that an upstream has a probe or migrations due at this time."""
        self.next_check_at = min(self.next_check_at, at)

    def weight(self, session: Session) -> float:
        """Return the load of a session in units of an average session; 1 if its load is unknown."""
        return session.load / self.mean_session_load if session.load and self.mean_session_load else 1.0

    def add_established(self, session: Session, number: int) -> None:
        """Count a session as established at an upstream, which need not have appeared in a list yet."""
        session.upstream = number
        session.established = True
        self.find_or_add(Endpoint.unlisted(number)).add(session)

    def remove(self, session: Session) -> None:
        """Stop counting a session at its upstream."""
        if session.upstream >= 0:
            self.upstreams[session.upstream].remove(session)

    def change_load(self, session: Session, load: float) -> None:
        """Change the load of a session that is counted at an upstream."""
        upstream = self.upstreams.get(session.upstream)
        if upstream is not None and session.number in upstream.sessions:
            upstream.remove(session)
            session.load = load
            upstream.add(session)

    def mean_sessions(self) -> float:
        """Return this node's sessions at ready upstreams per unit of size, in average sessions."""
        size = sum(upstream.size for upstream in self.ready)
        used = [upstream for upstream in self.ready if upstream.sessions]
        return sum(map(self.sessions_at, used)) / size if size else 0.0

    def sessions_at(self, upstream: Upstream) -> float:
        """Return this node's sessions at an upstream, in average sessions."""
        known = upstream.known_load / self.mean_session_load if self.mean_session_load else 0.0
        return known + upstream.unknown_loads

    def find_or_add(self, endpoint: Endpoint) -> Upstream:
        """Return the record of an endpoint's upstream, which is created if there is none."""
        upstream = self.upstreams.get(endpoint.upstream)
        if upstream is None:
            upstream = Upstream(endpoint._replace(state=EndpointState.GONE))
            self.upstreams[upstream.number] = self.gone[upstream.number] = upstream
        return upstream

    def forget(self, upstream: Upstream) -> None:
        """Drop the record of an upstream that is gone."""
        del self.gone[upstream.number], self.upstreams[upstream.number]

    def update(self, now: int, endpoints: Collection[Endpoint], *, whole: bool) -> FleetUpdate:
        """Apply an endpoint list, or changes to it, and return the records that it concerns.

        Args:
            now: The present time in microseconds.
            endpoints: The endpoints.
            whole: Whether this is the complete list, so that an upstream missing from it is gone.
        """
        named = [self.find_or_add(endpoint) for endpoint in endpoints]
        for upstream, endpoint in zip(named, endpoints, strict=True):
            self._change_state(now, upstream, endpoint.state)
            upstream.update_from(endpoint)
        gone = self._missing_from(named) if whole else []
        for upstream in gone:
            self._change_state(now, upstream, EndpointState.GONE)
        return FleetUpdate(named, gone)

    def _change_state(self, now: int, upstream: Upstream, state: EndpointState) -> None:
        """Change an upstream's state, and list it by its new one."""
        change = (state is EndpointState.READY) - (upstream.state is EndpointState.READY)
        if change:
            self.ready_count += change
            self._ready = None
        if state is not EndpointState.GONE:
            self.gone.pop(upstream.number, None)
        elif upstream.state is not EndpointState.GONE or upstream.gone_since == NEVER:
            upstream.gone_since = now
            self.gone[upstream.number] = upstream
        upstream.state = state

    def _missing_from(self, named: Collection[Upstream]) -> list[Upstream]:
        """Return the upstreams that are not among the named ones and were not gone before."""
        numbers = {upstream.number for upstream in named}
        return [
            upstream
            for number, upstream in self.upstreams.items()
            if number not in numbers and upstream.state is not EndpointState.GONE
        ]
