"""The consistent hash ring (SCALE, section 4.3), and the affinity keys that place sessions on it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from larchlatch.policy.structures import HASH_RANGE, HashRing
from larchlatch.policy.types import EndpointState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from random import Random

    from larchlatch.policy.types import DeploymentSettings, Session
    from larchlatch.policy.upstream import Fleet, Upstream

CANDIDATE_COUNT = 2  # master and second

# Ring points of an upstream.
POINTS_PER_SIZE = 32  # arcs of upstreams of one size then differ by about an eighth
MAX_POINTS = 512  # bounds the time of a rebuild to a few milliseconds

# Sessions by which the size of a group is judged.
RECENT_SESSIONS = 64  # a group of a twentieth of all sessions shows among as many
PRIOR_SESSIONS = 8.0  # usual sessions added to counts, as small counts vary by about that


@dataclass(eq=False)
class UpstreamRing:
    """Finds the upstreams near a session; owns the ring points and the affinity keys of recent sessions.

    Attributes:
        settings: The deployment settings.
        fleet: All upstreams.
        random: The source of random draws, for sessions without an affinity key.
        hash_ring: The ring points of upstreams by their numbers.
        recent_keys: Affinity keys of the sessions established last. The open ones would not do: one node of
            hundreds holds too few of them.
    """

    settings: DeploymentSettings
    fleet: Fleet
    random: Random
    hash_ring: HashRing = field(default_factory=HashRing)
    recent_keys: deque[int] = field(default_factory=lambda: deque(maxlen=RECENT_SESSIONS))

    def successors(self, session: Session) -> Iterator[Upstream]:
        """Return the distinct ready upstreams clockwise from a session's place on the ring.

        A session without an affinity key is placed at random.
        """
        position = self._position(session)
        upstreams = map(self.fleet.upstreams.__getitem__, self.hash_ring.successors(position))
        return (upstream for upstream in upstreams if upstream.state is EndpointState.READY)

    def affinity_key(self, session: Session) -> int:
        """Return what a session shares its place on the ring by: its group, else its client's key, else 0."""
        if self.settings.uses_groups and session.group:
            return session.group
        return session.key or 0

    def share(self, session: Session) -> float:
        """Return the share of the recent sessions that have this session's affinity key."""
        key = self.affinity_key(session)
        if not key:
            return 0.0
        return self.recent_keys.count(key) / (len(self.recent_keys) + PRIOR_SESSIONS)

    def record_established(self, session: Session) -> None:
        """Count a session among the recent ones."""
        self.recent_keys.append(self.affinity_key(session))

    def update(self, updated: Iterable[Upstream]) -> None:
        """Give those of the updated upstreams that are new or resized their ring points."""
        present = [upstream for upstream in updated if upstream.state is not EndpointState.GONE]
        changed = [upstream for upstream in present if upstream.ring_points != self._point_count(upstream)]
        if changed:
            self._rebuild(changed)

    def _position(self, session: Session) -> int:
        key = self.affinity_key(session)
        if not key:
            return int(self.random.uniform(0, HASH_RANGE))
        return xxh3_64_intdigest(key.to_bytes(8, "big"))

    def _rebuild(self, changed: list[Upstream]) -> None:
        """Replace the ring points of changed upstreams, and remove those of upstreams that are gone.

        Upstreams that go keep their points until the next rebuild, and walks pass over them: a rebuild for
        each list would cost more than all placements.
        """
        gone = [other for other in self.fleet.upstreams.values() if other.state is EndpointState.GONE]
        self.hash_ring.remove({upstream.number for upstream in gone + changed})
        for upstream in gone:
            upstream.ring_points = 0
        for upstream in changed:
            upstream.ring_points = self._point_count(upstream)
            self.hash_ring.add(upstream.number, upstream.name, upstream.ring_points)
        self.hash_ring.sort()

    def _point_count(self, upstream: Upstream) -> int:
        """Return how many ring points an upstream has, by its own size alone: a change remaps locally."""
        if not self.settings.weighted:
            return POINTS_PER_SIZE
        return min(MAX_POINTS, max(1, round(POINTS_PER_SIZE * upstream.size)))
