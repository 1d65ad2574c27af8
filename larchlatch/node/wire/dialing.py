"""Opens connections to upstreams and to discovery; a failure to connect is returned, never raised."""

from __future__ import annotations

import errno
import ipaddress
import socket
from enum import Enum

import anyio

from larchlatch.node.wire.stream import LineConnection

NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE)


class Unconnected(Enum):
    """Why no connection could be established."""

    CONNECT_FAILED = "connect failed"
    NO_DESCRIPTOR = "no descriptor"


async def dial(address: tuple[str, int], within_s: float) -> socket.socket | Unconnected:
    """Connect to an address.

    Args:
        address: host and port; the host is a name or a numeric address.
        within_s: the timeout in seconds, which includes the resolution of the name.

    Returns:
        The connected socket, which the caller owns, or the reason why there is none. A cancelled call closes
        its socket.

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
        # If this node's event loop was late, the connection may be established without having been noticed.
        if sock is None or not _is_connected(sock):
            return Unconnected.CONNECT_FAILED
        connected, sock = sock, None
        return connected
    except OSError as os_error:
        error = os_error.errno or 0
    finally:
        if sock is not None:
            sock.close()
    return Unconnected.NO_DESCRIPTOR if error in NO_DESCRIPTOR_ERRORS else Unconnected.CONNECT_FAILED


async def connect(address: tuple[str, int], within_s: float) -> LineConnection | Unconnected:
    """Connect to an address within a timeout; return the connection, or the reason why there is none."""
    sock = await dial(address, within_s)
    if isinstance(sock, Unconnected):
        return sock
    return await LineConnection.of_socket(sock) or Unconnected.CONNECT_FAILED


async def send_all(sock: socket.socket, data: bytes) -> bool:
    """Send data on a non-blocking socket; return whether the operating system accepted all of it.

    A transport would buffer the data that the operating system does not accept at once. If the connection
    broke then, it would be unknown how much was sent, and an attempt may be repeated only if its line can't
    have arrived complete.
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
        OSError: the host name could not be resolved.

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
    """Connect a new socket; return the operating system's error number, or 0 if it is connected."""
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
