"""The Unix socket at which two processes of one node find each other for a hot restart."""

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

ANSWER_S = 2.0  # for an answer of the other process, whose event loop may lag; then each goes on alone
LONGEST_PATH = 100  # bytes of a Unix socket's path, which the system limits to 107
PEER_CREDENTIALS = struct.Struct("3i")  # process id, user id, group id

log = structlog.get_logger()


class Rendezvous:
    """The socket's place: a file, named after the node, in a folder that belongs to this node alone."""

    def __init__(self, folder: Path, configuration: NodeConfiguration) -> None:
        host, port = configuration.listen_address
        digest = xxh3_64_hexdigest(f"{configuration.name} {host}:{port}".encode())
        self.name = f"larchlatch-{digest}.sock"
        self._folder = folder

    @classmethod
    def for_node(cls, configuration: NodeConfiguration) -> Rendezvous | None:
        """Return the place in $TMPDIR.

        Returns:
            None without $TMPDIR, or without an admin API, which is to say that the successor serves.

        """
        folder = os.environ.get("TMPDIR")
        if not folder or configuration.admin_address is None:
            return None
        return cls(Path(folder), configuration)

    def listen(self) -> socket.socket | None:
        """Return a socket at which the successor finds this process; None where there can be none."""
        sock = _unix_socket()
        if sock is None:
            return None
        try:
            with suppress(FileNotFoundError):
                # It is of a process that is gone, or that this one follows.
                (self._folder / self.name).unlink()
            self._with_path(sock.bind)
            sock.listen(1)
            sock.setblocking(False)
        except OSError as error:
            sock.close()
            log.warning("hot_restart_unavailable", reason=str(error))
            return None
        return sock

    def connect(self) -> socket.socket | None:
        """Return a connection to the process that serves now; None where there is none."""
        sock = _unix_socket()
        if sock is None:
            return None
        try:
            self._with_path(sock.connect)
            sock.setblocking(False)
        except OSError:
            sock.close()
            return None
        return sock

    def _with_path(self, use: Callable[[str], None]) -> None:
        """Call `use` with a path to the socket that is short enough, however long the folder's own is."""
        path = str(self._folder / self.name)
        if len(path.encode()) <= LONGEST_PATH:
            use(path)
            return
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            use(f"/proc/self/fd/{folder}/{self.name}")
        finally:
            os.close(folder)


def is_same_user(sock: socket.socket) -> bool:
    """Return whether the process at the other end of a Unix socket runs as this one's user."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, user_id, _ = PEER_CREDENTIALS.unpack(credentials)
    return bool(user_id == os.getuid())


def hello_of(configuration: NodeConfiguration) -> Hello:
    """Return what processes of this node know each other by."""
    host, port = configuration.listen_address
    return Hello(configuration.name, f"{host}:{port}")


async def receive_within(channel: Channel, timeout_s: float) -> Received | None:
    """Return the other process's next packet; None where none comes in time that can be understood."""
    try:
        with anyio.move_on_after(timeout_s):
            return await channel.receive()
    except InvalidInputError as error:
        log.warning("hot_restart_packet_invalid", reason=str(error))
    return None


def _unix_socket() -> socket.socket | None:
    """Return None where the platform has no Unix sockets: a node must start and serve there all the same."""
    try:
        return socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    except OSError as error:
        log.warning("hot_restart_unavailable", reason=str(error))
        return None
