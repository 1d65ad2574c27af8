"""The components of a node, which exist as long as its process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from larchlatch.node.balancer_actor import BalancerActor
    from larchlatch.node.clients.connections import ClientConnections
    from larchlatch.node.descriptor_budget import DescriptorBudget
    from larchlatch.node.discovery import DiscoveryClient
    from larchlatch.node.event_loop_lag import EventLoopLagMonitor
    from larchlatch.node.lifecycle_state import LifecycleState
    from larchlatch.node.metrics import Counters
    from larchlatch.node.ports import ClusterPort
    from larchlatch.node.shutdown import SessionDrainer


@dataclass(frozen=True, slots=True)
class NodeComponents:
    """The components of a node, which `runtime.build_components` creates.

    Attributes:
        counters: the numbers of events in the node, by counter name.
        lag_monitor: measures how late the event loop runs its timers.
        descriptors: the budget of file descriptors that the node may have open.
        lifecycle: whether the node is ready, draining or stopping.
        ready: set once the node can serve.
        stop_requested: set once the node has been told to stop.
        discovery: follows the endpoint list.
        cluster: this node's part in its cluster; None for a node without a cluster.
        balancer_actor: places sessions on upstreams.
        connections: serves the clients' connections.
        drainer: makes established sessions leave this node for a drain or a stop.

    """

    counters: Counters
    lag_monitor: EventLoopLagMonitor
    descriptors: DescriptorBudget
    lifecycle: LifecycleState
    ready: anyio.Event
    stop_requested: anyio.Event
    discovery: DiscoveryClient
    cluster: ClusterPort | None
    balancer_actor: BalancerActor
    connections: ClientConnections
    drainer: SessionDrainer

    def figures(self) -> dict[str, int]:
        """Return all counters, who uses the descriptors, what is kept, and the longest lag of the event loop.

        The lag is in milliseconds, and counts since the last call.
        """
        upstreams = self.balancer_actor.upstreams
        return {
            **self.counters.snapshot(),
            **self.descriptors.figures()._asdict(),
            "upstreams": len(upstreams.names),
            "upstream_actors": len(upstreams.actors),
            "tasks": len(anyio.get_running_tasks()),
            "lag_ms": self.lag_monitor.take_worst_ms(),
        }
