"""Implements the fault protocols of `scenario/fault_injection.py` for the emulator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.invariants.observations import UpstreamLost, UpstreamReturned
from larchlatch.invariants.session_figures import SessionEvent
from larchlatch.scenario.amounts import us
from larchlatch.scenario.datagram_paths import PartitionedNodes, PathImpairment

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from larchlatch.emulator.clients import ClientPopulation
    from larchlatch.emulator.cluster import SimulatedCluster
    from larchlatch.emulator.context import SimulationContext
    from larchlatch.emulator.discovery import SimulatedDiscovery
    from larchlatch.emulator.node import SimulatedNode
    from larchlatch.emulator.node_lifecycle import NodeLifecycle
    from larchlatch.emulator.session_table import EstablishedSession
    from larchlatch.emulator.shared_store import SharedStore
    from larchlatch.emulator.silence_detection import SilenceDetection
    from larchlatch.emulator.upstream_fleet import UpstreamFleet
    from larchlatch.scenario.upstreams import SimulatedUpstream

OVERLOAD_DOWNTIME_S = 5.0  # time until an upstream that crashed under overload restarts


class SimulatedUpstreamFaults:
    """Injects faults of upstreams and of the shared store."""

    def __init__(
        self,
        context: SimulationContext,
        fleet: UpstreamFleet,
        store: SharedStore,
        cluster: SimulatedCluster | None,
    ) -> None:
        self._context = context
        self._fleet = fleet
        self._store = store
        self._cluster = cluster

    def ready_upstreams(self) -> list[SimulatedUpstream]:
        """Return the upstreams that are healthy and listed as ready."""
        return [upstream for upstream in self._context.upstreams if upstream.is_ready]

    def absent_upstreams(self) -> list[SimulatedUpstream]:
        """Return the upstreams that have not been started yet."""
        return [upstream for upstream in self._context.upstreams if upstream.was_never_started]

    def slow_down(self, upstream: SimulatedUpstream, factor: float) -> None:
        """Multiply the time that an upstream takes for its work; a factor below 1 speeds it up."""
        self._fleet.slow_down(upstream, factor)

    def silence(self, upstream: SimulatedUpstream) -> None:
        """Make an upstream stop answering."""
        self._report_lost(upstream)
        self._fleet.silence(upstream)

    def crash(self, upstream: SimulatedUpstream) -> None:
        """End an upstream's process."""
        self._report_lost(upstream)
        self._fleet.crash(upstream)

    def bring_up(self, upstream: SimulatedUpstream) -> None:
        """Start an upstream anew: in slow start, without sessions, and listed as ready."""
        if self._cluster is not None:
            now = self._context.clock.now
            self._cluster.checkers.observe(UpstreamReturned(now, upstream.number))
        self._fleet.bring_up(upstream)

    def drain(self, upstream: SimulatedUpstream) -> None:
        """List an upstream as draining; it rejects new sessions."""
        self._fleet.drain(upstream)

    def retire(self, upstream: SimulatedUpstream) -> None:
        """Stop an upstream and remove it from the endpoint list."""
        self._fleet.retire(upstream)

    def slow_shared_store(self, factor: float) -> None:
        """Multiply the time that each access to the shared store takes."""
        self._store.slowness *= factor

    def crash_under_overload(self, upstream: SimulatedUpstream) -> None:
        """Crash an upstream that was overloaded in its slow start, and start it again after a fixed time."""
        self.crash(upstream)
        self._context.clock.call_later(OVERLOAD_DOWNTIME_S, self.bring_up, upstream)

    def _report_lost(self, upstream: SimulatedUpstream) -> None:
        if self._cluster is not None:
            now = self._context.clock.now
            self._cluster.checkers.observe(UpstreamLost(now, upstream.number))


