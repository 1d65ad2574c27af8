"""Accepts client connections while the listener is open and file descriptors are free."""

from __future__ import annotations

from enum import Enum, StrEnum
from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel
import structlog

from larchlatch.node.clients.connections import Answered
from larchlatch.node.wire.listen import AcceptError
from larchlatch.policy import admission

if TYPE_CHECKING:
    import socket

    from anyio.abc import TaskGroup

    from larchlatch.node.clients.connections import ClientConnections
    from larchlatch.node.descriptor_budget import DescriptorBudget
    from larchlatch.node.wire.listen import Listener

RETRY_S = 0.02  # pause after no descriptor was free or no connection could be accepted

log = structlog.get_logger()


class DescriptorUse(Enum):
    """What the descriptor of a client's connection is for."""

    SERVE = "serve"
    REJECT = "reject"  # the node has no descriptor for a session; this one is of the reserve


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
        self._exhausted_since: float | None = None  # since when no descriptor is free; None if one is
        self._sheds = False  # whether clients are rejected because no descriptor is free

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
            use = await self._take_descriptor()
            sock = await self._accept(use)
            if sock is None:
                await anyio.sleep(RETRY_S)
                continue
            if use is DescriptorUse.REJECT and self._reserve_for_serving():
                self._descriptors.rejections.release()
                use = DescriptorUse.SERVE
            if use is DescriptorUse.SERVE:
                self._start(sock)
            else:
                self._tasks.start_soon(self._connections.reject_without_descriptor, sock)
            # Lets the tasks of accepted clients run, even while many others wait to be accepted.
            await anyio.lowlevel.checkpoint()

    async def _take_descriptor(self) -> DescriptorUse:
        """Wait until a descriptor is free to serve a client, or until clients have to be rejected."""
        while not self._reserve_for_serving():
            if self._sheds_clients() and self._descriptors.rejections.take():
                return DescriptorUse.REJECT
            # Until then, clients wait in the backlog.
            await anyio.sleep(RETRY_S)
        return DescriptorUse.SERVE

    def _reserve_for_serving(self) -> bool:
        """Reserve a descriptor to serve a client; return False, and note since when, if none is free."""
        now = anyio.current_time()
        if not self._descriptors.reserve(now):
            if self._exhausted_since is None:
                self._exhausted_since = now
                self._connections.counters.add(ListenerCounter.ACCEPT_PAUSED)
            return False
        if self._sheds:
            log.warning("descriptors_available", **self._descriptors.figures()._asdict())
        self._exhausted_since = None
        self._sheds = False
        return True

    def _sheds_clients(self) -> bool:
        """Return whether clients are rejected because no descriptor is free; log when this begins."""
        if self._exhausted_since is None or not admission.sheds_without_descriptor(
            now_s=anyio.current_time(), exhausted_since_s=self._exhausted_since
        ):
            return False
        if not self._sheds:
            self._sheds = True
            log.warning("descriptors_exhausted", **self._descriptors.figures()._asdict())
        return True

    async def _accept(self, use: DescriptorUse) -> socket.socket | None:
        """Accept a connection; release the reserved descriptor if there is none, also after cancellation."""
        sock = None
        try:
            sock = await self._listener.accept()
        except AcceptError:
            self._connections.counters.add(ListenerCounter.ACCEPT_FAILED)
        finally:
            if sock is None and use is DescriptorUse.SERVE:
                self._descriptors.release()
            elif sock is None:
                self._descriptors.rejections.release()
        return sock

    def _start(self, sock: socket.socket) -> None:
        """Start a task for an accepted connection, which releases its descriptor; its request may be shed."""
        request = self._connections.take_overdue(sock)
        if request is Answered.ANSWERED:
            self._tasks.start_soon(self._connections.close_answered, sock)
        else:
            self._tasks.start_soon(self._connections.serve, sock, request)
