"""What is asked of a connected socket itself: beside its stream, or before a stream is made of it."""

from __future__ import annotations

import select
import socket
import struct
from contextlib import suppress

import anyio

from larchlatch.node.wire.lines import MAX_LINE_BYTES

CHUNK_BYTES = 16384  # read at a time: many lines, and little memory for each of hundreds of sessions
TCP_INFO_LAST_RECEIVED = 52  # offset in Linux's tcp_info of the milliseconds since data last arrived
MICROSECONDS_PER_MS = 1000
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

# After this side has ended a connection, the other side's end is awaited for so long, and so much is read.
LINGER_S = 0.5
LINGER_CHUNKS = 32


def us_since_received(sock: socket.socket) -> int:
    """Return how many microseconds ago data last arrived on a connection; 0 if that is unknown."""
    if not hasattr(socket, "TCP_INFO"):
        return 0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_RECEIVED + 4)
    except OSError:
        return 0
    if len(info) < TCP_INFO_LAST_RECEIVED + 4:
        return 0
    last_received_ms = int(struct.unpack_from("=I", info, TCP_INFO_LAST_RECEIVED)[0])
    return last_received_ms * MICROSECONDS_PER_MS


def has_hung_up(sock: socket.socket) -> bool:
    """Return whether the other side has ended or reset a connection; unread data may precede its end."""
    poll = select.poll()
    try:
        poll.register(sock.fileno(), HANGUP_EVENTS)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True


def receive_available(sock: socket.socket) -> bytes:
    """Return what has arrived on a connection that has no task yet; nothing if it has ended."""
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
    """Close a connection that has had its answer, once its client has ended it or the time is over.

    What the client still sends is read: a close with unread data would reset the connection, and the answer
    would be lost.
    """
    with sock, suppress(OSError, ValueError), anyio.move_on_after(linger_s):
        for _ in range(LINGER_CHUNKS):
            try:
                if not sock.recv(CHUNK_BYTES):
                    return
            except BlockingIOError:
                await anyio.wait_readable(sock)
