"""The types of the balancer's arguments and results. They hold no decision logic."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple

NO_END = 2**62  # microseconds; later than every time that occurs
UNKNOWN_PLACE = -1  # the number of a zone or a cell that is not known


class Idempotency(Enum):
    """Whether a session's request may run twice; the values are written to files."""

    IDEMPOTENT = "rerunnable"
    KEYED = "ticketed"
    NON_IDEMPOTENT = "exclusive"


class DedupScope(Enum):
    """Which upstreams discard the repeats of a keyed session; the values are written to files."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointState(Enum):
    """The state of an upstream in the endpoint list; the values appear in status rows for operators."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(IntEnum):
    """How an attempt, or the session that it established, ended; the numbers are sent in packets."""

    ESTABLISHED = 0  # the session is established; a later outcome tells how it ended
    COMPLETED = 1  # answered and ended normally
    REJECTED = 2  # the upstream rejected the attempt before it ran
    CONNECT_FAILED = 3  # no connection in time
    NOT_SENT = 4  # the node sent nothing to the upstream
    ERROR = 5
    TIMED_OUT = 6  # no answer in time
    RESET = 7
    CANCELLED = 8


# Whether an outcome shows that its upstream is reachable; None if it makes that doubtful. Outcomes that are
# not listed tell nothing about reachability.
REACHED = {
    Outcome.ESTABLISHED: True,
    Outcome.COMPLETED: True,
    Outcome.REJECTED: True,
    Outcome.CONNECT_FAILED: False,
    Outcome.RESET: None,
}
# Outcomes of attempts that certainly did not run.
NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """Settings that all sessions of one traffic class share.

    Attributes:
        latency_objective_us: The time within which a session should be established, in microseconds.
        message_objective_us: The time within which a message on an established session should be answered, in
            microseconds; 0 if unknown.
        idempotency: Whether a request may run twice.
        dedup_scope: Which upstreams discard the repeats of a keyed session.
        dedup_window_us: How long these upstreams recognize a repeat, in microseconds.
    """

    latency_objective_us: int
    message_objective_us: int
    idempotency: Idempotency
    dedup_scope: DedupScope
    dedup_window_us: int

    def repeat_until(self, maybe_executed_at: int) -> int:
        """Return until when a repeat of an attempt that may have run is safe, in microseconds.

        Args:
            maybe_executed_at: When the attempt that may have run was sent, in microseconds.
        """
        if self.idempotency is Idempotency.IDEMPOTENT:
            return NO_END
        return maybe_executed_at + self.dedup_window_us


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """The settings of a deployment on which the balancer's decisions depend.

    Attributes:
        me: This node's number, from 0.
        nodes: The number of nodes.
        traffic_classes: The traffic classes, by number.
        uses_groups: Whether sessions of one group share work on an upstream.
        weighted: Whether the sizes in the endpoint list are stable, so that ring points may depend on them.
        polls_discovery: Whether a node must poll the endpoint list before changes of it are pushed.
        probes: Whether upstreams can be probed.
        can_cancel: Whether an attempt may be cancelled.
        probes_report_load: Whether probes report load.
        reports_delay: Whether the overload of an upstream shows in its message latency.
        max_attempts: The largest number of attempts per session.
        max_retry_after_us: The longest advised wait that shed clients follow, in microseconds; 0 if they
            follow no advice.
        poll_within_us: The time within which the endpoint list should be polled again, in microseconds.
        slow_start_min_share: The share of its full capacity that an upstream has when it has just started.
        slow_start_us: The longest time that an upstream takes to reach its full capacity, in microseconds.
        overload_multiple: The multiple of its present capacity that overloads an upstream in slow start, if
            as many sessions arrive within `overload_window_us`.
        overload_window_us: The time within which that many sessions overload it, in microseconds.
    """

    me: int
    nodes: int
    traffic_classes: tuple[TrafficClass, ...]
    uses_groups: bool
    weighted: bool
    polls_discovery: bool
    probes: bool
    can_cancel: bool
    probes_report_load: bool
    reports_delay: bool
    max_attempts: int
    max_retry_after_us: int
    poll_within_us: int
    slow_start_min_share: float
    slow_start_us: int
    overload_multiple: float
    overload_window_us: int

    @property
    def message_objective_us(self) -> int:
        """The strictest message objective of all traffic classes, in microseconds; 0 if none is known."""
        objectives = [traffic_class.message_objective_us for traffic_class in self.traffic_classes]
        return min(filter(None, objectives), default=0)

    def class_of(self, session: Session) -> TrafficClass:
        """Return a session's traffic class."""
        return self.traffic_classes[session.traffic_class]


