"""A listening socket that can be shared with another process, and what comes in on it."""

from __future__ import annotations

import errno
import socket

import anyio
from anyio.abc import SocketStream

# Errors of accepting that pass: no descriptor or memory now, or a client that has left already.
PASSING = (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)


class NoAccept(Exception):
    """Nothing could be accepted now; later perhaps."""


class Listener:
    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock = sock

    @classmethod
    def bound(cls, address: tuple[str, int], backlog: int, shared: bool = False) -> Listener:
        """Listens at the address; shared: beside another process of the same user."""
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
        host, port = self.sock.getsockname()[:2]
        return str(host), int(port)

    def accept_now(self) -> socket.socket | None:
        """A connection that is there already; None where there is none, or none can be had."""
        try:
            made, _ = self.sock.accept()
        except OSError:
            return None
        made.setblocking(False)
        return made

    async def accept(self) -> socket.socket:
        """The next connection."""
        # Cancelled only while it waits: accepted and then dropped, a client would be turned back unheard.
        while True:
            try:
                made, _ = self.sock.accept()
            except BlockingIOError:  # nobody there, or the other process that shares the queue was faster
                await anyio.wait_readable(self.sock)
            except OSError as error:
                if error.errno not in PASSING:
                    raise
                raise NoAccept(error.errno) from None
            else:
                made.setblocking(False)
                return made


async def stream_of(sock: socket.socket) -> SocketStream:
    """A connected socket as a stream."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return await SocketStream.from_socket(sock)
