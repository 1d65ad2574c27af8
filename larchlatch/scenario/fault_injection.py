"""The operations that a player of scenarios offers to faults: one protocol for each kind of target.

The emulator and the load test implement all four. A fault (`faults.py`) is written against them once.
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
    """Faults of upstreams, and of the store that all of them use to establish sessions."""

    def ready_upstreams(self) -> Sequence[UpstreamT]:
        """Return the upstreams that are healthy and listed as ready."""
        ...

    def absent_upstreams(self) -> Sequence[UpstreamT]:
        """Return the upstreams that have not been started yet."""
        ...

    def slow_down(self, upstream: UpstreamT, factor: float) -> None:
        """Multiply the time that an upstream takes for its work; a factor below 1 speeds it up."""
        ...

    def silence(self, upstream: UpstreamT) -> None:
        """Make an upstream stop answering."""
        ...

    def crash(self, upstream: UpstreamT) -> None:
        """End an upstream's process, so that its connections are reset."""
        ...

    def bring_up(self, upstream: UpstreamT) -> None:
        """Start an upstream anew: cold, without sessions, and listed as ready."""
        ...

    def drain(self, upstream: UpstreamT) -> None:
        """List an upstream as draining; it refuses new sessions and keeps those that it has."""
        ...

    def retire(self, upstream: UpstreamT) -> None:
        """Stop an upstream and remove it from the endpoint list."""
        ...

    def slow_shared_store(self, factor: float) -> None:
        """Multiply the time that the shared store takes for each session that is established."""
        ...


class NodeFaults(Protocol[NodeT]):
    """Faults of the nodes' processes, clocks and cluster files."""

    def serving_nodes(self) -> Sequence[NodeT]:
        """Return the nodes that clients are sent to."""
        ...

    def role_holders(self) -> Sequence[NodeT]:
        """Return the nodes that hold any role."""
        ...

    def nodes_in_zone(self, zone: int) -> Sequence[NodeT]:
        """Return the nodes of a zone."""
        ...

    def kill(self, node: NodeT) -> None:
        """Kill a node's process; it is restarted after the time that the scenario states."""
        ...

    def pause(self, node: NodeT) -> None:
        """Pause a node's process, which keeps its connections; pauses of one node may overlap."""
        ...

    def resume(self, node: NodeT) -> None:
        """End one pause of a node; its process continues after the last one."""
        ...

    def set_clock_gain(self, node: NodeT, gain: float) -> None:
        """Make a node's clock gain this share from now on; a negative share makes it lose time."""
        ...

    def send_false_reports(self, node: NodeT, subject: str) -> None:
        """Make a node send false reports about a subject; an empty subject ends it."""
        ...

    def decommission(self, node: NodeT) -> None:
        """Stop a node for good."""
        ...

    def update_cluster_files(self, removed: Sequence[NodeT], draw_delay_s: Callable[[], float]) -> None:
        """Remove nodes from the cluster file, which each remaining node rereads after a delay."""
        ...


class NetworkFaults(Protocol[NodeT_contra]):
    """Faults of the paths between zones and between nodes, and of discovery."""

    def isolate_zone(self, zone: int) -> None:
        """Block everything between a zone and the others, except for datagrams between nodes."""
        ...

    def reconnect_zone(self, zone: int) -> None:
        """End the isolation of a zone."""
        ...

    def partition(self, nodes: Sequence[NodeT_contra], *, oneway: bool) -> None:
        """Block datagrams between these nodes and the others; oneway: those that these nodes send."""
        ...

    def heal_partition(self, nodes: Sequence[NodeT_contra], *, oneway: bool) -> None:
        """End a partition that was made with the same arguments."""
        ...

    def impair_paths(self, impairment: PathImpairment) -> None:
        """Apply an impairment to all datagrams between nodes from now on."""
        ...

    def suspend_discovery(self, for_s: float) -> None:
        """Deliver no change of the endpoint list for a time in seconds."""
        ...


class ClientFaults(Protocol):
    """Faults of clients."""

    def disconnect_clients(self, share: float, rng: Random) -> None:
        """Break the established sessions of a share of the clients, which come back at once."""
        ...


class Scheduler(Protocol):
    """The player's clock."""

    def call_later(self, delay_s: float, action: Callable[..., None], *args: object) -> None:
        """Schedule a call of an action after a delay in seconds."""
        ...


@dataclass(frozen=True, slots=True)
class FaultInjector(Generic[UpstreamT, NodeT]):
    """The player's implementation of all four protocols, and its clock."""

    upstreams: UpstreamFaults[UpstreamT]
    nodes: NodeFaults[NodeT]
    network: NetworkFaults[NodeT]
    clients: ClientFaults
    scheduler: Scheduler

    def affect(
        self,
        targets: Iterable[TargetT],
        *,
        for_s: float,
        begin: Callable[[TargetT], None],
        end: Callable[[TargetT], None],
    ) -> None:
        """Call `begin` for each target now, and `end` for each after a time in seconds."""
        for target in targets:
            begin(target)
            self.scheduler.call_later(for_s, end, target)
