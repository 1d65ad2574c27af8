"""The paths of datagrams between nodes: blocked, lossy, duplicating, delaying or reordering.

No I/O: the load test's datagram proxy asks it for real datagrams, the emulator for simulated ones.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from larchlatch.scenario.random_streams import RandomStreams

REORDERING_DELAY_US = 50_000  # enough for later datagrams to overtake


@dataclass(frozen=True, slots=True)
class PathImpairment:
    """How paths treat the datagrams that they carry.

    Attributes:
        loss: The share of datagrams that is lost, from 0 to 1.
        duplication: The share that arrives twice.
        reordering: The share that is delayed enough to be overtaken.
        delay_us: A delay of all datagrams, in microseconds.
        replay: The share that arrives once more, much later.
        replay_delay_us: How much later, in microseconds.

    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    delay_us: int = 0
    replay: float = 0.0
    replay_delay_us: int = 0


@dataclass(frozen=True, slots=True)
class PartitionedNodes:
    """Nodes that hear nothing of the others, nor the others of them.

    Attributes:
        nodes: Their numbers.
        oneway: Whether they hear the others all the same.

    """

    nodes: frozenset[int]
    oneway: bool = False

    def blocks(self, sender: int, receiver: int) -> bool:
        """Return whether a datagram from one node to another is blocked."""
        leaves, enters = sender in self.nodes, receiver in self.nodes
        return leaves is not enters and (leaves or not self.oneway)


class DatagramPaths:
    """The paths between all ordered pairs of nodes.

    What happens to a datagram is drawn by its path and its number on that path: traffic on one path does not
    change what is drawn for another.

    Attributes:
        streams: Source of random numbers; None for an instance that is asked only what is blocked.
        impairment: How all paths treat datagrams now.
        partitions: The partitions that are in force.

    """

    def __init__(self, streams: RandomStreams | None) -> None:
        self.streams = streams
        self.impairment = PathImpairment()
        self.partitions: list[PartitionedNodes] = []
        self._datagram_counts: dict[tuple[int, int], int] = {}

    def is_blocked(self, sender: int, receiver: int) -> bool:
        """Return whether no datagram gets from one node to another.

        Nodes that are cut off together still hear each other.
        """
        return any(partition.blocks(sender, receiver) for partition in self.partitions)

    def delays_of_next(self, sender: int, receiver: int) -> list[int]:
        """Return the delays in microseconds after which the next datagram arrives: none, one or several."""
        number = self._datagram_counts.get((sender, receiver), 0) + 1
        self._datagram_counts[sender, receiver] = number
        if self.is_blocked(sender, receiver):
            return []
        impairment, streams = self.impairment, self.streams
        if streams is None:
            raise RuntimeError("paths without random streams carry no datagrams")
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
