"""The UDP socket of a node's cluster service."""

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

RECEIVE_BUFFER_BYTES = 1 << 20  # holds what is received while the process is stopped for a while
MAX_DATAGRAMS_PER_TURN = 200  # read before other tasks run: a flood must not block the node's sessions


class DatagramSocket:
    """A non-blocking UDP socket that counts what goes through it."""

    def __init__(self, node_counters: Counters) -> None:
        self._counters = node_counters
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def __enter__(self) -> DatagramSocket:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._socket.close()

    def bind(self, address: tuple[str, int]) -> None:
        """Listen at this address.

        Raises:
            OSError: another process uses the address, or it is not an address of this machine.

        """
        self._socket.bind(address)

    async def wait_readable(self) -> None:
        """Wait until a datagram can be read."""
        await anyio.wait_readable(self._socket)

    def read_available(self) -> Iterator[bytes]:
        """Yield the datagrams that are waiting, at most `MAX_DATAGRAMS_PER_TURN`."""
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                # One byte more than allowed shows that a datagram is too long.
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
        """Send one datagram; a failure is counted, and otherwise treated like a lost datagram."""
        try:
            self._socket.sendto(data, address)
        except OSError:
            self._counters.add(ClusterCounter.SEND_FAILED)
            return
        self._counters.add(ClusterCounter.BYTES_SENT, len(data))
        self._counters.add(ClusterCounter.DATAGRAMS_SENT)
