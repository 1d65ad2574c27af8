"""A connection that is read and written by whole lines; how it ends is a value, never an exception."""

from __future__ import annotations

import errno
import ipaddress
import os
import select
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream

from larchlatch.node.wire.lines import LONGEST
from larchlatch.node.wire.listen import stream_of

CHUNK = 16384  # bytes read at a time: many lines, and little memory for each of hundreds of links
LAST_RECEIVED = 52  # bytes into Linux's tcp_info: milliseconds since the last data came
# Seconds: the system's own two hours would keep two descriptors for each client that has walked away with its
# machine. Sound ones answer within a round trip.
KEEPALIVE = {socket.TCP_KEEPIDLE: 30, socket.TCP_KEEPINTVL: 10, socket.TCP_KEEPCNT: 3}
LINGER_S = 0.5  # how long the other side may take to end its half after this side has ended
LINGER_BYTES = 32 * CHUNK  # and how much it may still send: what a flood sends is not worth reading
HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


# What a connection that has ended raises, also when only asked for its socket.
GONE = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError, ValueError)


class Ending(Enum):
    """How a connection ended, or why it can't go on."""

    END = "end"
    RESET = "reset"
    TOO_LONG = "line too long"


class Unconnected(Enum):
    """Why there is no connection."""

    UNREACHED = "unreached"
    NO_ROOM = "no descriptor"


class Lines:
    """Both directions of one connection."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        # A client whose machine has vanished says nothing more: without this its link would hold two
        # descriptors for good.
        with suppress(*GONE):
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option, value in KEEPALIVE.items():
                raw.setsockopt(socket.IPPROTO_TCP, option, value)
        self.tail = b""  # what has come of a line that is still open
        self.ready: list[bytes] = []  # whole lines that came with one asked for
        self.begun: Callable[[], None] | None = None  # told when bytes have come that make no line yet
        self.closed = False
        self.spoken_to = False  # something has been sent

    async def some(self) -> list[bytes] | Ending:
        """The lines that are there, one at least."""
        if self.ready:
            lines, self.ready = self.ready, []
            return lines
        while True:
            try:
                chunk = await self.stream.receive(CHUNK)
            except anyio.EndOfStream:
                return Ending.END
            except GONE:
                return Ending.RESET
            # A line passes on only when it is whole: so what this node says itself falls between two lines.
            lines = (self.tail + chunk).split(b"\n")
            self.tail = lines.pop()
            if len(self.tail) > LONGEST or any(len(line) >= LONGEST for line in lines):
                return Ending.TOO_LONG
            if lines:
                return [line + b"\n" for line in lines]
            if self.begun is not None:
                self.begun()

    def feed(self, early: bytes) -> None:
        """What another process of this node has read of this connection and not passed on."""
        lines = early.split(b"\n")
        self.tail = lines.pop()
        self.ready = [line + b"\n" for line in lines]

    def hand_out(self) -> tuple[int, bytes] | None:
        """Its descriptor for another process, and what was read of it and not passed on; it is this one's no
        more then. None where something still waits to be sent, or it has ended."""
        # Nothing in anyio's interface tells of what it has read ahead: left behind, a line would be lost.
        transport: Any = getattr(self.stream, "_transport")
        protocol: Any = getattr(self.stream, "_protocol")
        if self.closed or transport.is_closing() or protocol.exception or transport.get_write_buffer_size():
            return None
        fd = os.dup(self.stream.extra(SocketAttribute.raw_socket).fileno())
        early = b"".join(self.ready) + self.tail + b"".join(protocol.read_queue)
        # Closed without a word to the other side, which goes on with the process that has the copy.
        self.closed = True
        transport.abort()
        return fd, early

    async def take_back(self, fd: int, early: bytes) -> None:
        """After all it is this process's own."""
        self.stream = await stream_of(socket.socket(fileno=fd))
        self.closed = False
        self.feed(early)

    async def line(self) -> bytes | Ending:
        lines = await self.some()
        if isinstance(lines, Ending):
            return lines
        self.ready = lines[1:]
        return lines[0]

    def waited_us(self) -> int:
        """How long ago the last bytes came to this machine: they may have waited long to be read."""
        try:
            return waited_us(self.stream.extra(SocketAttribute.raw_socket))
        except GONE:
            return 0

    async def send(self, data: bytes) -> bool:
        """Whether all of it was written."""
        self.spoken_to = True
        try:
            await self.stream.send(data)
        except GONE:
            return False
        return True

    def hung_up(self) -> bool:
        """Whether the other side has ended or reset it, though bytes may lie before its end unread."""
        try:
            return self.closed or hung_up(self.stream.extra(SocketAttribute.raw_socket))
        except GONE:
            return True

    async def finish(self, how: Ending, linger_s: float = LINGER_S) -> None:
        """End it in this way."""
        with anyio.CancelScope(shield=True):
            if how is Ending.END:
                # Closing with bytes unread would reset the other side, and what was just sent be lost to it.
                with anyio.move_on_after(linger_s):
                    with suppress(anyio.EndOfStream, *GONE):
                        await self.stream.send_eof()
                        for _ in range(LINGER_BYTES // CHUNK):
                            await self.stream.receive(CHUNK)
            await self.close(reset=how is not Ending.END)

    async def close(self, reset: bool = False) -> None:
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
    """How long ago the last bytes came to this machine on a connection."""
    if not hasattr(socket, "TCP_INFO"):
        return 0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_RECEIVED + 4)
    except OSError:
        return 0
    if len(info) < LAST_RECEIVED + 4:
        return 0
    return int(struct.unpack_from("=I", info, LAST_RECEIVED)[0]) * 1000


