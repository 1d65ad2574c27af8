"""The observations that the emulator and the load test pass to the checkers. Times are in microseconds."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from larchlatch.scenario.upstreams import SimulatedUpstream


class FleetChanged(NamedTuple):
    """Nodes have started or stopped, or paths between nodes have been blocked or opened.

    Attributes:
        now: When the change happened.
        running: Whether the process of each node runs, by node number.
        is_blocked: Whether datagrams from one node to another are blocked on the direct path.

    """

    now: int
    running: Sequence[bool]
    is_blocked: Callable[[int, int], bool]


class NodeStarted(NamedTuple):
    """A new process of a node starts, which considers no other node present."""

    now: int
    node: int


class MemberReported(NamedTuple):
    """A node reports that it considers another node present, or no longer does."""

    now: int
    node: int
    member: int
    present: bool


class RoleChanged(NamedTuple):
    """A node reports that it holds a role from now on, or no longer."""

    now: int
    role: str
    node: int
    held: bool


class OrderExecuted(NamedTuple):
    """A node has executed an order of a role's holder; `lease` is the fencing token of the order."""

    now: int
    role: str
    lease: int


class SessionRequested(NamedTuple):
    """A client requests a session."""

    now: int
    session: str


class SessionAdmitted(NamedTuple):
    """A session was admitted at `now` or before: an upstream received its attempt, or its node reports it."""

    now: int
    session: str


class QuotaUsageReported(NamedTuple):
    """A node reports bounds of the number of sessions that all nodes have admitted in a period.

    Attributes:
        now: The end of the period.
        least: The lower bound.
        most: The upper bound.
        span_us: The length of the period.

    """

    now: int
    least: int
    most: int
    span_us: int


class UpstreamLost(NamedTuple):
    """An upstream crashes or stops answering."""

    now: int
    upstream: int


class UpstreamReturned(NamedTuple):
    """An upstream is restarted after a loss, or is started for the first time."""

    now: int
    upstream: int


class UpstreamFailureDetected(NamedTuple):
    """A node detects that an upstream is unreachable."""

    now: int
    node: int
    upstream: int


class UpstreamEjected(NamedTuple):
    """A node ejects an upstream because other nodes have reported it as unreachable.

    Attributes:
        now: When the node ejects it.
        upstream: The number of the upstream.
        reachable: Whether the network between the node and the upstream is intact.

    """

    now: int
    upstream: int
    reachable: bool


class SessionArrived(NamedTuple):
    """An attempt has reached an upstream; `load` is the session's work, in microseconds per second."""

    now: int
    upstream: SimulatedUpstream
    load: float


class UpstreamsSampled(NamedTuple):
    """The state of all upstreams is sampled, `interval_us` after the previous sample."""

    now: int
    upstreams: Sequence[SimulatedUpstream]
    interval_us: int


Observation = (
    FleetChanged
    | NodeStarted
    | MemberReported
    | RoleChanged
    | OrderExecuted
    | SessionRequested
    | SessionAdmitted
    | QuotaUsageReported
    | UpstreamLost
    | UpstreamReturned
    | UpstreamFailureDetected
    | UpstreamEjected
    | SessionArrived
    | UpstreamsSampled
)
