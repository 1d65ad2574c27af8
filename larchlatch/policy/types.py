"""The types of the balancer's arguments and answers. They decide nothing."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple

NO_END = 2**62  # microseconds: later than all times


class Idempotency(Enum):
    """What a second run of a session's request would do; the values stand in stored files."""

    IDEMPOTENT = "rerunnable"
    KEYED = "ticketed"
    NON_IDEMPOTENT = "exclusive"


class DedupScope(Enum):
    """Which upstreams discard the repeats of a keyed session; the values stand in files."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointState(Enum):
    """The state of an upstream by the endpoint list; the values stand in rows for operators."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(IntEnum):
    """What became of an attempt, or of the session that it established; the numbers stand in packets."""

    ESTABLISHED = 0  # the session is up; how it ends is a further outcome
    COMPLETED = 1  # answered and ended in order
    REJECTED = 2  # before anything ran
    CONNECT_FAILED = 3  # no connection in time
    NOT_SENT = 4  # nothing left the node
    ERROR = 5
    TIMED_OUT = 6  # no answer in time
    RESET = 7
    CANCELLED = 8


# Whether an outcome shows that its upstream can be reached; None where it makes that doubtful. Outcomes that
# are not listed show nothing.
REACHED = {
    Outcome.ESTABLISHED: True,
    Outcome.COMPLETED: True,
    Outcome.REJECTED: True,
    Outcome.CONNECT_FAILED: False,
    Outcome.RESET: None,
}
# Outcomes of attempts that have not run.
NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """Settings shared by the sessions of a kind.

    Attributes:
        latency_objective_us: The time within which a session should be established.
        message_objective_us: The same for a message on an established session; 0 if unknown.
        idempotency: What a second run would do.
        dedup_scope: Which upstreams discard the repeats of a keyed session.
        dedup_window_us: For how long these recognize a repeat.
    """

    latency_objective_us: int
    message_objective_us: int
    idempotency: Idempotency
    dedup_scope: DedupScope
    dedup_window_us: int

    def repeat_until(self, maybe_executed_at: int) -> int:
        """Return until when further attempts may be sent after one that may have run.

        Args:
            maybe_executed_at: When that one was sent, in microseconds.
        """
        if self.idempotency is Idempotency.IDEMPOTENT:
            return NO_END
        return maybe_executed_at + self.dedup_window_us


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """What the operators agreed for a deployment, as far as decisions depend on it.

    Attributes:
        me: This node's number, from 0.
        nodes: How many nodes there are.
        traffic_classes: The traffic classes, by number.
        uses_groups: Whether sessions of one group share work on an upstream.
        weighted: Whether listed sizes are stable, so that the ring may depend on them.
        polls_discovery: Whether the endpoint list has to be polled before changes are pushed.
        probes: Whether upstreams can be probed.
        can_cancel: Whether an attempt may be cancelled.
        probes_report_load: Whether probes report load.
        reports_delay: Whether the overload of an upstream shows in its message latency.
        max_attempts: The most attempts for a session.
        max_retry_after_us: The longest wait that shed clients follow; 0 if they take no advice.
        poll_within_us: The time within which the endpoint list should be polled again.
        slow_start_min_share: The share of its work that an upstream can do when it has just started.
        slow_start_us: How long an upstream takes until it can do all of its work.
        overload_multiple: How many times the sessions that it can serve overload an upstream in slow start.
        overload_window_us: The time within which so many sessions overload it.
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
        """The strictest of the traffic classes' message objectives; 0 if none is known."""
        objectives = [traffic_class.message_objective_us for traffic_class in self.traffic_classes]
        return min(filter(None, objectives), default=0)

    def class_of(self, session: Session) -> TrafficClass:
        """Return a session's traffic class."""
        return self.traffic_classes[session.traffic_class]