@dataclass(slots=True)
class Session:
    """A session: the request of its client, and the state of its attempts.

    Attributes:
        number: Its number at this node.
        traffic_class: The number of its traffic class.
        key: The client's key, if any.
        group: The group whose sessions share work on an upstream, if any.
        deadline: When its client must have its final answer, in microseconds.
        mid_flow: Whether another node has handed it over after it was established.
        load: The work that it causes, in microseconds per second; 0 if unknown.
        attempt_count: How many attempts have been sent.
        upstream: The number of the upstream of its last attempt, or where it is established; -1 before that.
        attempt_in_flight: Whether an attempt has been sent and has no outcome yet.
        established: Whether it is established at its upstream.
        token_requested: Whether a slow-start token was requested for it since its last attempt.
        counted_at: When it was last counted among arrivals, in microseconds.
        sent_at: When its last attempt was sent, in microseconds.
        established_at: When it was established, in microseconds.
        maybe_executed_at: When the first attempt that may have run was sent, in microseconds; -1 if there is
            no such attempt.
        maybe_executed_upstream: The number of the upstream of that attempt; -1 if there is no such attempt.
        repeat_until: Until when upstreams recognize a further attempt as a repeat, in microseconds.
    """

    number: int
    traffic_class: int
    key: int | None
    group: int | None
    deadline: int
    mid_flow: bool = False
    load: float = 0.0
    attempt_count: int = 0
    upstream: int = -1
    attempt_in_flight: bool = False
    established: bool = False
    token_requested: bool = False
    counted_at: int = -NO_END
    sent_at: int = 0
    established_at: int = 0
    maybe_executed_at: int = -1
    maybe_executed_upstream: int = -1
    repeat_until: int = NO_END

    def attempt_sent(self, now: int, upstream: int) -> None:
        """Record that an attempt is sent to an upstream."""
        self.upstream = upstream
        self.sent_at = now
        self.attempt_in_flight = True
        self.attempt_count += 1
        self.token_requested = False

    def attempt_established(self, now: int) -> None:
        """Record that the attempt in flight has established the session."""
        self.attempt_in_flight = False
        self.established = True
        self.established_at = now

    def attempt_ended(self) -> None:
        """Record that the attempt in flight, or the established session, has ended."""
        self.attempt_in_flight = False
        self.established = False

    def attempt_may_have_run(self, traffic_class: TrafficClass) -> None:
        """Record that the last attempt may have run; only the first such attempt is kept."""
        if self.maybe_executed_at >= 0:
            return
        self.maybe_executed_at = self.sent_at
        self.maybe_executed_upstream = self.upstream
        self.repeat_until = traffic_class.repeat_until(self.sent_at)


class Endpoint(NamedTuple):
    """An upstream's entry in the endpoint list.

    Attributes:
        upstream: The upstream's number at this node.
        name: Its name.
        zone: The number of its zone; -1 if unknown.
        cell: The number of its cell; -1 if unknown.
        state: Its state.
        size: Its capacity, in units of a standard upstream's capacity.
        started_at: When it started, in microseconds; 0 if its slow start is long over.
    """

    upstream: int
    name: str
    zone: int
    cell: int
    state: EndpointState
    size: float
    started_at: int

    @classmethod
    def unlisted(cls, upstream: int) -> Endpoint:
        """Return a placeholder for an upstream that has not appeared in any endpoint list."""
        return cls(upstream, "", -1, -1, EndpointState.GONE, 1.0, 0)


