"""Decides which datagrams between nodes are lost, duplicated, delayed or reordered.

This module does no I/O: the load test's proxy applies the decisions to real datagrams, the emulator to
simulated ones.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from larchlatch.scenario.random_streams import RandomStreams

REORDERING_DELAY_US = 50_000  # long enough for later datagrams to arrive first


@dataclass(frozen=True, slots=True)
class PathImpairment:
    """How paths treat the datagrams that they carry.

    Attributes:
        loss: The share of datagrams that are lost, from 0 to 1.
        duplication: The share of datagrams that arrive twice.
        reordering: The share of datagrams that arrive after later ones.
        delay_us: The delay of all datagrams, in microseconds.
        replay: The share of datagrams of which another copy arrives much later.
        replay_delay_us: The additional delay of that copy, in microseconds.

    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    delay_us: int = 0
    replay: float = 0.0
    replay_delay_us: int = 0


@dataclass(frozen=True, slots=True)
class PartitionedNodes:
    """A partition between some nodes and all others.

    Attributes:
        nodes: The numbers of the nodes on one side.
        oneway: Whether only the datagrams that these nodes send to the others are blocked.

    """

    nodes: frozenset[int]
    oneway: bool = False

    def blocks(self, sender: int, receiver: int) -> bool:
        """Return whether a datagram from one node to another is blocked."""
        sender_inside, receiver_inside = sender in self.nodes, receiver in self.nodes
        return sender_inside is not receiver_inside and (sender_inside or not self.oneway)


class DatagramPaths:
    """The paths between all ordered pairs of nodes.

    The random numbers for a datagram depend only on its path and on its number on that path, so that traffic
    on one path does not change what happens on another.

    Attributes:
        streams: Source of random numbers; None if the instance is used only for `is_blocked`.
        impairment: The present impairment of all paths.
        partitions: The present partitions.

    """

    def __init__(self, streams: RandomStreams | None) -> None:
        self.streams = streams
        self.impairment = PathImpairment()
        self.partitions: list[PartitionedNodes] = []
        self._datagram_counts: dict[tuple[int, int], int] = {}

    def is_blocked(self, sender: int, receiver: int) -> bool:
        """Return whether a partition blocks all datagrams from one node to another.

        Nodes on the same side of a partition still reach each other.
        """
        return any(partition.blocks(sender, receiver) for partition in self.partitions)

    def delays_of_next(self, sender: int, receiver: int) -> list[int]:
        """Return the delays of all copies of the next datagram, in microseconds; empty if none arrives."""
        number = self._datagram_counts.get((sender, receiver), 0) + 1
        self._datagram_counts[sender, receiver] = number
        if self.is_blocked(sender, receiver):
            return []
        impairment, streams = self.impairment, self.streams
        if streams is None:
            raise RuntimeError("DatagramPaths without random streams can only be asked for is_blocked")
        loss, duplication, reordering = (
            streams.draw(f"path {purpose}", sender, receiver, number) for purpose in "ldr"
        )
        if loss < impairment.loss:
            return []
        delay = impairment.delay_us
        if reordering < impairment.reordering:
            delay += REORDERING_DELAY_US
        delays = [delay]
        if duplication < impairment.duplication:
            delays.append(delay + REORDERING_DELAY_US)
        if impairment.replay and streams.draw("path a", sender, receiver, number) < impairment.replay:
            delays.append(delay + impairment.replay_delay_us)
        return delays
