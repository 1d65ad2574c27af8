"""The faults of a scenario, each declared once against the protocols of `fault_injection.py`.

The upstreams or nodes that a fault affects are drawn when it begins, from those that are running then.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Annotated, Literal, TypeVar

from msgspec import Meta, field

from larchlatch.config.toml_file import Strict
from larchlatch.scenario.amounts import Count, CountOrZero, NonNegative, Positive, Share, us
from larchlatch.scenario.datagram_paths import PathImpairment

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from larchlatch.scenario.fault_injection import FaultInjector, NodeT, UpstreamT

CLUSTER_FILE_SPREAD_S = 1.0  # within which all nodes have reread a changed cluster file

Target = TypeVar("Target")


def sample(targets: Sequence[Target], count: int, rng: Random) -> list[Target]:
    """Return this many randomly chosen targets, or all of them in random order if there are fewer."""
    return rng.sample(targets, min(count, len(targets)))


class Fault(Strict, tag_field="kind", frozen=True):
    """A fault that begins at a time of the scenario.

    Attributes:
        at_s: When it begins, in seconds after the scenario's start.

    """

    at_s: NonNegative

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Begin the fault, and schedule its end.

        Args:
            injector: The player's implementation of the fault protocols.
            rng: Source of the fault's random choices.

        """
        raise NotImplementedError


