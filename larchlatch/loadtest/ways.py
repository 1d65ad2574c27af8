"""A process between nodes and hosts: a relay for each zone of nodes and each host; zones are cut off.

Started by the load tool (board.py). What is cut off is as it would be between sites: a new connection gets no
answer, and those that stand are up and say nothing, until the cut heals and what was under way goes on.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import Any

from larchlatch.loadtest.board import serve

BACKLOG = 1024
PIECE = 1 << 16
FILLED_S = 0.05  # a connection that the system has not made by then is one that it will not make
MOST_FILLERS = 8


class Way:
    """From one zone's nodes to one host."""

    def __init__(self, address: str, port: int) -> None:
        self.address = address
        self.host_port = port
        self.port = 0
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.passing = asyncio.Event()
        self.passing.set()
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.passed = 0

    # Whether the host's machine takes connections.

    async def open(self) -> None:
        if self.listener is not None:
            return
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((self.address, self.port))
        sock.listen(BACKLOG)
        self.listener, self.port = sock, sock.getsockname()[1]
        if self.passing.is_set():
            self.accepting = asyncio.ensure_future(self.accept(sock))
        else:
            await self.fill(sock)

    def shut(self) -> None:
        """Its process is gone: whoever connects is refused."""
        if self.accepting is not None:
            self.accepting.cancel()
        if self.listener is not None:
            self.listener.close()
        self.listener = self.accepting = None
        self.unfill()

    # Whether anything goes through.

    async def cut(self) -> None:
        self.passing.clear()
        if self.accepting is not None:
            self.accepting.cancel()
            self.accepting = None
        if self.listener is not None:
            await self.fill(self.listener)

    async def fill(self, listener: socket.socket) -> None:
        # The system itself answers whoever connects, as long as its queue has room: it is kept full, so that
        # connecting finds nobody there, as it does where the network is gone.
        listener.listen(0)
        while len(self.fillers) < MOST_FILLERS and await self.filled():
            pass

    async def filled(self) -> bool:
        sock = socket.socket()
        sock.setblocking(False)
        self.fillers.append(sock)
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(FILLED_S):
                await asyncio.get_running_loop().sock_connect(sock, (self.address, self.port))
                return True
        return False

    def unfill(self) -> None:
        for sock in self.fillers:
            sock.close()
        self.fillers.clear()

    def mend(self) -> None:
        self.unfill()
        self.passing.set()
        if self.listener is not None:
            self.listener.listen(BACKLOG)
            self.accepting = asyncio.ensure_future(self.accept(self.listener))

    # Connections.

    async def accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(listener)
            task = asyncio.ensure_future(self.serve(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def serve(self, sock: socket.socket) -> None:
        near, near_out = await asyncio.open_connection(sock=sock)
        try:
            far, far_out = await asyncio.open_connection(self.address, self.host_port)
        except OSError:
            near_out.transport.abort()
            return
        self.passed += 1
        try:
            async with asyncio.TaskGroup() as both:
                both.create_task(self.pass_on(near, far_out))
                both.create_task(self.pass_on(far, near_out))
        except* OSError:
            # Broken off on one side: told to the other once anything can be told.
            await self.passing.wait()
        finally:
            for out in (near_out, far_out):
                out.transport.abort()

    async def pass_on(self, source: asyncio.StreamReader, out: asyncio.StreamWriter) -> None:
        while True:
            some = await source.read(PIECE)
            await self.passing.wait()
            if not some:
                out.write_eof()
                return
            out.write(some)
            await out.drain()


class Ways:
    """All of them, by the nodes' zone and the host's number."""

    def __init__(self) -> None:
        self.ways: list[list[Way]] = []
        self.zones: list[int] = []  # each host's
        self.severed: list[int] = []

    async def begin(self, first: dict[str, Any]) -> list[list[int]]:
        """Their ports: a row for each zone, a column for each host."""
        self.zones = first["host_zones"]
        for _ in range(first["zones"]):
            self.ways.append([Way(first["address"], port) for port in first["ports"]])
        for row in self.ways:
            for way in row:
                await way.open()
        return [[way.port for way in row] for row in self.ways]

    def crossing(self, zone: int) -> list[Way]:
        """What leads into a zone and out of it."""
        return [
            way
            for near, row in enumerate(self.ways)
            for way, far in zip(row, self.zones, strict=True)
            if near != far and zone in (near, far)
        ]

    async def order(self, line: dict[str, Any]) -> None:
        match line:
            case {"sever": zone}:
                self.severed.append(zone)
                await asyncio.gather(*(way.cut() for way in self.crossing(zone) if way.passing.is_set()))
            case {"mend": zone}:
                self.severed.remove(zone)
                still = {way for other in self.severed for way in self.crossing(other)}
                for way in self.crossing(zone):
                    if way not in still:
                        way.mend()
            case {"open": upstream}:
                for row in self.ways:
                    await row[upstream].open()
            case {"shut": upstream}:
                for row in self.ways:
                    row[upstream].shut()

    def told(self) -> dict[str, int]:
        return {"passed": sum(way.passed for row in self.ways for way in row)}


async def main() -> None:
    ways = Ways()
    await serve(ways.begin, ways.order, ways.told)


if __name__ == "__main__":
    asyncio.run(main())
