"""Sends and receives datagrams on the UDP socket of a node's cluster service."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import anyio

from larchlatch.cluster.counters import ClusterCounter
from larchlatch.cluster.protocol.codec import MAX_DATAGRAM_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterator
    from types import TracebackType

    from larchlatch.node.metrics import Counters

RECEIVE_BUFFER_BYTES = 1 << 20  # for datagrams that arrive while the process is paused
MAX_DATAGRAMS_PER_TURN = 200  # read before other tasks run, so that a flood can't block sessions


class DatagramSocket:
    """A non-blocking UDP socket that counts datagrams, bytes and failed calls."""

    def __init__(self, node_counters: Counters) -> None:
        self._counters = node_counters
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def __enter__(self) -> DatagramSocket:
        return self

    def __exit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self._socket.close()

    def bind(self, address: tuple[str, int]) -> None:
        """Bind the socket to this address, to receive datagrams there.

        Raises:
            OSError: another process uses the address, or this machine does not have it.

        """
        self._socket.bind(address)

    async def wait_readable(self) -> None:
        """Wait until a datagram can be read."""
        await anyio.wait_readable(self._socket)

    def read_available(self) -> Iterator[bytes]:
        """Yield the datagrams that have arrived, at most `MAX_DATAGRAMS_PER_TURN`; never block."""
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                # recvfrom() cuts a datagram off at this length: one extra byte shows that it is too long.
                data, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self._counters.add(ClusterCounter.RECEIVE_FAILED)
                return
            self._counters.add(ClusterCounter.BYTES_RECEIVED, len(data))
            self._counters.add(ClusterCounter.DATAGRAMS_RECEIVED)
            yield data

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram; a failed call is counted, and otherwise treated like a lost datagram."""
        try:
            self._socket.sendto(data, address)
        except OSError:
            self._counters.add(ClusterCounter.SEND_FAILED)
            return
        self._counters.add(ClusterCounter.BYTES_SENT, len(data))
        self._counters.add(ClusterCounter.DATAGRAMS_SENT)
