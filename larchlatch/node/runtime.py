"""Creates the components of a node, starts them in order, and runs them until a signal stops the node."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import structlog
from anyio import TASK_STATUS_IGNORED

from larchlatch.node.admin_api import BACKLOG as ADMIN_BACKLOG
from larchlatch.node.admin_api import AdminApi
from larchlatch.node.balancer_actor import BalancerActor
from larchlatch.node.client_listener import ClientListener
from larchlatch.node.clients.connections import ClientConnections
from larchlatch.node.clients.requests import RequestChecker
from larchlatch.node.clock import now_us
from larchlatch.node.components import NodeComponents
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
from larchlatch.node.signal_handler import SignalHandler
from larchlatch.node.signal_mask import SIGNALS, deliver_signals
from larchlatch.node.upstream_registry import UpstreamRegistry
from larchlatch.node.wire.listen import Listener
from larchlatch.policy.balancer import Balancer
from larchlatch.policy.retries import RETRY_AFTER_US

if TYPE_CHECKING:
    from pathlib import Path

    from anyio.abc import TaskGroup, TaskStatus

    from larchlatch.config.endpoints import EndpointList
    from larchlatch.config.node import NodeConfiguration
    from larchlatch.node.ports import ClusterFactory, ClusterPort

CLIENT_BACKLOG = 4096  # connections; after another node has crashed, all its clients may connect at once
FIRST_LIST_WAIT_S = 1.0  # for discovery's first endpoint list; after it the node uses the list it has
CLUSTER_SEED_BITS = 64

log = structlog.get_logger()


async def run_node(
    configuration: NodeConfiguration,
    configuration_path: Path,
    cluster_factory: ClusterFactory | None = None,
    *,
    task_status: TaskStatus[int] = TASK_STATUS_IGNORED,
) -> None:
    """Run a node until a signal stops it.

    Args:
        configuration: the node's configuration.
        configuration_path: the file that the configuration was read from; on SIGHUP it is read again.
        cluster_factory: creates the node's membership in its cluster; None for a node without a cluster.
        task_status: reports the port for clients to the caller once the node can serve.

    """
    with anyio.open_signal_receiver(*SIGNALS) as signals, deliver_signals():
        async with anyio.create_task_group() as tasks:
            # The admin API starts first, so that it can report that the node can't serve yet.
            admin_listener = bind_admin_listener(configuration)
            components = build_components(configuration, cluster_factory, tasks)
            # A stop counts its time from its signal, so signals are handled during all waits that follow.
            signal_handler = SignalHandler(configuration, configuration_path, components)
            tasks.start_soon(signal_handler.run, signals)
            start_background_tasks(admin_listener, components, tasks)
            rendezvous = Rendezvous.for_node(configuration)
            successor = await connect_to_predecessor(configuration, rendezvous, components.counters)
            start_balancing(newest_endpoint_list(configuration.known_endpoints, successor), components, tasks)
            client_listener = start_client_listener(configuration, successor, components, tasks)
            start_waiting_for_stop(client_listener, components, tasks)
            await open_to_clients(client_listener, successor, components, tasks)
            start_waiting_for_successor(configuration, rendezvous, client_listener, components, tasks)
            announce_ready(configuration, client_listener.address, components)
            task_status.started(client_listener.address[1])
    log.info("stopped", **components.figures())


def bind_admin_listener(configuration: NodeConfiguration) -> Listener | None:
    """Listen at the admin API's address; return None if the configuration has none."""
    if configuration.admin_address is None:
        return None
    listener = Listener.bind(configuration.admin_address, ADMIN_BACKLOG)
    log.info("admin_api_listening", listen=listener.address)
    return listener


