"""Serves the connections of clients until they are closed, also those taken over in a hot restart."""

from __future__ import annotations

from enum import Enum, StrEnum
from typing import TYPE_CHECKING

import structlog

from larchlatch.node.clients.rejecter import ClientRejecter
from larchlatch.node.clients.request_reader import RequestReader
from larchlatch.node.clients.requests import RejectionReason, UnreadRequest
from larchlatch.node.clients.session_handler import SessionHandler
from larchlatch.node.clock import now_us
from larchlatch.node.fault_barrier import FaultBarrier
from larchlatch.node.wire import lines
from larchlatch.node.wire.raw_socket import (
    discard_and_close,
    receive_available,
    send_last_line,
    us_since_received,
)
from larchlatch.node.wire.stream import Ending, LineConnection
from larchlatch.policy import admission
from larchlatch.policy.retries import RETRY_AFTER_US

if TYPE_CHECKING:
    import socket

    import anyio

    from larchlatch.node.balancer_actor import BalancerActor
    from larchlatch.node.clients.requests import RequestChecker
    from larchlatch.node.descriptor_budget import DescriptorBudget
    from larchlatch.node.hot_restart.packets import SessionHandover
    from larchlatch.node.lifecycle_state import LifecycleState
    from larchlatch.node.metrics import Counters

SHUTDOWN_LINGER_S = 0.25  # wait for the end of an idle connection; short, as the node is about to stop
REJECTED_PREFIX = "request_rejected_"  # of the counters of rejected requests; the reason follows

log = structlog.get_logger()


class ConnectionCounter(StrEnum):
    """Names of the counters of connections, except those of rejected requests."""

    FAILED = "connections_failed"
    LOST = "connections_lost"  # ended by the other side before the node could read from them
    IDLE_ENDED = "idle_connections_ended"
    SHED_UNREAD = "requests_shed_unread"


class Answered(Enum):
    """Marks a request that has had its final answer before a task for it was started."""

    ANSWERED = "answered"


