"""Load estimates of upstreams, from this node's own sessions and from load reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.policy.ring import PRIOR_SESSIONS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from larchlatch.policy.slow_start import SlowStart
    from larchlatch.policy.types import DeploymentSettings
    from larchlatch.policy.upstream import Fleet, Upstream

MEAN_GAIN = 0.1  # weight of a new value in a running mean

# Utilization, as load reports state it.
NEARLY_FULL = 0.75  # bursts make messages late from here on
CROWDED_UTILIZATION = 0.9  # an upstream that reports more is crowded

# Own sessions at an upstream over those at the mean upstream.
CROWDED_RATIO = 2.0  # an upstream with a higher ratio is crowded

# Load reports.
REPORT_CURRENT_US = 2_000_000  # about the time in which load shifts
REPORT_EXPIRES_US = 10_000_000
REPORT_WEIGHT = 0.5  # per node, against the node's own sessions: a report sees the sessions of all nodes

# Overload penalty, a factor on the estimated load.
PENALTY_STEP = 1.5
MAX_PENALTY = 8.0
PENALTY_INTERVAL_US = 1_000_000  # between two steps
PENALTY_DECAY_US = 20_000_000  # from the last step until the factor is 1 again


def running_mean(mean: float, value: float) -> float:
    """Return a running mean with one more value; a mean of 0 has had no value yet."""
    gain = MEAN_GAIN if mean else 1.0
    return mean + (value - mean) * gain


def has_recent_report(now: int, upstream: Upstream) -> bool:
    """Return whether the last load report of an upstream has not expired."""
    return now < upstream.utilization_at + REPORT_EXPIRES_US


def has_current_report(now: int, upstream: Upstream) -> bool:
    """Return whether a load report is so recent that it shows the present load."""
    return now < upstream.utilization_at + REPORT_CURRENT_US


def with_recent_reports(now: int, upstreams: Iterable[Upstream]) -> list[Upstream]:
    """Return those upstreams whose last load report has not expired, in their order."""
    return [upstream for upstream in upstreams if has_recent_report(now, upstream)]


class FleetLoad(NamedTuple):
    """The load of all ready upstreams at one time, against which a single one is compared.

    Attributes:
        mean_sessions: Own sessions, in usual ones, per unit of size.
        report_count: How many upstreams have a recent load report.
        reported_utilization: The sum of the utilizations in those reports.
    """

    mean_sessions: float
    report_count: int
    reported_utilization: float

    def reports_below(self, utilization: float) -> bool:
        """Return whether the mean of the reports is below this utilization; False without reports."""
        return self.reported_utilization < utilization * self.report_count


@dataclass(eq=False)
class LoadEstimator:
    """Estimates the load of upstreams; owns the overload penalty in their records.

    Attributes:
        settings: The deployment settings.
        fleet: All upstreams.
        slow_start: Says what share of its work an upstream can do.
    """

    settings: DeploymentSettings
    fleet: Fleet
    slow_start: SlowStart

    def fleet_load(self, now: int) -> FleetLoad:
        """Return the load of all ready upstreams."""
        reports = [upstream.utilization for upstream in with_recent_reports(now, self.fleet.ready)]
        return FleetLoad(self.fleet.mean_sessions(), len(reports), sum(reports))

    def estimate(self, now: int, upstream: Upstream, fleet_load: FleetLoad) -> float:
        """Return the load of an upstream over that of the mean upstream.

        Where load reports are recent, the reported load joins the own sessions, weighted by the number of
        nodes: the more nodes there are, the fewer of an upstream's sessions belong to this one.
        """
        own_load = self._own_load(now, upstream, fleet_load.mean_sessions)
        if not fleet_load.reported_utilization or not has_recent_report(now, upstream):
            return own_load
        weight = REPORT_WEIGHT * self.settings.nodes
        weighted_report = (
            weight * upstream.utilization * fleet_load.report_count / fleet_load.reported_utilization
        )
        return (own_load + weighted_report) / (1 + weight)

    def is_crowded(
        self, now: int, upstream: Upstream, fleet_load: FleetLoad, *, max_utilization: float
    ) -> bool:
        """Return whether an upstream reports more than this utilization, or bears far more than the mean."""
        if has_current_report(now, upstream) and upstream.utilization > max_utilization:
            return True
        # The estimate counts the lesser capacity in slow start, for which the turn's budget accounts already.
        own_load = self._own_load(now, upstream, fleet_load.mean_sessions)
        return own_load * self.slow_start.warm_share(now, upstream) > CROWDED_RATIO

    def penalize(self, now: int, upstream: Upstream) -> None:
        """Raise the overload penalty of an upstream that is short of capacity, once an interval."""
        if now < upstream.penalized_at + PENALTY_INTERVAL_US:
            return
        upstream.overload_penalty = min(MAX_PENALTY, self._penalty(now, upstream) * PENALTY_STEP)
        upstream.penalized_at = now

    def _own_load(self, now: int, upstream: Upstream, mean_sessions: float) -> float:
        """Return the own sessions at an upstream over those at the mean one of its size."""
        mean_share = mean_sessions * upstream.size
        # To have no own session there by chance says nothing of its load: then it counts at the mean.
        own_sessions = self.fleet.sessions_at(upstream) if upstream.sessions else mean_share
        ratio = (own_sessions + PRIOR_SESSIONS) / (mean_share + PRIOR_SESSIONS)
        penalized_ratio = ratio * self._penalty(now, upstream)
        return penalized_ratio / self.slow_start.warm_share(now, upstream)

    def _penalty(self, now: int, upstream: Upstream) -> float:
        """Return the overload penalty as it has decayed by now; 1 for none."""
        remaining = 1 - (now - upstream.penalized_at) / PENALTY_DECAY_US
        if remaining <= 0:
            return 1.0
        return 1 + (upstream.overload_penalty - 1) * remaining
