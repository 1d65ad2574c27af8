"""The list service: each node hears of a change when it does, in order."""

from __future__ import annotations

from larchlatch.emulator.clock import TOLD
from larchlatch.emulator.nodes import Node
from larchlatch.emulator.stage import Stage
from larchlatch.policy.types import Endpoint, EndpointState
from larchlatch.scenario.amounts import us
from larchlatch.scenario.upstreams import Condition, SimulatedUpstream


class Listing:
    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.list: dict[int, Endpoint] = {
            upstream.number: stage.line(upstream, EndpointState.READY)
            for upstream in stage.upstreams
            if upstream.condition is Condition.HEALTHY
        }
        self.deaf_until = 0
        self.told_at = [0] * stage.day.nodes.count  # the list is told in order

    def change(self, upstream: SimulatedUpstream, state: EndpointState) -> None:
        """The list says something else of a host; each node hears of it when it does."""
        line = self.list[upstream.number] = self.stage.line(upstream, state)
        if state is EndpointState.GONE:
            del self.list[upstream.number]
        self.stage.note("list", upstream.number, state.value)
        for node in self.stage.nodes:
            self.tell(node, [line], whole=False)

    def tell_whole(self, node: Node) -> None:
        self.tell(node, list(self.list.values()), whole=True)

    def tell(self, node: Node, lines: list[Endpoint], whole: bool) -> None:
        discovery = self.stage.day.discovery
        self.stage.idents += 1
        share = self.stage.chance.draw("list", node.number, self.stage.idents)
        delay = discovery.min_delay_ms + (discovery.max_delay_ms - discovery.min_delay_ms) * share
        at = max(self.stage.clock.now + us(delay / 1e3), self.told_at[node.number], self.deaf_until)
        self.told_at[node.number] = at
        self.stage.clock.at(at, TOLD, self.heard, node, lines, whole)

    def heard(self, node: Node, lines: list[Endpoint], whole: bool) -> None:
        if node.alive:
            node.listed(lines, whole)