@dataclass(slots=True)
class Session:
    """A session: what its client requested, and the state of its attempts.

    Attributes:
        number: Its number at this node.
        traffic_class: The number of its traffic class.
        key: The client's key, if any.
        group: The group that it shares work with, if any.
        deadline: When its client must have its final answer, in microseconds.
        mid_flow: Whether another node has handed it over after it was established.
        load: The work that it makes, in microseconds a second; 0 if unknown.
        attempt_count: How many attempts have been sent.
        upstream: The number of the upstream of its last attempt, or where it is established; -1 before.
        attempt_in_flight: Whether an attempt is without an outcome.
        established: Whether it is established at its upstream.
        token_requested: Whether a slow-start token was requested for it since its last attempt.
        counted_at: When it was last counted among arrivals, in microseconds.
        sent_at: When its last attempt was sent.
        established_at: When it was established.
        maybe_executed_at: When the first attempt that may have run was sent; -1 if none may have.
        maybe_executed_upstream: The number of the upstream that it was sent to; -1 if none may have.
        repeat_until: Until when upstreams recognize a further attempt as a repeat.
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
        """Record that the attempt has established the session."""
        self.attempt_in_flight = False
        self.established = True
        self.established_at = now

    def attempt_ended(self) -> None:
        """Record that the attempt, or the established session, has ended."""
        self.attempt_in_flight = False
        self.established = False

    def attempt_may_have_run(self, traffic_class: TrafficClass) -> None:
        """Record that the last attempt may have run; the first such attempt counts."""
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
        size: Its capacity in units of the usual upstream's.
        started_at: When it started, in microseconds; 0 if it is long past slow start.
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
        """Return the endpoint of an upstream that no list has named."""
        return cls(upstream, "", -1, -1, EndpointState.GONE, 1.0, 0)


class ProbeResult(NamedTuple):
    """The result of a probe of an upstream.

    Attributes:
        answered: Whether it was answered in time.
        utilization: The load over capacity that it reported, if any.
        sessions: The number of sessions that it reported, if any.
    """

    answered: bool
    utilization: float | None = None
    sessions: float | None = None


class TokenCandidate(NamedTuple):
    """An upstream in slow start that a session may go to with a token.

    Attributes:
        upstream: The upstream's number.
        budget: How many usual sessions all nodes together may send there in an overload window.
        weight: How many usual sessions this one counts for.
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
    """Send an attempt.

    Attributes:
        upstream: The number of the upstream to send it to.
        give_up_at: When it times out, in microseconds.
    """

    upstream: int
    give_up_at: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Place the session again later.

    Attributes:
        until: When to place it again at the latest, in microseconds.
        token_candidates: The upstreams for which a token is to be requested, in order of preference.
    """

    until: int
    token_candidates: TokenCandidates = ()


@dataclass(frozen=True, slots=True)
class Shed:
    """Give the final answer that nothing has taken effect, so that trying again is harmless.

    Attributes:
        retry_after_us: How long the client is advised to wait, in microseconds; 0 for no advice.
    """

    retry_after_us: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Give the final answer without a promise: an attempt may have run."""


@dataclass(frozen=True, slots=True)
class Nothing:
    """Do nothing."""


Answer = Forward | Hold | Shed | Fail | Nothing


class Exclusion(Enum):
    """Why an upstream gets no new session before others do."""

    NOT_READY = "not_ready"
    UNREACHABLE = "unreachable"
    UNRESPONSIVE = "unresponsive"
    SLOW = "slow"
    EJECTED = "ejected"
    CROWDED = "crowded"
    WARMING_UP = "warming_up"


class UpstreamStatus(NamedTuple):
    """What the balancer knows of an upstream, for operators to compare with the open sockets.

    Attributes:
        upstream: The upstream's number.
        state: Its state by the endpoint list.
        attempts: Own attempts in flight there.
        established: Own sessions established there.
        utilization: Load over capacity by its last report, if it has made one.
        utilization_age_us: The age of that report in microseconds.
        exclusion: Why no new session goes there before others do; None if it has its share.
    """

    upstream: int
    state: EndpointState
    attempts: int
    established: int
    utilization: float | None
    utilization_age_us: int
    exclusion: Exclusion | None


class DueActions(NamedTuple):
    """What falls due now, and how long until something else does.

    Attributes:
        wait_us: How long until something else falls due, in microseconds.
        probes: The numbers of the upstreams to be probed.
        poll_list: Whether to poll the endpoint list.
        migrations: The numbers of the sessions to be migrated; they no longer count at their upstreams.
        superseded: The numbers of the sessions whose attempts are to be cancelled; their outcomes are
            reported like any other.
        setup_us: How long it takes to establish a session, in microseconds; 0 if unknown.
    """

    wait_us: int
    probes: list[int]
    poll_list: bool
    migrations: list[int]
    superseded: list[int]
    setup_us: int
