"""The observations that players of scenarios pass to the checkers. Times are in microseconds."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from larchlatch.scenario.upstreams import SimulatedUpstream


class FleetChanged(NamedTuple):
    """Nodes have started or stopped, or paths between them were blocked or opened.

    Attributes:
        now: The time.
        running: Whether each node's process runs.
        is_blocked: Whether nothing gets directly from one node to another.

    """

    now: int
    running: Sequence[bool]
    is_blocked: Callable[[int, int], bool]


class NodeStarted(NamedTuple):
    """A node's new process starts, which knows of no other node."""

    now: int
    node: int


class MemberReported(NamedTuple):
    """A node considers another present, or no longer does."""

    now: int
    node: int
    member: int
    present: bool


class RoleChanged(NamedTuple):
    """A node holds a role from now on, or no longer."""

    now: int
    role: str
    node: int
    held: bool


class OrderExecuted(NamedTuple):
    """An order of a role's holder was carried out; `lease` is its fencing token."""

    now: int
    role: str
    lease: int


class SessionRequested(NamedTuple):
    """A client asks for a session."""

    now: int
    session: str


class SessionAdmitted(NamedTuple):
    """A session was admitted at the latest now: an upstream sees it, or the node says so."""

    now: int
    session: str


class QuotaUsageReported(NamedTuple):
    """A node reports how many sessions all nodes have admitted.

    Attributes:
        now: The end of the time that it reports on.
        least: Its lower bound.
        most: Its upper bound.
        span_us: Length of that time.

    """

    now: int
    least: int
    most: int
    span_us: int


class UpstreamLost(NamedTuple):
    """An upstream crashes or falls silent."""

    now: int
    upstream: int


class UpstreamReturned(NamedTuple):
    """An upstream has been started again."""

    now: int
    upstream: int


class UpstreamFailureDetected(NamedTuple):
    """A node detects that an upstream is unreachable."""

    now: int
    node: int
    upstream: int


class UpstreamEjected(NamedTuple):
    """A node ejects an upstream because of other nodes' reports.

    Attributes:
        now: The time.
        upstream: The upstream.
        reachable: Whether the network between the node and the upstream is intact.

    """

    now: int
    upstream: int
    reachable: bool


class SessionArrived(NamedTuple):
    """An attempt to establish a session has reached an upstream; `load` is the session's work a second."""

    now: int
    upstream: SimulatedUpstream
    load: float


class UpstreamsSampled(NamedTuple):
    """All upstreams are looked at, `interval_us` after the last time."""

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
