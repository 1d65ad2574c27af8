"""What the parts of an upstream's actor share of its entry in the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class UpstreamTarget:
    """An upstream as attempts and probes reach it; its actor alone changes it, as the endpoint list does.

    Attributes:
        number: its number in the node's registry.
        name: its name in the endpoint list.
        address: host and port to connect to.
        accepts_sessions: whether the list last said that it is ready for new sessions.

    """

    number: int
    name: str
    address: tuple[str, int]
    accepts_sessions: bool = True
