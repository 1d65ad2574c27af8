"""Connections that are read and written by whole lines; how one ends is a value, never an exception."""

from __future__ import annotations

import errno
import ipaddress
import os
import select
import socket
import struct
from contextlib import suppress
from enum import Enum
from typing import TYPE_CHECKING, Any

import anyio
from anyio.abc import SocketAttribute, SocketStream

from larchlatch.node.wire.lines import MAX_LINE_BYTES
from larchlatch.node.wire.listen import stream_of

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK_BYTES = 16384  # read at a time: many lines, and little memory for each of hundreds of sessions
LAST_RECEIVED_OFFSET = 52  # bytes into Linux's tcp_info: milliseconds since the last data came
# Seconds and probes: by the system's own two hours each client whose machine has vanished would keep two
# descriptors. Reachable ones answer within a round trip.
KEEPALIVE = {socket.TCP_KEEPIDLE: 30, socket.TCP_KEEPINTVL: 10, socket.TCP_KEEPCNT: 3}
LINGER_S = 0.5  # the other side may take so long to end its half after this side has ended
LINGER_BYTES = 32 * CHUNK_BYTES  # and send so much: what a flood sends is not worth reading
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


# Raised by a connection that has ended, also when it is only asked for its socket.
GONE = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError, ValueError)


class Ending(Enum):
    """How a connection ended, or why it can't continue; the values go into names of counters."""

    END = "end"
    RESET = "reset"
    TOO_LONG = "line too long"


class Unconnected(Enum):
    """Why there is no connection."""

    CONNECT_FAILED = "connect failed"
    NO_DESCRIPTOR = "no descriptor"


