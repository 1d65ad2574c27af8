"""Tests of the checkers of a scenario together."""

from __future__ import annotations

from larchlatch.invariants.observations import OrderExecuted
from larchlatch.invariants.scenario_checkers import QUOTA_ALLOCATOR, ClusterCheckers
from larchlatch.scenario.scenario_file import read_scenario_file
from tests.support.simulations import SCENARIOS, simulation_of


def test_an_observation_affects_only_the_verdict_on_its_property() -> None:
    """Guards against a checker that gets no observations, or that reacts to those of another property."""
    checkers = ClusterCheckers(read_scenario_file(SCENARIOS / "duties.toml"), 0)
    properties = {"membership_agreement", "upstream_avoidance", "single_leader", "quota_safety"}
    assert {verdict.invariant for verdict in checkers.verdicts()} == properties
    assert all(verdict.holds for verdict in checkers.verdicts())
    for lease in (2, 1):
        checkers.observe(OrderExecuted(0, QUOTA_ALLOCATOR, lease))
    violated = [verdict for verdict in checkers.verdicts() if not verdict.holds]
    assert [(verdict.invariant, verdict.violations) for verdict in violated] == [("single_leader", 1)]


def test_all_properties_hold_in_a_simulation_with_faults_between_nodes() -> None:
    """Guards against violations under faults, and against false alarms of the checkers.

    Nodes lose datagrams, are partitioned and are paused in one run, in which no property may be violated.
    """
    simulation = simulation_of(
        cluster={"on": True, "links_per_s": 20.0},
        faults=[
            {"kind": "lossy", "at_s": 0.5, "loss": 0.1, "for_s": 60.0},
            {"kind": "part", "at_s": 2.0, "nodes": 1, "for_s": 3.0},
            {"kind": "stall", "at_s": 6.0, "nodes": 1, "for_s": 2.0},
        ],
    )
    simulation.run()
    assert simulation.cluster is not None
    assert all(verdict.holds for verdict in simulation.cluster.checkers.verdicts())
