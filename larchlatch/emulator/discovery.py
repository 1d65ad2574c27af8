"""Simulates the discovery service, which delivers endpoint list changes to each node delayed but in order."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from larchlatch.emulator.clock import Priority
from larchlatch.policy.types import Endpoint, EndpointState
from larchlatch.scenario.amounts import us
from larchlatch.scenario.upstreams import Condition

if TYPE_CHECKING:
    from larchlatch.emulator.context import SimulationContext
    from larchlatch.emulator.node import SimulatedNode
    from larchlatch.scenario.upstreams import SimulatedUpstream


def endpoint_of(upstream: SimulatedUpstream, state: EndpointState) -> Endpoint:
    """Return an upstream's entry in the endpoint list."""
    return Endpoint(
        upstream=upstream.number,
        name=f"h-{upstream.number}",
        zone=upstream.zone,
        cell=upstream.cell,
        state=state,
        size=upstream.size,
        started_at=upstream.started_at,
    )


class SimulatedDiscovery:
    """Keeps the endpoint list, and delivers it and its changes to nodes.

    Attributes:
        endpoints: The endpoint list, by the upstreams' numbers.
        suspended_until: The time until which nothing is delivered.

    """

    def __init__(self, context: SimulationContext) -> None:
        self.endpoints: dict[int, Endpoint] = {
            upstream.number: endpoint_of(upstream, EndpointState.READY)
            for upstream in context.upstreams
            if upstream.condition is Condition.HEALTHY
        }
        self.suspended_until = 0
        self._context = context
        self._last_delivery_at = [0] * context.scenario.nodes.count  # by node; keeps its deliveries in order

    def change(self, upstream: SimulatedUpstream, state: EndpointState) -> None:
        """Change an upstream's entry, and send the change to all nodes."""
        endpoint = self.endpoints[upstream.number] = endpoint_of(upstream, state)
        if state is EndpointState.GONE:
            del self.endpoints[upstream.number]
        self._context.trace.record("list", upstream.number, state.value)
        for node in self._context.nodes:
            self._send(node, [endpoint], whole=False)

    def send_whole_list(self, node: SimulatedNode) -> None:
        """Send the whole endpoint list to a node."""
        self._send(node, list(self.endpoints.values()), whole=True)

    def reset_delivery_order(self, node: SimulatedNode) -> None:
        """Let deliveries to a node's new process arrive before those that its former process was sent."""
        self._last_delivery_at[node.number] = 0

    def _send(self, node: SimulatedNode, endpoints: list[Endpoint], *, whole: bool) -> None:
        discovery, clock = self._context.scenario.discovery, self._context.clock
        draw = self._context.streams.draw("list", node.number, self._context.next_id())
        delay_ms = discovery.min_delay_ms + (discovery.max_delay_ms - discovery.min_delay_ms) * draw
        deliver_at = max(
            clock.now + us(delay_ms / 1e3), self._last_delivery_at[node.number], self.suspended_until
        )
        self._last_delivery_at[node.number] = deliver_at
        clock.schedule(
            deliver_at, Priority.NOTIFICATION, partial(self._deliver, node, endpoints, whole=whole)
        )

    @staticmethod
    def _deliver(node: SimulatedNode, endpoints: list[Endpoint], *, whole: bool) -> None:
        if node.is_alive:
            node.receive_endpoints(endpoints, whole=whole)
