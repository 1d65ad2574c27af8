"""Listens for TCP connections, on an address that another process may share, and accepts them."""

from __future__ import annotations

import errno
import socket

import anyio
from anyio.abc import SocketStream

from larchlatch.errors import LarchlatchError

# Errors of `accept` that concern the listening socket itself. All others concern one connection, or pass:
# Linux reports network errors of the new connection there, and a lack of descriptors or memory (accept(2)).
LISTENING_SOCKET_ERRORS = (errno.EBADF, errno.EFAULT, errno.EINVAL, errno.ENOTSOCK)
RESOURCE_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)  # they leave the connection queued


class AcceptError(LarchlatchError):
    """A connection could not be accepted now; a later call may succeed.

    Attributes:
        errno: the operating system's error number.

    """

    def __init__(self, error_number: int) -> None:
        """Keep the operating system's error number."""
        super().__init__(error_number)
        self.errno = error_number


class Listener:
    """Accepts connections from a listening socket.

    Attributes:
        sock: the listening socket, non-blocking; the owner of the listener closes it.

    """

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock = sock

    @classmethod
    def bind(cls, address: tuple[str, int], backlog: int, *, shared: bool = False) -> Listener:
        """Listen at an address.

        Args:
            address: host and port; port 0 for any free port.
            backlog: how many connections the operating system queues until they are accepted.
            shared: whether another process of the same user may listen there as well (SO_REUSEPORT).

        Raises:
            OSError: the address is not available.

        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
            sock.listen(backlog)
        except OSError:
            sock.close()
            raise
        return cls(sock)

    @property
    def address(self) -> tuple[str, int]:
        """The host and port that the socket is bound to."""
        host, port = self.sock.getsockname()[:2]
        return str(host), int(port)

    def accept_nowait(self) -> socket.socket | None:
        """Accept a connection that is queued; return None if there is none or none can be accepted."""
        while True:
            try:
                connection, _ = self.sock.accept()
            except BlockingIOError:
                return None
            except OSError as error:
                if error.errno in (*LISTENING_SOCKET_ERRORS, *RESOURCE_ERRORS):
                    return None
            else:
                connection.setblocking(False)
                return connection

    async def accept(self) -> socket.socket:
        """Wait for the next connection and accept it.

        Raises:
            AcceptError: the connection could not be accepted now.
            OSError: the listening socket can no longer be used.

        """
        # Only the wait can be cancelled: a cancellation between accept and return would drop an accepted
        # connection without an answer.
        while True:
            try:
                connection, _ = self.sock.accept()
            except BlockingIOError:  # none is queued, or another process accepted it first
                await anyio.wait_readable(self.sock)
            except OSError as error:
                if error.errno is None or error.errno in LISTENING_SOCKET_ERRORS:
                    raise
                raise AcceptError(error.errno) from None
            else:
                connection.setblocking(False)
                return connection


async def stream_of(sock: socket.socket) -> SocketStream | None:
    """Wrap a connected socket in a stream that sends small writes at once (TCP_NODELAY).

    The other side may have reset the connection at any time since it was established.

    Returns:
        The stream, which owns the socket. None if the connection has already ended; the socket is closed
        then, as it is if the call is cancelled.

    """
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return await SocketStream.from_socket(sock)
    except (OSError, ValueError):  # anyio raises ValueError for a socket without a peer
        sock.close()
        return None
    except BaseException:  # also a cancellation: nothing else owns the socket yet
        sock.close()
        raise
