"""Messages in the balancer actor's mailbox: immutable values, one type for each kind of event.

Times are microseconds of the node's clock. An upstream is meant by its number in the node's registry, or, in
messages from the cluster, by its name.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from larchlatch.config.endpoints import EndpointList
    from larchlatch.node.session_record import SessionRecord
    from larchlatch.policy.types import Outcome


class SessionArrived(NamedTuple):
    """A client has requested a session, which is to be placed."""

    record: SessionRecord


class HoldExpired(NamedTuple):
    """A session was held until now; the balancer is to be asked again where to place it."""

    record: SessionRecord


class SessionAdopted(NamedTuple):
    """A session was established at an upstream before this process had it."""

    record: SessionRecord
    upstream: int


class AttemptFinished(NamedTuple):
    """An attempt has its outcome, or the session that it established has ended.

    Attributes:
        record: the session.
        outcome: what became of it.
        done: the client needs no answer any more, so no further attempt may follow.

    """

    record: SessionRecord
    outcome: Outcome
    done: bool


class ClientLeft(NamedTuple):
    """The client has closed its connection, or its session has ended at this node."""

    record: SessionRecord


class LoadReported(NamedTuple):
    """An upstream has reported what one session costs, in microseconds of work a second."""

    record: SessionRecord
    load: float


class DelayObserved(NamedTuple):
    """Messages at the upstream of this session take so long now."""

    record: SessionRecord
    delay_us: int


class UpstreamUnresponsive(NamedTuple):
    """Messages wait on sessions of an upstream, and nothing has come back on any of them for a while."""

    upstream: int


class ProbeFinished(NamedTuple):
    """A probe was answered or failed.

    Attributes:
        upstream: the probed upstream.
        answered: whether an answer came.
        utilization: its load over its capacity, if reported.
        session_count: the sessions it holds, if reported.

    """

    upstream: int
    answered: bool
    utilization: float | None
    session_count: float | None


class EndpointsChanged(NamedTuple):
    """The endpoint list is known, or has changed.

    Attributes:
        endpoints: the whole list, or the changes to it.
        from_discovery: whether discovery has sent it now; False for a list kept from before.

    """

    endpoints: EndpointList
    from_discovery: bool


class DiscoveryFailed(NamedTuple):
    """The watch on the endpoint list has broken off, or a call for it has failed."""


class UnreachableUpstream(NamedTuple):
    """An upstream that other nodes fail to connect to, and how many of them do."""

    name: str
    witness_count: int


class EjectionAdvised(NamedTuple):
    """Advice made of other nodes' health observations.

    Attributes:
        probe: names of upstreams to probe now.
        unreachable: upstreams that enough other nodes fail to connect to.

    """

    probe: list[str]
    unreachable: list[UnreachableUpstream]


class SlowStartTokens(NamedTuple):
    """The token issuer decides on sessions to warming upstreams, and may have issued a token.

    Attributes:
        issuer_until: until then the issuer decides, and nodes take no turns of their own.
        upstream: name of the upstream that the token is for; empty if there is no token.
        session: number of the session that the token is for.
        expires_at: until when the token holds.

    """

    issuer_until: int
    upstream: str
    session: int
    expires_at: int


SessionMessage = (
    SessionArrived
    | HoldExpired
    | SessionAdopted
    | AttemptFinished
    | ClientLeft
    | LoadReported
    | DelayObserved
)
EnvironmentMessage = (
    UpstreamUnresponsive
    | ProbeFinished
    | EndpointsChanged
    | DiscoveryFailed
    | EjectionAdvised
    | SlowStartTokens
)
Message = SessionMessage | EnvironmentMessage
DecisionWanted = SessionArrived | HoldExpired | AttemptFinished  # a session waits for what is decided on it
Post = Callable[[Message], Awaitable[None]]
