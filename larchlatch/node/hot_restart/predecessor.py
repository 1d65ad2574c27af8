"""The serving process's side of a hot restart: it waits for a successor and hands its work over."""

from __future__ import annotations

import os
from contextlib import asynccontextmanager
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import anyio
import structlog
from anyio.abc import UNIXSocketStream

from larchlatch.node.clock import UNIX_OFFSET_US
from larchlatch.node.descriptor_budget import HEADROOM
from larchlatch.node.fault_barrier import FaultBarrier
from larchlatch.node.hot_restart.channel import Channel
from larchlatch.node.hot_restart.packets import Serving, SessionHandover, StateHandover, Welcome
from larchlatch.node.hot_restart.rendezvous import ANSWER_TIMEOUT_S, hello_of, is_same_user, receive_within
from larchlatch.node.wire import lines as request_lines
from larchlatch.node.wire.listen import AcceptError, Listener

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator

    from larchlatch.config.node import NodeConfiguration
    from larchlatch.node.balancer_actor import BalancerActor
    from larchlatch.node.client_listener import ClientListener
    from larchlatch.node.components import NodeComponents
    from larchlatch.node.hot_restart.packets import Packet
    from larchlatch.node.hot_restart.rendezvous import Rendezvous
    from larchlatch.node.session_record import SessionRecord
    from larchlatch.node.wire.stream import LineConnection
    from larchlatch.policy.types import Outcome

START_TIMEOUT_S = 30.0  # until a successor serves; after that the descriptors set aside for it are taken back
ACCEPT_RETRY_S = 0.1  # the pause after a successor's connection could not be accepted

log = structlog.get_logger()


class PredecessorCounter(StrEnum):
    """Names of the predecessor's counters."""

    STATE_HANDED_OVER = "hot_restart_state_handed_over"
    SUCCESSOR_LOST = "hot_restart_successor_lost"
    FAILED = "hot_restart_failed"  # a fault of this process while it served a successor


class DetachedConnection(NamedTuple):
    """A connection detached from the event loop, to be handed over to the successor or attached again.

    Attributes:
        lines: the connection, which has no transport while it is detached.
        descriptor: a duplicate of its file descriptor, which the owner of this tuple has to close.
        unread: bytes that were received and not yet passed on.

    """

    lines: LineConnection
    descriptor: int
    unread: bytes


class Predecessor:
    """Waits for successors, one at a time, and hands its listening socket, state and sessions over.

    If a successor fails, this process continues to serve as before.
    """

    def __init__(
        self,
        configuration: NodeConfiguration,
        rendezvous: Rendezvous,
        client_listener: ClientListener,
        components: NodeComponents,
    ) -> None:
        """Prepare the handover; `run` waits for a successor.

        Args:
            configuration: the node's configuration, which identifies the node to its successor.
            rendezvous: the Unix socket at which a successor connects to this process.
            client_listener: accepts clients; its socket is shared with the successor.
            components: the parts of the node.

        """
        self._configuration = configuration
        self._rendezvous = rendezvous
        self._client_listener = client_listener
        self._lifecycle = components.lifecycle
        self._balancer_actor = components.balancer_actor
        self._connections = components.connections
        self._descriptors = components.descriptors
        self._counters = components.counters

    async def run(self) -> None:
        """Wait for one successor after another, until cancelled or no rendezvous socket can be created."""
        while (listening_socket := self._rendezvous.listen()) is not None:
            sock = await _accept_one(listening_socket)
            with FaultBarrier(self._counters, counter=PredecessorCounter.FAILED, event="hot_restart_failed"):
                await self._serve_connection(sock)

    async def _serve_connection(self, sock: socket.socket) -> None:
        """Hand over to the process at the other end of a connection, if it runs as the same user."""
        with sock:
            if not is_same_user(sock):
                return
            channel = Channel(await UNIXSocketStream.from_socket(sock))
            # Both processes share one descriptor limit, and the successor needs descriptors while it starts.
            self._descriptors.reduce_capacity(HEADROOM)
            try:
                await self._serve_successor(channel)
            finally:
                self._descriptors.reduce_capacity(-HEADROOM)
                await channel.close()
        self._counters.add(PredecessorCounter.SUCCESSOR_LOST)
        log.warning("hot_restart_successor_lost")

    async def _serve_successor(self, channel: Channel) -> None:
        """Hand over to a successor; return once it has failed or ended, and this process serves alone."""
        if await self._receive(channel, ANSWER_TIMEOUT_S) != hello_of(self._configuration):
            return
        log.info("hot_restart_successor_starting")
        welcome = Welcome(self._balancer_actor.endpoint_list())
        if not await channel.send(welcome, [self._client_listener.fileno()]):
            return
        if not isinstance(await self._receive(channel, START_TIMEOUT_S), Serving):
            return
        async with self._successor_serving(channel) as state:
            if await channel.send(state) and await self._receive(channel, None) is not None:
                log.warning("hot_restart_packet_invalid", reason="packet: another one after Serving")

    @staticmethod
    async def _receive(channel: Channel, timeout_s: float | None) -> Packet | None:
        """Return the successor's next packet, which never has descriptors; None if it sends no valid one."""
        received = await receive_within(channel, timeout_s)
        if received is None:
            return None
        received.close_sockets()
        return received.packet

    @asynccontextmanager
    async def _successor_serving(self, channel: Channel) -> AsyncIterator[StateHandover]:
        """Accept no new clients while the block runs; yields the state that the successor needs."""
        self._lifecycle.successor_serves = True
        self._client_listener.pause()
        self._connections.sessions.hand_sessions_to(SessionSender(channel, self._balancer_actor).send)
        self._descriptors.evict_all_idle_probes()
        # Each session without an upstream may still need a descriptor here; the successor gets all others.
        reserved_count = min(max(0, self._descriptors.free), self._sessions_without_upstream())
        transferred_count = self._descriptors.free - reserved_count
        self._descriptors.reduce_capacity(transferred_count)
        state = self._state_for_successor(reserved_count)
        self._counters.add(PredecessorCounter.STATE_HANDED_OVER)
        log.info("hot_restart_successor_serving", sessions=len(self._connections.sessions.established))
        try:
            yield state
        finally:
            self._connections.sessions.hand_sessions_to(None)
            self._lifecycle.successor_serves = False
            self._balancer_actor.resume()
            self._descriptors.reduce_capacity(-transferred_count)
            self._client_listener.open()

    def _sessions_without_upstream(self) -> int:
        connections = self._connections
        return (
            connections.sessions.open_count
            - len(connections.sessions.established)
            + connections.reader.without_line
        )

    def _state_for_successor(self, reserved_count: int) -> StateHandover:
        draining_since = self._lifecycle.drain_started_at
        return StateHandover(
            balancer_state=self._balancer_actor.hand_over(),
            session_ids=list(self._connections.requests.ids.records),
            descriptor_count=HEADROOM
            + self._descriptors.in_use
            + self._descriptors.rejections.in_use
            + reserved_count,
            draining_for_s=None if draining_since is None else anyio.current_time() - draining_since,
            clock_offset_us=UNIX_OFFSET_US,
        )


