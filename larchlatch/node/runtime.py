"""Composes a node from its parts, starts them in order, and runs them until it is told to stop."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import structlog
from anyio import TASK_STATUS_IGNORED

from larchlatch.node.admin_api import BACKLOG as ADMIN_BACKLOG
from larchlatch.node.admin_api import AdminApi
from larchlatch.node.balancer_actor import BalancerActor
from larchlatch.node.client_listener import ClientListener
from larchlatch.node.clients.connections import ClientConnections
from larchlatch.node.clock import now_us
from larchlatch.node.descriptor_budget import DescriptorBudget
from larchlatch.node.discovery import DiscoveryClient
from larchlatch.node.event_loop_lag import EventLoopLagMonitor
from larchlatch.node.hot_restart.predecessor import Predecessor
from larchlatch.node.hot_restart.rendezvous import Rendezvous
from larchlatch.node.hot_restart.successor import Successor
from larchlatch.node.lifecycle_state import LifecycleState
from larchlatch.node.mailbox import Mailbox
from larchlatch.node.messages import EndpointsChanged
from larchlatch.node.metrics import Counters
from larchlatch.node.shutdown import STOP_GRACE_S, STOP_MARGIN_S, GracefulShutdown, SessionDrainer
from larchlatch.node.signal_handler import SIGNALS, SignalHandler
from larchlatch.node.upstream_registry import UpstreamRegistry
from larchlatch.node.wire.listen import Listener
from larchlatch.policy.balancer import Balancer

if TYPE_CHECKING:
    from pathlib import Path

    from anyio.abc import TaskGroup, TaskStatus

    from larchlatch.config.endpoints import EndpointList
    from larchlatch.config.node import NodeConfiguration
    from larchlatch.node.ports import ClusterFactory, ClusterService

CLIENT_BACKLOG = 4096  # connections that wait to be accepted: all clients of a node that has died, at once
FIRST_LIST_WAIT_S = 1.0  # a node waits so long for the present list before it serves with the one it had
CLUSTER_SEED_BITS = 64

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class NodeComponents:
    """The parts of a node that live as long as it does.

    Attributes:
        counters: what the node has done, by kind.
        lag_monitor: how late the event loop runs.
        descriptors: the file descriptors that the node may hold.
        lifecycle: ready, draining, stopping.
        ready: set once the node can serve.
        discovery: follows the endpoint list.
        cluster: the other nodes; None where this one knows of none.
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
    cluster: ClusterService | None
    balancer_actor: BalancerActor
    connections: ClientConnections
    drainer: SessionDrainer

    def figures(self) -> dict[str, int]:
        """Return all counters, and the worst lag since the last call."""
        return {**self.counters.snapshot(), "lag_ms": self.lag_monitor.take_worst_ms()}


async def run_node(
    configuration: NodeConfiguration,
    path: Path,
    join: ClusterFactory | None = None,
    *,
    task_status: TaskStatus[int] = TASK_STATUS_IGNORED,
) -> None:
    """Serve until told to stop.

    Args:
        configuration: the node's own.
        path: the file that it was read from, which SIGHUP has read again.
        join: how the node joins its cluster; None without one.
        task_status: started with the port for clients once the node can serve.

    """
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        async with anyio.create_task_group() as tasks:
            # Before all else: operators are answered from the start, if only that it can't serve yet.
            admin_listener = bind_admin_listener(configuration)
            components = build_components(configuration, join, tasks)
            start_admin_api(admin_listener, components, tasks)
            rendezvous = Rendezvous.for_node(configuration)
            successor = await connect_predecessor(configuration, rendezvous, components.counters)
            start_balancing(newest_endpoint_list(configuration.known_endpoints, successor), components, tasks)
            listener = listener_for_clients(configuration, successor)
            client_listener = ClientListener(listener, components.connections, components.descriptors, tasks)
            tasks.start_soon(client_listener.run)
            await open_to_clients(client_listener, successor, components, tasks)
            if rendezvous is not None:
                start_predecessor(configuration, rendezvous, client_listener, components, tasks)
            announce_ready(configuration, listener, components)
            task_status.started(listener.address[1])
            shutdown = build_shutdown(client_listener, components, tasks)
            await SignalHandler(configuration, path, components, shutdown, tasks).run(signals)
    log.info("stopped", **components.figures())


def bind_admin_listener(configuration: NodeConfiguration) -> Listener | None:
    """Listen at the admin API's address; None where the configuration names none."""
    if configuration.admin_address is None:
        return None
    listener = Listener.bind(configuration.admin_address, ADMIN_BACKLOG)
    log.info("admin_api_listening", listen=listener.address)
    return listener


def build_components(
    configuration: NodeConfiguration, join: ClusterFactory | None, tasks: TaskGroup
) -> NodeComponents:
    """Make the parts, each from those that it needs; nothing runs yet.

    The balancer actor calls discovery and cluster, and both send to it: they get its mailbox, made first.
    """
    counters = Counters()
    descriptors = DescriptorBudget(configuration.descriptor_limit)
    # Shared by balancer and discovery client: their draws come in the order of events.
    chance = random.Random(configuration.seed)
    mailbox = Mailbox(counters)
    discovery = build_discovery_client(configuration, chance, mailbox, counters)
    cluster = join_cluster(join, counters, chance, mailbox)
    upstreams = UpstreamRegistry(
        configuration.zones, configuration.upstream_settings, descriptors, counters, mailbox.post
    )
    balancer_actor = BalancerActor(
        Balancer(configuration.settings, chance),
        configuration.traffic_class_names,
        mailbox,
        upstreams,
        counters,
        discovery=discovery,
        cluster=cluster,
    )
    lifecycle = build_lifecycle_state(configuration)
    ready = anyio.Event()
    connections = ClientConnections(
        balancer_actor,
        configuration.traffic_class_names,
        configuration.tenants,
        configuration.max_deadline_us,
        descriptors,
        counters,
        ready,
        lifecycle,
    )
    return NodeComponents(
        counters=counters,
        lag_monitor=EventLoopLagMonitor(),
        descriptors=descriptors,
        lifecycle=lifecycle,
        ready=ready,
        discovery=discovery,
        cluster=cluster,
        balancer_actor=balancer_actor,
        connections=connections,
        drainer=SessionDrainer(lifecycle, connections, counters, tasks),
    )


