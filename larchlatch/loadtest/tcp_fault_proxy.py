"""The helper process between nodes and upstreams, which isolates zones from each other.

It listens on one port for each zone of nodes and each upstream. An isolated zone behaves like a
site without a network path: new connections get no answer, and established ones stay open but carry no data
until the zone is reconnected; the delayed data then arrives.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct

from larchlatch.loadtest.background_tasks import BackgroundTasks
from larchlatch.loadtest.helper_process import serve_commands

if TYPE_CHECKING:
    from collections.abc import Iterator

BACKLOG = 1024
READ_SIZE = 1 << 16
FILL_TIMEOUT_S = 0.05  # the queue counts as full if a connection takes longer
MAX_FILLERS = 8


class Setup(Struct, frozen=True):
    """The first message to the helper process.

    Attributes:
        address: Address of the upstreams, and of the proxy's ports.
        zones: Number of zones of nodes.
        upstream_ports: Port of each upstream.
        upstream_zones: Zone of each upstream.

    """

    address: str
    zones: int
    upstream_ports: list[int]
    upstream_zones: list[int]


class IsolateZone(Struct, tag=True, frozen=True):
    """Command: block all connections between a zone and the others."""

    zone: int


class ReconnectZone(Struct, tag=True, frozen=True):
    """Command: end the isolation of a zone."""

    zone: int


class OpenUpstream(Struct, tag=True, frozen=True):
    """Command: accept connections to an upstream whose process has started."""

    upstream: int


class CloseUpstream(Struct, tag=True, frozen=True):
    """Command: refuse connections to an upstream whose process has ended."""

    upstream: int


Command = IsolateZone | ReconnectZone | OpenUpstream | CloseUpstream


class TcpProxyPath:
    """The path from one zone's nodes to one upstream, which has a port of its own.

    Attributes:
        port: The port; 0 until it is opened for the first time.
        connection_count: Number of connections that reached the upstream.

    """

    def __init__(self, address: str, upstream_port: int, tasks: BackgroundTasks) -> None:
        """Create a path; `tasks` owns the tasks that accept and serve connections."""
        self.port = 0
        self.connection_count = 0
        self._address = address
        self._upstream_port = upstream_port
        self._tasks = tasks
        self._listener: socket.socket | None = None
        self._accept_scope: anyio.CancelScope | None = None
        self._unblocked = asyncio.Event()
        self._unblocked.set()
        self._fillers: list[socket.socket] = []

    @property
    def blocked(self) -> bool:
        """Whether the path forwards no data and accepts no connections."""
        return not self._unblocked.is_set()

    # Opening and closing, as the upstream's process starts and ends.

    async def open(self) -> None:
        """Listen; accept connections unless the path is blocked."""
        if self._listener is not None:
            return
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((self._address, self.port))
        listener.listen(BACKLOG)
        self._listener = listener
        self.port = listener.getsockname()[1]
        if self.blocked:
            await self._fill_queue(listener)
        else:
            self._start_accepting(listener)

    def close(self) -> None:
        """Refuse connections from now on."""
        self._stop_accepting()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._close_fillers()

    # Blocking and unblocking, as zones are isolated and reconnected.

    async def block(self) -> None:
        """Forward no data and leave new connections unanswered from now on."""
        self._unblocked.clear()
        self._stop_accepting()
        if self._listener is not None:
            await self._fill_queue(self._listener)

    def unblock(self) -> None:
        """Forward delayed and new data, and accept connections from now on."""
        self._close_fillers()
        self._unblocked.set()
        if self._listener is not None:
            self._listener.listen(BACKLOG)
            self._start_accepting(self._listener)

    async def _fill_queue(self, listener: socket.socket) -> None:
        # The kernel completes connections by itself while the listener's queue has room. Once the queue is
        # full, it ignores new connections, as if the host were unreachable.
        listener.listen(0)
        while len(self._fillers) < MAX_FILLERS and await self._add_filler():
            pass

    async def _add_filler(self) -> bool:
        """Make a connection that is never accepted; return False if the queue is full."""
        filler = socket.socket()
        filler.setblocking(False)
        self._fillers.append(filler)
        with suppress(OSError), anyio.move_on_after(FILL_TIMEOUT_S):
            await asyncio.get_running_loop().sock_connect(filler, (self._address, self.port))
            return True
        return False

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    # Connections.

    def _start_accepting(self, listener: socket.socket) -> None:
        scope = anyio.CancelScope()
        self._accept_scope = scope
        self._tasks.start(self._accept, listener, scope)

    def _stop_accepting(self) -> None:
        if self._accept_scope is not None:
            self._accept_scope.cancel()
            self._accept_scope = None

    async def _accept(self, listener: socket.socket, scope: anyio.CancelScope) -> None:
        loop = asyncio.get_running_loop()
        with scope:
            # sock_accept does not suspend if a connection is waiting, so the cancellation is checked here.
            while not scope.cancel_called:
                node_socket, _ = await loop.sock_accept(listener)
                self._tasks.start(self._serve, node_socket)

    async def _serve(self, node_socket: socket.socket) -> None:
        """Connect to the upstream, and forward data in both directions."""
        node_reader, node_writer = await asyncio.open_connection(sock=node_socket)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self._address, self._upstream_port
            )
        except OSError:
            node_writer.transport.abort()  # the upstream's process has ended
            return
        self.connection_count += 1
        try:
            async with anyio.create_task_group() as directions:
                directions.start_soon(self._forward, node_reader, upstream_writer)
                directions.start_soon(self._forward, upstream_reader, node_writer)
        except* OSError:
            # One side has reset its connection. The other one is reset once the path is not blocked.
            await self._unblocked.wait()
        finally:
            node_writer.transport.abort()
            upstream_writer.transport.abort()

    async def _forward(self, source: asyncio.StreamReader, target: asyncio.StreamWriter) -> None:
        while True:
            data = await source.read(READ_SIZE)
            await self._unblocked.wait()
            if not data:
                target.write_eof()
                return
            target.write(data)
            await target.drain()


class TcpFaultProxy:
    """The proxy with the paths from all zones of nodes to all upstreams."""

    def __init__(self, tasks: BackgroundTasks) -> None:
        """Create the proxy; `tasks` owns the tasks that accept and serve connections."""
        self._tasks = tasks
        self._paths: list[list[TcpProxyPath]] = []
        self._upstream_zones: list[int] = []
        self._isolated_zones: list[int] = []

    async def set_up(self, setup: Setup) -> list[list[int]]:
        """Open a port for each path, and return the ports by zone of nodes and number of upstream."""
        self._upstream_zones = setup.upstream_zones
        self._paths = [
            [TcpProxyPath(setup.address, port, self._tasks) for port in setup.upstream_ports]
            for _ in range(setup.zones)
        ]
        for path in self._all_paths():
            await path.open()
        return [[path.port for path in row] for row in self._paths]

    def close(self) -> None:
        """Close all ports."""
        for path in self._all_paths():
            path.close()

    async def execute(self, command: Command) -> None:
        """Execute a command of the load test."""
        match command:
            case IsolateZone(zone):
                self._isolated_zones.append(zone)
                await self._block_paths_across(zone)
            case ReconnectZone(zone):
                self._isolated_zones.remove(zone)
                self._unblock_paths_across(zone)
            case OpenUpstream(upstream):
                for row in self._paths:
                    await row[upstream].open()
            case CloseUpstream(upstream):
                for row in self._paths:
                    row[upstream].close()

    def counts(self) -> dict[str, int]:
        """Return the number of connections that reached upstreams."""
        return {"passed": sum(path.connection_count for path in self._all_paths())}

    def _all_paths(self) -> Iterator[TcpProxyPath]:
        for row in self._paths:
            yield from row

    def _paths_across(self, zone: int) -> list[TcpProxyPath]:
        """Return the paths that lead into a zone or out of it."""
        return [
            path
            for node_zone, row in enumerate(self._paths)
            for path, upstream_zone in zip(row, self._upstream_zones, strict=True)
            if node_zone != upstream_zone and zone in (node_zone, upstream_zone)
        ]

    async def _block_paths_across(self, zone: int) -> None:
        # Concurrently, as each path takes some time to fill its queue.
        async with anyio.create_task_group() as blocking:
            for path in self._paths_across(zone):
                if not path.blocked:
                    blocking.start_soon(path.block)

    def _unblock_paths_across(self, zone: int) -> None:
        """Unblock the paths into and out of a zone, except those into or out of another isolated zone."""
        still_blocked = {path for other in self._isolated_zones for path in self._paths_across(other)}
        for path in self._paths_across(zone):
            if path not in still_blocked:
                path.unblock()


async def main() -> None:
    """Run the proxy until its standard input is closed."""
    async with BackgroundTasks() as tasks:
        proxy = TcpFaultProxy(tasks)
        await serve_commands(Setup, proxy.set_up, Command, proxy.execute, proxy.counts)


if __name__ == "__main__":
    asyncio.run(main())
