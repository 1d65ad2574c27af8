"""Composes the result of a finished simulation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from larchlatch.emulator.context import START_US
from larchlatch.scenario.amounts import SECOND

if TYPE_CHECKING:
    from larchlatch.emulator.cluster import SimulatedCluster
    from larchlatch.emulator.context import SimulationContext


def result_of(context: SimulationContext, cluster: SimulatedCluster | None) -> dict[str, Any]:
    """Return the result of a simulation: its figures, rule violations and trace digest, by key."""
    return {
        **context.figures.figures(),
        **context.slow_start.figures(context.clock.now),
        **(cluster_figures(context, cluster) if cluster is not None else {}),
        "broken": dict(context.rules.violations),
        "events": context.clock.executed_count,
        "trace": context.trace.digest,
    }


def cluster_figures(context: SimulationContext, cluster: SimulatedCluster) -> dict[str, Any]:
    """Return the checkers' figures, and the bytes sent and decision time per member and simulated second."""
    member_seconds = (context.clock.now - START_US) / SECOND * len(cluster.members)
    return {
        **cluster.checkers.figures(context.clock.now),
        "cluster_bytes_s": round(cluster.bytes_sent / member_seconds),
        "cluster_cpu": round(cluster.decision_time_s / member_seconds, 5),
    }
