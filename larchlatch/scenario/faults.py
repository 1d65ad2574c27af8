"""The kinds of faults in scenario files, written against the protocols of `fault_injection.py`.

The upstreams or nodes that a fault affects are chosen when it begins, from those that run at that time.
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

CLUSTER_FILE_SPREAD_S = 1.0  # the time within which all nodes reread a changed cluster file

Target = TypeVar("Target")


def sample(targets: Sequence[Target], count: int, rng: Random) -> list[Target]:
    """Return `count` randomly chosen targets, or all targets in random order if there are fewer."""
    return rng.sample(targets, min(count, len(targets)))


class Fault(Strict, tag_field="kind", frozen=True):
    """A fault that begins at a given time of the scenario.

    Attributes:
        at_s: When the fault begins, in seconds after the start of the scenario.

    """

    at_s: NonNegative

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Begin the fault, and schedule its end if it has one.

        Args:
            injector: The implementation of the fault protocols, on which the fault acts.
            rng: Source of the fault's random choices.

        """
        raise NotImplementedError


class UpstreamFault(Fault, frozen=True):
    """A fault that affects some of the ready upstreams.

    Attributes:
        upstreams: The largest number of upstreams that the fault affects.

    """

    upstreams: Count = 1

    def draw_upstreams(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> list[UpstreamT]:
        """Return the randomly chosen upstreams that the fault affects."""
        return sample(injector.upstreams.ready_upstreams(), self.upstreams, rng)


class NodeFault(Fault, frozen=True):
    """A fault that affects some of the serving nodes.

    Attributes:
        nodes: The largest number of nodes that the fault affects.

    """

    nodes: Count = 1

    def draw_nodes(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> list[NodeT]:
        """Return the randomly chosen nodes that the fault affects."""
        return sample(injector.nodes.serving_nodes(), self.nodes, rng)


class UpstreamSlowdown(UpstreamFault, tag="slow", frozen=True):
    """Some upstreams take longer for their work.

    Attributes:
        factor: The factor by which their processing time grows.
        for_s: How long the slowdown lasts, in seconds.

    """

    factor: Positive = 4.0
    for_s: Positive = 10.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Slow upstreams down for the duration of the fault."""
        slow_down = injector.upstreams.slow_down
        injector.apply_temporarily(
            self.draw_upstreams(injector, rng),
            for_s=self.for_s,
            begin=lambda upstream: slow_down(upstream, self.factor),
            end=lambda upstream: slow_down(upstream, 1 / self.factor),
        )


class UpstreamSilence(UpstreamFault, tag="silent", frozen=True):
    """Some upstreams stop answering; later they are restarted in slow start, without their sessions.

    Attributes:
        for_s: The time until the restart, in seconds.

    """

    for_s: Positive = 10.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Silence upstreams, and restart them after the duration of the fault."""
        affected, upstreams = self.draw_upstreams(injector, rng), injector.upstreams
        injector.apply_temporarily(
            affected, for_s=self.for_s, begin=upstreams.silence, end=upstreams.bring_up
        )


class UpstreamCrash(UpstreamFault, tag="crash", frozen=True):
    """The processes of some upstreams crash; later they are restarted in slow start.

    Attributes:
        for_s: The time until the restart, in seconds.

    """

    for_s: Positive = 2.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Crash upstreams, and restart them after the duration of the fault."""
        affected, upstreams = self.draw_upstreams(injector, rng), injector.upstreams
        injector.apply_temporarily(affected, for_s=self.for_s, begin=upstreams.crash, end=upstreams.bring_up)


class UpstreamDrain(UpstreamFault, tag="drain", frozen=True):
    """Some upstreams drain: they accept no new sessions, and are stopped later.

    Attributes:
        for_s: The time until they are stopped, in seconds.

    """

    for_s: Positive = 10.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Drain upstreams, and retire them after the duration of the fault."""
        affected, upstreams = self.draw_upstreams(injector, rng), injector.upstreams
        injector.apply_temporarily(affected, for_s=self.for_s, begin=upstreams.drain, end=upstreams.retire)


class UpstreamJoin(UpstreamFault, tag="join", frozen=True):
    """Some upstreams that were absent from the start of the scenario are started."""

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Start absent upstreams in the order of their numbers."""
        for upstream in injector.upstreams.absent_upstreams()[: self.upstreams]:
            injector.upstreams.bring_up(upstream)


class ZoneIsolation(Fault, tag="cut", frozen=True):
    """A zone and the other zones do not reach each other, except for datagrams between nodes.

    Attributes:
        zone: The number of the zone.
        for_s: How long the isolation lasts, in seconds.

    """

    zone: CountOrZero = 0
    for_s: Positive = 8.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Isolate the zone for the duration of the fault."""
        injector.network.isolate_zone(self.zone)
        injector.scheduler.call_later(self.for_s, injector.network.reconnect_zone, self.zone)


class NodeCrash(NodeFault, tag="kill", frozen=True):
    """Some nodes crash and lose their sessions.

    If the scenario has `packet_forwarding`, packets of established sessions reach other nodes instead.
    """

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Kill the processes of nodes."""
        for node in self.draw_nodes(injector, rng):
            injector.nodes.kill(node)


class SharedStoreSlowdown(Fault, tag="store", frozen=True):
    """The store that upstreams use to establish sessions becomes slower.

    Attributes:
        factor: The factor by which its processing time grows.
        for_s: How long the slowdown lasts, in seconds.

    """

    factor: Positive = 10.0
    for_s: Positive = 10.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Slow the store down for the duration of the fault."""
        injector.upstreams.slow_shared_store(self.factor)
        injector.scheduler.call_later(self.for_s, injector.upstreams.slow_shared_store, 1 / self.factor)


class ClientReconnectStorm(Fault, tag="crowd", frozen=True):
    """Many clients lose their sessions at the same time, and reconnect.

    Attributes:
        share: The share of established sessions that break, from 0 to 1.

    """

    share: Share = 0.5

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Break the sessions of randomly chosen clients."""
        injector.clients.disconnect_clients(self.share, rng)


class DiscoveryOutage(Fault, tag="deaf", frozen=True):
    """Nodes receive no changes of the endpoint list.

    Attributes:
        for_s: How long the outage lasts, in seconds.

    """

    for_s: Positive = 10.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Suspend discovery for the duration of the fault."""
        injector.network.suspend_discovery(self.for_s)


class Partition(Fault, tag="part", frozen=True):
    """Datagrams between some nodes and all others are blocked, in both directions or in one.

    Attributes:
        nodes: The number of randomly chosen nodes on one side; 0 if `zone` is given.
        zone: The zone whose nodes are on one side; -1 if `nodes` is given.
        oneway: Whether only datagrams from these nodes are blocked.
        for_s: How long the partition lasts, in seconds.

    """

    nodes: CountOrZero = 0
    zone: int = -1
    oneway: bool = False
    for_s: Positive = 8.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Partition nodes for the duration of the fault."""
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
        loss: The share of datagrams that are lost, from 0 to 1.
        duplication: The share of datagrams that arrive twice.
        reordering: The share of datagrams that arrive after later ones.
        delay_ms: The delay of all datagrams, in milliseconds.
        replay: The share of datagrams of which another copy arrives much later.
        replay_after_s: The additional delay of that copy, in seconds.
        for_s: How long the impairment lasts, in seconds.

    """

    loss: Share = 0.0
    duplication: Share = field(default=0.0, name="double")
    reordering: Share = field(default=0.0, name="reorder")
    delay_ms: NonNegative = 0.0
    replay: Share = field(default=0.0, name="again")
    replay_after_s: Positive = field(default=4.0, name="again_s")
    for_s: Positive = 8.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Impair all paths for the duration of the fault."""
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
    """The processes of some nodes are paused, and continue later.

    Attributes:
        role_holders: Whether to pause the nodes that hold a role instead of randomly chosen ones.
        for_s: How long the pause lasts, in seconds.

    """

    role_holders: bool = field(default=False, name="holder")
    for_s: Positive = 3.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Pause nodes for the duration of the fault."""
        paused = injector.nodes.role_holders() if self.role_holders else self.draw_nodes(injector, rng)
        injector.apply_temporarily(
            paused, for_s=self.for_s, begin=injector.nodes.pause, end=injector.nodes.resume
        )


class ClockSkew(NodeFault, tag="skew", frozen=True):
    """The clocks of some nodes run fast or slow.

    Attributes:
        gain: The error of their rate: 0.01 for clocks that run 1% fast, -0.01 for slow ones.
        for_s: How long the clocks run at the wrong rate, in seconds.

    """

    gain: Annotated[float, Meta(ge=-0.5, le=0.5)] = field(default=0.01, name="share")
    for_s: Positive = 8.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Change the rate of clocks for the duration of the fault."""
        set_clock_gain = injector.nodes.set_clock_gain
        injector.apply_temporarily(
            self.draw_nodes(injector, rng),
            for_s=self.for_s,
            begin=lambda node: set_clock_gain(node, self.gain),
            end=lambda node: set_clock_gain(node, 0.0),
        )


class ByzantineNode(NodeFault, tag="liar", frozen=True):
    """Some nodes send false reports to other nodes, but otherwise act correctly.

    Attributes:
        subject: The subject of the reports: `hosts` for the health of upstreams, `counts` for the quota usage
            of other nodes, `budget` for what the node would lend and borrow.
        for_s: How long the nodes send false reports, in seconds.

    """

    subject: Literal["hosts", "counts", "budget"] = field(default="hosts", name="about")
    for_s: Positive = 8.0

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Make nodes send false reports for the duration of the fault."""
        send_false_reports = injector.nodes.send_false_reports
        injector.apply_temporarily(
            self.draw_nodes(injector, rng),
            for_s=self.for_s,
            begin=lambda node: send_false_reports(node, self.subject),
            end=lambda node: send_false_reports(node, ""),
        )


class RemoveNode(NodeFault, tag="expel", frozen=True):
    """Some nodes are stopped permanently, and are removed from the cluster file some time later.

    Attributes:
        cluster_file_after_s: The time from the stop to the change of the cluster file, in seconds.

    """

    cluster_file_after_s: Positive = field(default=3.0, name="told_s")

    def apply(self, injector: FaultInjector[UpstreamT, NodeT], rng: Random) -> None:
        """Decommission nodes, and schedule the update of the cluster files."""
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

# Faults inside a node's process; the load test runs a fault-injecting process as the node for them.
NODE_INTERNAL_FAULTS = (ClockSkew, ByzantineNode)
# Faults that are possible only in scenarios with a cluster of nodes.
CLUSTER_FAULTS = (Partition, LossyNetwork, RemoveNode, *NODE_INTERNAL_FAULTS)


def trace_name(fault: Fault) -> str:
    """Return a fault's name in traces, on which trace digests depend: its `kind`, capitalised."""
    return str(fault.__struct_config__.tag).capitalize()
