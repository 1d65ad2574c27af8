"""Operations on a connected socket itself, while a stream uses it or before a stream wraps it."""

from __future__ import annotations

import select
import socket
import struct
from contextlib import suppress

import anyio

from larchlatch.node.wire.lines import MAX_LINE_BYTES

CHUNK_BYTES = 16384  # per read: holds many lines, and costs little memory for each of hundreds of sessions
TCP_INFO_LAST_RECEIVED = 52  # offset of tcpi_last_data_recv (ms since data last arrived) in tcp_info
MICROSECONDS_PER_MS = 1000
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

# After this side has ended a connection: the longest wait for the other side's end, in seconds, and the most
# reads of data that still arrives.
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
    """Return the data that has arrived on a connection without a task yet; empty if there is none."""
    try:
        return sock.recv(MAX_LINE_BYTES)
    except OSError:
        return b""


def send_last_line(sock: socket.socket, line: bytes) -> None:
    """Send a line on a connection without a task yet, and end this side of the connection."""
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.send(line)
        sock.shutdown(socket.SHUT_WR)


async def discard_and_close(sock: socket.socket, linger_s: float) -> None:
    """Close a connection whose client was answered, once the client has ended it or the time is over.

    Data that the client still sends is read and discarded: to close a connection with unread data would reset
    it, and the answer would be lost.

    Args:
        sock: the connection.
        linger_s: how long to wait for the client's end, in seconds.

    """
    with sock, suppress(OSError, ValueError), anyio.move_on_after(linger_s):
        for _ in range(LINGER_CHUNKS):
            try:
                if not sock.recv(CHUNK_BYTES):
                    return
            except BlockingIOError:
                await anyio.wait_readable(sock)
