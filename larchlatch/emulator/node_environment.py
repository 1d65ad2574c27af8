"""The interfaces of a simulated node to clients, upstreams, discovery and the cluster."""

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
    """Receives a node's answers to its clients."""

    def on_established(self, record: SessionRecord, attempt: Attempt) -> None:
        """Handle that a session is established."""
        ...

    def on_dropped(self, record: SessionRecord) -> None:
        """Handle that an upstream has ended an established session."""
        ...

    def on_migrated(self, record: SessionRecord) -> None:
        """Handle the request to reconnect, as an established session is migrated."""
        ...

    def on_shed(self, record: SessionRecord, retry_after_us: int) -> None:
        """Handle the answer that nothing was executed, with an advised pause or 0."""
        ...

    def on_failed(self, record: SessionRecord) -> None:
        """Handle the answer that a session failed."""
        ...


class UpstreamSide(Protocol):
    """Carries attempts and probes to upstreams."""

    def send_attempt(self, record: SessionRecord, attempt: Attempt) -> None:
        """Send an attempt to its upstream."""
        ...

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        ...

    def send_probe(self, node: SimulatedNode, upstream: int) -> None:
        """Send a probe to an upstream."""
        ...


class ClusterSide(Protocol):
    """The cluster side of a node."""

    def admit(self, session: int, traffic_class: int) -> int:
        """Return 0 if the quotas admit a session, else the microseconds after which to retry."""
        ...

    def update_endpoints(self, upstreams: Sequence[int], started_at: int) -> None:
        """Update the ready upstreams and the start time of the latest of them."""
        ...

    def request_token(self, session: int, candidates: Sequence[TokenCandidate]) -> None:
        """Request a slow-start token."""
        ...

    def observe_reachability(self, upstream: int, *, reached: bool | None) -> None:
        """Record whether an upstream was reached; None if it fell silent."""
        ...


class DiscoverySide(Protocol):
    """Delivers the endpoint list."""

    def send_whole_list(self, node: SimulatedNode) -> None:
        """Send the whole endpoint list to a node."""
        ...


@dataclass(frozen=True, slots=True)
class NodeEnvironment:
    """Everything that a node is connected to from its start."""

    clock: SimulationClock
    rules: SessionRules
    clients: ClientSide
    upstreams: UpstreamSide
    discovery: DiscoverySide