class ClientConnections:
    """Serves each client connection in a task of its own, and owns its socket until it is closed.

    Attributes:
        connection_count: how many connections of clients are open.
        descriptors: the budget from which each connection has reserved a descriptor.
        counters: where events are counted.
        requests: checks requests and makes the records of accepted sessions.
        reader: waits for the request line of each connection.
        sessions: runs the accepted sessions.

    """

    def __init__(
        self,
        balancer_actor: BalancerActor,
        requests: RequestChecker,
        descriptors: DescriptorBudget,
        counters: Counters,
        ready: anyio.Event,
        lifecycle: LifecycleState,
    ) -> None:
        self.connection_count = 0
        self.descriptors = descriptors
        self.counters = counters
        self.requests = requests
        self.reader = RequestReader(descriptors, counters, ready, lifecycle)
        self.sessions = SessionHandler(balancer_actor, requests, descriptors, counters, lifecycle)
        self._rejecter = ClientRejecter(requests, descriptors.rejections, counters)
        self._balancer_actor = balancer_actor
        self._lifecycle = lifecycle

    # Requests that waited for a long time before they were read.

    def take_overdue(self, sock: socket.socket) -> UnreadRequest | Answered | None:
        """Read a request that has waited for long from an accepted connection, and shed it if it is too late.

        This runs in the accept loop, so a fault of it ends only the connection that it is about.

        Returns:
            Whether the request was answered, or what was read; None if nothing was read.

        """
        request: UnreadRequest | None = None
        with self._fault_barrier("connection_failed") as barrier:
            request = self.read_overdue(sock)
            if request is not None and self.shed_overdue(sock, request):
                return Answered.ANSWERED
        if barrier.caught:
            # What was read may be lost, so no task could still serve the request.
            send_last_line(sock, lines.FAILED)
            return Answered.ANSWERED
        return request

    def read_overdue(self, sock: socket.socket) -> UnreadRequest | None:
        """Read from an accepted connection if its data has waited longer than a session takes to establish.

        Returns:
            The data; None if it has not waited that long, or if it is not known how long a session takes.

        """
        waited_us = us_since_received(sock)
        if not admission.is_overdue(waited_us=waited_us, setup_us=self._balancer_actor.mean_setup_us):
            return None
        data = receive_available(sock)
        opening = lines.parse_opening(data) if _is_one_request(data) else None
        return UnreadRequest(data, opening, now_us() - waited_us)

    def shed_overdue(self, sock: socket.socket, request: UnreadRequest) -> bool:
        """Shed a request that can no longer be served by its deadline; return whether it was shed."""
        opening = request.opening
        if not isinstance(opening, lines.Opening) or opening.may_continue:
            return False
        if self.requests.rejection_reason(opening) is not None:
            return False
        deadline = self.requests.deadline(opening, request.received_us)
        setup_us = self._balancer_actor.mean_setup_us
        if not admission.is_too_late(now_us(), deadline=deadline, setup_us=setup_us):
            return False
        self.counters.add(ConnectionCounter.SHED_UNREAD)
        send_last_line(sock, lines.shed_line(RETRY_AFTER_US))
        return True

    async def close_answered(self, sock: socket.socket) -> None:
        """Close a connection whose request was answered by `take_overdue`, and release its descriptor."""
        self.connection_count += 1
        try:
            with self._fault_barrier("connection_failed"):
                await discard_and_close(sock, self.sessions.linger_s)
        finally:
            self.connection_count -= 1
            self.descriptors.release()

    # Serving one connection.

    async def serve(self, sock: socket.socket, request: UnreadRequest | None = None) -> None:
        """Serve one connection until it is closed; no exception is raised except cancellation."""
        client: LineConnection | None = None
        self.connection_count += 1
        try:
            with self._fault_barrier("connection_failed") as barrier:
                client = await LineConnection.of_socket(sock)
                if client is None:
                    self.counters.add(ConnectionCounter.LOST)
                else:
                    await self._serve(client, request)
            if barrier.caught and client is not None and not client.has_sent:
                await client.send(lines.FAILED)
                await client.finish(Ending.END)
        finally:
            if client is not None:
                await client.close()
            self.connection_count -= 1
            self.descriptors.release()

    async def reject_without_descriptor(self, sock: socket.socket) -> None:
        """Answer a client for whose session no descriptor is free; the connection uses one of the reserve."""
        client: LineConnection | None = None
        self.connection_count += 1
        try:
            with self._fault_barrier("connection_failed"):
                client = await LineConnection.of_socket(sock)
                if client is None:
                    self.counters.add(ConnectionCounter.LOST)
                else:
                    await self._rejecter.reject(client)
        finally:
            if client is not None:
                await client.close()
            self.connection_count -= 1
            self.descriptors.rejections.release()

    def _fault_barrier(self, event: str) -> FaultBarrier:
        return FaultBarrier(self.counters, counter=ConnectionCounter.FAILED, event=event)

    async def _serve(self, client: LineConnection, request: UnreadRequest | None) -> None:
        if request is not None and request.opening is not None:
            await self._handle_request(client, request.opening, request.received_us)
            return
        if request is not None:
            client.feed(request.data)
        line = await self.reader.read(client)
        # The client's deadline counts from the arrival of its line, which may have waited to be read.
        received_us = now_us() - client.us_since_received()
        if line is None and self._lifecycle.rejects_all:
            # The client's request may be in transit. BUSY answers it; closing without a line would not.
            self.counters.add(ConnectionCounter.IDLE_ENDED)
            await client.send(lines.shed_line(RETRY_AFTER_US))
            await client.finish(Ending.END, SHUTDOWN_LINGER_S)
        elif line is None:
            await self._reject(client, RejectionReason.NO_LINE_IN_TIME)
        elif line is Ending.TOO_LONG:
            await self._reject(client, RejectionReason.LINE_TOO_LONG)
        elif not isinstance(line, Ending):
            await self._handle_request(client, lines.parse_opening(line), received_us)

    async def _handle_request(
        self, client: LineConnection, opening: lines.Opening | lines.BadLine, received_us: int
    ) -> None:
        if isinstance(opening, lines.BadLine):
            await self._reject(client, opening.reason)
        elif (reason := self.requests.rejection_reason(opening)) is not None:
            await self._reject(client, reason)
        elif client.unread_lines and not opening.may_continue:
            await self._reject(client, RejectionReason.MORE_THAN_ONE_LINE)
        else:
            record = self.requests.make_record(opening, received_us)
            await self.sessions.run(client, record, received_us)

    async def _reject(self, client: LineConnection, reason: str) -> None:
        """Answer a request with an error, and end the connection."""
        self.counters.add(f"{REJECTED_PREFIX}{reason}")
        log.debug("request_rejected", reason=reason)
        await client.send(lines.FAILED)
        await client.finish(Ending.END, self.sessions.linger_s)

    # Shutdown and hot restart.

    def reject_all(self) -> None:
        """Shed all clients without a request and all later ones, because this node is about to stop."""
        if not self._lifecycle.rejects_all:
            self._lifecycle.rejects_all = True
            self.reader.cancel_all()
            self.descriptors.rejections.evict_all()

    async def adopt(self, packet: SessionHandover, sockets: list[socket.socket]) -> None:
        """Continue a session of the predecessor.

        Args:
            packet: the state of the session at the predecessor.
            sockets: the connections to its client and to its upstream, in this order; they are closed here.

        """
        client_socket, upstream_socket = sockets
        client: LineConnection | None = None
        upstream: LineConnection | None = None
        try:
            with self._fault_barrier("session_adoption_failed"):
                client = await LineConnection.of_socket(client_socket)
                upstream = await LineConnection.of_socket(upstream_socket)
                await self._adopt(packet, client, upstream)
        finally:
            if client is not None:
                await client.close()
            if upstream is not None:
                await upstream.close(reset=True)
            for sock in sockets:
                sock.close()
                self.descriptors.release()

    async def _adopt(
        self, packet: SessionHandover, client: LineConnection | None, upstream: LineConnection | None
    ) -> None:
        """Continue a session, or end it if one of its connections (None) was reset during the handover."""
        if client is None or upstream is None:
            self.counters.add(ConnectionCounter.LOST)
            if client is not None:
                await client.close(reset=True)
            return
        client.feed(packet.client_unread)
        upstream.feed(packet.upstream_unread)
        await self.sessions.adopt(packet, client, upstream)


def _is_one_request(data: bytes) -> bool:
    """Return whether the data is exactly one complete line and not a PING."""
    return data.endswith(b"\n") and data.count(b"\n") == 1 and data != lines.PING
