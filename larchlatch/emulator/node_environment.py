"""What a simulated node is connected to: clients, upstreams, discovery and its member of the cluster."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from larchlatch.emulator.clock import SimulationClock
    from larchlatch.emulator.node import SimulatedNode
    from larchlatch.emulator.session_record import Attempt, SessionRecord
    from larchlatch.emulator.session_rules import SessionRules
    from larchlatch.policy.types import TokenCandidate


class ClientSide(Protocol):
    """What a node's clients learn."""

    def on_established(self, record: SessionRecord, attempt: Attempt) -> None:
        """Tell a client that its session is established."""
        ...

    def on_dropped(self, record: SessionRecord) -> None:
        """End an established session from the upstream's side."""
        ...

    def on_migrated(self, record: SessionRecord) -> None:
        """Ask a client to reconnect, as its session is migrated."""
        ...

    def on_shed(self, record: SessionRecord, retry_after_us: int) -> None:
        """Tell a client that nothing has run, and when to come back; 0 for no advice."""
        ...

    def on_failed(self, record: SessionRecord) -> None:
        """Tell a client that its session failed."""
        ...


class UpstreamSide(Protocol):
    """The network to upstreams."""

    def send_attempt(self, record: SessionRecord, attempt: Attempt) -> None:
        """Send an attempt to its upstream."""
        ...

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Give an attempt up."""
        ...

    def send_probe(self, node: SimulatedNode, upstream: int) -> None:
        """Send a probe to an upstream."""
        ...


class ClusterSide(Protocol):
    """The node's member of the cluster."""

    def admit(self, session: int, traffic_class: int) -> int:
        """Return 0 if the quotas admit a session, else after how many microseconds to come back."""
        ...

    def update_endpoints(self, upstreams: Sequence[int], started_at: int) -> None:
        """Take the ready upstreams, and when the last of them started."""
        ...

    def request_token(self, session: int, candidates: Sequence[TokenCandidate]) -> None:
        """Ask for a slow-start token."""
        ...

    def observe_reachability(self, upstream: int, *, reached: bool | None) -> None:
        """Take whether an upstream was reached; None if it fell silent."""
        ...


class DiscoverySide(Protocol):
    """The discovery service."""

    def send_whole_list(self, node: SimulatedNode) -> None:
        """Send the whole endpoint list to a node."""
        ...


@dataclass(frozen=True, slots=True)
class NodeEnvironment:
    """All that a node is connected to."""

    clock: SimulationClock
    rules: SessionRules
    clients: ClientSide
    upstreams: UpstreamSide
    discovery: DiscoverySide
