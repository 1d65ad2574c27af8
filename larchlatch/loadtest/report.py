"""The row of figures that a load test prints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from larchlatch.invariants.session_figures import SessionEvent
from larchlatch.node.clock import now_us

if TYPE_CHECKING:
    from larchlatch.loadtest.run import LoadTestRun

MAX_LATENESS_US = 50_000  # of clients' starts at the 99th percentile: above it the figures measure the tool
PERCENTILE = 99


class LoadTestResult(NamedTuple):
    """The result of a load test.

    Attributes:
        row: its figures.
        violations: descriptions of rules that were violated.

    """

    row: dict[str, Any]
    violations: list[str]


def result_row(run: LoadTestRun) -> dict[str, Any]:
    """Return the figures of a load test that is over, by the keys that users read."""
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
