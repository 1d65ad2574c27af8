"""Carries out the scenario's faults on the processes, stubs and proxies of a load test."""

from __future__ import annotations

import signal
from functools import partial
from typing import TYPE_CHECKING

from larchlatch.loadtest import tcp_fault_proxy as tcp_proxy
from larchlatch.policy.types import EndpointState
from larchlatch.scenario.upstreams import Condition

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from larchlatch.loadtest.background_tasks import BackgroundTasks
    from larchlatch.loadtest.cluster import Cluster
    from larchlatch.loadtest.cluster_observer import ClusterObserver
    from larchlatch.loadtest.discovery_stub import DiscoveryStub
    from larchlatch.loadtest.node_fleet import NodeFleet
    from larchlatch.loadtest.node_process import NodeProcess
    from larchlatch.loadtest.upstream_stub import UpstreamStub
    from larchlatch.loadtest.zone_connections import ZoneConnections
    from larchlatch.scenario.datagram_paths import PathImpairment


class UpstreamStubFaults:
    """Faults of upstreams: implements `larchlatch.scenario.fault_injection.UpstreamFaults` on stubs."""

    def __init__(
        self,
        stubs: Sequence[UpstreamStub],
        discovery: DiscoveryStub,
        zone_connections: ZoneConnections,
        observer: ClusterObserver,
        tasks: BackgroundTasks,
    ) -> None:
        self._stubs = stubs
        self._discovery = discovery
        self._zone_connections = zone_connections
        self._observer = observer
        self._tasks = tasks

    def ready_upstreams(self) -> list[UpstreamStub]:
        """Return the upstreams that are healthy and listed as ready."""
        return [stub for stub in self._stubs if stub.upstream.is_ready]

    def absent_upstreams(self) -> list[UpstreamStub]:
        """Return the upstreams that have not been started yet."""
        return [stub for stub in self._stubs if stub.upstream.was_never_started]

    def slow_down(self, upstream: UpstreamStub, factor: float) -> None:
        """Multiply the time that an upstream takes for its work; a factor below 1 speeds it up."""
        upstream.upstream.slowness *= factor

    def silence(self, upstream: UpstreamStub) -> None:
        """Make an upstream stop answering."""
        self._observer.upstream_lost(upstream.upstream.number)
        upstream.upstream.condition = Condition.SILENT

    def crash(self, upstream: UpstreamStub) -> None:
        """End an upstream's process, so that its connections are reset."""
        self._observer.upstream_lost(upstream.upstream.number)
        self._end_process(upstream)

    def bring_up(self, upstream: UpstreamStub) -> None:
        """Start an upstream anew: cold, without sessions, and listed as ready."""
        self._observer.upstream_returned(upstream.upstream.number)
        self._tasks.start(self._start_again, upstream)

    def drain(self, upstream: UpstreamStub) -> None:
        """List an upstream as draining."""
        upstream.upstream.draining = True
        self._discovery.change(upstream, EndpointState.DRAINING)

    def retire(self, upstream: UpstreamStub) -> None:
        """Stop an upstream and remove it from the endpoint list."""
        self._end_process(upstream)
        upstream.upstream.condition = Condition.ABSENT
        self._discovery.change(upstream, EndpointState.GONE)

    def slow_shared_store(self, factor: float) -> None:
        """Multiply the time that the shared store takes for each session that is established."""
        for stub in self._stubs:
            stub.setup_delay_factor *= factor

    def _end_process(self, stub: UpstreamStub) -> None:
        self._tasks.start(self._zone_connections.execute, tcp_proxy.CloseUpstream(stub.upstream.number))
        stub.crash()

    async def _start_again(self, stub: UpstreamStub) -> None:
        await stub.start_again(self._tasks)
        await self._zone_connections.execute(tcp_proxy.OpenUpstream(stub.upstream.number))
        self._discovery.change(stub, EndpointState.READY)


