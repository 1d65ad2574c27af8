"""The helper process between the nodes of a cluster, which drops, duplicates and delays datagrams.

It receives on one port for each ordered pair of nodes.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from msgspec import Struct

from larchlatch.loadtest.cluster_files import DatagramAddress
from larchlatch.loadtest.helper_process import serve_commands
from larchlatch.scenario.amounts import SECOND
from larchlatch.scenario.datagram_paths import DatagramPaths, PartitionedNodes, PathImpairment
from larchlatch.scenario.random_streams import RandomStreams

if TYPE_CHECKING:
    from typing import Any


class Setup(Struct, frozen=True):
    """The first message to the helper process.

    Attributes:
        address: Address of the proxy's ports.
        seed: Seed of the random numbers that decide which datagrams are dropped, duplicated or delayed.
        nodes: The address and port at which each node receives datagrams, by node number.

    """

    address: str
    seed: int
    nodes: list[DatagramAddress]


class BlockNodes(Struct, tag=True, frozen=True):
    """Command: block datagrams between these nodes and the others; oneway: those that these nodes send."""

    nodes: list[int]
    oneway: bool


class UnblockNodes(Struct, tag=True, frozen=True):
    """Command: end a block that was set up with the same values."""

    nodes: list[int]
    oneway: bool


class ImpairPaths(Struct, tag=True, frozen=True):
    """Command: apply an impairment to all datagrams from now on."""

    impairment: PathImpairment


Command = BlockNodes | UnblockNodes | ImpairPaths


class DatagramProxyPath(asyncio.DatagramProtocol):
    """The path from one node to another, which has a port of its own."""

    def __init__(self, proxy: DatagramFaultProxy, sender: int, receiver: int) -> None:
        self._proxy = proxy
        self._sender = sender
        self._receiver = receiver
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Forward a datagram as often and with such delays as the impairments of the paths demand."""
        delays_us = self._proxy.delays_of_next(self._sender, self._receiver, len(data))
        for delay_us in delays_us:
            if delay_us:
                asyncio.get_running_loop().call_later(delay_us / SECOND, self._forward, data)
            else:
                self._forward(data)

    def _forward(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._proxy.passed += 1
            self._transport.sendto(data, self._proxy.nodes[self._receiver])

    def error_received(self, exc: Exception) -> None:
        """Ignore an ICMP error (the receiver's process has ended): a network would drop the datagram."""


class DatagramFaultProxy:
    """The proxy with the paths between all nodes.

    Attributes:
        nodes: The address and port at which each node receives datagrams, by node number.
        passed: Number of datagrams that were forwarded, duplicates included.

    """

    def __init__(self) -> None:
        self.nodes: list[DatagramAddress] = []
        self.passed = 0
        self._paths = DatagramPaths(None)
        self._received = self._dropped = self._received_bytes = 0

    def delays_of_next(self, sender: int, receiver: int, size: int) -> list[int]:
        """Count a received datagram, and return the delay of each copy to forward, in microseconds.

        The list is empty if the datagram is dropped.
        """
        self._received += 1
        self._received_bytes += size
        delays_us = self._paths.delays_of_next(sender, receiver)
        if not delays_us:
            self._dropped += 1
        return delays_us

    async def set_up(self, setup: Setup) -> list[list[int]]:
        """Open a port for each path, and return the ports by sender and receiver; 0 from a node to itself."""
        self.nodes = setup.nodes
        self._paths = DatagramPaths(RandomStreams(setup.seed))
        numbers = range(len(self.nodes))
        return [
            [
                0 if sender == receiver else await self._open_port(setup.address, sender, receiver)
                for receiver in numbers
            ]
            for sender in numbers
        ]

    async def _open_port(self, address: str, sender: int, receiver: int) -> int:
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: DatagramProxyPath(self, sender, receiver), local_addr=(address, 0)
        )
        port: int = transport.get_extra_info("sockname")[1]
        return port

    async def execute(self, command: Command) -> None:
        """Execute a command of the load test."""
        match command:
            case BlockNodes(nodes, oneway):
                self._paths.partitions.append(PartitionedNodes(frozenset(nodes), oneway))
            case UnblockNodes(nodes, oneway):
                self._paths.partitions.remove(PartitionedNodes(frozenset(nodes), oneway))
            case ImpairPaths(impairment):
                self._paths.impairment = impairment

    def counts(self) -> dict[str, int]:
        """Return the numbers of datagrams received, forwarded and dropped, and of bytes received."""
        return {
            "came": self._received,
            "passed": self.passed,
            "dropped": self._dropped,
            "bytes": self._received_bytes,
        }


async def main() -> None:
    """Run the proxy until its standard input is closed."""
    proxy = DatagramFaultProxy()
    await serve_commands(Setup, proxy.set_up, Command, proxy.execute, proxy.counts)


if __name__ == "__main__":
    asyncio.run(main())
