"""Changes the state of simulated upstreams: slowdown, silence, crash, start, drain and removal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.emulator.clock import Priority
from larchlatch.policy.types import EndpointState, Outcome
from larchlatch.scenario.upstreams import Condition

if TYPE_CHECKING:
    from collections.abc import Iterable

    from larchlatch.emulator.context import SimulationContext
    from larchlatch.emulator.discovery import SimulatedDiscovery
    from larchlatch.emulator.session_table import EstablishedSession
    from larchlatch.emulator.silence_detection import SilenceDetection
    from larchlatch.scenario.upstreams import SimulatedUpstream


class UpstreamFleet:
    """Changes the state of upstreams, and notifies discovery and the nodes with sessions there."""

    def __init__(
        self, context: SimulationContext, discovery: SimulatedDiscovery, silence: SilenceDetection
    ) -> None:
        self._context = context
        self._sessions = context.sessions
        self._discovery = discovery
        self._silence = silence

    def slow_down(self, upstream: SimulatedUpstream, factor: float) -> None:
        """Multiply the time that an upstream takes for its work."""
        self._sessions.count_served_time(upstream)
        upstream.slowness *= factor

    def silence(self, upstream: SimulatedUpstream) -> None:
        """Make an upstream stop answering."""
        self._sessions.count_served_time(upstream)
        upstream.condition = Condition.SILENT
        incarnation = upstream.incarnation
        self._silence.begin(
            self._sessions.established_on(upstream), lambda _: upstream.incarnation == incarnation
        )

    def crash(self, upstream: SimulatedUpstream) -> None:
        """End an upstream's process."""
        established = self._sessions.established_on(upstream)
        self._sessions.count_served_time(upstream)
        upstream.condition = Condition.CRASHED
        upstream.stop()
        self.reset_sessions(upstream, established)

    def bring_up(self, upstream: SimulatedUpstream) -> None:
        """Start an upstream anew, in slow start; reset sessions that nodes still consider established."""
        established = self._sessions.established_on(upstream)
        self._sessions.count_served_time(upstream)
        upstream.start(self._context.clock.now)
        self.reset_sessions(upstream, established)
        self._discovery.change(upstream, EndpointState.READY)

    def drain(self, upstream: SimulatedUpstream) -> None:
        """Make an upstream reject new sessions, and list it as draining."""
        upstream.draining = True
        self._discovery.change(upstream, EndpointState.DRAINING)

    def retire(self, upstream: SimulatedUpstream) -> None:
        """Stop an upstream and remove it from the endpoint list."""
        established = self._sessions.established_on(upstream)
        self._sessions.count_served_time(upstream)
        upstream.stop()
        upstream.condition = Condition.ABSENT
        self.reset_sessions(upstream, established)
        self._discovery.change(upstream, EndpointState.GONE)

    def reset_sessions(self, upstream: SimulatedUpstream, sessions: Iterable[EstablishedSession]) -> None:
        """Notify the nodes of these sessions that the upstream has reset the connections."""
        clock = self._context.clock
        for record, node in sessions:
            arrives_at = clock.now + self._context.topology.latency_us(node.zone, upstream.zone)
            receive = node.receive_outcome
            clock.schedule(arrives_at, Priority.NOTIFICATION, receive, record.attempt, Outcome.RESET)