class SimulatedNodeFaults:
    """Injects faults of nodes' processes, clocks and cluster files."""

    def __init__(
        self,
        context: SimulationContext,
        lifecycle: NodeLifecycle,
        clients: ClientPopulation,
        cluster: SimulatedCluster | None,
    ) -> None:
        self._context = context
        self._lifecycle = lifecycle
        self._clients = clients
        self._cluster = cluster

    def serving_nodes(self) -> list[SimulatedNode]:
        """Return the nodes whose processes have not ended."""
        return [node for node in self._context.nodes if node.is_alive]

    def role_holders(self) -> list[SimulatedNode]:
        """Return the nodes that hold at least one role."""
        if self._cluster is None:
            return []
        return [self._context.nodes[number] for number in self._cluster.checkers.role_holders()]

    def nodes_in_zone(self, zone: int) -> list[SimulatedNode]:
        """Return the nodes of a zone."""
        return [node for node in self._context.nodes if node.zone == zone]

    def kill(self, node: SimulatedNode) -> None:
        """Kill a node's process; it is restarted after `restart_after_s` of the scenario."""
        self._lifecycle.kill(node)

    def pause(self, node: SimulatedNode) -> None:
        """Pause a node's process; clients that still wait for an answer give up at their deadline."""
        node.inbox.pause()
        for record in node.records.values():
            if not record.session.established:
                self._clients.schedule_departure(record, node)
        if self._cluster is not None:
            self._cluster.pause(node.number)

    def resume(self, node: SimulatedNode) -> None:
        """End one pause of a node, unless it was killed meanwhile."""
        if not node.is_alive or not self._lifecycle.is_current(node):
            return
        if not node.inbox.end_pause():
            return
        if self._cluster is not None:
            self._cluster.resume(node.number)
        node.inbox.deliver()

    def set_clock_gain(self, node: SimulatedNode, gain: float) -> None:
        """Change the rate of a node's clock from now on; a gain of 0.01 makes it run 1% fast, -0.01 slow."""
        if self._cluster is not None:
            self._cluster.clocks[node.number].set_gain(self._context.clock.now, gain)

    def send_false_reports(self, node: SimulatedNode, subject: str) -> None:
        """Make a node send false reports about a subject; an empty subject makes it stop."""
        if self._cluster is not None:
            self._cluster.members[node.number].exchange.false_subject = subject

    def decommission(self, node: SimulatedNode) -> None:
        """Stop a node's process without restarting it."""
        self._lifecycle.decommission(node)

    def update_cluster_files(
        self, removed: Sequence[SimulatedNode], draw_delay_s: Callable[[], float]
    ) -> None:
        """Remove nodes from the cluster file, which each remaining node rereads after a delay."""
        if self._cluster is None:
            return
        self._cluster.remove_from_files(node.number for node in removed)
        for number in range(len(self._context.nodes)):
            if number not in self._lifecycle.decommissioned:
                self._context.clock.call_later(draw_delay_s(), self._cluster.reread_file, number)


class SimulatedNetworkFaults:
    """Injects faults of the paths between zones and between nodes, and of discovery."""

    def __init__(
        self,
        context: SimulationContext,
        silence: SilenceDetection,
        discovery: SimulatedDiscovery,
        cluster: SimulatedCluster | None,
    ) -> None:
        self._context = context
        self._silence = silence
        self._discovery = discovery
        self._cluster = cluster

    def isolate_zone(self, zone: int) -> None:
        """Block all traffic between a zone and the others, except for datagrams between nodes."""
        self._context.topology.isolated_zones.add(zone)
        established = self._context.sessions.established.values()
        silent = [session for session in established if self._is_cut_off(session)]
        self._silence.begin(silent, self._is_cut_off)

    def _is_cut_off(self, established: EstablishedSession) -> bool:
        """Return whether the zones of a session's node and upstream do not reach each other."""
        attempt = established.record.attempt
        if attempt is None:
            return False
        upstream = self._context.upstreams[attempt.upstream]
        return self._context.topology.is_cut_off(established.node.zone, upstream.zone)

    def reconnect_zone(self, zone: int) -> None:
        """End the isolation of a zone."""
        self._context.topology.isolated_zones.discard(zone)

    def partition(self, nodes: Sequence[SimulatedNode], *, oneway: bool) -> None:
        """Block datagrams between these nodes and the others; with `oneway`, only what these nodes send."""
        if self._cluster is not None:
            self._cluster.paths.partitions.append(_partitioned(nodes, oneway=oneway))
            self._cluster.observe_fleet()

    def heal_partition(self, nodes: Sequence[SimulatedNode], *, oneway: bool) -> None:
        """End a partition that was begun with the same arguments."""
        if self._cluster is not None:
            self._cluster.paths.partitions.remove(_partitioned(nodes, oneway=oneway))
            self._cluster.observe_fleet()

    def impair_paths(self, impairment: PathImpairment) -> None:
        """Replace the impairment of all datagrams between nodes."""
        if self._cluster is not None:
            self._cluster.paths.impairment = impairment

    def suspend_discovery(self, for_s: float) -> None:
        """Delay endpoint list changes that are sent from now on until a time in seconds has passed."""
        self._discovery.suspended_until = self._context.clock.now + us(for_s)


def _partitioned(nodes: Sequence[SimulatedNode], *, oneway: bool) -> PartitionedNodes:
    return PartitionedNodes(frozenset(node.number for node in nodes), oneway)


class SimulatedClientFaults:
    """Injects faults of clients."""

    def __init__(self, context: SimulationContext, clients: ClientPopulation) -> None:
        self._context = context
        self._clients = clients

    def disconnect_clients(self, share: float, rng: Random) -> None:
        """Break the established sessions of a random share of the clients, which reconnect soon after."""
        sessions = list(self._context.sessions.established.values())
        for record, node in rng.sample(sessions, round(len(sessions) * share)):
            # The end of another session may have caused a node to migrate this one meanwhile.
            if record.session.number in self._context.sessions.established:
                self._clients.end_session(record, SessionEvent.LOST_BY_CLIENT)
                node.client_left(record.session.number)
                self._clients.reconnect(record.client)
