"""A process between the nodes: a relay for each ordered pair, which a day's faults cut, delay and make lossy.

Started by the load tool (board.py).
"""

from __future__ import annotations

import asyncio
from typing import Any, cast

from larchlatch.loadtest.board import serve
from larchlatch.scenario.chance import Chance
from larchlatch.scenario.paths import Manner, Part, Paths


class Relay(asyncio.DatagramProtocol):
    """What one node sends to another."""

    def __init__(self, board: Switchboard, one: int, other: int) -> None:
        self.board = board
        self.one = one
        self.other = other
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.board.came += 1
        self.board.bytes += len(data)
        delays = self.board.paths.fate(self.one, self.other)
        self.board.dropped += not delays
        for delay in delays:
            if delay:
                asyncio.get_running_loop().call_later(delay / 1e6, self.pass_on, data)
            else:
                self.pass_on(data)

    def pass_on(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.board.passed += 1
            self.transport.sendto(data, self.board.nodes[self.other])

    def error_received(self, exc: Exception) -> None:
        """The other node's process is gone: that is no fault of this one."""


class Switchboard:
    def __init__(self) -> None:
        self.address = ""
        self.nodes: list[tuple[str, int]] = []  # where each listens
        self.paths = Paths(None)
        self.came = self.passed = self.dropped = self.bytes = 0

    async def begin(self, first: dict[str, Any]) -> list[list[int]]:
        """The relays' ports: row by sender, column by receiver; 0 from a node to itself."""
        self.address, self.nodes = first["address"], [(host, port) for host, port in first["nodes"]]
        self.paths = Paths(Chance(first["seed"]))
        return [
            [0 if one == other else await self.relay(one, other) for other in range(len(self.nodes))]
            for one in range(len(self.nodes))
        ]

    async def relay(self, one: int, other: int) -> int:
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Relay(self, one, other), local_addr=(self.address, 0)
        )
        port: int = transport.get_extra_info("sockname")[1]
        return port

    async def order(self, line: dict[str, Any]) -> None:
        match line:
            case {"part": nodes, "oneway": oneway}:
                self.paths.parts.append(Part(frozenset(nodes), oneway))
            case {"join": nodes, "oneway": oneway}:
                self.paths.parts.remove(Part(frozenset(nodes), oneway))
            case {"manner": manner}:
                self.paths.manner = Manner(**manner)

    def told(self) -> dict[str, int]:
        return {"came": self.came, "passed": self.passed, "dropped": self.dropped, "bytes": self.bytes}


async def main() -> None:
    board = Switchboard()
    await serve(board.begin, board.order, board.told)


if __name__ == "__main__":
    asyncio.run(main())
