"""The candidates of a session on the ring, and the choice among them."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import chain, islice
from random import Random

from xxhash import xxh3_64_intdigest

from larchlatch.policy.load import CROWDED_UTILIZATION, NEARLY_FULL, REPORT_EXPIRES_US, LoadEstimator
from larchlatch.policy.ring import UpstreamRing
from larchlatch.policy.slow_start import SlowStart
from larchlatch.policy.types import Session
from larchlatch.policy.upstream import Candidates, Fleet, Upstream

MASTER_TIE = 1.2  # the master must be so many times as loaded as the second for that to be chosen
SPARE_UTILIZATION = 0.5  # up to which any upstream takes sessions: its mean is under that of most full days
ROOMY_UTILIZATION = 0.6  # mean of the upstreams that are well, below which they can take others' sessions


def is_fit(now: int, upstream: Upstream) -> bool:
    """Return whether an upstream is neither slow nor ejected."""
    return now >= upstream.slow_until and now >= upstream.backoff.until


def is_down(now: int, upstream: Upstream) -> bool:
    """Return whether no connection can be had: it is as good as gone until its next trial."""
    return upstream.unreachable and now < upstream.backoff.until


@dataclass(eq=False)
class UpstreamSelector:
    """Chooses an upstream for a session; owns no state."""

    fleet: Fleet
    ring: UpstreamRing
    load: LoadEstimator
    slow_start: SlowStart
    random: Random

    def candidates(self, now: int, session: Session, among: Iterator[Upstream] | None = None) -> Candidates:
        """Return the reachable candidates among these successors, by default all of the session's."""
        # A large group spreads until none bears more of it than a mean upstream does in all.
        among = among or self.ring.successors(session)
        spread = max(2, int(self.ring.share(session) * len(self.fleet.ready)))
        near = list(islice((upstream for upstream in among if not is_down(now, upstream)), spread))
        if spread > 2:
            key = (session.key or 0) % 2**64
            near.sort(key=lambda upstream: xxh3_64_intdigest(upstream.name.encode(), key))
        return Candidates(near[:2], near[2:], among)

    def prefer_warm(self, now: int, successors: Iterable[Upstream]) -> Iterator[Upstream]:
        """Return the ring walk as when a session in mid-flow was placed, without those in slow start."""
        upstreams = list(successors)
        warm_upstreams = [upstream for upstream in upstreams if self.slow_start.is_warm(now, upstream)]
        # Where these are fewer than half, a few would get all the others' sessions.
        return iter(warm_upstreams if 2 * len(warm_upstreams) >= len(upstreams) else upstreams)

    def choose(self, now: int, session: Session, candidates: Candidates) -> Upstream | None:
        """Return the less loaded of master and second, another only if both are unfit; None for not now."""
        usable = [other for other in candidates.pair if self.slow_start.may_take(now, other, session)]
        if session.mid_flow and session.attempt_count == 0:
            return usable[0] if usable else None
        if session.attempt_count and len(usable) > 1:
            usable = [upstream for upstream in usable if upstream.number != session.upstream]
        mean = self.fleet.mean_sessions()
        threshold = self._crowded_threshold(now)
        fit = [upstream for upstream in usable if is_fit(now, upstream)]
        best = [upstream for upstream in fit if not self.load.is_crowded(now, upstream, mean, threshold)]
        if len(best) == 2:
            master, second = (self.load.estimate(now, upstream, mean) for upstream in best)
            return best[1] if MASTER_TIE * second < master else best[0]
        if best:
            return best[0]
        for upstream in self.reachable(now, candidates.spread, candidates.beyond):
            is_well = is_fit(now, upstream) and not is_down(now, upstream)
            if is_well and self.slow_start.may_take(now, upstream, session, candidate=False):
                if not self.load.is_crowded(now, upstream, mean, threshold):
                    return upstream
                fit.append(upstream)
        # Where none is below what was drawn, its own candidates come first while they are not full.
        full = {other: self.load.is_crowded(now, other, mean, CROWDED_UTILIZATION) for other in fit}
        rank = {other: full[other] or -(other in candidates.pair) for other in fit}
        return min(fit, key=lambda other: (rank[other], self.load.estimate(now, other, mean)), default=None)

    def _crowded_threshold(self, now: int) -> float:
        # Many nodes would act on one report at once: each placement draws, unless others have no room.
        reports = [upstream.utilization for upstream in self.load.reporting(now)]
        has_capacity = sum(reports) < NEARLY_FULL * len(reports)
        if has_capacity and all(self.slow_start.is_warm(now, upstream) for upstream in self.fleet.ready):
            return self.random.uniform(SPARE_UTILIZATION, CROWDED_UTILIZATION)
        return CROWDED_UTILIZATION

    def reachable(self, now: int, near: list[Upstream], beyond: Iterator[Upstream]) -> Iterable[Upstream]:
        """Return where a session may stray to: only near if many upstreams are unfit and others lack room."""
        # There it would add its group's own work to one more, until all drown in it.
        present = [upstream for upstream in self.fleet.ready if not is_down(now, upstream)]
        fit = [upstream for upstream in present if is_fit(now, upstream)]
        reports = [other.utilization for other in fit if now < other.utilization_at + REPORT_EXPIRES_US]
        has_capacity = bool(reports) and sum(reports) < ROOMY_UTILIZATION * len(reports)
        return near if 4 * len(fit) <= 3 * len(present) and not has_capacity else chain(near, beyond)
