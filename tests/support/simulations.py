"""A small scenario for tests, and simulations of it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from larchlatch.emulator.baselines import PolicyFactory
from larchlatch.emulator.simulation import Simulation
from larchlatch.scenario.scenario_file import parse_scenario

SCENARIOS = Path(__file__).parents[2] / "scenarios"
SMALL: dict[str, Any] = {
    "span_s": 12.0,
    "nodes": {"count": 3, "back_s": 1.0, "noticed_s": 0.5},
    "hosts": [{"count": 6, "size": 2.0, "late": 2}],
    "links": {"rate": 25.0, "life_s": 6.0, "effects": ["rerunnable", "ticketed", "exclusive"]},
}
ALL_FAULTS = [
    {"kind": "slow", "at_s": 1.0, "hosts": 2, "factor": 30.0, "for_s": 3.0},
    {"kind": "crash", "at_s": 2.0, "hosts": 2},
    {"kind": "silent", "at_s": 3.0, "hosts": 1, "for_s": 3.0},
    {"kind": "join", "at_s": 3.5, "hosts": 2},
    {"kind": "drain", "at_s": 4.0, "hosts": 1, "for_s": 3.0},
    {"kind": "kill", "at_s": 5.0, "nodes": 2},
    {"kind": "cut", "at_s": 6.0, "zone": 1, "for_s": 2.0},
    {"kind": "crowd", "at_s": 8.0, "share": 0.7},
    {"kind": "deaf", "at_s": 3.0, "for_s": 3.0},
    {"kind": "store", "at_s": 9.0, "factor": 10.0, "for_s": 2.0},
]


def simulation_of(policy: str | PolicyFactory = "larchlatch", **changes: Any) -> Simulation:
    """Return a simulation of the small scenario, with changes by the keys of a scenario file."""
    return Simulation(parse_scenario({**SMALL, **changes}, "day"), policy)
