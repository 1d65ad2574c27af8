"""What goes wrong on a day, described once; each player says once what a fault does to it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Annotated, Literal, Protocol, TypeVar

from msgspec import Meta

from larchlatch.config.toml_file import Strict
from larchlatch.scenario.amounts import Amount, Count, Few, Positive, Share, us
from larchlatch.scenario.paths import Manner

REFILED_S = 1.0  # within which all nodes have read a new cluster file

H = TypeVar("H")
N = TypeVar("N")


class Fault(Strict, tag_field="kind", frozen=True):
    at_s: Amount


class Slow(Fault, tag="slow", frozen=True):
    """Hosts do their work so many times more slowly."""

    upstreams: Count = 1
    factor: Positive = 4.0
    for_s: Positive = 10.0


class Silent(Fault, tag="silent", frozen=True):
    """Hosts vanish without a word; they come back cold, having forgotten all links."""

    upstreams: Count = 1
    for_s: Positive = 10.0


class Crash(Fault, tag="crash", frozen=True):
    """Hosts' processes die, and come back cold."""

    upstreams: Count = 1
    for_s: Positive = 2.0


class Drain(Fault, tag="drain", frozen=True):
    """Hosts finish what they have, and are gone after that."""

    upstreams: Count = 1
    for_s: Positive = 10.0


class Join(Fault, tag="join", frozen=True):
    """Hosts that were not there come up, cold."""

    upstreams: Count = 1


class Cut(Fault, tag="cut", frozen=True):
    """A zone can't be reached from the others, nor they from it."""

    zone: Few = 0
    for_s: Positive = 8.0


class Kill(Fault, tag="kill", frozen=True):
    """Nodes die, their links with them or, where packets pass through, in mid-flow to other nodes."""

    nodes: Count = 1


class Store(Fault, tag="store", frozen=True):
    """What all setups need takes so many times as long."""

    factor: Positive = 10.0
    for_s: Positive = 10.0


class Crowd(Fault, tag="crowd", frozen=True):
    """A share of the clients loses its links at once, and comes back."""

    share: Share = 0.5


class Deaf(Fault, tag="deaf", frozen=True):
    """No node hears of the list."""

    for_s: Positive = 10.0


class Part(Fault, tag="part", frozen=True):
    """Nodes and the others don't hear each other; oneway: they are not heard, but hear. `nodes` or `zone`."""

    nodes: Few = 0
    zone: int = -1
    oneway: bool = False
    for_s: Positive = 8.0


class Lossy(Fault, tag="lossy", frozen=True):
    """All paths between nodes lose, double, reorder and delay; a share of all comes again much later."""

    loss: Share = 0.0
    double: Share = 0.0
    reorder: Share = 0.0
    delay_ms: Amount = 0.0
    again: Share = 0.0
    again_s: Positive = 4.0
    for_s: Positive = 8.0


class Skew(Fault, tag="skew", frozen=True):
    """Nodes' clocks gain that share, or lose it where it is below 0."""

    nodes: Count = 1
    share: Annotated[float, Meta(ge=-0.5, le=0.5)] = 0.01
    for_s: Positive = 8.0


class Liar(Fault, tag="liar", frozen=True):
    """Nodes tell others what is not so; what they do themselves is right."""

    nodes: Count = 1
    about: Literal["hosts", "counts", "budget"] = "hosts"
    for_s: Positive = 8.0


class Expel(Fault, tag="expel", frozen=True):
    """Nodes end for good; from `told_s` later on the cluster files of the others lack them."""

    nodes: Count = 1
    told_s: Positive = 3.0


class Stall(Fault, tag="stall", frozen=True):
    """Nodes' processes are stopped, and go on after that."""

    nodes: Count = 1
    holder: bool = False  # whoever holds a duty then, instead of any
    for_s: Positive = 3.0


AnyFault = (
    Slow
    | Silent
    | Crash
    | Drain
    | Join
    | Cut
    | Kill
    | Store
    | Crowd
    | Deaf
    | Part
    | Lossy
    | Stall
    | Skew
    | Liar
    | Expel
)


def trace_name(fault: Fault) -> str:
    """Return a fault's name in a trace: its kind in the day's file, capitalised. Digests depend on it."""
    return str(fault.__struct_config__.tag).capitalize()


PUPPETS = (Skew, Liar)  # what nodes do only when they are made to
BETWEEN = (Part, Lossy, Expel, *PUPPETS)  # what befalls the talk between nodes, where there is any