def build_discovery_client(
    configuration: NodeConfiguration, chance: random.Random, mailbox: Mailbox, counters: Counters
) -> DiscoveryClient:
    """Make the client that follows the endpoint list from the configuration's revision on."""
    return DiscoveryClient(
        configuration.discovery_address,
        revision=configuration.known_endpoints.revision,
        pushed=configuration.discovery_pushes_changes,
        counters=counters,
        post=mailbox.post,
        uniform=chance.uniform,
    )


def build_lifecycle_state(configuration: NodeConfiguration) -> LifecycleState:
    """Make the state, with the time that a stop may take."""
    longest_wait_s = configuration.max_deadline_us / 1e6
    return LifecycleState(
        longest_wait_s + STOP_GRACE_S - STOP_MARGIN_S,
        sessions_outlive_node=configuration.passes_through,
    )


def join_cluster(
    join: ClusterFactory | None, counters: Counters, chance: random.Random, mailbox: Mailbox
) -> ClusterService | None:
    """Make this node's side of its cluster; the cluster draws from a stream of its own."""
    if join is None:
        return None
    return join(counters, random.Random(chance.getrandbits(CLUSTER_SEED_BITS)), mailbox)


def start_admin_api(listener: Listener | None, components: NodeComponents, tasks: TaskGroup) -> None:
    """Answer operators, watch the event loop, and talk with the cluster."""
    if listener is not None:
        admin_api = AdminApi(components.lifecycle, components.drainer.start, components.counters)
        tasks.start_soon(admin_api.run, listener)
    tasks.start_soon(components.lag_monitor.run)
    if components.cluster is not None:
        tasks.start_soon(components.cluster.run)


async def connect_predecessor(
    configuration: NodeConfiguration, rendezvous: Rendezvous | None, counters: Counters
) -> Successor | None:
    """Reach the process of this node that serves now; None where there is none to follow."""
    if rendezvous is None:
        return None
    return await Successor.connect(configuration, rendezvous, counters)


def newest_endpoint_list(known: EndpointList, successor: Successor | None) -> EndpointList:
    """Return the configuration's list, or the predecessor's where that is as new."""
    if successor is not None and successor.endpoints.revision >= known.revision:
        return successor.endpoints
    return known


def start_balancing(endpoints: EndpointList, components: NodeComponents, tasks: TaskGroup) -> None:
    """Start balancer and discovery client with a list held before, by which sessions can be placed."""
    components.discovery.revision = endpoints.revision
    components.balancer_actor.handle(now_us(), EndpointsChanged(endpoints, from_discovery=False))
    tasks.start_soon(components.balancer_actor.run)
    tasks.start_soon(components.discovery.run)


def listener_for_clients(configuration: NodeConfiguration, successor: Successor | None) -> Listener:
    """Return the predecessor's listener, or a new one, which a process of this node may share."""
    if successor is not None:
        return successor.listener
    return Listener.bind(
        configuration.listen_address, CLIENT_BACKLOG, shared=configuration.admin_address is not None
    )


async def open_to_clients(
    client_listener: ClientListener,
    successor: Successor | None,
    components: NodeComponents,
    tasks: TaskGroup,
) -> None:
    """Accept clients, once the predecessor does no more, and wait a moment for the present list."""
    if successor is None:
        client_listener.open()
    with anyio.move_on_after(FIRST_LIST_WAIT_S):
        await components.discovery.first_update.wait()
    if successor is None:
        return
    # The predecessor has gone on taking what is new up to now, with an event loop that is warm.
    await successor.take_over_state(
        components.descriptors, components.lifecycle, components.balancer_actor, components.connections
    )
    tasks.start_soon(successor.run, components.connections, tasks)
    client_listener.open()
    if components.lifecycle.draining:
        components.drainer.start()


def start_predecessor(
    configuration: NodeConfiguration,
    rendezvous: Rendezvous,
    client_listener: ClientListener,
    components: NodeComponents,
    tasks: TaskGroup,
) -> None:
    """Wait for a process of this node that is to follow this one."""
    predecessor = Predecessor(
        configuration,
        rendezvous,
        components.lifecycle,
        components.balancer_actor,
        components.connections,
        client_listener,
        components.descriptors,
        components.counters,
    )
    tasks.start_soon(predecessor.run)


def build_shutdown(
    client_listener: ClientListener, components: NodeComponents, tasks: TaskGroup
) -> GracefulShutdown:
    """Make what ends the node."""
    return GracefulShutdown(
        components.lifecycle, components.connections, components.drainer, client_listener, tasks
    )


def announce_ready(configuration: NodeConfiguration, listener: Listener, components: NodeComponents) -> None:
    """Tell operators, waiting clients and the log that the node serves."""
    components.lifecycle.ready = True
    components.ready.set()
    log.info(
        "serving",
        node=configuration.name,
        listen=listener.address,
        upstreams=len(components.balancer_actor.upstreams.actors),
        passes_through=configuration.passes_through,
    )
