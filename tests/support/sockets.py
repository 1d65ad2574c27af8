"""Pairs of connected sockets, and connections that the other side resets."""

from __future__ import annotations

import socket
import struct

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, for zero seconds


def reset(sock: socket.socket) -> None:
    """Close a connection by a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    sock.close()


def connect_and_reset(address: tuple[str, int], data: bytes = b"") -> None:
    """Connect, send the data, and reset the connection.

    The call blocks the event loop, so a node in the same process accepts the connection only after its reset.
    """
    sock = socket.create_connection(address)
    sock.sendall(data)
    reset(sock)


def connect_sockets() -> tuple[socket.socket, socket.socket]:
    """Return the two ends of a new TCP connection; the first is non-blocking."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        ours = socket.create_connection(server.getsockname())
        theirs, _ = server.accept()
    ours.setblocking(False)
    return ours, theirs


def reset_connection() -> socket.socket:
    """Return a non-blocking socket whose connection was reset by the other side."""
    ours, theirs = connect_sockets()
    reset(theirs)
    return ours
