"""Load estimates of upstreams, from this node's own sessions and from load reports."""

from dataclasses import dataclass

from larchlatch.policy.ring import PRIOR_SESSIONS
from larchlatch.policy.slow_start import SlowStart
from larchlatch.policy.types import DeploymentSettings
from larchlatch.policy.upstream import Fleet, Upstream

MEAN_GAIN = 0.1  # weight of a new figure in a running mean
CROWDED_RATIO = 2.0  # times the mean load above which an upstream counts as crowded
CROWDED_UTILIZATION = 0.9  # the same by its load report: messages are late soon after
NEARLY_FULL = 0.75  # utilization from which messages are late now and then: bursts find no room above
REPORT_SERVES_US = 2_000_000  # a load report serves this long: about as long as load takes to shift
REPORT_EXPIRES_US = 10_000_000  # one older than this is forgotten
REPORT_WEIGHT = 0.5  # of load reports against own sessions, per node: a report sees every node's
PENALTY_STEP = 1.5  # factor for each second of resets or late messages: two make a load double
MAX_PENALTY = 8.0  # an upstream never counts for less than an eighth of its size
PENALTY_INTERVAL_US = 1_000_000  # between two steps
PENALTY_DECAY_US = 20_000_000  # until it is forgotten: some session lives later, as load has changed by then


def running_mean(mean: float, figure: float) -> float:
    """Return a running mean, 0 before its first figure, with one more figure."""
    return mean + (figure - mean) * (MEAN_GAIN if mean else 1.0)


@dataclass(eq=False)
class LoadEstimator:
    """Estimates the load of upstreams; owns the overload penalty that each record holds."""

    settings: DeploymentSettings
    fleet: Fleet
    slow_start: SlowStart

    def reporting(self, now: int) -> list[Upstream]:
        """Return the ready upstreams that have a recent load report."""
        return [other for other in self.fleet.ready if now < other.utilization_at + REPORT_EXPIRES_US]

    def estimate(self, now: int, upstream: Upstream, mean: float) -> float:
        """Return an upstream's load over the mean one's, with load reports in the same unit if known."""
        own = self._own(now, upstream, mean)
        if now >= upstream.utilization_at + REPORT_EXPIRES_US:
            return own
        reports = [other.utilization for other in self.reporting(now)]
        total = sum(reports)
        weight = REPORT_WEIGHT * self.settings.nodes  # the more nodes, the less of a load is this node's own
        return (own + weight * upstream.utilization * len(reports) / total) / (1 + weight) if total else own

    def is_crowded(self, now: int, upstream: Upstream, mean: float, utilization: float) -> bool:
        """Return whether an upstream bears far more than the mean, or reports more than that utilization."""
        if now < upstream.utilization_at + REPORT_SERVES_US and upstream.utilization > utilization:
            return True
        # What it can't do yet in slow start is its budget's matter: it would be crowded for half of that.
        return self._own(now, upstream, mean) * self.slow_start.warm_share(now, upstream) > CROWDED_RATIO

    def _own(self, now: int, upstream: Upstream, mean: float) -> float:
        # Where each node has a few sessions, none or two say nothing of a load: the mean stands in.
        share = mean * upstream.size
        sessions = (self.fleet.sessions_at(upstream) if upstream.sessions else share) + PRIOR_SESSIONS
        ratio = sessions / (share + PRIOR_SESSIONS) * self._penalty(now, upstream)
        return ratio / self.slow_start.warm_share(now, upstream)

    def _penalty(self, now: int, upstream: Upstream) -> float:
        remaining = 1 - (now - upstream.penalized_at) / PENALTY_DECAY_US
        return 1 + (upstream.overload_penalty - 1) * remaining if remaining > 0 else 1.0

    def penalize(self, now: int, upstream: Upstream) -> None:
        """Note that it bears more than it can, as sizes are registered and others' sessions unseen."""
        if now >= upstream.penalized_at + PENALTY_INTERVAL_US:
            upstream.overload_penalty = min(MAX_PENALTY, self._penalty(now, upstream) * PENALTY_STEP)
            upstream.penalized_at = now
