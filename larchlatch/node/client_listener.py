"""Accepts clients' connections for as long as it is open and the node has file descriptors."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel

from larchlatch.node.wire.listen import AcceptError

if TYPE_CHECKING:
    import socket

    from anyio.abc import TaskGroup

    from larchlatch.node.clients.connections import ClientConnections
    from larchlatch.node.descriptor_budget import DescriptorBudget
    from larchlatch.node.wire.listen import Listener

RETRY_S = 0.02  # before the next look when no descriptor is free or nothing could be accepted

ACCEPT_PAUSED = "accept_paused"
ACCEPT_FAILED = "accept_failed"


class ClientListener:
    """Accepts connections and starts a task for each; it is made paused.

    Attributes:
        idle: set while nothing is being accepted.

    """

    def __init__(
        self,
        listener: Listener,
        connections: ClientConnections,
        descriptors: DescriptorBudget,
        tasks: TaskGroup,
    ) -> None:
        self.idle = anyio.Event()
        self.idle.set()
        self._listener = listener
        self._connections = connections
        self._descriptors = descriptors
        self._tasks = tasks
        self._opened = anyio.Event()
        self._accept_scope = anyio.CancelScope()

    @property
    def address(self) -> tuple[str, int]:
        """The address at which clients connect."""
        return self._listener.address

    def open(self) -> None:
        """Accept connections from now on."""
        self._opened.set()

    def pause(self) -> None:
        """Accept no more until it is opened again; clients wait in the backlog."""
        self._opened = anyio.Event()
        self._accept_scope.cancel()

    def fileno(self) -> int:
        """Return the listening socket's descriptor."""
        return self._listener.sock.fileno()

    async def run(self) -> None:
        """Accept while it is open, until cancelled."""
        while True:
            await self._opened.wait()
            self.idle = anyio.Event()
            with anyio.CancelScope() as self._accept_scope:
                await self._accept_clients()
            self.idle.set()

    async def close(self) -> None:
        """Serve what the system has accepted, then close: clients that come later are refused."""
        self.pause()
        # Closed while the event loop still waits on it, the socket would go on accepting, for nobody.
        await self.idle.wait()
        while (sock := self._listener.accept_nowait()) is not None:
            # The connection's task gives it back. Short of descriptors or not: it is answered now or never.
            self._descriptors.lend(1)
            self._tasks.start_soon(self._connections.serve, sock)
        self._listener.sock.close()

    async def _accept_clients(self) -> None:
        while True:
            await self._take_descriptor()
            sock = await self._accept()
            if sock is None:
                await anyio.sleep(RETRY_S)
                continue
            self._start(sock)
            # A crowd that waits must not keep those from work who have been accepted.
            await anyio.lowlevel.checkpoint()

    async def _take_descriptor(self) -> None:
        paused = False
        while not self._descriptors.reserve(anyio.current_time()):
            # Clients that come now wait in the backlog, which costs nothing.
            if not paused:
                paused = True
                self._connections.counters.add(ACCEPT_PAUSED)
            await anyio.sleep(RETRY_S)

    async def _accept(self) -> socket.socket | None:
        """Accept a connection; its descriptor is given back where there is none, also by cancellation."""
        sock = None
        try:
            sock = await self._listener.accept()
        except AcceptError:
            self._connections.counters.add(ACCEPT_FAILED)
        finally:
            if sock is None:
                self._descriptors.release()
        return sock

    def _start(self, sock: socket.socket) -> None:
        request = self._connections.read_overdue(sock)
        if request is not None and self._connections.shed_overdue(sock, request):
            self._tasks.start_soon(self._connections.close_answered, sock)
        else:
            self._tasks.start_soon(self._connections.serve, sock, request)
