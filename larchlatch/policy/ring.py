"""Maintains the consistent hash ring (SCALE, section 4.3), on which sessions are placed by affinity key."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from itertools import chain
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from larchlatch.policy.structures import HASH_RANGE, HashRing, RingMember
from larchlatch.policy.types import EndpointState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from random import Random

    from larchlatch.policy.types import DeploymentSettings, Session
    from larchlatch.policy.upstream import Fleet, Upstream

CANDIDATE_COUNT = 2  # a preferred upstream (the master) and an alternative (the second)

# Ring points of an upstream.
POINTS_PER_SIZE = 32  # with these, the shares of equal upstreams differ by about an eighth
MAX_POINTS = 512  # limits the time that a change of one upstream takes

# Estimates of the size of a group.
RECENT_SESSIONS = 64  # enough to detect a group that makes up a twentieth of all sessions
PRIOR_SESSIONS = 8.0  # average sessions added to counts, as small counts vary by about that many


@dataclass(eq=False)
class UpstreamRing:
    """Finds the upstreams of a session on the ring; owns the ring and the affinity keys of recent sessions.

    Attributes:
        settings: The deployment settings.
        fleet: All upstreams.
        random: The source of random draws, for sessions without an affinity key.
        hash_ring: The ring points of upstreams, with their numbers as members.
        recent_keys: The affinity keys of the most recently established sessions. Open sessions would not be
            enough to estimate the size of a group, as one node of hundreds holds too few of them.
    """

    settings: DeploymentSettings
    fleet: Fleet
    random: Random
    hash_ring: HashRing = field(default_factory=HashRing)
    recent_keys: deque[int] = field(default_factory=lambda: deque(maxlen=RECENT_SESSIONS))

    def successors(self, session: Session) -> Iterator[Upstream]:
        """Return the distinct ready upstreams clockwise from a session's position on the ring.

        A session without an affinity key gets a random position.
        """
        position = self._position(session)
        upstreams = map(self.fleet.upstreams.__getitem__, self.hash_ring.successors(position))
        return (upstream for upstream in upstreams if upstream.state is EndpointState.READY)

    def affinity_key(self, session: Session) -> int:
        """Return the key that sets a session's ring position: its group, else its client's key, else 0."""
        if self.settings.uses_groups and session.group:
            return session.group
        return session.key or 0

    def share(self, session: Session) -> float:
        """Return the share of recent sessions with this session's affinity key; 0 if it has no such key."""
        key = self.affinity_key(session)
        if not key:
            return 0.0
        return self.recent_keys.count(key) / (len(self.recent_keys) + PRIOR_SESSIONS)

    def record_established(self, session: Session) -> None:
        """Record a session that has been established as a recent one."""
        self.recent_keys.append(self.affinity_key(session))

    def update(self, updated: Iterable[Upstream], gone: Iterable[Upstream] = ()) -> None:
        """Move the ring points of upstreams that are new or have another size, and remove those of gone ones.

        Args:
            updated: The upstreams that an endpoint list names.
            gone: The other upstreams that are gone since the last update.
        """
        removed: list[RingMember] = []
        added: list[RingMember] = []
        for upstream in chain(updated, gone):
            point_count = self._point_count(upstream)
            if upstream.ring_points == point_count:
                continue
            if upstream.ring_points:
                removed.append(_ring_member(upstream))
            upstream.ring_points = point_count
            if point_count:
                added.append(_ring_member(upstream))
        if removed or added:
            self.hash_ring.change(removed=removed, added=added)

    def _position(self, session: Session) -> int:
        key = self.affinity_key(session)
        if not key:
            return int(self.random.uniform(0, HASH_RANGE))
        return xxh3_64_intdigest(key.to_bytes(8, "big"))

    def _point_count(self, upstream: Upstream) -> int:
        """Return the number of ring points of an upstream; 0 if it is gone.

        It depends on this upstream alone, so that a change of one upstream remaps few sessions.
        """
        if upstream.state is EndpointState.GONE:
            return 0
        if not self.settings.weighted:
            return POINTS_PER_SIZE
        return min(MAX_POINTS, max(1, round(POINTS_PER_SIZE * upstream.size)))


def _ring_member(upstream: Upstream) -> RingMember:
    return RingMember(upstream.number, upstream.name, upstream.ring_points)
