"""Estimates the load of upstreams from this node's own sessions and from load reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.policy.ring import PRIOR_SESSIONS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from larchlatch.policy.slow_start import SlowStart
    from larchlatch.policy.types import DeploymentSettings
    from larchlatch.policy.upstream import Fleet, Upstream

MEAN_GAIN = 0.1  # weight of a new value in an exponentially weighted mean

# Utilization (load over capacity), as load reports state it.
NEARLY_FULL = 0.75  # above this, bursts make messages late
CROWDED_UTILIZATION = 0.9  # an upstream that reports more is crowded

# Ratio of this node's sessions at an upstream to its sessions at the average upstream.
CROWDED_RATIO = 2.0  # an upstream with a higher ratio is crowded

# Load reports.
REPORT_CURRENT_US = 2_000_000  # about the time in which the load of an upstream changes noticeably
REPORT_EXPIRES_US = 10_000_000
# Weight of a load report for each node of the cluster, as a report covers the sessions of all nodes. This
# node's own sessions have weight 1.
REPORT_WEIGHT = 0.5

# Overload penalty, a factor on the estimated load.
PENALTY_STEP = 1.5
MAX_PENALTY = 8.0
PENALTY_INTERVAL_US = 1_000_000  # shortest time between two increases of the penalty
PENALTY_DECAY_US = 20_000_000  # time from the last increase until the penalty is back to 1


def running_mean(mean: float, value: float) -> float:
    """Return an exponentially weighted mean after one more value; a mean of 0 stands for no value yet."""
    gain = MEAN_GAIN if mean else 1.0
    return mean + (value - mean) * gain


def has_recent_report(now: int, upstream: Upstream) -> bool:
    """Return whether the last load report of an upstream has not expired."""
    return now < upstream.utilization_at + REPORT_EXPIRES_US


def has_current_report(now: int, upstream: Upstream) -> bool:
    """Return whether the last load report of an upstream is recent enough to show its present load."""
    return now < upstream.utilization_at + REPORT_CURRENT_US


def with_recent_reports(now: int, upstreams: Iterable[Upstream]) -> list[Upstream]:
    """Return those upstreams whose last load report has not expired, in the given order."""
    return [upstream for upstream in upstreams if has_recent_report(now, upstream)]


class FleetLoad(NamedTuple):
    """The load of all ready upstreams at one time, with which a single upstream is compared.

    Attributes:
        mean_sessions: This node's sessions per unit of upstream size, in units of an average session.
        report_count: The number of upstreams with a recent load report.
        reported_utilization: The sum of the utilizations in those reports.
    """

    mean_sessions: float
    report_count: int
    reported_utilization: float

    def reports_below(self, utilization: float) -> bool:
        """Return whether the mean reported utilization is below this one; False without reports."""
        return self.reported_utilization < utilization * self.report_count


@dataclass(eq=False)
class LoadEstimator:
    """Estimates the load of upstreams, and owns the overload penalty in their records.

    Attributes:
        settings: The deployment settings.
        fleet: All upstreams.
        slow_start: Tells the share of its full capacity that an upstream has during slow start.
    """

    settings: DeploymentSettings
    fleet: Fleet
    slow_start: SlowStart

    def fleet_load(self, now: int) -> FleetLoad:
        """Return the load of all ready upstreams."""
        reports = [upstream.utilization for upstream in with_recent_reports(now, self.fleet.ready)]
        return FleetLoad(self.fleet.mean_sessions(), len(reports), sum(reports))

    def estimate(self, now: int, upstream: Upstream, fleet_load: FleetLoad) -> float:
        """Return the ratio of the load of an upstream to that of the average upstream.

        If load reports are recent, the estimate is the weighted mean of the reported load and this node's own
        sessions. The weight of reports grows with the number of nodes: the more nodes there are, the fewer of
        an upstream's sessions belong to this one.
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
        """Return whether an upstream reports more than this utilization, or bears far more than average."""
        if has_current_report(now, upstream) and upstream.utilization > max_utilization:
            return True
        # The ratio includes the reduced capacity during slow start, which the slow-start budget already
        # accounts for, so this factor takes it out again.
        own_load = self._own_load(now, upstream, fleet_load.mean_sessions)
        return own_load * self.slow_start.warm_share(now, upstream) > CROWDED_RATIO

    def penalize(self, now: int, upstream: Upstream) -> None:
        """Raise the overload penalty of an upstream that lacks capacity, at most once per interval."""
        if now < upstream.penalized_at + PENALTY_INTERVAL_US:
            return
        upstream.overload_penalty = min(MAX_PENALTY, self._penalty(now, upstream) * PENALTY_STEP)
        upstream.penalized_at = now

    def _own_load(self, now: int, upstream: Upstream, mean_sessions: float) -> float:
        """Return the ratio of this node's sessions at an upstream to those at the average one of its size.

        The ratio includes the overload penalty and, in slow start, the reduced capacity.
        """
        mean_share = mean_sessions * upstream.size
        # That this node happens to have no session there tells nothing about the upstream's load, so the
        # average is assumed.
        own_sessions = self.fleet.sessions_at(upstream) if upstream.sessions else mean_share
        ratio = (own_sessions + PRIOR_SESSIONS) / (mean_share + PRIOR_SESSIONS)
        penalized_ratio = ratio * self._penalty(now, upstream)
        return penalized_ratio / self.slow_start.warm_share(now, upstream)

    def _penalty(self, now: int, upstream: Upstream) -> float:
        """Return the overload penalty after its decay up to now; 1 for no penalty."""
        remaining = 1 - (now - upstream.penalized_at) / PENALTY_DECAY_US
        if remaining <= 0:
            return 1.0
        return 1 + (upstream.overload_penalty - 1) * remaining
