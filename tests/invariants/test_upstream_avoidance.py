"""Tests of the checker of upstream avoidance."""

from __future__ import annotations

from larchlatch.invariants.observations import (
    FleetChanged,
    UpstreamEjected,
    UpstreamFailureDetected,
    UpstreamLost,
    UpstreamReturned,
)
from larchlatch.invariants.upstream_avoidance import RETURN_GRACE_US, UpstreamAvoidance
from larchlatch.scenario.amounts import SECOND


def test_an_ejection_is_wrong_only_if_the_upstream_is_healthy_and_reachable() -> None:
    """Guards against a checker that misses wrong ejections, or counts justified ones as wrong.

    An ejection is justified if the upstream is lost, has returned only just now, or is not reachable.
    """
    checker = UpstreamAvoidance()
    checker.observe(UpstreamLost(SECOND, 7))
    checker.observe(UpstreamEjected(2 * SECOND, 7, reachable=True))
    checker.observe(UpstreamReturned(3 * SECOND, 7))
    checker.observe(UpstreamEjected(3 * SECOND + RETURN_GRACE_US - 1, 7, reachable=True))
    checker.observe(UpstreamEjected(9 * SECOND, 7, reachable=False))
    assert checker.verdict().holds and checker.ejections == 3
    checker.observe(UpstreamEjected(9 * SECOND, 7, reachable=True))
    assert checker.verdict().violations == 1


def test_only_nodes_that_ran_all_the_time_are_expected_to_detect_a_loss() -> None:
    """Guards against a checker that ignores a node that never detects a loss.

    Nodes that start after the loss of an upstream have no sessions there, and are not expected to detect it.
    """
    checker = UpstreamAvoidance()
    checker.observe(FleetChanged(0, [True, True, False], lambda sender, receiver: False))
    checker.observe(UpstreamLost(SECOND, 7))
    checker.observe(FleetChanged(2 * SECOND, [True, True, True], lambda sender, receiver: False))
    checker.observe(UpstreamFailureDetected(4 * SECOND, 0, 7))
    figures = checker.figures(20 * SECOND)
    assert figures["avoided_s"] == 3.0 and figures["avoided_not"] == 1, (
        "the second node has not detected the loss"
    )
