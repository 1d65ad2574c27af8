"""Determines latency and reachability between zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.scenario.amounts import us
from larchlatch.scenario.upstreams import Condition

if TYPE_CHECKING:
    from larchlatch.emulator.node import SimulatedNode
    from larchlatch.scenario.scenario import NetworkLatency
    from larchlatch.scenario.upstreams import SimulatedUpstream


class Topology:
    """The network between zones.

    Attributes:
        isolated_zones: Zones that are cut off from all other zones.

    """

    def __init__(self, network: NetworkLatency) -> None:
        self.isolated_zones: set[int] = set()
        self._network = network

    def latency_us(self, zone: int, other: int) -> int:
        """Return the one-way latency between two zones, in microseconds."""
        network = self._network
        return us((network.same_zone_ms if zone == other else network.other_zone_ms) / 1e3)

    def is_cut_off(self, zone: int, other: int) -> bool:
        """Return whether two zones do not reach each other."""
        return zone != other and not self.isolated_zones.isdisjoint((zone, other))

    def reaches(self, node: SimulatedNode, upstream: SimulatedUpstream) -> bool:
        """Return whether a node receives answers from an upstream's machine; its process may have crashed."""
        answers = upstream.condition not in (Condition.SILENT, Condition.ABSENT)
        return answers and not self.is_cut_off(node.zone, upstream.zone)
