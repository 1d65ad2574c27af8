"""What goes wrong on a day, described once; each player says once what a fault does to it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol, TypeVar

from larchlatch.days.amounts import Amount, Count, Few, Positive, Share
from larchlatch.tomlfile import Strict

H = TypeVar("H")
N = TypeVar("N")


class Fault(Strict, tag_field="kind", frozen=True):
    at_s: Amount


class Slow(Fault, tag="slow", frozen=True):
    """Hosts do their work so many times more slowly."""

    hosts: Count = 1
    factor: Positive = 4.0
    for_s: Positive = 10.0


class Silent(Fault, tag="silent", frozen=True):
    """Hosts vanish without a word; they come back cold, having forgotten all links."""

    hosts: Count = 1
    for_s: Positive = 10.0


class Crash(Fault, tag="crash", frozen=True):
    """Hosts' processes die, and come back cold."""

    hosts: Count = 1
    for_s: Positive = 2.0


class Drain(Fault, tag="drain", frozen=True):
    """Hosts finish what they have, and are gone after that."""

    hosts: Count = 1
    for_s: Positive = 10.0


class Join(Fault, tag="join", frozen=True):
    """Hosts that were not there come up, cold."""

    hosts: Count = 1


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


AnyFault = Slow | Silent | Crash | Drain | Join | Cut | Kill | Store | Crowd | Deaf


class Player(Protocol[H, N]):
    """Who plays a day: what each fault does there. Times are seconds."""

    def later(self, after_s: float, what: Callable[..., None], *args: object) -> None: ...

    def well(self) -> Sequence[H]:
        """Hosts that are well and listed as such."""

    def absent(self) -> Sequence[H]:
        """Hosts that have not been there yet."""

    def alive(self) -> Sequence[N]:
        """Nodes to which clients are sent."""

    def slow(self, host: H, factor: float) -> None: ...
    def vanish(self, host: H) -> None: ...
    def crash(self, host: H) -> None: ...
    def rise(self, host: H) -> None: ...
    def drain(self, host: H) -> None: ...
    def depart(self, host: H) -> None: ...
    def kill(self, node: N) -> None: ...
    def sever(self, zone: int) -> None: ...
    def mend(self, zone: int) -> None: ...
    def store(self, factor: float) -> None: ...
    def scatter(self, share: float, chance: Random) -> None: ...
    def deafen(self, for_s: float) -> None: ...


def strike(player: Player[H, N], fault: AnyFault, chance: Random) -> None:
    """A fault begins; what ends it is arranged. Who it hits is drawn among those that are there then."""

    def some(number: int) -> list[H]:
        well = player.well()
        return chance.sample(well, min(number, len(well)))

    match fault:
        case Slow():
            for host in some(fault.hosts):
                player.slow(host, fault.factor)
                player.later(fault.for_s, player.slow, host, 1 / fault.factor)
        case Silent():
            for host in some(fault.hosts):
                player.vanish(host)
                player.later(fault.for_s, player.rise, host)
        case Crash():
            for host in some(fault.hosts):
                player.crash(host)
                player.later(fault.for_s, player.rise, host)
        case Drain():
            for host in some(fault.hosts):
                player.drain(host)
                player.later(fault.for_s, player.depart, host)
        case Join():
            for host in player.absent()[: fault.hosts]:
                player.rise(host)
        case Cut():
            player.sever(fault.zone)
            player.later(fault.for_s, player.mend, fault.zone)
        case Kill():
            alive = player.alive()
            for node in chance.sample(alive, min(fault.nodes, len(alive))):
                player.kill(node)
        case Store():
            player.store(fault.factor)
            player.later(fault.for_s, player.store, 1 / fault.factor)
        case Crowd():
            player.scatter(fault.share, chance)
        case Deaf():
            player.deafen(fault.for_s)
