"""Reports the status of upstreams to operators. No decision of the balancer depends on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.policy.health import is_ejected, is_slow, is_unreachable
from larchlatch.policy.load import CROWDED_UTILIZATION
from larchlatch.policy.types import EndpointState, Exclusion, UpstreamStatus

if TYPE_CHECKING:
    from larchlatch.policy.balancer import Balancer
    from larchlatch.policy.load import FleetLoad
    from larchlatch.policy.upstream import Upstream


def upstream_statuses(balancer: Balancer, now: int) -> list[UpstreamStatus]:
    """Return the status of every upstream, including those that are gone."""
    fleet_load = balancer.load.fleet_load(now)
    rows = []
    for upstream in balancer.fleet.upstreams.values():
        established = len(upstream.established())
        rows.append(
            UpstreamStatus(
                upstream=upstream.number,
                state=upstream.state,
                attempts=len(upstream.sessions) - established,
                established=established,
                utilization=upstream.utilization if upstream.utilization_at > 0 else None,
                utilization_age_us=now - upstream.utilization_at,
                exclusion=exclusion(balancer, now, upstream, fleet_load),
            )
        )
    return rows


def exclusion(balancer: Balancer, now: int, upstream: Upstream, fleet_load: FleetLoad) -> Exclusion | None:
    """Return why new sessions go to other upstreams first; None if nothing excludes this upstream.

    If several reasons apply, the one that a placement checks first is returned.
    """
    is_crowded = balancer.load.is_crowded(now, upstream, fleet_load, max_utilization=CROWDED_UTILIZATION)
    reasons = (
        (upstream.state is not EndpointState.READY, Exclusion.NOT_READY),
        (is_unreachable(now, upstream), Exclusion.UNREACHABLE),
        (now < upstream.unresponsive_until, Exclusion.UNRESPONSIVE),
        (is_slow(now, upstream), Exclusion.SLOW),
        (is_ejected(now, upstream), Exclusion.EJECTED),
        (is_crowded, Exclusion.CROWDED),
        (not balancer.slow_start.is_warm(now, upstream), Exclusion.WARMING_UP),
    )
    return next((reason for applies, reason in reasons if applies), None)