class NodeProcessFaults:
    """Faults of nodes: implements `larchlatch.scenario.fault_injection.NodeFaults` on processes."""

    def __init__(
        self,
        fleet: NodeFleet,
        cluster: Cluster | None,
        observer: ClusterObserver,
        call_later: Callable[..., None],
    ) -> None:
        self._fleet = fleet
        self._cluster = cluster
        self._observer = observer
        self._call_later = call_later

    def serving_nodes(self) -> list[NodeProcess]:
        """Return the nodes that clients are sent to."""
        return self._fleet.in_rotation()

    def role_holders(self) -> list[NodeProcess]:
        """Return the nodes that hold any role."""
        return [self._fleet.nodes[number] for number in self._observer.checkers.role_holders()]

    def nodes_in_zone(self, zone: int) -> list[NodeProcess]:
        """Return the nodes of a zone."""
        return [node for node in self._fleet.nodes if self._fleet.zone_of(node) == zone]

    def kill(self, node: NodeProcess) -> None:
        """Kill a node's process; it is restarted after the time that the scenario states."""
        self._fleet.kill(node)

    def pause(self, node: NodeProcess) -> None:
        """Pause a node's process, which keeps its connections; pauses of one node may overlap."""
        self._fleet.pause(node)

    def resume(self, node: NodeProcess) -> None:
        """End one pause of a node; its process continues after the last one."""
        self._fleet.resume(node)

    def set_clock_gain(self, node: NodeProcess, gain: float) -> None:
        """Make a node's clock gain this share from now on; a negative share makes it lose time."""
        if self._cluster is not None and node.running:
            self._cluster.set_clock_gain(node.number, gain)
            node.send_signal(signal.SIGUSR2)

    def send_false_reports(self, node: NodeProcess, subject: str) -> None:
        """Make a node send false reports about a subject; an empty subject ends it."""
        if self._cluster is not None and node.running:
            self._cluster.set_false_reports(node.number, subject)
            node.send_signal(signal.SIGUSR2)

    def decommission(self, node: NodeProcess) -> None:
        """Stop a node for good."""
        node.removed = True
        self._fleet.kill(node)

    def update_cluster_files(self, removed: Sequence[NodeProcess], draw_delay_s: Callable[[], float]) -> None:
        """Remove nodes from the cluster file, which each remaining node rereads after a delay of its own."""
        if self._cluster is None:
            return
        self._cluster.files.removed |= {node.number for node in removed}
        for node in self._fleet.nodes:
            if not node.removed:
                self._call_later(draw_delay_s(), self._update_cluster_file, self._cluster, node)

    def _update_cluster_file(self, cluster: Cluster, node: NodeProcess) -> None:
        cluster.files.write(node.number)
        if self._observer.is_running(node.number):  # otherwise it reads the file when it starts
            node.send_signal(signal.SIGHUP)


class ProxyFaults:
    """Faults of the network: implements `larchlatch.scenario.fault_injection.NetworkFaults` on proxies."""

    def __init__(
        self,
        zone_connections: ZoneConnections,
        cluster: Cluster | None,
        discovery: DiscoveryStub,
        tasks: BackgroundTasks,
    ) -> None:
        self._zone_connections = zone_connections
        self._cluster = cluster
        self._discovery = discovery
        self._tasks = tasks

    def isolate_zone(self, zone: int) -> None:
        """Block all connections between a zone and the others."""
        self._tasks.start(self._zone_connections.isolate, zone)

    def reconnect_zone(self, zone: int) -> None:
        """End the isolation of a zone."""
        self._tasks.start(self._zone_connections.reconnect, zone)

    def partition(self, nodes: Sequence[NodeProcess], *, oneway: bool) -> None:
        """Block datagrams between these nodes and the others; oneway: those that these nodes send."""
        if self._cluster is not None:
            self._tasks.start(partial(self._cluster.partition, _numbers(nodes), oneway=oneway))

    def heal_partition(self, nodes: Sequence[NodeProcess], *, oneway: bool) -> None:
        """End a partition that was made with the same arguments."""
        if self._cluster is not None:
            self._tasks.start(partial(self._cluster.heal_partition, _numbers(nodes), oneway=oneway))

    def impair_paths(self, impairment: PathImpairment) -> None:
        """Apply an impairment to all datagrams between nodes from now on."""
        if self._cluster is not None:
            self._tasks.start(self._cluster.impair_paths, impairment)

    def suspend_discovery(self, for_s: float) -> None:
        """Deliver no change of the endpoint list for a time in seconds."""
        self._discovery.begin_outage(for_s)


def _numbers(nodes: Sequence[NodeProcess]) -> list[int]:
    return [node.number for node in nodes]
