"""Tests of the checker of slow-start safety."""

from __future__ import annotations

from larchlatch.invariants.observations import SessionArrived
from larchlatch.invariants.scenario_checkers import slow_start_checker
from larchlatch.scenario.amounts import SECOND
from larchlatch.scenario.scenario_file import read_scenario_file
from larchlatch.scenario.upstreams import SimulatedUpstream
from tests.support.simulations import SCENARIOS

START = 1000 * SECOND


def test_too_many_sessions_at_a_warming_upstream_are_found() -> None:
    """Guards against a checker that misses a burst of sessions at an upstream that has just started."""
    scenario = read_scenario_file(SCENARIOS / "pace.toml")
    checker = slow_start_checker(scenario)
    upstream = SimulatedUpstream(0, zone=0, cell=0, size=2.0, slow_start=scenario.slow_start)
    upstream.start(START)
    for number in range(30):
        checker.observe(SessionArrived(START + number, upstream, checker.mean_load_us))
    assert checker.verdict().violations > 10
    assert checker.figures(START + SECOND)["bears_s"] == 1.0
