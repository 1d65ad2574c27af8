"""The upstreams that a node knows: their numbers, their endpoint entries and their actors."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

import structlog

from larchlatch.config.deployment import zone_number
from larchlatch.config.endpoints import EndpointEntry, EndpointList
from larchlatch.node.upstream_actor import UpstreamActor
from larchlatch.node.upstream_context import UpstreamContext, UpstreamTarget
from larchlatch.policy.types import Endpoint, EndpointState, ReleasedUpstreams

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from anyio.abc import TaskGroup

    from larchlatch.config.upstream import UpstreamSettings
    from larchlatch.node.descriptor_budget import DescriptorBudget
    from larchlatch.node.messages import Post
    from larchlatch.node.metrics import Counters

log = structlog.get_logger()


class UpstreamRegistry:
    """Keeps the number, the last endpoint entry and the actor of each upstream.

    An upstream that has left the list keeps them while the balancer needs them: its actor until it has no
    session any more, and its number and entry until the balancer has forgotten it. No number is used again.

    Attributes:
        actors: the upstreams' actors by number.
        names: the upstreams' names by number.

    """

    def __init__(
        self,
        zones: Iterable[str],
        settings: UpstreamSettings,
        descriptors: DescriptorBudget,
        counters: Counters,
        post: Post,
    ) -> None:
        self.actors: dict[int, UpstreamActor] = {}
        self.names: dict[int, str] = {}
        self._new_numbers = count()
        self._zones = {name: number for number, name in enumerate(zones)}
        self._context = UpstreamContext(settings, descriptors, counters, post)
        self._numbers: dict[str, int] = {}
        self._entries: dict[str, EndpointEntry] = {}  # the last entry of each upstream
        self._tasks: TaskGroup | None = None  # the task group in which actors run; None until `start`

    def start(self, tasks: TaskGroup) -> None:
        """Run the actors in a task group: those that exist now, and each that is created later."""
        self._tasks = tasks
        for actor in self.actors.values():
            tasks.start_soon(actor.run)

    def number_of(self, name: str) -> int | None:
        """Return the number of the upstream of this name, or None if it is unknown or has been forgotten."""
        return self._numbers.get(name)

    def actor_named(self, name: str) -> UpstreamActor | None:
        """Return the actor of the upstream of this name, or None if there is none."""
        number = self.number_of(name)
        return None if number is None else self.actors.get(number)

    def actor(self, number: int) -> UpstreamActor:
        """Return the actor of an upstream, which is started again if it has ended.

        Raises:
            KeyError: the upstream is unknown or has been forgotten.

        """
        actor = self.actors.get(number)
        if actor is None:
            actor = self._create_actor(number, self._entries[self.names[number]])
        return actor

    def endpoint_list(self, revision: int) -> EndpointList:
        """Return the complete endpoint list as this node knows it, including upstreams that are gone."""
        return EndpointList(revision, True, list(self._entries.values()))

    def ready_entries(self) -> list[EndpointEntry]:
        """Return the entries of the upstreams that are ready for new sessions."""
        return [entry for entry in self._entries.values() if entry.state is EndpointState.READY]

    def update(self, endpoints: EndpointList) -> list[Endpoint]:
        """Apply a complete endpoint list, or changes to it; return the updates for the balancer."""
        # An upstream whose new entry is unreadable keeps its known entry; otherwise it would count as gone.
        kept = [self._entries[name] for name in endpoints.unreadable if name in self._entries]
        entries = [*endpoints.endpoints, *kept]
        for entry in entries:
            self._update_entry(entry)
        if endpoints.complete:
            self._mark_gone_except({entry.name for entry in entries})
        return [self._policy_endpoint(entry) for entry in entries]

    def _update_entry(self, entry: EndpointEntry) -> None:
        log.debug(
            "endpoint_listed",
            upstream=entry.name,
            state=entry.state.name,
            size=entry.size,
            started_at=entry.started_at,
        )
        self._entries[entry.name] = entry
        number = self._numbers.get(entry.name)
        if number is None:
            number = self._numbers[entry.name] = next(self._new_numbers)
            self.names[number] = entry.name
        self.actor(number).update_target(entry.address, accepts_sessions=entry.state is EndpointState.READY)

    def release(self, released: ReleasedUpstreams) -> None:
        """End the idle actors of unused upstreams, and forget those that the balancer has forgotten."""
        for number in released.unused:
            actor = self.actors.get(number)
            if actor is not None and actor.is_idle:
                self._end_actor(number)
        for number in released.forgotten:
            self._end_actor(number)
            name = self.names.pop(number, None)
            if name is not None:
                del self._numbers[name], self._entries[name]
                log.debug("upstream_forgotten", upstream=name)

    def _end_actor(self, number: int) -> None:
        actor = self.actors.pop(number, None)
        if actor is not None:
            actor.stop()

    def _create_actor(self, number: int, entry: EndpointEntry) -> UpstreamActor:
        accepts_sessions = entry.state is EndpointState.READY
        target = UpstreamTarget(number, entry.name, entry.address, accepts_sessions=accepts_sessions)
        actor = UpstreamActor(target, self._context)
        self.actors[number] = actor
        if self._tasks is not None:
            self._tasks.start_soon(actor.run)
        return actor

    def _mark_gone_except(self, names: set[str]) -> None:
        for entry in list(self._entries.values()):
            if entry.name not in names:
                self._entries[entry.name] = entry._replace(state=EndpointState.GONE)
                actor = self.actors.get(self._numbers[entry.name])
                if actor is not None:
                    actor.refuse_sessions()

    def _policy_endpoint(self, entry: EndpointEntry) -> Endpoint:
        return Endpoint(
            self._numbers[entry.name],
            entry.name,
            zone_number(self._zones, entry.zone),
            entry.cell,
            entry.state,
            entry.size,
            entry.started_at,
        )


def slow_start_left_us(entries: Sequence[EndpointEntry], *, slow_start_us: int, now: int) -> int:
    """Return how long it takes until none of these upstreams is in slow start, in microseconds."""
    ends = [entry.started_at + slow_start_us for entry in entries if entry.started_at]
    return max(0, max(ends, default=now) - now)
