"""A simulated node's records of its sessions and attempts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from larchlatch.emulator.node import SimulatedNode
    from larchlatch.policy.types import Session
    from larchlatch.scenario.clients import Client


@dataclass(slots=True)
class Attempt:
    """An attempt to establish a session, and the connection that it leads to.

    Attributes:
        session: The session's number.
        node: The node that sent it.
        upstream: The upstream's number.
        ends_at: When the node stops waiting for its outcome.
        is_held: Whether the upstream holds the session.
        is_established: Whether the node has received its confirmation.
        is_live: Whether outcomes of it still count.

    """

    session: int
    node: SimulatedNode
    upstream: int
    ends_at: int
    is_held: bool = False
    is_established: bool = False
    is_live: bool = True


@dataclass(slots=True)
class SessionRecord:
    """A session at a node, in flight or established.

    Attributes:
        session: The policy's view of it.
        client: The client that requested it.
        attempt: Its attempt or connection, if it has one.
        client_left: Whether its client has left without an answer.

    """

    session: Session
    client: Client
    attempt: Attempt | None = None
    client_left: bool = False