def overheard(sock: socket.socket) -> bytes:
    """What has come on a connection that nobody reads from yet; nothing where that can't be told."""
    try:
        return sock.recv(LONGEST)
    except OSError:
        return b""


def answer_at_once(sock: socket.socket, line: bytes) -> None:
    """Say a line on a connection that nobody reads from yet, and that nothing more will be said."""
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.send(line)
        sock.shutdown(socket.SHUT_WR)


async def see_off(sock: socket.socket, linger_s: float) -> None:
    """Close a connection on which all has been said; what still comes on it goes unread."""
    # Closed over unread bytes it would be reset, and the answer be lost with it.
    with sock, suppress(OSError, ValueError), anyio.move_on_after(linger_s):
        for _ in range(LINGER_BYTES // CHUNK):
            try:
                if not sock.recv(CHUNK):
                    return
            except BlockingIOError:
                await anyio.wait_readable(sock)


def hung_up(sock: Any) -> bool:
    """Whether the other side has ended or reset a connection, though bytes may lie before its end unread."""
    poll = select.poll()
    try:
        poll.register(sock.fileno(), HUNG_UP)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True


async def resolved(address: tuple[str, int]) -> tuple[socket.AddressFamily, tuple[str, int]]:
    """The family and the numeric form of an address; OSError where its name is not known."""
    try:
        numeric = ipaddress.ip_address(address[0])
    except ValueError:
        rows = await anyio.getaddrinfo(*address, type=socket.SOCK_STREAM)
        return socket.AddressFamily(rows[0][0]), (str(rows[0][4][0]), address[1])
    return socket.AF_INET6 if numeric.version == 6 else socket.AF_INET, address


async def dial(address: tuple[str, int], within_s: float) -> socket.socket | Unconnected:
    """A connection, or why there is none; whoever breaks the waiting off leaves none behind."""
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
        # Where this node's own loop was late it has come up, and nobody looked: that is no host's fault.
        if sock is None or not is_up(sock):
            return Unconnected.UNREACHED
        made, sock = sock, None
        return made
    except OSError as failed:
        error = failed.errno or 0
    finally:
        if sock is not None:
            sock.close()
    return Unconnected.NO_ROOM if error in (errno.EMFILE, errno.ENFILE) else Unconnected.UNREACHED


def is_up(sock: socket.socket) -> bool:
    """Whether a socket that was to be connected is."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


async def written(sock: socket.socket, data: bytes) -> bool:
    """Whether the system has taken all of it: only then can the other side ever have it whole."""
    # Not by a transport, which keeps what the system does not take at once: a connection that breaks leaves
    # it unknown how much of that went out, and an attempt is made anew only where its line can't be whole.
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
    """The same, to be read and written by lines."""
    sock = await dial(address, within_s)
    return sock if isinstance(sock, Unconnected) else await lines_of(sock)


async def lines_of(sock: socket.socket) -> Lines:
    """A connected socket, to be read and written by lines; closed where it can't be."""
    try:
        return Lines(await stream_of(sock))
    except BaseException:
        sock.close()
        raise
