"""The new process's side of a hot restart: it takes over from the process that serves, the predecessor."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
import structlog
from anyio.abc import UNIXSocketStream

from larchlatch.errors import InvalidInputError
from larchlatch.node.clock import UNIX_OFFSET_US
from larchlatch.node.fault_barrier import FaultBarrier
from larchlatch.node.hot_restart.channel import Channel, Received
from larchlatch.node.hot_restart.packets import Serving, SessionHandover, StateHandover, Welcome
from larchlatch.node.hot_restart.rendezvous import ANSWER_TIMEOUT_S, hello_of, receive_within
from larchlatch.node.wire.listen import Listener

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from larchlatch.config.endpoints import EndpointList
    from larchlatch.config.node import NodeConfiguration
    from larchlatch.node.clients.connections import ClientConnections
    from larchlatch.node.components import NodeComponents
    from larchlatch.node.hot_restart.rendezvous import Rendezvous
    from larchlatch.node.metrics import Counters

CONNECTIONS_PER_SESSION = 2  # to the client and to the upstream


log = structlog.get_logger()


class SuccessorCounter(StrEnum):
    """Names of the successor's counters."""

    NOTHING_HANDED_OVER = "hot_restart_nothing_handed_over"
    FAILED = "hot_restart_adoption_failed"  # a fault of this process while it received sessions


class Successor:
    """Takes over the predecessor's listening socket, state and sessions.

    Attributes:
        endpoints: the predecessor's endpoint list.
        listener: the listening socket for clients, which both processes share.

    """

    def __init__(
        self, channel: Channel, endpoints: EndpointList, listener: Listener, counters: Counters
    ) -> None:
        self.endpoints = endpoints
        self.listener = listener
        self._channel = channel
        self._counters = counters
        self._predecessor_descriptor_count = 0  # that the predecessor has open or reserved
        self._adopted_count = 0  # sessions that the predecessor has handed over

    @classmethod
    async def connect(
        cls, configuration: NodeConfiguration, rendezvous: Rendezvous, counters: Counters
    ) -> Successor | None:
        """Connect to the process of this node that serves now.

        Returns:
            None if there is no such process, or if it does not hand its listening socket over.

        """
        sock = rendezvous.connect()
        if sock is None:
            return None
        channel = Channel(await UNIXSocketStream.from_socket(sock))
        await channel.send(hello_of(configuration))
        received = await receive_within(channel, ANSWER_TIMEOUT_S)
        match received:
            case Received(Welcome(endpoints), [listening_socket]) if (
                listening_socket.getsockname()[:2] == configuration.listen_address
            ):
                return cls(channel, endpoints, Listener(listening_socket), counters)
            case _:
                if received is not None:
                    received.close_sockets()
                counters.add(SuccessorCounter.NOTHING_HANDED_OVER)
                log.warning("hot_restart_nothing_handed_over")
                await channel.close()
                return None

    async def take_over_state(self, components: NodeComponents) -> None:
        """Tell the predecessor that this process serves, and restore the state that it hands over."""
        await self._channel.send(Serving())
        received = await receive_within(self._channel, ANSWER_TIMEOUT_S)
        if received is not None:
            received.close_sockets()
        if received is None or not isinstance(received.packet, StateHandover):
            self._counters.add(SuccessorCounter.NOTHING_HANDED_OVER)
            return
        state = received.packet
        self._predecessor_descriptor_count = state.descriptor_count
        components.descriptors.reduce_capacity(state.descriptor_count)
        components.connections.requests.ids.reserve(state.session_ids)
        if state.draining_for_s is not None:
            # The drain continues until an operator stops it. Its deadline for sessions counts from its start.
            components.lifecycle.start_drain(anyio.current_time() - state.draining_for_s)
        components.balancer_actor.restore(state.balancer_state, UNIX_OFFSET_US - state.clock_offset_us)

    async def run(self, connections: ClientConnections, tasks: TaskGroup) -> None:
        """Adopt the sessions that the predecessor hands over until it has ended.

        After a fault here the connection to the predecessor is closed, and both processes serve alone.
        """
        try:
            with FaultBarrier(
                self._counters, counter=SuccessorCounter.FAILED, event="hot_restart_adoption_failed"
            ):
                await self._adopt_sessions(connections, tasks)
        finally:
            await self._channel.close()
        connections.requests.ids.release_reserved()
        # Adopted sessions keep their descriptors and release them when they end. Until now these were part of
        # what the predecessor had open.
        connections.descriptors.reduce_capacity(-self._predecessor_descriptor_count)
        connections.descriptors.take_over(self._adopted_count * CONNECTIONS_PER_SESSION)
        log.info("hot_restart_predecessor_ended", sessions=self._adopted_count)

    async def _adopt_sessions(self, connections: ClientConnections, tasks: TaskGroup) -> None:
        """Adopt each session in a task of its own until the predecessor has ended."""
        try:
            while (received := await self._channel.receive()) is not None:
                packet, sockets = received
                if isinstance(packet, SessionHandover) and len(sockets) == CONNECTIONS_PER_SESSION:
                    self._adopted_count += 1
                    tasks.start_soon(connections.adopt, packet, sockets)
                else:
                    received.close_sockets()
        except InvalidInputError as error:
            log.warning("hot_restart_packet_invalid", reason=str(error))