class SessionSender:
    """Hands established sessions over to the successor, with the connections to client and upstream."""

    def __init__(self, channel: Channel, balancer_actor: BalancerActor) -> None:
        self._channel = channel
        self._balancer_actor = balancer_actor
        self._handover_lock = anyio.Lock()

    async def send(
        self,
        record: SessionRecord,
        *,
        client: LineConnection,
        upstream: LineConnection,
        outcome_at_end: Outcome,
    ) -> bool:
        """Hand a session over to the successor.

        Args:
            record: the session.
            client: the connection to the client.
            upstream: the connection to the upstream.
            outcome_at_end: the outcome to record if the upstream ends its connection.

        Returns:
            Whether the session was sent to the successor. If not, it stays here with both its connections.

        """
        # During its handover a session uses four descriptors instead of two, and few or none may be free.
        async with self._handover_lock:
            detached: list[DetachedConnection] = []
            try:
                if _detach(client, detached) and _detach(upstream, detached):
                    packet = self._handover_packet(
                        record, outcome_at_end, client=detached[0], upstream=detached[1]
                    )
                    if await self._channel.send(packet, [connection.descriptor for connection in detached]):
                        return True
                # The session stays here and is migrated; until then neither client nor upstream is affected.
                for connection in detached:
                    await connection.lines.reattach(os.dup(connection.descriptor), connection.unread)
                return False
            finally:
                for connection in detached:
                    os.close(connection.descriptor)

    def _handover_packet(
        self,
        record: SessionRecord,
        outcome_at_end: Outcome,
        *,
        client: DetachedConnection,
        upstream: DetachedConnection,
    ) -> SessionHandover:
        return SessionHandover(
            request_line=request_lines.request_line(record.opening),
            upstream=self._balancer_actor.upstreams.names[record.session.upstream],
            load=record.session.load,
            unanswered_since_us=record.awaiting_answer_since,
            outcome_at_end=int(outcome_at_end),
            client_unread=client.unread,
            upstream_unread=upstream.unread,
        )


async def _accept_one(listening_socket: socket.socket) -> socket.socket:
    """Wait for one connection and return it; the listening socket is closed."""
    listener = Listener(listening_socket)
    with listening_socket:
        while True:
            try:
                return await listener.accept()
            except AcceptError:
                await anyio.sleep(ACCEPT_RETRY_S)


def _detach(lines: LineConnection, detached: list[DetachedConnection]) -> bool:
    """Detach a connection from its transport; return False if it has ended or has unsent data."""
    descriptor_and_unread = lines.detach()
    if descriptor_and_unread is None:
        return False
    detached.append(DetachedConnection(lines, *descriptor_and_unread))
    return True
