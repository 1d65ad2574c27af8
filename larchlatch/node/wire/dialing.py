"""Connecting to upstreams and to discovery; a failed connection is a value, never an exception."""

from __future__ import annotations

import errno
import ipaddress
import socket
from enum import Enum

import anyio

from larchlatch.node.wire.listen import stream_of
from larchlatch.node.wire.stream import Lines

NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE)


class Unconnected(Enum):
    """Why there is no connection."""

    CONNECT_FAILED = "connect failed"
    NO_DESCRIPTOR = "no descriptor"


async def dial(address: tuple[str, int], within_s: float) -> socket.socket | Unconnected:
    """Connect to an address within a time in seconds.

    Returns:
        The connected socket, which the caller owns, or why there is none. A cancelled call leaves no socket
        behind.

    """
    sock: socket.socket | None = None
    error = 0
    try:
        with anyio.fail_after(within_s):
            family, numeric_address = await _resolve(address)
            sock = socket.socket(family, socket.SOCK_STREAM)
            error = await _connect(sock, numeric_address)
        if not error:
            connected, sock = sock, None
            return connected
    except TimeoutError:
        # Where this node's event loop was late, the connection may be there unnoticed.
        if sock is None or not _is_connected(sock):
            return Unconnected.CONNECT_FAILED
        connected, sock = sock, None
        return connected
    except OSError as failed:
        error = failed.errno or 0
    finally:
        if sock is not None:
            sock.close()
    return Unconnected.NO_DESCRIPTOR if error in NO_DESCRIPTOR_ERRORS else Unconnected.CONNECT_FAILED


async def connect(address: tuple[str, int], within_s: float) -> Lines | Unconnected:
    """Connect to an address; return the connection by lines, or why there is none."""
    sock = await dial(address, within_s)
    return sock if isinstance(sock, Unconnected) else await lines_of(sock)


async def lines_of(sock: socket.socket) -> Lines:
    """Wrap a connected socket; it is closed if that fails."""
    try:
        return Lines(await stream_of(sock))
    except BaseException:  # cancellation included: nobody else owns the socket yet
        sock.close()
        raise


async def send_all(sock: socket.socket, data: bytes) -> bool:
    """Hand data to the system; return whether it took all of it.

    A transport would keep what the system does not take at once. If the connection broke then, it would be
    unknown how much was sent, and an attempt is repeated only if its line can't have arrived whole.
    """
    try:
        while data:
            try:
                data = data[sock.send(data) :]
            except BlockingIOError:
                await anyio.wait_writable(sock)
    except OSError:
        return False
    return True


async def _resolve(address: tuple[str, int]) -> tuple[socket.AddressFamily, tuple[str, int]]:
    """Return the family and the numeric form of an address.

    Raises:
        OSError: Its name is not known.

    """
    host, port = address
    try:
        numeric = ipaddress.ip_address(host)
    except ValueError:
        rows = await anyio.getaddrinfo(host, port, type=socket.SOCK_STREAM)
        family, _, _, _, resolved = rows[0]
        return socket.AddressFamily(family), (str(resolved[0]), port)
    return socket.AF_INET6 if numeric.version == 6 else socket.AF_INET, address


async def _connect(sock: socket.socket, address: tuple[str, int]) -> int:
    """Connect a new socket; return the system's error number, 0 for none."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    error = sock.connect_ex(address)
    if error != errno.EINPROGRESS:
        return error
    await anyio.wait_writable(sock)
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def _is_connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True
