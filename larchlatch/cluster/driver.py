"""Does the I/O of a node's cluster service: the socket, the receive loop and the heartbeat timer."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
import structlog

from larchlatch.cluster.counters import ClusterCounter
from larchlatch.node.fault_barrier import FaultBarrier

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from larchlatch.cluster.balancer_notifier import BalancerNotifier
    from larchlatch.cluster.cluster_file import ClusterNode
    from larchlatch.cluster.datagram_socket import DatagramSocket
    from larchlatch.cluster.event_log import ClusterEventLog
    from larchlatch.cluster.exchange.exchange import Exchange
    from larchlatch.cluster.exchange.results import ExchangeResult, ExecutedOrder, OutgoingDatagram
    from larchlatch.node.metrics import Counters

SHUTDOWN_HEARTBEATS = 3  # heartbeats that announce a shutdown: single datagrams may be lost

log = structlog.get_logger()


def wall_us() -> int:
    """Return the Unix time in microseconds, by the wall clock."""
    return time.time_ns() // 1000


class ClusterDriver:
    """Passes received datagrams and heartbeats to the exchange, and carries out the results.

    Attributes:
        nodes: all nodes of the cluster file, by name.

    """

    def __init__(
        self,
        nodes: Mapping[str, ClusterNode],
        exchange: Exchange,
        datagram_socket: DatagramSocket,
        events: ClusterEventLog,
        notifier: BalancerNotifier,
        node_counters: Counters,
        *,
        now: Callable[[], int],
        log_orders: Callable[[list[ExecutedOrder]], None],
    ) -> None:
        """Prepare the driver; `run` starts it.

        Args:
            nodes: all nodes of the cluster file, by name.
            exchange: handles received datagrams and composes those to send.
            datagram_socket: the socket, not bound yet.
            events: logs and counts events of the cluster.
            notifier: sends notices to the balancer.
            node_counters: the node's counters.
            now: returns monotonic time in microseconds.
            log_orders: logs orders that this node has executed, and changes of its own roles.

        """
        self.nodes = nodes
        self._exchange = exchange
        self._membership = exchange.membership
        self._state = exchange.state
        self._socket = datagram_socket
        self._events = events
        self._notifier = notifier
        self._counters = node_counters
        self._now = now
        self._log_orders = log_orders

    async def run(self) -> None:
        """Exchange datagrams with the other members until cancelled, and then announce the shutdown."""
        with self._socket:
            await self._bind()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._receive_loop)
                try:
                    await self._heartbeat_loop()
                finally:
                    self._announce_shutdown()

    async def _bind(self) -> None:
        """Bind the socket, and retry at the heartbeat interval while the address is not available.

        In a hot restart the predecessor process still uses it. Two processes of one node must not both send:
        each would take the other's records for those of an earlier incarnation of itself, and both would
        raise their incarnations without end.
        """
        address = self.nodes[self._membership.own_name].address
        failure_logged = False
        while True:
            try:
                self._socket.bind(address)
            except OSError as error:
                if not failure_logged:
                    log.warning("cluster_address_unavailable", reason=str(error))
                failure_logged = True
                await self._sleep_heartbeat_interval()
            else:
                break
        self._state.open(self._now())
        self._notifier.open_requester(self._now())
        log.info("cluster_joined", listen=f"{address[0]}:{address[1]}", members=len(self.nodes))

    async def _receive_loop(self) -> None:
        while True:
            await self._socket.wait_readable()
            for data in self._socket.read_available():
                self._receive(data)
            self._events.log_unknown_version(self._exchange.unknown_version)
            await anyio.lowlevel.checkpoint()

    def _receive(self, data: bytes) -> None:
        """Handle one datagram; a fault in its handling drops it."""
        with self._fault_barrier(ClusterCounter.DATAGRAM_FAILED):
            self.apply(self._exchange.receive(data, now=self._now(), wall=wall_us()))

    async def _heartbeat_loop(self) -> None:
        while True:
            self._heartbeat()
            self._events.log_isolation(is_isolated=self._membership.is_alone)
            await self._sleep_heartbeat_interval()

    async def _sleep_heartbeat_interval(self) -> None:
        await anyio.sleep(self._membership.heartbeat_us / 1e6)

    def _heartbeat(self) -> None:
        """Send a heartbeat; a fault ends it, and the next one follows at its usual time."""
        with self._fault_barrier(ClusterCounter.HEARTBEAT_FAILED):
            self._compose_heartbeat()

    def _fault_barrier(self, counter: ClusterCounter) -> FaultBarrier:
        return FaultBarrier(self._counters, counter=counter, event=counter.value)

    def _compose_heartbeat(self) -> None:
        result = self._exchange.heartbeat(now=self._now(), wall=wall_us())
        self._events.log_member_changes(result.changes)
        self._log_orders([])
        # The balancer has to stop using its slow-start turns before datagrams promise them to the issuer.
        self._notifier.send_tokens(result.token_updates, self._now())
        self._send(result.datagrams)
        self._notifier.send_advice(result.advice)
        self._events.log_file_difference(files_differ=self._state.quotas.any_file_differs)

    def _announce_shutdown(self) -> None:
        """Announce the shutdown to the other members, so that they need not infer it from silence."""
        self._membership.is_departing = True
        for _ in range(SHUTDOWN_HEARTBEATS):
            self._heartbeat()

    def apply(self, result: ExchangeResult) -> None:
        """Carry out the result of a received datagram or of a request: log, send and notify the balancer."""
        self._events.log_member_changes(result.changes)
        self._log_orders(result.orders)
        self._send(result.datagrams)
        self._notifier.send_tokens(result.token_updates, self._now())

    def _send(self, datagrams: list[OutgoingDatagram]) -> None:
        for datagram in datagrams:
            recipient = self.nodes.get(datagram.recipient)
            if recipient is None:  # a fault; the other datagrams are sent all the same
                self._counters.add(ClusterCounter.RECIPIENT_UNKNOWN)
                continue
            self._socket.send(datagram.data, recipient.address)
