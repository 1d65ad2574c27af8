"""Tests of the configuration of nodes under test."""

from __future__ import annotations

from larchlatch.config.node import parse_node_configuration
from larchlatch.emulator.simulation import Simulation
from larchlatch.loadtest.node_settings import node_configuration
from larchlatch.scenario.scenario_file import parse_scenario
from tests.loadtest.scenarios import SHORT

NO_ENDPOINTS = {"revision": 0, "complete": True, "members": []}


def test_configuration_for_a_scenario_is_read_by_nodes_as_the_emulator_has_it() -> None:
    scenario = parse_scenario(SHORT, "day")
    raw = node_configuration(
        scenario, 1, listen="127.0.0.1:1", discovery="127.0.0.1:2", seed="1", endpoints=NO_ENDPOINTS
    )
    configuration = parse_node_configuration(raw)
    simulation = Simulation(scenario)
    assert configuration.settings == simulation.context.nodes[1].policy.settings  # type: ignore[attr-defined]
    assert configuration.max_deadline_us == 3_000_000