def build_components(
    configuration: NodeConfiguration, cluster_factory: ClusterFactory | None, tasks: TaskGroup
) -> NodeComponents:
    """Create the components of the node without starting them.

    The balancer actor calls the discovery client and the cluster, and both send messages to the actor.
    To break this cycle, the actor's mailbox is created first and passed to all three.
    """
    counters = Counters()
    descriptors = DescriptorBudget(configuration.descriptor_limit)
    # Balancer and discovery client share one random source and draw from it in the order of events.
    random_source = random.Random(configuration.seed)
    mailbox = Mailbox(counters)
    discovery = build_discovery_client(configuration, random_source, mailbox, counters)
    cluster = join_cluster(cluster_factory, counters, random_source, mailbox)
    upstreams = build_upstream_registry(configuration, descriptors, counters, mailbox)
    balancer = Balancer(configuration.settings, random_source)
    classes = configuration.traffic_class_names
    balancer_actor = BalancerActor(
        balancer, classes, mailbox, upstreams, counters, discovery=discovery, cluster=cluster
    )
    lifecycle = build_lifecycle_state(configuration)
    ready = anyio.Event()
    stop_requested = anyio.Event()
    connections = build_client_connections(
        configuration, balancer_actor, descriptors, counters, ready, lifecycle
    )
    return NodeComponents(
        counters=counters,
        lag_monitor=EventLoopLagMonitor(),
        descriptors=descriptors,
        lifecycle=lifecycle,
        ready=ready,
        stop_requested=stop_requested,
        discovery=discovery,
        cluster=cluster,
        balancer_actor=balancer_actor,
        connections=connections,
        drainer=SessionDrainer(lifecycle, connections, counters, tasks),
    )


def build_discovery_client(
    configuration: NodeConfiguration, random_source: random.Random, mailbox: Mailbox, counters: Counters
) -> DiscoveryClient:
    """Create the discovery client, which follows the endpoint list from the configuration's revision on."""
    return DiscoveryClient(
        configuration.discovery_address,
        revision=configuration.known_endpoints.revision,
        pushed=configuration.discovery_pushes_changes,
        counters=counters,
        post=mailbox.post,
        uniform=random_source.uniform,
    )


def join_cluster(
    cluster_factory: ClusterFactory | None, counters: Counters, random_source: random.Random, mailbox: Mailbox
) -> ClusterPort | None:
    """Create the cluster membership, with a random source seeded from the node's; None without a cluster."""
    if cluster_factory is None:
        return None
    return cluster_factory(counters, random.Random(random_source.getrandbits(CLUSTER_SEED_BITS)), mailbox)


def build_upstream_registry(
    configuration: NodeConfiguration, descriptors: DescriptorBudget, counters: Counters, mailbox: Mailbox
) -> UpstreamRegistry:
    """Create the registry, which runs an actor for each upstream in the endpoint list."""
    return UpstreamRegistry(
        configuration.zones, configuration.upstream_settings, descriptors, counters, mailbox.post
    )


def build_client_connections(
    configuration: NodeConfiguration,
    balancer_actor: BalancerActor,
    descriptors: DescriptorBudget,
    counters: Counters,
    ready: anyio.Event,
    lifecycle: LifecycleState,
) -> ClientConnections:
    """Create the component that serves the connections of clients."""
    requests = RequestChecker(
        traffic_classes=configuration.traffic_class_names,
        tenants=configuration.tenants,
        max_deadline_us=configuration.max_deadline_us,
        retry_after_us=min(RETRY_AFTER_US, configuration.settings.max_retry_after_us),
        lifecycle=lifecycle,
    )
    return ClientConnections(balancer_actor, requests, descriptors, counters, ready, lifecycle)


def build_lifecycle_state(configuration: NodeConfiguration) -> LifecycleState:
    """Create the lifecycle state, with the time that a stop may take."""
    longest_wait_s = configuration.max_deadline_us / 1e6
    return LifecycleState(
        longest_wait_s + STOP_GRACE_S - STOP_MARGIN_S,
        sessions_outlive_node=configuration.passes_through,
    )


def start_background_tasks(
    admin_listener: Listener | None, components: NodeComponents, tasks: TaskGroup
) -> None:
    """Start the admin API, the event loop lag monitor and the cluster membership, as far as configured."""
    if admin_listener is not None:
        admin_api = AdminApi(components.lifecycle, components.drainer.start, components.counters)
        tasks.start_soon(admin_api.run, admin_listener)
    tasks.start_soon(components.lag_monitor.run)
    if components.cluster is not None:
        tasks.start_soon(components.cluster.run)


