"""Adds random faults to a scenario; they depend on its seed, so that runs with other seeds cover others."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from larchlatch.scenario.faults import AnyFault, NodeCrash, Partition, ProcessPause, UpstreamCrash
from larchlatch.scenario.random_streams import RandomStreams

if TYPE_CHECKING:
    from random import Random

    from larchlatch.scenario.scenario import Scenario

FAULT_FREE_MARGIN_S = 8.0  # at the start and at the end of a scenario, during which no random fault begins
MIN_DURATION_S = 0.5
MAX_DURATION_S = 8.0
MAX_UPSTREAM_CRASH_S = 2.0
MAX_NODES = 4  # affected by one fault, and always fewer than half of all nodes
MAX_PAUSED_NODES = 2


def with_random_faults(scenario: Scenario, count: int) -> Scenario:
    """Return the scenario with `count` random faults added."""
    rng = RandomStreams(scenario.seed).stream("drawn")
    random_faults = [draw_fault(scenario, rng) for _ in range(count)]
    return msgspec.structs.replace(scenario, faults=[*scenario.faults, *random_faults])


def draw_fault(scenario: Scenario, rng: Random) -> AnyFault:
    """Return a random fault of a kind that is possible in the scenario."""
    last_s = max(FAULT_FREE_MARGIN_S, scenario.span_s - FAULT_FREE_MARGIN_S)
    at_s, for_s = rng.uniform(FAULT_FREE_MARGIN_S, last_s), rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
    nodes = rng.randint(1, max(1, min(MAX_NODES, (scenario.nodes.count - 1) // 2)))
    kinds = ["stall", "kill", "crash"]
    if scenario.cluster.on:
        kinds += ["zone", "oneway"]
    if scenario.cluster.has_roles:
        kinds.append("holder")
    match rng.choice(kinds):
        case "stall":
            return ProcessPause(at_s, nodes=min(MAX_PAUSED_NODES, nodes), for_s=for_s)
        case "holder":
            return ProcessPause(at_s, role_holders=True, for_s=for_s)
        case "kill":
            return NodeCrash(at_s, nodes=nodes)
        case "zone":
            return Partition(at_s, zone=rng.randrange(scenario.zones), for_s=for_s)
        case "oneway":
            return Partition(at_s, nodes=nodes, oneway=True, for_s=for_s)
        case _:
            return UpstreamCrash(at_s, upstreams=1, for_s=min(for_s, MAX_UPSTREAM_CRASH_S))
