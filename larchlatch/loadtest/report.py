"""Builds the result of a load test: the row of figures that the command prints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from larchlatch.invariants.session_figures import SessionEvent
from larchlatch.node.clock import now_us

if TYPE_CHECKING:
    from larchlatch.loadtest.run import LoadTestRun

MAX_LATENESS_US = (
    50_000  # if clients start later than this, the figures reflect the load test rather than the nodes
)
PERCENTILE = 99  # of lateness and event loop lag


class LoadTestResult(NamedTuple):
    """The result of a load test.

    Attributes:
        row: The figures by their keys.
        violations: Descriptions of the first violations of rules.

    """

    row: dict[str, Any]
    violations: list[str]


def result_row(run: LoadTestRun) -> dict[str, Any]:
    """Return the figures of a finished load test, by the keys under which they are printed."""
    run.figures.counts[SessionEvent.ATTEMPTED] = sum(stub.attempts for stub in run.stubs)
    run.figures.counts[SessionEvent.PROBED] = sum(stub.probes for stub in run.stubs)
    late_us = run.population.lateness.get_value_at_percentile(PERCENTILE)
    lag_us = run.monitor.lag.get_value_at_percentile(PERCENTILE)
    return {
        **run.figures.figures(),
        **run.observer.slow_start.figures(now_us()),
        **_cluster_figures(run),
        "broken": {rule.value: count for rule, count in run.observer.violations.items()},
        "late_p99_ms": late_us / 1000,
        "lag_p99_ms": lag_us / 1000,
        "void": bool(late_us > MAX_LATENESS_US),
    }


def _cluster_figures(run: LoadTestRun) -> dict[str, Any]:
    if run.cluster is None:
        return {}
    return {**run.checkers.figures(now_us()), "cluster_bytes_s": run.cluster.bytes_per_node_and_s()}
