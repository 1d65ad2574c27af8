"""Messages in the balancer actor's mailbox: immutable values, one type for each kind of event.

Times are microseconds of the node's clock. Upstreams are identified by their number in the node's registry,
or by name in messages from the cluster.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from larchlatch.config.endpoints import EndpointList
    from larchlatch.node.session_record import SessionRecord
    from larchlatch.policy.types import Outcome


class SessionArrived(NamedTuple):
    """A client has requested a session."""

    record: SessionRecord


class HoldExpired(NamedTuple):
    """The time for which a session was held is over, so it is placed again."""

    record: SessionRecord


class SessionAdopted(NamedTuple):
    """A session that was established before has been taken over from another process or node."""

    record: SessionRecord
    upstream: int


class AttemptFinished(NamedTuple):
    """An attempt has finished, or an established session has ended.

    Attributes:
        record: the session.
        outcome: the outcome of the attempt or of the session.
        done: whether the client needs no further answer, so that no attempt may follow.

    """

    record: SessionRecord
    outcome: Outcome
    done: bool


class ClientLeft(NamedTuple):
    """The client has closed its connection, or its session has ended at this node."""

    record: SessionRecord


class LoadReported(NamedTuple):
    """An upstream has reported the load of one session, in microseconds of work per second."""

    record: SessionRecord
    load: float


class DelayObserved(NamedTuple):
    """The delay of messages at a session's upstream was measured, in microseconds."""

    record: SessionRecord
    delay_us: int


class UpstreamUnresponsive(NamedTuple):
    """An upstream has answered on none of its sessions for too long, though messages wait for answers."""

    upstream: int


class ProbeFinished(NamedTuple):
    """A probe was answered or failed.

    Attributes:
        upstream: the probed upstream.
        answered: whether an answer came.
        utilization: the upstream's load divided by its capacity, if reported.
        session_count: the number of the upstream's sessions, if reported.

    """

    upstream: int
    answered: bool
    utilization: float | None
    session_count: float | None


class EndpointsChanged(NamedTuple):
    """An endpoint list, or changes to it, have been received.

    Attributes:
        endpoints: the complete list, or the changes to it.
        from_discovery: whether discovery sent them; False for the list that the node started with.

    """

    endpoints: EndpointList
    from_discovery: bool


class DiscoveryFailed(NamedTuple):
    """The watch on the endpoint list was interrupted, or a call for the list has failed."""


class UnreachableUpstream(NamedTuple):
    """An upstream to which other nodes can't connect, and how many nodes report that."""

    name: str
    reporter_count: int


class EjectionAdvised(NamedTuple):
    """Advice derived from other nodes' health observations.

    Attributes:
        probe: names of upstreams to probe now.
        unreachable: upstreams to which enough other nodes can't connect.

    """

    probe: list[str]
    unreachable: list[UnreachableUpstream]


class SlowStartTokens(NamedTuple):
    """Says how long a token issuer decides which sessions go to warming upstreams, and may carry a token.

    Attributes:
        issuer_until: until when the issuer decides; until then a session goes to a warming upstream only
            with a token, and the turns that nodes take without an issuer don't apply.
        upstream: name of the upstream that the token is for; empty if there is no token.
        session: number of the session that the token is for.
        expires_at: until when the token is valid.

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
DecisionWanted = SessionArrived | HoldExpired | AttemptFinished  # after these a session waits for a decision
Post = Callable[[Message], Awaitable[None]]
