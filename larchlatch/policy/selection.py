"""Finds the candidates of a session on the hash ring, and chooses an upstream for it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from itertools import chain, islice
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from larchlatch.policy.health import is_healthy, is_unreachable
from larchlatch.policy.load import CROWDED_UTILIZATION, NEARLY_FULL, with_recent_reports
from larchlatch.policy.ring import CANDIDATE_COUNT
from larchlatch.policy.structures import HASH_RANGE
from larchlatch.policy.upstream import Candidates

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from random import Random

    from larchlatch.policy.load import FleetLoad, LoadEstimator
    from larchlatch.policy.ring import UpstreamRing
    from larchlatch.policy.slow_start import SlowStart
    from larchlatch.policy.types import Session
    from larchlatch.policy.upstream import Fleet, Upstream

MASTER_LOAD_TOLERANCE = 1.2  # ratio of the master's load to the second's above which the second is chosen

# Utilizations, as load reports state them.
LEAST_CROWDED_UTILIZATION = 0.5  # lowest crowded threshold of a placement; the highest is CROWDED_UTILIZATION
SPARE_CAPACITY_UTILIZATION = 0.6  # healthy upstreams with a mean report below this have capacity to spare


class Preference(IntEnum):
    """The order of preference among healthy upstreams if a placement finds all of them crowded."""

    CANDIDATE_NOT_FULL = 0
    NOT_FULL = 1
    FULL = 2


@dataclass(eq=False)
class UpstreamSelector:
    """Chooses an upstream for a session, and has no state of its own.

    Attributes:
        fleet: All upstreams.
        ring: Finds the upstreams of a session on the ring.
        load: Estimates the load of upstreams.
        slow_start: Limits the sessions that upstreams in slow start may take.
        random: The source of random draws.
    """

    fleet: Fleet
    ring: UpstreamRing
    load: LoadEstimator
    slow_start: SlowStart
    random: Random

    def ring_walk(self, now: int, session: Session) -> Iterator[Upstream]:
        """Return the ready upstreams clockwise from a session's position on the ring.

        For the first attempt of a session that another node has handed over, upstreams in slow start are left
        out unless they are the majority: the session was placed when they had not started yet.
        """
        successors = self.ring.successors(session)
        return self._prefer_warm(now, successors) if is_first_of_handed_over(session) else successors

    def candidates(
        self, now: int, session: Session, ring_walk: Iterator[Upstream] | None = None
    ) -> Candidates:
        """Return the reachable candidates of a session.

        A large group is spread over more upstreams, so that none has more of its sessions than the average
        upstream has sessions in all.

        Args:
            now: The present time in microseconds.
            session: The session.
            ring_walk: The upstreams to choose from, in the order of the ring; by default all ready ones.
        """
        if ring_walk is None:
            ring_walk = self.ring.successors(session)
        fair_share = int(self.ring.share(session) * len(self.fleet.ready))
        count = max(CANDIDATE_COUNT, fair_share)
        reachable = (upstream for upstream in ring_walk if not is_unreachable(now, upstream))
        near = list(islice(reachable, count))
        if count > CANDIDATE_COUNT:
            key = (session.key or 0) % HASH_RANGE
            near.sort(key=lambda upstream: xxh3_64_intdigest(upstream.name.encode(), key))
        return Candidates(near[:CANDIDATE_COUNT], near[CANDIDATE_COUNT:], ring_walk)

    def choose(self, now: int, session: Session, candidates: Candidates) -> Upstream | None:
        """Return the less loaded of master and second, or another upstream if neither can take the session.

        The result is None if no upstream may take the session now.
        """
        usable = [other for other in candidates.pair if self.slow_start.may_take(now, other, session)]
        if is_first_of_handed_over(session):
            return usable[0] if usable else None
        if session.attempt_count and len(usable) > 1:
            usable = [upstream for upstream in usable if upstream.number != session.upstream]
        fleet_load = self.load.fleet_load(now)
        max_utilization = self._crowded_threshold(now, fleet_load)
        healthy = [upstream for upstream in usable if is_healthy(now, upstream)]
        free = [
            upstream
            for upstream in healthy
            if not self.load.is_crowded(now, upstream, fleet_load, max_utilization=max_utilization)
        ]
        if free:
            return self._less_loaded(now, free, fleet_load)
        for upstream in self._available_fallbacks(now, session, candidates):
            if not self.load.is_crowded(now, upstream, fleet_load, max_utilization=max_utilization):
                return upstream
            healthy.append(upstream)
        return self._most_preferred(now, healthy, candidates.pair, fleet_load)

    def fallback_upstreams(
        self, now: int, near: list[Upstream], rest_of_ring: Iterator[Upstream]
    ) -> Iterable[Upstream]:
        """Return the upstreams to which a session may be sent instead of its candidates.

        If many upstreams are unhealthy and the healthy ones lack capacity, these are only the near ones. At
        any other upstream, the session would cause the work of its group once more.

        Args:
            now: The present time in microseconds.
            near: Upstreams over which the session's group is spread.
            rest_of_ring: The rest of the ring walk.
        """
        present = [upstream for upstream in self.fleet.ready if not is_unreachable(now, upstream)]
        healthy = [upstream for upstream in present if is_healthy(now, upstream)]
        many_are_unhealthy = 4 * len(healthy) <= 3 * len(present)
        if many_are_unhealthy and not _have_capacity(now, healthy):
            return near
        return chain(near, rest_of_ring)

    def _prefer_warm(self, now: int, successors: Iterable[Upstream]) -> Iterator[Upstream]:
        """Return the warm upstreams of a ring walk, or all its upstreams if fewer than half are warm."""
        upstreams = list(successors)
        warm_upstreams = [upstream for upstream in upstreams if self.slow_start.is_warm(now, upstream)]
        most_are_warm = 2 * len(warm_upstreams) >= len(upstreams)
        return iter(warm_upstreams if most_are_warm else upstreams)

    def _crowded_threshold(self, now: int, fleet_load: FleetLoad) -> float:
        """Return the utilization above which an upstream counts as crowded for one placement.

        Many nodes read the same load report within a short time. Each placement draws a random threshold so
        that they don't all react in the same way, unless the fleet lacks capacity or an upstream is in slow
        start.
        """
        has_capacity = fleet_load.reports_below(NEARLY_FULL)
        if has_capacity and all(self.slow_start.is_warm(now, upstream) for upstream in self.fleet.ready):
            return self.random.uniform(LEAST_CROWDED_UTILIZATION, CROWDED_UTILIZATION)
        return CROWDED_UTILIZATION

    def _less_loaded(self, now: int, free: list[Upstream], fleet_load: FleetLoad) -> Upstream:
        """Return the first of the free candidates, or the second if the first is clearly more loaded."""
        if len(free) == 1:
            return free[0]
        master, second = free
        master_load = self.load.estimate(now, master, fleet_load)
        second_load = self.load.estimate(now, second, fleet_load)
        return second if master_load > MASTER_LOAD_TOLERANCE * second_load else master

    def _available_fallbacks(self, now: int, session: Session, candidates: Candidates) -> Iterator[Upstream]:
        """Yield the healthy upstreams, other than its candidates, that may take a session."""
        for upstream in self.fallback_upstreams(now, candidates.spread, candidates.rest_of_ring):
            is_available = is_healthy(now, upstream) and not is_unreachable(now, upstream)
            if is_available and self.slow_start.may_take(now, upstream, session, candidate=False):
                yield upstream

    def _most_preferred(
        self, now: int, upstreams: list[Upstream], pair: list[Upstream], fleet_load: FleetLoad
    ) -> Upstream | None:
        """Return the least loaded of the most preferred upstreams; None if there are no upstreams."""

        def preference(upstream: Upstream) -> tuple[Preference, float]:
            load = self.load.estimate(now, upstream, fleet_load)
            if self.load.is_crowded(now, upstream, fleet_load, max_utilization=CROWDED_UTILIZATION):
                return Preference.FULL, load
            is_candidate = upstream in pair
            return (Preference.CANDIDATE_NOT_FULL if is_candidate else Preference.NOT_FULL), load

        return min(upstreams, key=preference, default=None)


def is_first_of_handed_over(session: Session) -> bool:
    """Return whether this is the first attempt of a session that another node has handed over."""
    return session.mid_flow and not session.attempt_count


def _have_capacity(now: int, healthy: list[Upstream]) -> bool:
    """Return whether these upstreams report free capacity on average; False without reports."""
    reports = [upstream.utilization for upstream in with_recent_reports(now, healthy)]
    return sum(reports) < SPARE_CAPACITY_UTILIZATION * len(reports)
