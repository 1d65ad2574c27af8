"""The established sessions of a simulation, and the time for which they are served."""

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
        session: The number by which it holds the session.

    """

    upstream: int
    session: int


class SessionTable:
    """All sessions that are established or held by an upstream.

    Attributes:
        established: Sessions that node and upstream consider established, by number.
        forwarded: The session that an upstream still holds, by the number of the session that replaces it.

    """

    def __init__(
        self,
        clock: SimulationClock,
        upstreams: Sequence[SimulatedUpstream],
        figures: SessionFigures,
        group_load: float,
    ) -> None:
        """Track the sessions of these upstreams; `group_load` is the work per second of each group."""
        self.established: dict[int, EstablishedSession] = {}
        self.forwarded: dict[int, ForwardedSession] = {}
        self._clock = clock
        self._upstreams = upstreams
        self._figures = figures
        self._group_load = group_load
        self._counted_until = [clock.now] * len(upstreams)

    def established_at(self, upstream: SimulatedUpstream) -> list[EstablishedSession]:
        """Return the established sessions of an upstream."""
        return [self.established[number] for number in upstream.sessions if number in self.established]

    def count_served_time(self, upstream: SimulatedUpstream) -> None:
        """Count the served time of an upstream's sessions; called before the upstream changes."""
        now, since = self._clock.now, self._counted_until[upstream.number]
        self._counted_until[upstream.number] = now
        if upstream.sessions and upstream.condition is Condition.HEALTHY:
            overload = max(1.0, upstream.utilization(now))
            self._figures.served_us += len(upstream.sessions) * (now - since) / overload

    def hold(self, upstream: SimulatedUpstream, number: int, client: Client) -> None:
        """Add a client's session to an upstream."""
        self.count_served_time(upstream)
        upstream.add_session(number, client.load, client.group, self._group_load)

    def release(self, upstream_number: int, number: int, client: Client) -> None:
        """Remove a client's session from an upstream, if it is there."""
        upstream = self._upstreams[upstream_number]
        self.count_served_time(upstream)
        upstream.remove_session(number, client.group, self._group_load)

    def release_forwarded(self, number: int, client: Client) -> None:
        """Remove the earlier session of a forwarded one from its upstream, if there is one."""
        forwarded = self.forwarded.pop(number, None)
        if forwarded is not None:
            self.release(forwarded.upstream, forwarded.session, client)
