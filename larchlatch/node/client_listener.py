"""Accepts client connections while the listener is open and file descriptors are free."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel

from larchlatch.node.clients.connections import Answered
from larchlatch.node.wire.listen import AcceptError

if TYPE_CHECKING:
    import socket

    from anyio.abc import TaskGroup

    from larchlatch.node.clients.connections import ClientConnections
    from larchlatch.node.descriptor_budget import DescriptorBudget
    from larchlatch.node.wire.listen import Listener

RETRY_S = 0.02  # pause after no descriptor was free or no connection could be accepted


class ListenerCounter(StrEnum):
    """Names of the counters of the client listener."""

    ACCEPT_PAUSED = "accept_paused"
    ACCEPT_FAILED = "accept_failed"


class ClientListener:
    """Accepts connections and starts a task for each. It is paused until it is opened.

    Attributes:
        idle: set while the listener neither accepts connections nor waits for one.

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
        """Accept no connections until it is opened again; clients wait in the backlog."""
        self._opened = anyio.Event()
        self._accept_scope.cancel()

    def fileno(self) -> int:
        """Return the listening socket's descriptor."""
        return self._listener.sock.fileno()

    async def run(self) -> None:
        """Accept connections while the listener is open, until cancelled."""
        while True:
            await self._opened.wait()
            self.idle = anyio.Event()
            with anyio.CancelScope() as self._accept_scope:
                await self._accept_clients()
            self.idle.set()

    async def close(self) -> None:
        """Serve the connections that wait in the backlog, then close; later clients are refused."""
        self.pause()
        # If the socket were closed while the event loop waits on it, it would continue to accept connections.
        await self.idle.wait()
        while (sock := self._listener.accept_nowait()) is not None:
            # A descriptor is taken even if none is free, as this client must be answered now. The task
            # that serves the client releases it.
            self._descriptors.reduce_capacity(1)
            self._tasks.start_soon(self._connections.serve, sock)
        self._listener.sock.close()
        # A task counts its connection when it starts, and the stop waits for those that are counted.
        await anyio.lowlevel.checkpoint()

    async def _accept_clients(self) -> None:
        while True:
            await self._take_descriptor()
            sock = await self._accept()
            if sock is None:
                await anyio.sleep(RETRY_S)
                continue
            self._start(sock)
            # Lets the tasks of accepted clients run, even while many others wait to be accepted.
            await anyio.lowlevel.checkpoint()

    async def _take_descriptor(self) -> None:
        paused = False
        while not self._descriptors.reserve(anyio.current_time()):
            # Until a descriptor is free, clients wait in the backlog.
            if not paused:
                paused = True
                self._connections.counters.add(ListenerCounter.ACCEPT_PAUSED)
            await anyio.sleep(RETRY_S)

    async def _accept(self) -> socket.socket | None:
        """Accept a connection; release the reserved descriptor if there is none, also after cancellation."""
        sock = None
        try:
            sock = await self._listener.accept()
        except AcceptError:
            self._connections.counters.add(ListenerCounter.ACCEPT_FAILED)
        finally:
            if sock is None:
                self._descriptors.release()
        return sock

    def _start(self, sock: socket.socket) -> None:
        """Start a task for an accepted connection, which releases its descriptor; its request may be shed."""
        request = self._connections.take_overdue(sock)
        if request is Answered.ANSWERED:
            self._tasks.start_soon(self._connections.close_answered, sock)
        else:
            self._tasks.start_soon(self._connections.serve, sock, request)
