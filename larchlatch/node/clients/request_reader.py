"""Reads the first line of clients' connections; those that send nothing make way for others."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

from larchlatch.node.descriptor_budget import IdleConnection
from larchlatch.node.wire import lines

if TYPE_CHECKING:
    from collections.abc import Iterator

    from larchlatch.node.descriptor_budget import DescriptorBudget
    from larchlatch.node.lifecycle_state import LifecycleState
    from larchlatch.node.metrics import Counters
    from larchlatch.node.wire.stream import Ending, Lines

FIRST_LINE_S = 2.5  # a client is owed an answer 3 s after it has connected, whatever it sends
PINGED_S = 10.0  # a front that has asked whether this node serves may ask again within this
# For the line of a client that connects while this node ends: it is under way, or there is none.
LAST_REQUEST_S = 0.1

IDLE_EVICTED_SILENT = "idle_connection_evicted_silent"
IDLE_EVICTED_FRAGMENT = "idle_connection_evicted_incomplete_line"


class RequestReader:
    """Waits for requests, and answers a front's PING meanwhile.

    Attributes:
        waiting: ends the waiting of each connection without a request.
        without_line: connections that have sent no complete line yet.

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
        self._ready = ready  # set once the node can serve
        self._lifecycle = lifecycle

    def cancel_all(self) -> None:
        """End the waiting of all connections without a request."""
        for scope in list(self.waiting):
            scope.cancel()

    async def read(self, client: Lines) -> bytes | Ending | None:
        """Return the line that holds the request; None where none comes in time."""
        began = anyio.current_time()
        wait_s = LAST_REQUEST_S if self._lifecycle.rejects_all else FIRST_LINE_S
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
        self, client: Lines, idle: IdleConnection, scope: anyio.CancelScope
    ) -> bytes | Ending:
        self.without_line += 1
        pinged = False
        try:
            while (line := await client.line()) == lines.PING:
                if not pinged:  # a front: shutdown need not wait for it
                    pinged = True
                    self.without_line -= 1
                self._descriptors.record_received(idle, anyio.current_time(), is_complete_line=True)
                await self._ready.wait()
                await client.send(lines.PONG if self._lifecycle.accepts_clients else lines.NO)
                scope.deadline = anyio.current_time() + PINGED_S
            return line
        finally:
            self.without_line -= not pinged

    @contextmanager
    def _evictable(self, client: Lines, idle: IdleConnection, began: float) -> Iterator[None]:
        """Let the connection be closed in favour of others for as long as this lasts."""

        def fragment_received() -> None:
            self._descriptors.record_received(idle, anyio.current_time())

        self._descriptors.add_idle(idle, began)
        client.begun = fragment_received
        if client.tail:  # a fragment was read before the connection had a task
            fragment_received()
        try:
            yield
        finally:
            client.begun = None
            if not self._descriptors.remove_idle(idle):
                self._counters.add(IDLE_EVICTED_FRAGMENT if idle.fragments else IDLE_EVICTED_SILENT)
