"""Holds the state that all components of a simulation share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.emulator.clock import SimulationClock
from larchlatch.emulator.session_rules import SessionRules
from larchlatch.emulator.session_table import SessionTable
from larchlatch.emulator.topology import Topology
from larchlatch.emulator.trace import Trace
from larchlatch.invariants.scenario_checkers import slow_start_checker
from larchlatch.invariants.session_figures import SessionFigures
from larchlatch.scenario.amounts import SECOND, us
from larchlatch.scenario.node_settings import deployment_settings
from larchlatch.scenario.random_streams import RandomStreams
from larchlatch.scenario.upstreams import SimulatedUpstream, create_upstreams

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.emulator.node import SimulatedNode
    from larchlatch.scenario.scenario import Scenario

START_US = 1_000 * SECOND  # simulated time at which a scenario begins; a time of 0 stands for 'long ago'


class SimulationContext:
    """The scenario, and the clock, random streams, network, upstreams, nodes and records of its simulation.

    Attributes:
        scenario: The scenario.
        clock: The simulated clock.
        end: The simulated time at which the scenario ends.
        streams: The seeded source of all random numbers.
        trace: The trace of the simulation's events.
        traffic_classes: The settings of the clients' traffic classes.
        figures: Counts and times of sessions.
        rules: The checks of the rules on sessions.
        slow_start: The checker of slow-start safety.
        topology: Latency and reachability between zones.
        upstreams: All upstreams, by number.
        sessions: The sessions that are established or held by an upstream.
        nodes: All nodes, by number.

    """

    def __init__(self, scenario: Scenario, write_trace: Callable[[bytes], None] | None) -> None:
        self.scenario = scenario
        self.clock = SimulationClock(START_US)
        self.end = START_US + us(scenario.span_s)
        self.streams = RandomStreams(scenario.seed)
        self.trace = Trace(self.clock, write_trace)
        self.traffic_classes = deployment_settings(scenario, 0).traffic_classes
        self.figures = SessionFigures()
        self.rules = SessionRules()
        self.slow_start = slow_start_checker(scenario)
        self.topology = Topology(scenario.network)
        self.upstreams: list[SimulatedUpstream] = list(create_upstreams(scenario))
        group_load = scenario.sessions.group_ms * 1000
        self.sessions = SessionTable(self.clock, self.upstreams, self.figures, group_load)
        self.nodes: list[SimulatedNode] = []
        self._last_id = 0

    def next_id(self) -> int:
        """Return a new number for a session or for a delivery of the endpoint list."""
        self._last_id += 1
        return self._last_id
