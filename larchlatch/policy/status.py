"""Rows for operators: what this node takes its upstreams to be. They decide nothing, and feed no decision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.policy.load import CROWDED_UTILIZATION
from larchlatch.policy.selection import is_down
from larchlatch.policy.types import EndpointState, UpstreamStatus

if TYPE_CHECKING:
    from larchlatch.policy.balancer import Balancer
    from larchlatch.policy.upstream import Upstream


def upstream_statuses(balancer: Balancer, now: int) -> list[UpstreamStatus]:
    """Return a row for each upstream."""
    mean = balancer.fleet.mean_sessions()
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
                left_out=left_out(balancer, now, upstream, mean),
            )
        )
    return rows


def left_out(balancer: Balancer, now: int, upstream: Upstream, mean: float) -> str:
    """Return why no new session goes to an upstream in the first place; empty where it has its share.

    The reasons are words of the admin API. They are asked in the order of `Balancer.place` and
    `UpstreamSelector.choose`.
    """
    reasons = (
        (upstream.state is not EndpointState.READY, upstream.state.value),
        (is_down(now, upstream), "no connection"),
        (now < upstream.unresponsive_until, "quiet"),
        (now < upstream.slow_until, "slow"),
        (now < upstream.backoff.until, "rests"),
        (balancer.load.is_crowded(now, upstream, mean, CROWDED_UTILIZATION), "crowded"),
        (not balancer.slow_start.is_warm(now, upstream), "cold"),
    )
    return next((reason for holds, reason in reasons if holds), "")
