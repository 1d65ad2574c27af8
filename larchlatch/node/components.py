"""The parts of a node that live as long as it does."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import anyio

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
    """The parts of a node, as `runtime.build_components` makes them.

    Attributes:
        counters: counts of what the node has done, by kind.
        lag_monitor: measures how late the event loop runs.
        descriptors: the file descriptors that the node may have open.
        lifecycle: whether the node is ready, draining or stopping.
        ready: set once the node can serve.
        discovery: follows the endpoint list.
        cluster: this node's part in its cluster; None for a node that knows no others.
        balancer_actor: places sessions.
        connections: the clients' connections.
        drainer: makes established sessions leave.

    """

    counters: Counters
    lag_monitor: EventLoopLagMonitor
    descriptors: DescriptorBudget
    lifecycle: LifecycleState
    ready: anyio.Event
    discovery: DiscoveryClient
    cluster: ClusterPort | None
    balancer_actor: BalancerActor
    connections: ClientConnections
    drainer: SessionDrainer

    def figures(self) -> dict[str, int]:
        """Return all counters, and the worst event loop lag since the last call in milliseconds."""
        return {**self.counters.snapshot(), "lag_ms": self.lag_monitor.take_worst_ms()}
