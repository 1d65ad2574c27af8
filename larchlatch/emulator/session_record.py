"""Defines a simulated node's records of its sessions and attempts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from larchlatch.emulator.node import SimulatedNode
    from larchlatch.policy.types import Session
    from larchlatch.scenario.clients import Client


@dataclass(slots=True)
class Attempt:
    """An attempt to establish a session, and the connection to the upstream that results from it.

    Attributes:
        session: The session's number.
        node: The node that sent it.
        upstream: The upstream's number.
        ends_at: When it times out, in microseconds.
        is_held: Whether the upstream holds the session.
        is_established: Whether the node has received the confirmation of the session.
        is_live: Whether the node still accepts an outcome of it.

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
    """A session at a node, established or not.

    Attributes:
        session: The session's state, which the policy reads and changes.
        client: The client that requested it.
        attempt: Its attempt in flight or established connection; None if it has neither.
        client_left: Whether the client gave up at its deadline, as the node was paused.

    """

    session: Session
    client: Client
    attempt: Attempt | None = None
    client_left: bool = False