class UpstreamFault(Fault, frozen=True):
    """A fault of some ready upstreams.

    Attributes:
        upstreams: How many it affects at most.

    """

    upstreams: Count = 1

    def draw_upstreams(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> list[UpstreamT]:
        """Return the upstreams that the fault affects."""
        return sample(injector.upstreams.ready_upstreams(), self.upstreams, rng)


class NodeFault(Fault, frozen=True):
    """A fault of some serving nodes.

    Attributes:
        nodes: How many it affects at most.

    """

    nodes: Count = 1

    def draw_nodes(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> list[NodeT]:
        """Return the nodes that the fault affects."""
        return sample(injector.nodes.serving_nodes(), self.nodes, rng)


class UpstreamSlowdown(UpstreamFault, tag="slow", frozen=True):
    """Upstreams take a multiple of the time for their work."""

    factor: Positive = 4.0
    for_s: Positive = 10.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Slow upstreams down for the fault's time."""
        slow_down = injector.upstreams.slow_down
        injector.affect(
            self.draw_upstreams(injector, rng),
            for_s=self.for_s,
            begin=lambda upstream: slow_down(upstream, self.factor),
            end=lambda upstream: slow_down(upstream, 1 / self.factor),
        )


class UpstreamSilence(UpstreamFault, tag="silent", frozen=True):
    """Upstreams stop answering, and come back cold, without their sessions."""

    for_s: Positive = 10.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Silence upstreams for the fault's time."""
        affected, upstreams = self.draw_upstreams(injector, rng), injector.upstreams
        injector.affect(affected, for_s=self.for_s, begin=upstreams.silence, end=upstreams.bring_up)


class UpstreamCrash(UpstreamFault, tag="crash", frozen=True):
    """Upstreams' processes die, and come back cold."""

    for_s: Positive = 2.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Crash upstreams, and start them again after the fault's time."""
        affected, upstreams = self.draw_upstreams(injector, rng), injector.upstreams
        injector.affect(affected, for_s=self.for_s, begin=upstreams.crash, end=upstreams.bring_up)


class UpstreamDrain(UpstreamFault, tag="drain", frozen=True):
    """Upstreams take no new sessions, and leave after a time."""

    for_s: Positive = 10.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Drain upstreams, and retire them after the fault's time."""
        affected, upstreams = self.draw_upstreams(injector, rng), injector.upstreams
        injector.affect(affected, for_s=self.for_s, begin=upstreams.drain, end=upstreams.retire)


class UpstreamJoin(UpstreamFault, tag="join", frozen=True):
    """Upstreams that were absent from the start come up, cold."""

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Start the first of the absent upstreams."""
        for upstream in injector.upstreams.absent_upstreams()[: self.upstreams]:
            injector.upstreams.bring_up(upstream)


class ZoneIsolation(Fault, tag="cut", frozen=True):
    """A zone and the others do not reach each other, except for datagrams between nodes."""

    zone: CountOrZero = 0
    for_s: Positive = 8.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Isolate the zone for the fault's time."""
        injector.network.isolate_zone(self.zone)
        injector.scheduler.call_later(self.for_s, injector.network.reconnect_zone, self.zone)


class NodeCrash(NodeFault, tag="kill", frozen=True):
    """Nodes die with their sessions; where packets pass through nodes, these go on at other nodes."""

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Kill nodes."""
        for node in self.draw_nodes(injector, rng):
            injector.nodes.kill(node)


class SharedStoreSlowdown(Fault, tag="store", frozen=True):
    """The shared store, which each session's establishment needs, takes a multiple of its time."""

    factor: Positive = 10.0
    for_s: Positive = 10.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Slow the store down for the fault's time."""
        injector.upstreams.slow_shared_store(self.factor)
        injector.scheduler.call_later(self.for_s, injector.upstreams.slow_shared_store, 1 / self.factor)


class ClientReconnectStorm(Fault, tag="crowd", frozen=True):
    """A share of the clients loses its sessions at once, and reconnects."""

    share: Share = 0.5

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Disconnect clients."""
        injector.clients.disconnect_clients(self.share, rng)


class DiscoveryOutage(Fault, tag="deaf", frozen=True):
    """No node hears of changes of the endpoint list."""

    for_s: Positive = 10.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Suspend discovery for the fault's time."""
        injector.network.suspend_discovery(self.for_s)


class Partition(Fault, tag="part", frozen=True):
    """Some nodes are partitioned from all others, in both directions or in one.

    Attributes:
        nodes: The number of nodes, chosen at random; 0 if `zone` is given.
        zone: The zone whose nodes are partitioned; -1 if `nodes` is given.
        oneway: Whether only datagrams from these nodes are blocked.

    """

    nodes: CountOrZero = 0
    zone: int = -1
    oneway: bool = False
    for_s: Positive = 8.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Partition nodes for the fault's time."""
        nodes = self._affected_nodes(injector, rng)
        injector.network.partition(nodes, oneway=self.oneway)
        heal = partial(injector.network.heal_partition, nodes, oneway=self.oneway)
        injector.scheduler.call_later(self.for_s, heal)

    def _affected_nodes(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> Sequence[NodeT]:
        if self.zone >= 0:
            return injector.nodes.nodes_in_zone(self.zone)
        return sample(injector.nodes.serving_nodes(), self.nodes, rng)


class LossyNetwork(Fault, tag="lossy", frozen=True):
    """All paths between nodes lose, duplicate, reorder, delay and replay datagrams.

    Attributes:
        loss: The share of datagrams that is lost.
        duplication: The share that arrives twice.
        reordering: The share that later datagrams overtake.
        delay_ms: A delay of all datagrams.
        replay: The share that is repeated much later.
        replay_after_s: The delay of that copy, in seconds.

    """

    loss: Share = 0.0
    duplication: Share = field(default=0.0, name="double")
    reordering: Share = field(default=0.0, name="reorder")
    delay_ms: NonNegative = 0.0
    replay: Share = field(default=0.0, name="again")
    replay_after_s: Positive = field(default=4.0, name="again_s")
    for_s: Positive = 8.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Impair all paths for the fault's time."""
        impairment = PathImpairment(
            loss=self.loss,
            duplication=self.duplication,
            reordering=self.reordering,
            delay_us=us(self.delay_ms / 1e3),
            replay=self.replay,
            replay_delay_us=us(self.replay_after_s),
        )
        injector.network.impair_paths(impairment)
        injector.scheduler.call_later(self.for_s, injector.network.impair_paths, PathImpairment())


class ProcessPause(NodeFault, tag="stall", frozen=True):
    """Nodes' processes are paused and continue later.

    Attributes:
        role_holders: Whether to pause the nodes that hold a role instead of random ones.

    """

    role_holders: bool = field(default=False, name="holder")
    for_s: Positive = 3.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Pause nodes for the fault's time."""
        paused = injector.nodes.role_holders() if self.role_holders else self.draw_nodes(injector, rng)
        injector.affect(paused, for_s=self.for_s, begin=injector.nodes.pause, end=injector.nodes.resume)


class ClockSkew(NodeFault, tag="skew", frozen=True):
    """Nodes' clocks run fast or slow.

    Attributes:
        gain: The share that they gain; a negative one is lost.

    """

    gain: Annotated[float, Meta(ge=-0.5, le=0.5)] = field(default=0.01, name="share")
    for_s: Positive = 8.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Make clocks run at a wrong rate for the fault's time."""
        set_clock_gain = injector.nodes.set_clock_gain
        injector.affect(
            self.draw_nodes(injector, rng),
            for_s=self.for_s,
            begin=lambda node: set_clock_gain(node, self.gain),
            end=lambda node: set_clock_gain(node, 0.0),
        )


class ByzantineNode(NodeFault, tag="liar", frozen=True):
    """Nodes send false reports to other nodes, but act correctly themselves.

    Attributes:
        subject: What the reports are about: health of upstreams, quota usage of others, or what they
            may lend.

    """

    subject: Literal["hosts", "counts", "budget"] = field(default="hosts", name="about")
    for_s: Positive = 8.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Make nodes send false reports for the fault's time."""
        send_false_reports = injector.nodes.send_false_reports
        injector.affect(
            self.draw_nodes(injector, rng),
            for_s=self.for_s,
            begin=lambda node: send_false_reports(node, self.subject),
            end=lambda node: send_false_reports(node, ""),
        )


class RemoveNode(NodeFault, tag="expel", frozen=True):
    """Nodes stop for good, and some time later they are removed from the cluster file.

    Attributes:
        cluster_file_after_s: The time until then, in seconds.

    """

    cluster_file_after_s: Positive = field(default=3.0, name="told_s")

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Decommission nodes, and update the cluster files later."""
        removed = self.draw_nodes(injector, rng)
        for node in removed:
            injector.nodes.decommission(node)
        draw_delay_s = partial(rng.uniform, 0, CLUSTER_FILE_SPREAD_S)
        injector.scheduler.call_later(
            self.cluster_file_after_s, injector.nodes.update_cluster_files, removed, draw_delay_s
        )


AnyFault = (
    UpstreamSlowdown
    | UpstreamSilence
    | UpstreamCrash
    | UpstreamDrain
    | UpstreamJoin
    | ZoneIsolation
    | NodeCrash
    | SharedStoreSlowdown
    | ClientReconnectStorm
    | DiscoveryOutage
    | Partition
    | LossyNetwork
    | ProcessPause
    | ClockSkew
    | ByzantineNode
    | RemoveNode
)

# Faults that need a node process with support for them.
SELF_INFLICTED = (ClockSkew, ByzantineNode)
# Faults that need a cluster of nodes.
BETWEEN_NODES = (Partition, LossyNetwork, RemoveNode, *SELF_INFLICTED)


def trace_name(fault: Fault) -> str:
    """Return a fault's name in a trace: its kind in the scenario file, capitalised. Digests depend on it."""
    return str(fault.__struct_config__.tag).capitalize()
