"""Waits for the request line of each client connection, within time limits and the descriptor budget."""

from __future__ import annotations

from contextlib import contextmanager
from enum import StrEnum
from typing import TYPE_CHECKING

import anyio

from larchlatch.node.descriptor_budget import IdleConnection
from larchlatch.node.wire import lines

if TYPE_CHECKING:
    from collections.abc import Iterator

    from larchlatch.node.descriptor_budget import DescriptorBudget
    from larchlatch.node.lifecycle_state import LifecycleState
    from larchlatch.node.metrics import Counters
    from larchlatch.node.wire.stream import Ending, LineConnection

# How long the node waits for a complete line on a connection, in seconds.
FIRST_LINE_S = 2.5  # a client gets an answer within 3 s after it has connected, even if it sends nothing
AFTER_PING_S = 10.0  # after the answer to a front's PING, until its next line
SHUTDOWN_FIRST_LINE_S = 0.1  # shortly before the node stops: only for lines that are already in transit


class ReaderCounter(StrEnum):
    """Names of the counters of connections without a request."""

    EVICTED_SILENT = "idle_connection_evicted_silent"
    EVICTED_INCOMPLETE_LINE = "idle_connection_evicted_incomplete_line"


class RequestReader:
    """Waits for request lines, and answers the PINGs that fronts send before them.

    Attributes:
        waiting: the cancel scopes of the connections that have no request yet, in order of their arrival.
        without_line: how many connections have sent no complete line yet.

    """

    def __init__(
        self,
        descriptors: DescriptorBudget,
        counters: Counters,
        ready: anyio.Event,
        lifecycle: LifecycleState,
    ) -> None:
        self.waiting: dict[anyio.CancelScope, None] = {}
        self.without_line = 0
        self._descriptors = descriptors
        self._counters = counters
        self._ready = ready
        self._lifecycle = lifecycle

    def cancel_all(self) -> None:
        """Stop waiting for the requests of all connections."""
        for scope in list(self.waiting):
            scope.cancel()

    async def read(self, client: LineConnection) -> bytes | Ending | None:
        """Wait for the request line of a connection.

        Returns:
            The line, or how the connection ended. None if no request came in time, or if the wait was
            cancelled by an eviction or by `cancel_all`.

        """
        began = anyio.current_time()
        wait_s = SHUTDOWN_FIRST_LINE_S if self._lifecycle.rejects_all else FIRST_LINE_S
        with anyio.CancelScope(deadline=began + wait_s) as scope:
            self.waiting[scope] = None
            idle = IdleConnection(scope.cancel, began)
            with self._evictable(client, idle, began):
                try:
                    return await self._next_request(client, idle, scope)
                finally:
                    del self.waiting[scope]
        return None

    async def _next_request(
        self, client: LineConnection, idle: IdleConnection, scope: anyio.CancelScope
    ) -> bytes | Ending:
        self.without_line += 1
        pinged = False
        try:
            while (line := await client.line()) == lines.PING:
                if not pinged:
                    # Only fronts send PING, and a shutdown need not wait for a request from them.
                    pinged = True
                    self.without_line -= 1
                self._descriptors.record_received(idle, anyio.current_time(), is_complete_line=True)
                await self._ready.wait()
                await client.send(lines.PONG if self._lifecycle.accepts_clients else lines.NO)
                scope.deadline = anyio.current_time() + AFTER_PING_S
            return line
        finally:
            self.without_line -= not pinged

    @contextmanager
    def _evictable(self, client: LineConnection, idle: IdleConnection, began: float) -> Iterator[None]:
        """Let the descriptor budget evict the connection while the block runs; count it if it was evicted."""

        def fragment_received() -> None:
            self._descriptors.record_received(idle, anyio.current_time())

        self._descriptors.add_idle(idle, began)
        client.on_partial_line = fragment_received
        if client.partial_line:  # part of a line was read before the connection had a task
            fragment_received()
        try:
            yield
        finally:
            client.on_partial_line = None
            if not self._descriptors.remove_idle(idle):
                self._counters.add(
                    ReaderCounter.EVICTED_INCOMPLETE_LINE if idle.fragments else ReaderCounter.EVICTED_SILENT
                )