class ProbeResult(NamedTuple):
    """The result of a probe of an upstream.

    Attributes:
        answered: Whether the upstream answered in time.
        utilization: The ratio of load to capacity that the upstream reported, if any.
        sessions: The number of sessions that the upstream reported, if any.
    """

    answered: bool
    utilization: float | None = None
    sessions: float | None = None


class TokenCandidate(NamedTuple):
    """An upstream in slow start that may take a session if a token is issued for it.

    Attributes:
        upstream: The upstream's number.
        budget: How many average sessions all nodes together may send there in an overload window.
        weight: How many average sessions this session counts as.
    """

    upstream: int
    budget: float
    weight: float


TokenCandidates = tuple[TokenCandidate, ...]


class Token(NamedTuple):
    """A slow-start token: permission to send one session to an upstream in slow start.

    Attributes:
        upstream: The upstream's number.
        session: The session's number.
        until: When it expires, in microseconds.
    """

    upstream: int
    session: int
    until: int


@dataclass(frozen=True, slots=True)
class Forward:
    """The decision to send an attempt to an upstream.

    Attributes:
        upstream: The number of the upstream.
        give_up_at: When the attempt times out, in microseconds.
    """

    upstream: int
    give_up_at: int


@dataclass(frozen=True, slots=True)
class Hold:
    """The decision to hold a session and place it again later.

    Attributes:
        until: When to place the session again at the latest, in microseconds.
        token_candidates: The upstreams for which a token is to be requested, in order of preference.
    """

    until: int
    token_candidates: TokenCandidates = ()


@dataclass(frozen=True, slots=True)
class Shed:
    """The final answer that nothing has taken effect, so that the client may safely retry.

    Attributes:
        retry_after_us: The advised wait before the client retries, in microseconds; 0 for no advice.
    """

    retry_after_us: int


@dataclass(frozen=True, slots=True)
class Fail:
    """The final answer that the session failed, after an attempt that may have run."""


@dataclass(frozen=True, slots=True)
class Nothing:
    """The decision that nothing is left to do for a session."""


Answer = Forward | Hold | Shed | Fail | Nothing


class Exclusion(Enum):
    """Why new sessions go to other upstreams before this one."""

    NOT_READY = "not_ready"
    UNREACHABLE = "unreachable"
    UNRESPONSIVE = "unresponsive"
    SLOW = "slow"
    EJECTED = "ejected"
    CROWDED = "crowded"
    WARMING_UP = "warming_up"


class UpstreamStatus(NamedTuple):
    """The balancer's view of an upstream, which operators can compare with the open sockets.

    Attributes:
        upstream: The upstream's number.
        state: Its state in the endpoint list.
        attempts: The number of this node's attempts in flight there.
        established: The number of this node's sessions established there.
        utilization: The ratio of load to capacity in its last load report, if there is one.
        utilization_age_us: The age of that report in microseconds.
        exclusion: Why new sessions go to other upstreams first; None if nothing excludes this upstream.
    """

    upstream: int
    state: EndpointState
    attempts: int
    established: int
    utilization: float | None
    utilization_age_us: int
    exclusion: Exclusion | None


class DueActions(NamedTuple):
    """The actions that are due now, and the time until the next one is due.

    Attributes:
        wait_us: The time until the next action is due, in microseconds.
        probes: The numbers of the upstreams to be probed.
        poll_list: Whether to poll the endpoint list.
        migrations: The numbers of the sessions to be migrated, which no longer count at their upstreams.
        superseded: The numbers of the sessions whose attempts are to be cancelled. The caller reports the
            outcomes of these attempts like any other.
        setup_us: How long it takes to establish a session, in microseconds; 0 if unknown.
    """

    wait_us: int
    probes: list[int]
    poll_list: bool
    migrations: list[int]
    superseded: list[int]
    setup_us: int


class ReleasedUpstreams(NamedTuple):
    """The numbers of upstreams for which the caller may free resources.

    Attributes:
        unused: Upstreams that are gone and to which no session refers; their records are kept for a time.
        forgotten: Upstreams whose records are no longer kept; one that returns is a new one.
    """

    unused: list[int]
    forgotten: list[int]