class Player(Protocol[H, N]):
    """Who plays a day: what each fault does there. Times are seconds."""

    def later(self, after_s: float, what: Callable[..., None], *args: object) -> None: ...

    def well(self) -> Sequence[H]:
        """Hosts that are well and listed as such."""

    def absent(self) -> Sequence[H]:
        """Hosts that have not been there yet."""

    def alive(self) -> Sequence[N]:
        """Nodes to which clients are sent."""

    def holding(self) -> Sequence[N]:
        """Nodes that hold a duty."""

    def slow(self, upstream: H, factor: float) -> None: ...
    def vanish(self, upstream: H) -> None: ...
    def crash(self, upstream: H) -> None: ...
    def rise(self, upstream: H) -> None: ...
    def drain(self, upstream: H) -> None: ...
    def depart(self, upstream: H) -> None: ...
    def kill(self, node: N) -> None: ...
    def sever(self, zone: int) -> None: ...
    def mend(self, zone: int) -> None: ...
    def store(self, factor: float) -> None: ...
    def scatter(self, share: float, chance: Random) -> None: ...
    def deafen(self, for_s: float) -> None: ...
    def of_zone(self, zone: int) -> Sequence[N]: ...
    def part(self, nodes: Sequence[N], oneway: bool) -> None: ...
    def join(self, nodes: Sequence[N], oneway: bool) -> None: ...
    def treat(self, manner: Manner) -> None: ...
    def stall(self, node: N) -> None: ...
    def wake(self, node: N) -> None: ...
    def skew(self, node: N, share: float) -> None: ...
    def lie(self, node: N, about: str) -> None: ...
    def end_for_good(self, node: N) -> None: ...
    def refile(self, gone: Sequence[N], after_s: Callable[[], float]) -> None:
        """The cluster files lack these from now on; each other node hears of it so much later."""


def strike(player: Player[H, N], fault: AnyFault, chance: Random) -> None:
    """A fault begins; what ends it is arranged. Who it hits is drawn among those that are there then."""

    def some(number: int) -> list[H]:
        well = player.well()
        return chance.sample(well, min(number, len(well)))

    def some_nodes(number: int) -> list[N]:
        alive = player.alive()
        return chance.sample(alive, min(number, len(alive)))

    match fault:
        case Slow():
            for upstream in some(fault.upstreams):
                player.slow(upstream, fault.factor)
                player.later(fault.for_s, player.slow, upstream, 1 / fault.factor)
        case Silent():
            for upstream in some(fault.upstreams):
                player.vanish(upstream)
                player.later(fault.for_s, player.rise, upstream)
        case Crash():
            for upstream in some(fault.upstreams):
                player.crash(upstream)
                player.later(fault.for_s, player.rise, upstream)
        case Drain():
            for upstream in some(fault.upstreams):
                player.drain(upstream)
                player.later(fault.for_s, player.depart, upstream)
        case Join():
            for upstream in player.absent()[: fault.upstreams]:
                player.rise(upstream)
        case Cut():
            player.sever(fault.zone)
            player.later(fault.for_s, player.mend, fault.zone)
        case Kill():
            for node in some_nodes(fault.nodes):
                player.kill(node)
        case Store():
            player.store(fault.factor)
            player.later(fault.for_s, player.store, 1 / fault.factor)
        case Crowd():
            player.scatter(fault.share, chance)
        case Deaf():
            player.deafen(fault.for_s)
        case Part():
            cut = player.of_zone(fault.zone) if fault.zone >= 0 else some_nodes(fault.nodes)
            player.part(cut, fault.oneway)
            player.later(fault.for_s, player.join, cut, fault.oneway)
        case Lossy():
            again_us = us(fault.again_s)
            delay_us = us(fault.delay_ms / 1e3)
            player.treat(Manner(fault.loss, fault.double, fault.reorder, delay_us, fault.again, again_us))
            player.later(fault.for_s, player.treat, Manner())
        case Stall():
            for node in player.holding() if fault.holder else some_nodes(fault.nodes):
                player.stall(node)
                player.later(fault.for_s, player.wake, node)
        case Skew():
            for node in some_nodes(fault.nodes):
                player.skew(node, fault.share)
                player.later(fault.for_s, player.skew, node, 0.0)
        case Expel():
            gone = some_nodes(fault.nodes)
            for node in gone:
                player.end_for_good(node)
            player.later(fault.told_s, player.refile, gone, lambda: chance.uniform(0, REFILED_S))
        case Liar():
            for node in some_nodes(fault.nodes):
                player.lie(node, fault.about)
                player.later(fault.for_s, player.lie, node, "")
