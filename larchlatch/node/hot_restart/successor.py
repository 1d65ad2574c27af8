"""The side of the new process: it takes over from the process that serves now."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from anyio.abc import UNIXSocketStream

from larchlatch.errors import InvalidInputError
from larchlatch.node.clock import UNIX_OFFSET_US
from larchlatch.node.hot_restart.channel import Channel
from larchlatch.node.hot_restart.packets import Serving, SessionHandover, StateHandover, Welcome
from larchlatch.node.hot_restart.rendezvous import ANSWER_S, hello_of, receive_within
from larchlatch.node.wire.listen import Listener

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from larchlatch.config.endpoints import EndpointList
    from larchlatch.config.node import NodeConfiguration
    from larchlatch.node.clients.connections import ClientConnections
    from larchlatch.node.components import NodeComponents
    from larchlatch.node.hot_restart.rendezvous import Rendezvous
    from larchlatch.node.metrics import Counters

CONNECTIONS_OF_SESSION = 2  # its client's and its upstream's

WITHOUT_PREDECESSOR = "hot_restart_nothing_handed_over"

log = structlog.get_logger()


class Successor:
    """Goes on with the predecessor's listener, state and sessions.

    Attributes:
        endpoints: the predecessor's endpoint list.
        listener: the socket for clients, which both processes share.

    """

    def __init__(
        self, channel: Channel, endpoints: EndpointList, listener: Listener, counters: Counters
    ) -> None:
        self.endpoints = endpoints
        self.listener = listener
        self._channel = channel
        self._counters = counters
        self._predecessor_descriptors = 0  # that the predecessor holds or may come to hold

    @classmethod
    async def connect(
        cls, configuration: NodeConfiguration, rendezvous: Rendezvous, counters: Counters
    ) -> Successor | None:
        """Reach the process that serves now; None where there is none that can be understood."""
        sock = rendezvous.connect()
        if sock is None:
            return None
        channel = Channel(await UNIXSocketStream.from_socket(sock))
        await channel.send(hello_of(configuration))
        match await receive_within(channel, ANSWER_S):
            case Welcome(endpoints), [shared] if shared.getsockname()[:2] == configuration.listen_address:
                return cls(channel, endpoints, Listener(shared), counters)
            case _:
                counters.add(WITHOUT_PREDECESSOR)
                log.warning("hot_restart_nothing_handed_over")
                await channel.close()
                return None

    async def take_over_state(self, components: NodeComponents) -> None:
        """Tell the predecessor that this process serves, and restore the state that it hands over."""
        await self._channel.send(Serving())
        received = await receive_within(self._channel, ANSWER_S)
        if received is None or not isinstance(received.packet, StateHandover):
            self._counters.add(WITHOUT_PREDECESSOR)
            return
        state = received.packet
        self._predecessor_descriptors = state.descriptor_count
        components.descriptors.lend(state.descriptor_count)
        components.connections.requests.ids.reserve(state.session_ids)
        if state.draining_for_s is not None:
            # No operator has ended the drain: it goes on, and the sessions' time runs from its beginning.
            components.lifecycle.start_drain(anyio.current_time() - state.draining_for_s)
        components.balancer_actor.restore(state.balancer_state, UNIX_OFFSET_US - state.clock_offset_us)

    async def run(self, connections: ClientConnections, tasks: TaskGroup) -> None:
        """Take over sessions until the predecessor has ended."""
        session_count = await self._take_over_sessions(connections, tasks)
        await self._channel.close()
        connections.requests.ids.release_reserved()
        # The sessions' own descriptors are given back as they end.
        taken_descriptors = session_count * CONNECTIONS_OF_SESSION
        connections.descriptors.lend(taken_descriptors - self._predecessor_descriptors)
        log.info("hot_restart_predecessor_ended", sessions=session_count)

    async def _take_over_sessions(self, connections: ClientConnections, tasks: TaskGroup) -> int:
        """Return how many were taken over."""
        session_count = 0
        try:
            while (received := await self._channel.receive()) is not None:
                packet, sockets = received
                if isinstance(packet, SessionHandover) and len(sockets) == CONNECTIONS_OF_SESSION:
                    session_count += 1
                    tasks.start_soon(connections.adopt, packet, sockets)
        except InvalidInputError as error:
            log.warning("hot_restart_packet_invalid", reason=str(error))
        return session_count
