"""Rows for operators: what this node takes its upstreams to be. They decide nothing, and feed no decision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.policy.health import is_ejected, is_slow, is_unreachable
from larchlatch.policy.load import CROWDED_UTILIZATION
from larchlatch.policy.types import EndpointState, UpstreamStatus

if TYPE_CHECKING:
    from larchlatch.policy.balancer import Balancer
    from larchlatch.policy.load import FleetLoad
    from larchlatch.policy.upstream import Upstream


def upstream_statuses(balancer: Balancer, now: int) -> list[UpstreamStatus]:
    """Return a row for each upstream."""
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
                left_out=left_out(balancer, now, upstream, fleet_load),
            )
        )
    return rows


def left_out(balancer: Balancer, now: int, upstream: Upstream, fleet_load: FleetLoad) -> str:
    """Return why no new session goes to an upstream in the first place; empty where it has its share.

    The reasons are words of the admin API. They are asked in the order of `Balancer.place` and
    `UpstreamSelector.choose`.
    """
    is_crowded = balancer.load.is_crowded(now, upstream, fleet_load, max_utilization=CROWDED_UTILIZATION)
    reasons = (
        (upstream.state is not EndpointState.READY, upstream.state.value),
        (is_unreachable(now, upstream), "no connection"),
        (now < upstream.unresponsive_until, "quiet"),
        (is_slow(now, upstream), "slow"),
        (is_ejected(now, upstream), "rests"),
        (is_crowded, "crowded"),
        (not balancer.slow_start.is_warm(now, upstream), "cold"),
    )
    return next((reason for holds, reason in reasons if holds), "")
