"""All clients' connections of a node, from accepting to closing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from larchlatch.node.clients.request_reader import RequestReader
from larchlatch.node.clients.requests import RequestChecker, UnreadRequest
from larchlatch.node.clients.session_handler import SessionHandler
from larchlatch.node.clock import now_us
from larchlatch.node.wire import lines
from larchlatch.node.wire.listen import stream_of
from larchlatch.node.wire.stream import (
    Ending,
    Lines,
    discard_and_close,
    receive_available,
    send_last_line,
    waited_us,
)
from larchlatch.policy import admission
from larchlatch.policy.retries import RETRY_AFTER_US

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterable, Sequence

    import anyio

    from larchlatch.node.balancer_actor import BalancerActor
    from larchlatch.node.descriptor_budget import DescriptorBudget
    from larchlatch.node.hot_restart.packets import SessionHandover
    from larchlatch.node.lifecycle_state import LifecycleState
    from larchlatch.node.metrics import Counters

SHUTDOWN_LINGER_S = 0.25  # for the end of an idle connection at shutdown: the process has a moment only

CONNECTIONS_FAILED = "connections_failed"
IDLE_CONNECTIONS_ENDED = "idle_connections_ended"
REQUESTS_SHED_UNREAD = "requests_shed_unread"
REQUEST_REJECTED = "request_rejected_"  # and the reason behind it

log = structlog.get_logger()


class ClientConnections:
    """Serves each connection in a task of its own, and owns its socket until it is closed.

    Attributes:
        connection_count: connections that are open here, whatever they wait for.
        requests: checks requests.
        reader: reads requests.
        sessions: runs sessions.

    """

    def __init__(
        self,
        balancer_actor: BalancerActor,
        traffic_classes: Sequence[str],
        tenants: Iterable[str],
        max_deadline_us: int,
        descriptors: DescriptorBudget,
        counters: Counters,
        ready: anyio.Event,
        lifecycle: LifecycleState,
    ) -> None:
        self.connection_count = 0
        self.descriptors = descriptors
        self.counters = counters
        self.requests = RequestChecker(traffic_classes, tenants, max_deadline_us, lifecycle)
        self.reader = RequestReader(descriptors, counters, ready, lifecycle)
        self.sessions = SessionHandler(balancer_actor, self.requests, descriptors, counters, lifecycle)
        self._balancer_actor = balancer_actor
        self._lifecycle = lifecycle

    # Connections that lay unread for long.

    def read_overdue(self, sock: socket.socket) -> UnreadRequest | None:
        """Return what a connection just accepted has sent if this node is behind, else None."""
        waited = waited_us(sock)
        if not admission.is_overdue(waited_us=waited, setup_us=self._balancer_actor.shed_waiting_over_us):
            return None
        data = receive_available(sock)
        opening = lines.parse_opening(data) if _is_one_request(data) else None
        return UnreadRequest(data, opening, now_us() - waited)

    def shed_overdue(self, sock: socket.socket, request: UnreadRequest) -> bool:
        """Shed a request that has too little time left; return whether it was answered."""
        opening = request.opening
        if not isinstance(opening, lines.Opening) or opening.may_continue:
            return False
        if self.requests.rejection_reason(opening) is not None:
            return False
        deadline = self.requests.deadline(opening, request.received_us)
        setup_us = self._balancer_actor.shed_waiting_over_us
        if not admission.is_too_late(now_us(), deadline=deadline, setup_us=setup_us):
            return False
        self.counters.add(REQUESTS_SHED_UNREAD)
        send_last_line(sock, lines.shed_line(RETRY_AFTER_US))
        return True

    async def close_answered(self, sock: socket.socket) -> None:
        """Close a connection whose request was shed unread."""
        self.connection_count += 1
        try:
            await discard_and_close(sock, self.sessions.linger_s)
        finally:
            self.connection_count -= 1
            self.descriptors.release()

    # One connection.

    async def serve(self, sock: socket.socket, request: UnreadRequest | None = None) -> None:
        """Serve one connection to its end; no exception leaves it."""
        client: Lines | None = None
        self.connection_count += 1
        try:
            client = Lines(await stream_of(sock))
            await self._serve(client, request)
        except Exception:
            # A fault in one connection must not end the node, and its client gets an answer all the same.
            self.counters.add(CONNECTIONS_FAILED)
            log.exception("connection_failed")
            if client is not None and not client.spoken_to:
                await client.send(lines.FAILED)
                await client.finish(Ending.END)
        finally:
            if client is not None:
                await client.close()
            else:
                sock.close()
            self.connection_count -= 1
            self.descriptors.release()

    async def _serve(self, client: Lines, request: UnreadRequest | None) -> None:
        if request is not None and request.opening is not None:
            await self._handle_request(client, request.opening, request.received_us)
            return
        if request is not None:
            client.feed(request.data)
        line = await self.reader.read(client)
        # A line may lie unread for a tenth of a second in a crowd, and the client's time runs from when it
        # came: counted from the reading, the answer would come after the client has left.
        received_us = now_us() - client.waited_us()
        if line is None and self._lifecycle.rejects_all:
            # A request that crosses this line has its answer with it: one that finds only the end is lost.
            self.counters.add(IDLE_CONNECTIONS_ENDED)
            await client.send(lines.shed_line(RETRY_AFTER_US))
            await client.finish(Ending.END, SHUTDOWN_LINGER_S)
        elif line is None:
            await self._reject(client, "no_line_in_time")
        elif line is Ending.TOO_LONG:
            await self._reject(client, "line_too_long")
        elif not isinstance(line, Ending):
            await self._handle_request(client, lines.parse_opening(line), received_us)

    async def _handle_request(
        self, client: Lines, opening: lines.Opening | lines.BadLine, received_us: int
    ) -> None:
        if isinstance(opening, lines.BadLine):
            await self._reject(client, opening.reason)
        elif (reason := self.requests.rejection_reason(opening)) is not None:
            await self._reject(client, reason)
        elif client.ready and not opening.may_continue:
            await self._reject(client, "more_than_one_line")
        else:
            record = self.requests.make_record(opening, received_us)
            await self.sessions.run(client, record, received_us)

    async def _reject(self, client: Lines, reason: str) -> None:
        """Answer with an error at once, and end the connection."""
        self.counters.add(f"{REQUEST_REJECTED}{reason}")
        log.debug("request_rejected", reason=reason)
        await client.send(lines.FAILED)
        await client.finish(Ending.END, self.sessions.linger_s)

    # Shutdown and hot restart.

    def reject_all(self) -> None:
        """Answer all connections without a request, and reject all that come: this node ends."""
        if not self._lifecycle.rejects_all:
            self._lifecycle.rejects_all = True
            self.reader.cancel_all()

    async def adopt(self, packet: SessionHandover, sockets: list[socket.socket]) -> None:
        """Go on with a session that the predecessor hands over with its client's and upstream's sockets."""
        sides: list[Lines] = []
        try:
            for sock, unread in zip(sockets, (packet.client_unread, packet.upstream_unread), strict=True):
                sides.append(Lines(await stream_of(sock)))
                sides[-1].feed(unread)
            client, upstream = sides
            await self.sessions.adopt(packet, client, upstream)
        except Exception:
            # As for connections: one session that can't be taken over must not end the node.
            self.counters.add(CONNECTIONS_FAILED)
            log.exception("session_adoption_failed")
        finally:
            for side in sides:
                await side.close(reset=side is sides[-1])
            for sock in sockets[len(sides) :]:
                sock.close()
            for _ in sockets:
                self.descriptors.release()


def _is_one_request(data: bytes) -> bool:
    """Return whether bytes are one complete line that may be a request."""
    return data.endswith(b"\n") and data.count(b"\n") == 1 and data != lines.PING
