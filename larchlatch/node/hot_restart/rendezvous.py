"""The Unix socket at which the successor connects to the predecessor for a hot restart."""

from __future__ import annotations

import os
import socket
import struct
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import structlog
from xxhash import xxh3_64_hexdigest

from larchlatch.errors import InvalidInputError
from larchlatch.node.hot_restart.packets import Hello

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.config.node import NodeConfiguration
    from larchlatch.node.hot_restart.channel import Channel, Received

ANSWER_TIMEOUT_S = 2.0  # for a packet from the other process, whose event loop may lag
MAX_PATH_BYTES = 100  # of a Unix socket's path, which the operating system limits to 107 bytes
PEER_CREDENTIALS = struct.Struct("3i")  # process id, user id, group id

log = structlog.get_logger()


class Rendezvous:
    """The rendezvous socket: a Unix socket file in a folder that only this node uses.

    Attributes:
        name: name of the socket file, derived from the node's name and listening address.

    """

    def __init__(self, folder: Path, configuration: NodeConfiguration) -> None:
        host, port = configuration.listen_address
        digest = xxh3_64_hexdigest(f"{configuration.name} {host}:{port}".encode())
        self.name = f"larchlatch-{digest}.sock"
        self._folder = folder

    @classmethod
    def for_node(cls, configuration: NodeConfiguration) -> Rendezvous | None:
        """Return the rendezvous socket of a node, in the folder $TMPDIR.

        Returns:
            None, which disables hot restart, if $TMPDIR is not set or the node has no admin API. Only the
            admin API tells operators when the successor serves.

        """
        folder = os.environ.get("TMPDIR")
        if not folder or configuration.admin_address is None:
            return None
        return cls(Path(folder), configuration)

    def listen(self) -> socket.socket | None:
        """Return a socket that listens for a successor; None if it can't be created."""
        sock = _unix_socket()
        if sock is None:
            return None
        try:
            with suppress(FileNotFoundError):
                # The file was left behind by a process that has ended, or is the predecessor's.
                (self._folder / self.name).unlink()
            self._call_with_path(sock.bind)
            sock.listen(1)
            sock.setblocking(False)
        except OSError as error:
            sock.close()
            log.warning("hot_restart_unavailable", reason=str(error))
            return None
        return sock

    def connect(self) -> socket.socket | None:
        """Return a connection to the process of this node that serves now; None if there is none."""
        sock = _unix_socket()
        if sock is None:
            return None
        try:
            self._call_with_path(sock.connect)
            sock.setblocking(False)
        except OSError:
            sock.close()
            return None
        return sock

    def _call_with_path(self, operation: Callable[[str], None]) -> None:
        """Call `operation` with the path of the socket file.

        If it is too long for a Unix socket, pass an equivalent path through /proc/self/fd instead.
        """
        path = str(self._folder / self.name)
        if len(path.encode()) <= MAX_PATH_BYTES:
            operation(path)
            return
        folder_descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            operation(f"/proc/self/fd/{folder_descriptor}/{self.name}")
        finally:
            os.close(folder_descriptor)


def is_same_user(sock: socket.socket) -> bool:
    """Return whether the process at the other end of a Unix socket runs as the same user as this process."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, user_id, _ = PEER_CREDENTIALS.unpack(credentials)
    return bool(user_id == os.getuid())


def hello_of(configuration: NodeConfiguration) -> Hello:
    """Return the packet that identifies this node to another process."""
    host, port = configuration.listen_address
    return Hello(configuration.name, f"{host}:{port}")


async def receive_within(channel: Channel, timeout_s: float | None) -> Received | None:
    """Return the next packet; None if none arrives in time, it is invalid, or the connection is closed.

    Args:
        channel: the connection to the other process.
        timeout_s: how long to wait, in seconds; None: for any time.

    """
    try:
        with anyio.move_on_after(timeout_s):
            return await channel.receive()
    except InvalidInputError as error:
        log.warning("hot_restart_packet_invalid", reason=str(error))
    return None


def _unix_socket() -> socket.socket | None:
    """Return a new Unix socket; None if the platform has none, where a node serves without hot restart."""
    try:
        return socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    except OSError as error:
        log.warning("hot_restart_unavailable", reason=str(error))
        return None
