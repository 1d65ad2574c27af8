"""Connections that are read line by line; how a connection ends is returned, never raised."""

from __future__ import annotations

import os
import socket
import struct
from contextlib import suppress
from enum import Enum
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute, SocketStream

from larchlatch.node.wire.lines import MAX_LINE_BYTES
from larchlatch.node.wire.listen import stream_of
from larchlatch.node.wire.raw_socket import (
    CHUNK_BYTES,
    LINGER_CHUNKS,
    LINGER_S,
    has_hung_up,
    us_since_received,
)
from larchlatch.node.wire.transport import StreamBuffers

if TYPE_CHECKING:
    from collections.abc import Callable

# TCP keep-alive: seconds until the first probe, seconds between probes, and number of probes. With the
# system default of two hours, each client whose machine has vanished would occupy two descriptors that long.
KEEPALIVE = {socket.TCP_KEEPIDLE: 30, socket.TCP_KEEPINTVL: 10, socket.TCP_KEEPCNT: 3}

# What a stream raises once its connection has ended, even if only its socket is requested.
CONNECTION_ENDED_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError, ValueError)


class Ending(Enum):
    """How a connection ended, or why it can't continue; the values are parts of counter names."""

    END = "end"
    RESET = "reset"
    TOO_LONG = "line_too_long"


class LineConnection:
    """One connection, which is read line by line and written to.

    Attributes:
        stream: the socket stream of the connection.
        partial_line: the received part of a line that is not complete yet.
        unread_lines: complete lines that were received and not returned yet.
        on_partial_line: if set, called when received data completes no line.
        closed: whether this process has closed the connection or given it up to another process.
        has_sent: whether this process has sent anything on the connection, or tried to.

    """

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self._enable_keepalive()
        self.partial_line = b""
        self.unread_lines: list[bytes] = []
        self.on_partial_line: Callable[[], None] | None = None
        self.closed = False
        self.has_sent = False

    @classmethod
    async def of_socket(cls, sock: socket.socket) -> LineConnection | None:
        """Wrap a connected socket; return None, with the socket closed, if the connection has ended."""
        stream = await stream_of(sock)
        return None if stream is None else cls(stream)

    async def receive_lines(self) -> list[bytes] | Ending:
        """Wait for at least one line; return all complete lines received, or how the connection ended."""
        if self.unread_lines:
            lines, self.unread_lines = self.unread_lines, []
            return lines
        while True:
            try:
                chunk = await self.stream.receive(CHUNK_BYTES)
            except anyio.EndOfStream:
                return Ending.END
            except CONNECTION_ENDED_ERRORS:
                return Ending.RESET
            # Only complete lines are returned, so that a line of this node never falls within a relayed one.
            lines = (self.partial_line + chunk).split(b"\n")
            self.partial_line = lines.pop()
            if len(self.partial_line) > MAX_LINE_BYTES or any(len(line) >= MAX_LINE_BYTES for line in lines):
                return Ending.TOO_LONG
            if lines:
                return [line + b"\n" for line in lines]
            if self.on_partial_line is not None:
                self.on_partial_line()

    def feed(self, data: bytes) -> None:
        """Take over data that was received before, here or by the predecessor, and not returned as lines."""
        lines = data.split(b"\n")
        self.partial_line = lines.pop()
        self.unread_lines = [line + b"\n" for line in lines]

    def detach(self) -> tuple[int, bytes] | None:
        """Give the connection up so that another process can take it over; the other side does not notice.

        Returns:
            A duplicate of the connection's descriptor, and the data that was received and not returned yet.
            None if data still has to be sent, or the connection has ended.

        """
        buffers = StreamBuffers(self.stream)
        if self.closed or buffers.has_ended or buffers.has_unsent:
            return None
        descriptor = os.dup(self._socket().fileno())
        unread = b"".join(self.unread_lines) + self.partial_line + buffers.unread()
        self.closed = True
        buffers.abort()
        return descriptor, unread

    async def reattach(self, descriptor: int, unread: bytes) -> None:
        """Take back a connection that `detach` gave up and that no other process has taken over.

        If it has ended since, it stays closed here.
        """
        stream = await stream_of(socket.socket(fileno=descriptor))
        if stream is None:
            return
        self.stream = stream
        self.closed = False
        self.feed(unread)

    async def line(self) -> bytes | Ending:
        """Return the next line, or how the connection ended."""
        lines = await self.receive_lines()
        if isinstance(lines, Ending):
            return lines
        self.unread_lines = lines[1:]
        return lines[0]

    def us_since_received(self) -> int:
        """Return how many microseconds ago data last arrived, even if it is still unread; 0 if unknown."""
        try:
            return us_since_received(self._socket())
        except CONNECTION_ENDED_ERRORS:
            return 0

    async def send(self, data: bytes) -> bool:
        """Send data; return False if the connection has ended."""
        if self.closed:
            return False
        self.has_sent = True
        try:
            await self.stream.send(data)
        except CONNECTION_ENDED_ERRORS:
            return False
        return True

    def hung_up(self) -> bool:
        """Return whether the connection is closed, or the other side has ended or reset it.

        Unread data may precede the end.
        """
        try:
            return self.closed or has_hung_up(self._socket())
        except CONNECTION_ENDED_ERRORS:
            return True

    async def finish(self, ending: Ending, linger_s: float = LINGER_S) -> None:
        """End the connection, in order or by a reset.

        Args:
            ending: `Ending.END` for an orderly end; any other ending resets the connection.
            linger_s: how long an orderly end waits for the other side to end the connection, in seconds.

        """
        with anyio.CancelScope(shield=True):
            if ending is Ending.END and not self.closed:
                await self._linger(linger_s)
            await self.close(reset=ending is not Ending.END)

    async def close(self, *, reset: bool = False) -> None:
        """Close the connection; a second call has no effect.

        Args:
            reset: whether to reset the connection instead of an orderly end.

        """
        # After a close, the descriptor may belong to another connection, and uvloop does not detect that.
        if self.closed:
            return
        self.closed = True
        with anyio.CancelScope(shield=True), suppress(*CONNECTION_ENDED_ERRORS):
            if reset:
                self._socket().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            await self.stream.aclose()

    def abort(self) -> None:
        """Close the connection without waiting; data that was not sent yet is lost."""
        if not self.closed:
            self.closed = True
            StreamBuffers(self.stream).abort()

    async def _linger(self, linger_s: float) -> None:
        """End this side, and read and discard what the other side still sends.

        To close a connection with unread data would reset it, and the data that was sent last would be lost.
        """
        if StreamBuffers(self.stream).has_ended:
            # The other side has reset the connection. uvloop raises RuntimeError for an end after that.
            return
        with anyio.move_on_after(linger_s), suppress(anyio.EndOfStream, *CONNECTION_ENDED_ERRORS):
            await self.stream.send_eof()
            for _ in range(LINGER_CHUNKS):
                await self.stream.receive(CHUNK_BYTES)

    def _enable_keepalive(self) -> None:
        """Let the operating system notice when the other side's machine has vanished."""
        with suppress(*CONNECTION_ENDED_ERRORS):
            raw = self._socket()
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option, value in KEEPALIVE.items():
                raw.setsockopt(socket.IPPROTO_TCP, option, value)

    def _socket(self) -> socket.socket:
        """Return the stream's socket; raise one of `CONNECTION_ENDED_ERRORS` if the connection has ended."""
        return self.stream.extra(SocketAttribute.raw_socket)
