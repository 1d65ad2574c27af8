"""Tracks the established sessions of a simulation and for how long they are served."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from larchlatch.scenario.upstreams import Condition

if TYPE_CHECKING:
    from collections.abc import Sequence

    from larchlatch.emulator.clock import SimulationClock
    from larchlatch.emulator.node import SimulatedNode
    from larchlatch.emulator.session_record import SessionRecord
    from larchlatch.invariants.session_figures import SessionFigures
    from larchlatch.scenario.clients import Client
    from larchlatch.scenario.upstreams import SimulatedUpstream


class EstablishedSession(NamedTuple):
    """An established session and its node."""

    record: SessionRecord
    node: SimulatedNode


class ForwardedSession(NamedTuple):
    """A session whose node died: an upstream still holds it, and its packets take another node.

    Attributes:
        upstream: The number of the upstream.
        session: The number under which the upstream holds the session.

    """

    upstream: int
    session: int


class SessionTable:
    """All sessions that are established or held by an upstream.

    Attributes:
        established: The sessions whose clients have been told that they are established, by number.
        forwarded: The sessions of dead nodes that upstreams still hold, by the number of the session that
            replaces each of them.

    """

    def __init__(
        self,
        clock: SimulationClock,
        upstreams: Sequence[SimulatedUpstream],
        figures: SessionFigures,
        group_load: float,
    ) -> None:
        """Track the sessions of these upstreams.

        Args:
            clock: The simulated clock.
            upstreams: All upstreams, by number.
            figures: Where the served time is counted.
            group_load: Work that each group causes at an upstream, in microseconds per second.

        """
        self.established: dict[int, EstablishedSession] = {}
        self.forwarded: dict[int, ForwardedSession] = {}
        self._clock = clock
        self._upstreams = upstreams
        self._figures = figures
        self._group_load = group_load
        self._counted_until = [clock.now] * len(upstreams)

    def established_on(self, upstream: SimulatedUpstream) -> list[EstablishedSession]:
        """Return the established sessions of an upstream."""
        return [self.established[number] for number in upstream.sessions if number in self.established]

    def count_served_time(self, upstream: SimulatedUpstream) -> None:
        """Count the time for which an upstream's sessions were served since the last call.

        To be called before the upstream's sessions, speed or condition change. Time under overload counts in
        part.
        """
        now, since = self._clock.now, self._counted_until[upstream.number]
        self._counted_until[upstream.number] = now
        if upstream.sessions and upstream.condition is Condition.HEALTHY:
            overload = max(1.0, upstream.utilization(now))
            self._figures.served_us += len(upstream.sessions) * (now - since) / overload

    def hold(self, upstream: SimulatedUpstream, number: int, client: Client) -> None:
        """Add a client's session to the sessions that an upstream holds."""
        self.count_served_time(upstream)
        upstream.add_session(number, client.load, client.group, self._group_load)

    def release(self, upstream_number: int, number: int, client: Client) -> None:
        """Remove a client's session from an upstream, if the upstream holds it."""
        upstream = self._upstreams[upstream_number]
        self.count_served_time(upstream)
        upstream.remove_session(number, client.group, self._group_load)

    def release_forwarded(self, number: int, client: Client) -> None:
        """Remove the earlier session that a session replaces from its upstream, if there is one."""
        forwarded = self.forwarded.pop(number, None)
        if forwarded is not None:
            self.release(forwarded.upstream, forwarded.session, client)