async def connect_to_predecessor(
    configuration: NodeConfiguration, rendezvous: Rendezvous | None, counters: Counters
) -> Successor | None:
    """Connect to the process of this node that serves now; return None if there is none to take over from."""
    if rendezvous is None:
        return None
    return await Successor.connect(configuration, rendezvous, counters)


def newest_endpoint_list(known: EndpointList, successor: Successor | None) -> EndpointList:
    """Return the predecessor's endpoint list, or the configuration's `known` list if that is newer."""
    if successor is not None and successor.endpoints.revision >= known.revision:
        return successor.endpoints
    return known


def start_balancing(endpoints: EndpointList, components: NodeComponents, tasks: TaskGroup) -> None:
    """Start the balancer actor and the discovery client from a known endpoint list."""
    components.discovery.continue_from(endpoints.revision)
    components.balancer_actor.handle(now_us(), EndpointsChanged(endpoints, from_discovery=False))
    tasks.start_soon(components.balancer_actor.run)
    tasks.start_soon(components.discovery.run)


def start_client_listener(
    configuration: NodeConfiguration,
    successor: Successor | None,
    components: NodeComponents,
    tasks: TaskGroup,
) -> ClientListener:
    """Start the client listener, still paused, on the predecessor's listening socket or on a new one."""
    listener = bind_client_listener(configuration) if successor is None else successor.listener
    client_listener = ClientListener(listener, components.connections, components.descriptors, tasks)
    tasks.start_soon(client_listener.run)
    return client_listener


def bind_client_listener(configuration: NodeConfiguration) -> Listener:
    """Listen at the address for clients, which a node with an admin API can share among its processes."""
    return Listener.bind(
        configuration.listen_address, CLIENT_BACKLOG, shared=configuration.admin_address is not None
    )


async def open_to_clients(
    client_listener: ClientListener,
    successor: Successor | None,
    components: NodeComponents,
    tasks: TaskGroup,
) -> None:
    """Begin to accept clients.

    A node without a predecessor accepts them at once, and then waits at most `FIRST_LIST_WAIT_S` for the
    first endpoint list from discovery. A successor waits for the list first, then takes the predecessor's
    state over, and then accepts clients.
    """
    if successor is None:
        components.lifecycle.serves = True
        accept_clients(client_listener)
    with anyio.move_on_after(FIRST_LIST_WAIT_S):
        await components.discovery.first_update.wait()
    if successor is None:
        return
    # Until here the predecessor accepts new clients, as this process was not ready to serve them.
    components.lifecycle.serves = True
    await successor.take_over_state(components)
    tasks.start_soon(successor.run, components.connections, tasks)
    accept_clients(client_listener)
    if components.lifecycle.draining:
        components.drainer.start()


def accept_clients(client_listener: ClientListener) -> None:
    """Begin to accept clients."""
    client_listener.open()
    log.info("accepting_clients", listen=client_listener.address)


def start_waiting_for_successor(
    configuration: NodeConfiguration,
    rendezvous: Rendezvous | None,
    client_listener: ClientListener,
    components: NodeComponents,
    tasks: TaskGroup,
) -> None:
    """Start to wait for a successor, unless hot restart is disabled."""
    if rendezvous is not None:
        tasks.start_soon(Predecessor(configuration, rendezvous, client_listener, components).run)


def start_waiting_for_stop(
    client_listener: ClientListener, components: NodeComponents, tasks: TaskGroup
) -> None:
    """Start to wait for the request to stop, which ends the node gracefully."""
    shutdown = GracefulShutdown(
        components.lifecycle, components.connections, components.drainer, client_listener, tasks
    )
    tasks.start_soon(shutdown.run_when_requested, components.stop_requested)


def announce_ready(
    configuration: NodeConfiguration, address: tuple[str, int], components: NodeComponents
) -> None:
    """Announce to the admin API, to waiting clients and in the log that the node serves.

    A node that was told to stop during its start serves until its end, but never reports that it is ready: a
    front would send further clients to it, and an operator would end its predecessor.
    """
    components.lifecycle.ready = not components.lifecycle.stopping
    components.ready.set()
    log.info(
        "serving",
        node=configuration.name,
        listen=address,
        upstreams=len(components.balancer_actor.upstreams.actors),
        passes_through=configuration.passes_through,
    )
