"""The operations by which faults act on a scenario: one protocol for each kind of target.

The emulator and the load test each implement these protocols, so that the faults in `faults.py` are written
only once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from random import Random

    from larchlatch.scenario.datagram_paths import PathImpairment

UpstreamT = TypeVar("UpstreamT")
NodeT = TypeVar("NodeT")
TargetT = TypeVar("TargetT")
NodeT_contra = TypeVar("NodeT_contra", contravariant=True)


class UpstreamFaults(Protocol[UpstreamT]):
    """Faults of upstreams, and of the store that all upstreams share when they establish sessions."""

    def ready_upstreams(self) -> Sequence[UpstreamT]:
        """Return the upstreams that are healthy and listed as ready."""
        ...

    def absent_upstreams(self) -> Sequence[UpstreamT]:
        """Return the upstreams that have not been started yet."""
        ...

    def slow_down(self, upstream: UpstreamT, factor: float) -> None:
        """Multiply the processing time of an upstream by a factor; a factor below 1 makes it faster."""
        ...

    def silence(self, upstream: UpstreamT) -> None:
        """Make an upstream stop answering; its connections stay open."""
        ...

    def crash(self, upstream: UpstreamT) -> None:
        """End an upstream's process, so that its connections are reset."""
        ...

    def bring_up(self, upstream: UpstreamT) -> None:
        """Start a new process of an upstream, in slow start and without sessions, and list it as ready."""
        ...

    def drain(self, upstream: UpstreamT) -> None:
        """List an upstream as draining; it rejects new sessions and keeps its established ones."""
        ...

    def retire(self, upstream: UpstreamT) -> None:
        """Stop an upstream and remove it from the endpoint list."""
        ...

    def slow_shared_store(self, factor: float) -> None:
        """Multiply the time that the shared store takes to establish a session by a factor."""
        ...


class NodeFaults(Protocol[NodeT]):
    """Faults of the nodes' processes, clocks and cluster files."""

    def serving_nodes(self) -> Sequence[NodeT]:
        """Return the nodes whose processes run, and to which clients may connect."""
        ...

    def role_holders(self) -> Sequence[NodeT]:
        """Return the nodes that hold at least one role."""
        ...

    def nodes_in_zone(self, zone: int) -> Sequence[NodeT]:
        """Return the nodes of a zone."""
        ...

    def kill(self, node: NodeT) -> None:
        """Kill a node's process; it is restarted after `restart_after_s` of the scenario."""
        ...

    def pause(self, node: NodeT) -> None:
        """Pause a node's process, whose connections stay open; several pauses of a node may overlap."""
        ...

    def resume(self, node: NodeT) -> None:
        """End one pause of a node; its process continues when its last pause has ended."""
        ...

    def set_clock_gain(self, node: NodeT, gain: float) -> None:
        """Change the rate of a node's clock from now on; a gain of 0.01 makes it run 1% fast, -0.01 slow."""
        ...

    def send_false_reports(self, node: NodeT, subject: str) -> None:
        """Make a node send false reports about a subject of `ByzantineNode`, or true ones if it is empty."""
        ...

    def decommission(self, node: NodeT) -> None:
        """Stop a node's process without restarting it."""
        ...

    def update_cluster_files(self, removed: Sequence[NodeT], draw_delay_s: Callable[[], float]) -> None:
        """Remove nodes from the cluster file; each remaining node rereads the file after its own delay."""
        ...


class NetworkFaults(Protocol[NodeT_contra]):
    """Faults of the paths between zones and between nodes, and of discovery."""

    def isolate_zone(self, zone: int) -> None:
        """Block all traffic between a zone and the other zones, except for datagrams between nodes."""
        ...

    def reconnect_zone(self, zone: int) -> None:
        """Stop the isolation of a zone."""
        ...

    def partition(self, nodes: Sequence[NodeT_contra], *, oneway: bool) -> None:
        """Block datagrams between these nodes and all others; if `oneway`, only those from these nodes."""
        ...

    def heal_partition(self, nodes: Sequence[NodeT_contra], *, oneway: bool) -> None:
        """End a partition that was begun with the same arguments."""
        ...

    def impair_paths(self, impairment: PathImpairment) -> None:
        """Replace the impairment of all datagrams between nodes."""
        ...

    def suspend_discovery(self, for_s: float) -> None:
        """Deliver no changes of the endpoint list to nodes for a time in seconds."""
        ...


class ClientFaults(Protocol):
    """Faults of clients."""

    def disconnect_clients(self, share: float, rng: Random) -> None:
        """Break the established sessions of a random share of the clients, which reconnect soon after."""
        ...


class Scheduler(Protocol):
    """Schedules actions by the time of a scenario, which is simulated or real."""

    def call_later(self, delay_s: float, action: Callable[..., None], *args: object) -> None:
        """Call an action with these arguments after a delay in seconds."""
        ...


@dataclass(frozen=True, slots=True)
class FaultInjector(Generic[UpstreamT, NodeT]):
    """The implementation of all fault protocols by the emulator or the load test."""

    upstreams: UpstreamFaults[UpstreamT]
    nodes: NodeFaults[NodeT]
    network: NetworkFaults[NodeT]
    clients: ClientFaults
    scheduler: Scheduler

    def apply_temporarily(
        self,
        targets: Iterable[TargetT],
        *,
        for_s: float,
        begin: Callable[[TargetT], None],
        end: Callable[[TargetT], None],
    ) -> None:
        """Call `begin` for each target now, and `end` for each target after a time in seconds."""
        for target in targets:
            begin(target)
            self.scheduler.call_later(for_s, end, target)
