"""Typed messages of the simulator to a node. `protocol` makes them of the rows of the wire."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from larchlatch.policy.types import Outcome, ProbeResult


class EndpointListKind(Enum):
    """Where an announced endpoint list comes from, and whether it is complete."""

    CHANGES = "changes"
    COMPLETE = "complete"
    STORED = "stored"


class NodeStarted(NamedTuple):
    """A node starts.

    Attributes:
        seed: The seed of its random choices.
        settings: The deployment's settings, not yet checked.
    """

    seed: int
    settings: dict[str, Any]


class NodeKilled(NamedTuple):
    """A node has been killed."""


class EndpointRow(NamedTuple):
    """An upstream's entry in an endpoint list; `protocol.endpoint_state` reads the name of its state."""

    upstream: str
    zone: str | None
    cell: int | None
    state_name: str
    size: float | None
    started_at: int | None


class EndpointListDefined(NamedTuple):
    """The content of a list, which later messages to any node refer to by its slot."""

    slot: int
    endpoints: list[EndpointRow]


class EndpointListReceived(NamedTuple):
    """A node has received the endpoint list that was defined under a slot."""

    slot: int | None
    kind: EndpointListKind


class DiscoveryFailed(NamedTuple):
    """A node's call to discovery has failed."""


class SessionDescription(NamedTuple):
    """What the wire tells of a session.

    Attributes:
        handle: The simulator's name for it.
        traffic_class: The name of its traffic class.
        key: The client's key, if any.
        group: The group that it shares work with, if any.
        deadline: When its client must have its final answer, in microseconds; 0 if there is none.
        mid_flow: Whether it was established at another node before.
        load: The hint at its load, in microseconds of work a second; 0 if there is none.
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
        outcome: How it ended.
        answered: Whether the client has its final answer by that.
    """

    handle: str
    outcome: Outcome
    answered: bool


class LoadMeasured(NamedTuple):
    """An established session's present load, in microseconds of work a second."""

    handle: str
    load: float


class DelayMeasured(NamedTuple):
    """The present delay of messages at an established session's upstream, in microseconds."""

    handle: str
    delay_us: int


class ProbeEnded(NamedTuple):
    """A probe of an upstream has been answered, or has failed."""

    upstream: str
    result: ProbeResult


class Ignored(NamedTuple):
    """A message that the balancer has no use for."""


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