class Lines:
    """Both directions of one connection, by whole lines.

    Attributes:
        stream: the stream below.
        tail: the fragment of a line that has been received so far.
        ready: complete lines that were received with one that was asked for.
        begun: called when bytes were received that complete no line.
        closed: whether it was closed here, or handed to another process.
        spoken_to: whether anything has been sent.

    """

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        # A client whose machine has vanished sends nothing more: without keep-alive its session would hold
        # two descriptors for good.
        with suppress(*GONE):
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option, value in KEEPALIVE.items():
                raw.setsockopt(socket.IPPROTO_TCP, option, value)
        self.tail = b""
        self.ready: list[bytes] = []
        self.begun: Callable[[], None] | None = None
        self.closed = False
        self.spoken_to = False

    async def some(self) -> list[bytes] | Ending:
        """Return the complete lines that have been received, at least one, or how the connection ended."""
        if self.ready:
            lines, self.ready = self.ready, []
            return lines
        while True:
            try:
                chunk = await self.stream.receive(CHUNK_BYTES)
            except anyio.EndOfStream:
                return Ending.END
            except GONE:
                return Ending.RESET
            # Lines are passed on only when complete: so what this node sends itself falls between two lines.
            lines = (self.tail + chunk).split(b"\n")
            self.tail = lines.pop()
            if len(self.tail) > MAX_LINE_BYTES or any(len(line) >= MAX_LINE_BYTES for line in lines):
                return Ending.TOO_LONG
            if lines:
                return [line + b"\n" for line in lines]
            if self.begun is not None:
                self.begun()

    def feed(self, early: bytes) -> None:
        """Take in bytes that were received before, here or by the predecessor, and not passed on."""
        lines = early.split(b"\n")
        self.tail = lines.pop()
        self.ready = [line + b"\n" for line in lines]

    def detach(self) -> tuple[int, bytes] | None:
        """Give the connection up for another process, without a word to the other side.

        Returns:
            Its descriptor, and what was received and not passed on; None where something still waits to be
            sent, or it has ended.

        """
        # anyio's interface does not tell what it has read ahead, and left behind a line would be lost. So its
        # private attributes are read here, and nowhere else; the pinned version and tests guard that.
        transport: Any = getattr(self.stream, "_transport")  # noqa: B009 - private, see above
        protocol: Any = getattr(self.stream, "_protocol")  # noqa: B009 - private, see above
        if self.closed or transport.is_closing() or protocol.exception or transport.get_write_buffer_size():
            return None
        fd = os.dup(self.stream.extra(SocketAttribute.raw_socket).fileno())
        early = b"".join(self.ready) + self.tail + b"".join(protocol.read_queue)
        self.closed = True
        transport.abort()
        return fd, early

    async def reattach(self, fd: int, early: bytes) -> None:
        """Take a connection back that was given up: no other process has taken it."""
        self.stream = await stream_of(socket.socket(fileno=fd))
        self.closed = False
        self.feed(early)

    async def line(self) -> bytes | Ending:
        """Return the next line, or how the connection ended."""
        lines = await self.some()
        if isinstance(lines, Ending):
            return lines
        self.ready = lines[1:]
        return lines[0]

    def waited_us(self) -> int:
        """Return how long ago the last bytes came to this machine: they may have waited to be read."""
        try:
            return waited_us(self.stream.extra(SocketAttribute.raw_socket))
        except GONE:
            return 0

    async def send(self, data: bytes) -> bool:
        """Send all of it; return whether that was possible."""
        self.spoken_to = True
        try:
            await self.stream.send(data)
        except GONE:
            return False
        return True

    def hung_up(self) -> bool:
        """Return whether the other side has ended or reset it, though bytes may lie before its end unread."""
        try:
            return self.closed or hung_up(self.stream.extra(SocketAttribute.raw_socket))
        except GONE:
            return True

    async def finish(self, how: Ending, linger_s: float = LINGER_S) -> None:
        """End it in this way, waiting a moment for the other side's end."""
        with anyio.CancelScope(shield=True):
            if how is Ending.END:
                # Closed with bytes unread it would be reset, and what was just sent be lost.
                with anyio.move_on_after(linger_s):
                    with suppress(anyio.EndOfStream, *GONE):
                        await self.stream.send_eof()
                        for _ in range(LINGER_BYTES // CHUNK_BYTES):
                            await self.stream.receive(CHUNK_BYTES)
            await self.close(reset=how is not Ending.END)

    async def close(self, *, reset: bool = False) -> None:
        """Close it; a second call changes nothing."""
        # Once closed its descriptor may be another connection's, and under uvloop it can't be asked for.
        if self.closed:
            return
        self.closed = True
        with anyio.CancelScope(shield=True), suppress(*GONE):
            if reset:
                raw = self.stream.extra(SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            await self.stream.aclose()


def waited_us(sock: socket.socket) -> int:
    """Return how long ago the last bytes came to this machine on a connection; 0 where that is unknown."""
    if not hasattr(socket, "TCP_INFO"):
        return 0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_RECEIVED_OFFSET + 4)
    except OSError:
        return 0
    if len(info) < LAST_RECEIVED_OFFSET + 4:
        return 0
    return int(struct.unpack_from("=I", info, LAST_RECEIVED_OFFSET)[0]) * 1000


def receive_available(sock: socket.socket) -> bytes:
    """Return what has been received on a connection that has no task yet; nothing where it has ended."""
    try:
        return sock.recv(MAX_LINE_BYTES)
    except OSError:
        return b""


def send_last_line(sock: socket.socket, line: bytes) -> None:
    """Send a line on a connection that has no task yet, and end this side of it."""
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.send(line)
        sock.shutdown(socket.SHUT_WR)


async def discard_and_close(sock: socket.socket, linger_s: float) -> None:
    """Close a connection that has had its answer, once its client has ended it or the time is over."""
    # Closed with bytes unread it would be reset, and the answer be lost.
    with sock, suppress(OSError, ValueError), anyio.move_on_after(linger_s):
        for _ in range(LINGER_BYTES // CHUNK_BYTES):
            try:
                if not sock.recv(CHUNK_BYTES):
                    return
            except BlockingIOError:
                await anyio.wait_readable(sock)


def hung_up(sock: Any) -> bool:
    """Return whether the other side has ended or reset a connection; bytes may lie before its end."""
    poll = select.poll()
    try:
        poll.register(sock.fileno(), HANGUP_EVENTS)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True


async def resolved(address: tuple[str, int]) -> tuple[socket.AddressFamily, tuple[str, int]]:
    """Return the family and the numeric form of an address; OSError where its name is not known."""
    try:
        numeric = ipaddress.ip_address(address[0])
    except ValueError:
        rows = await anyio.getaddrinfo(*address, type=socket.SOCK_STREAM)
        return socket.AddressFamily(rows[0][0]), (str(rows[0][4][0]), address[1])
    return socket.AF_INET6 if numeric.version == 6 else socket.AF_INET, address


async def dial(address: tuple[str, int], within_s: float) -> socket.socket | Unconnected:
    """Return a connection, or why there is none; a cancelled call leaves none behind."""
    sock: socket.socket | None = None
    try:
        with anyio.fail_after(within_s):
            family, numeric = await resolved(address)
            sock = socket.socket(family, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            error = sock.connect_ex(numeric)
            if error == errno.EINPROGRESS:
                await anyio.wait_writable(sock)
                error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if not error:
            made, sock = sock, None
            return made
    except TimeoutError:
        # Where this node's event loop was late it may have come up unseen: that is no upstream's fault.
        if sock is None or not is_up(sock):
            return Unconnected.CONNECT_FAILED
        made, sock = sock, None
        return made
    except OSError as failed:
        error = failed.errno or 0
    finally:
        if sock is not None:
            sock.close()
    return Unconnected.NO_DESCRIPTOR if error in (errno.EMFILE, errno.ENFILE) else Unconnected.CONNECT_FAILED


def is_up(sock: socket.socket) -> bool:
    """Return whether a socket is connected."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


async def written(sock: socket.socket, data: bytes) -> bool:
    """Return whether the system has taken all of it: only then can the other side ever have it whole."""
    # Not by a transport, which keeps what the system does not take at once: if the connection breaks it is
    # unknown how much went out, and an attempt is repeated only where its line can't have arrived whole.
    try:
        while data:
            try:
                data = data[sock.send(data) :]
            except BlockingIOError:
                await anyio.wait_writable(sock)
    except OSError:
        return False
    return True


async def connect(address: tuple[str, int], within_s: float) -> Lines | Unconnected:
    """Return a connection by lines, or why there is none."""
    sock = await dial(address, within_s)
    return sock if isinstance(sock, Unconnected) else await lines_of(sock)


async def lines_of(sock: socket.socket) -> Lines:
    """Wrap a connected socket; it is closed where that fails."""
    try:
        return Lines(await stream_of(sock))
    except BaseException:
        sock.close()
        raise
