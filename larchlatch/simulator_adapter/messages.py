"""Typed messages from the simulator to a node, which `protocol` decodes from rows of JSON."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from larchlatch.policy.types import Outcome, ProbeResult


class EndpointListKind(Enum):
    """Where a received endpoint list comes from, and whether it is complete."""

    CHANGES = "changes"  # from discovery: only the entries that have changed
    COMPLETE = "complete"  # from discovery: all entries
    STORED = "stored"  # from the node's own storage: all entries of an earlier endpoint list


class NodeStarted(NamedTuple):
    """A node starts.

    Attributes:
        seed: The seed of the node's random source.
        settings: The settings of the deployment, not yet checked.
    """

    seed: int
    settings: dict[str, Any]


class NodeKilled(NamedTuple):
    """A node has been killed."""


class EndpointRow(NamedTuple):
    """An upstream's entry in an endpoint list.

    Attributes:
        upstream: The name of the upstream.
        zone: The name of its zone; None if unknown.
        cell: The number of its cell; None if unknown.
        state_name: The name of its state on the wire, which `protocol.endpoint_state` decodes.
        size: Its capacity, in units of a standard upstream's capacity; None if unknown.
        started_at: When it started, in microseconds; None if unknown.
    """

    upstream: str
    zone: str | None
    cell: int | None
    state_name: str
    size: float | None
    started_at: int | None


class EndpointListDefined(NamedTuple):
    """An endpoint list, defined under a slot number by which later messages to any node refer to it."""

    slot: int
    endpoints: list[EndpointRow]


class EndpointListReceived(NamedTuple):
    """A node has received the endpoint list that is defined under a slot."""

    slot: int | None
    kind: EndpointListKind


class DiscoveryFailed(NamedTuple):
    """A node's call to discovery has failed."""


class SessionDescription(NamedTuple):
    """A session as the simulator describes it.

    Attributes:
        handle: The simulator's identifier of the session.
        traffic_class: The name of its traffic class.
        key: The client's key, if any.
        group: The group whose sessions share work on an upstream, if any.
        deadline: When its client must have its final answer, in microseconds; 0 if there is none.
        mid_flow: Whether another node has handed it over after it was established.
        load: The work that it is expected to cause, in microseconds per second; 0 if unknown.
    """

    handle: str
    traffic_class: str
    key: int | None
    group: int | None
    deadline: int
    mid_flow: bool
    load: float


class SessionRequested(NamedTuple):
    """A client asks for a session."""

    session: SessionDescription


class SessionInherited(NamedTuple):
    """A session was established at an upstream before the node started."""

    session: SessionDescription
    upstream: str


class ClientGone(NamedTuple):
    """A session's client has left."""

    handle: str


class SessionEstablished(NamedTuple):
    """An attempt has established its session."""

    handle: str


class AttemptEnded(NamedTuple):
    """An attempt, or the session that it established, has ended.

    Attributes:
        handle: The session's handle.
        outcome: How the attempt or the session ended.
        answered: Whether the client has its final answer already, so that no further attempt is made.
    """

    handle: str
    outcome: Outcome
    answered: bool


class LoadMeasured(NamedTuple):
    """The present load of an established session was measured, in microseconds of work per second."""

    handle: str
    load: float


class DelayMeasured(NamedTuple):
    """The present delay of messages at an established session's upstream was measured, in microseconds."""

    handle: str
    delay_us: int


class ProbeEnded(NamedTuple):
    """A probe of an upstream has been answered, or has failed."""

    upstream: str
    result: ProbeResult


class Ignored(NamedTuple):
    """A message that is not reported to the balancer, such as one that only wakes the node."""


Message = (
    NodeStarted
    | NodeKilled
    | EndpointListDefined
    | EndpointListReceived
    | DiscoveryFailed
    | SessionRequested
    | SessionInherited
    | ClientGone
    | SessionEstablished
    | AttemptEnded
    | LoadMeasured
    | DelayMeasured
    | ProbeEnded
    | Ignored
)
