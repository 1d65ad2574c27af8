"""Defines the interfaces of a simulated node to clients, upstreams, discovery and the cluster."""

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
    """Receives the answers that a node sends to its clients."""

    def on_established(self, record: SessionRecord, attempt: Attempt) -> None:
        """Handle that a session is established."""
        ...

    def on_dropped(self, record: SessionRecord) -> None:
        """Handle that an upstream has ended an established session."""
        ...

    def on_migrated(self, record: SessionRecord) -> None:
        """Handle a node's request to reconnect, by which it migrates an established session."""
        ...

    def on_shed(self, record: SessionRecord, retry_after_us: int) -> None:
        """Handle the answer that nothing was executed.

        Args:
            record: The session.
            retry_after_us: The advised pause before a retry, in microseconds; 0 for no advice.

        """
        ...

    def on_failed(self, record: SessionRecord) -> None:
        """Handle the answer that a session failed and that an attempt may have been executed."""
        ...


class UpstreamSide(Protocol):
    """Carries a node's attempts and probes to upstreams."""

    def send_attempt(self, record: SessionRecord, attempt: Attempt) -> None:
        """Send an attempt to its upstream."""
        ...

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt that is not established yet."""
        ...

    def send_probe(self, node: SimulatedNode, upstream: int) -> None:
        """Send a probe to an upstream."""
        ...


class ClusterSide(Protocol):
    """A node's member of the cluster: admits sessions by quota, requests tokens and reports reachability."""

    def admit(self, session: int, traffic_class: int) -> int:
        """Return 0 if the quotas admit a session, else the pause before a retry, in microseconds."""
        ...

    def update_endpoints(self, upstreams: Sequence[int], started_at: int) -> None:
        """Set the ready upstreams and the start time of the one that started last; 0 for long ago."""
        ...

    def request_token(self, session: int, candidates: Sequence[TokenCandidate]) -> None:
        """Request a slow-start token for a session at one of its candidates."""
        ...

    def observe_reachability(self, upstream: int, *, reached: bool | None) -> None:
        """Record whether an upstream was reached; None if it stopped answering messages."""
        ...


class DiscoverySide(Protocol):
    """Delivers the endpoint list to nodes."""

    def send_whole_list(self, node: SimulatedNode) -> None:
        """Send the whole endpoint list to a node."""
        ...


@dataclass(frozen=True, slots=True)
class NodeEnvironment:
    """The clock, rule checks and interfaces that all nodes of a simulation share."""

    clock: SimulationClock
    rules: SessionRules
    clients: ClientSide
    upstreams: UpstreamSide
    discovery: DiscoverySide
