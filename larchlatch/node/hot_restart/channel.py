"""Sends and receives packets, with file descriptors, between two processes of one node over a Unix socket."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, NamedTuple

import anyio

from larchlatch.errors import ProtocolError
from larchlatch.node.hot_restart.packets import Packet, decode_packet, encode_packet
from larchlatch.node.wire.stream import CONNECTION_ENDED_ERRORS

if TYPE_CHECKING:
    from anyio.abc import UNIXSocketStream

MAGIC = b"LL"
VERSION = 1  # of the packet format; processes with different versions hand nothing over
HEADER = struct.Struct("!2sBBI")  # magic, version, number of descriptors, length of the body
MAX_BODY_BYTES = 16 * 1024 * 1024  # enough for an endpoint list with thousands of upstreams
MAX_DESCRIPTORS = 2  # per packet; a session has one connection to its client and one to its upstream
CHUNK_BYTES = 65536  # most bytes of a body that one call reads


class Received(NamedTuple):
    """A received packet, and the sockets that were sent with it, which the receiver has to close."""

    packet: Packet
    sockets: list[socket.socket]

    def close_sockets(self) -> None:
        """Close the sockets of a packet that is not used."""
        for sock in self.sockets:
            sock.close()


class Header(NamedTuple):
    """The header that precedes the body of each packet.

    Attributes:
        descriptor_count: how many file descriptors are sent with the packet.
        body_length: length of the body in bytes.

    """

    descriptor_count: int
    body_length: int


def frame(packet: Packet, descriptor_count: int) -> bytes:
    """Return a packet as bytes: its header and its body."""
    body = encode_packet(packet)
    return HEADER.pack(MAGIC, VERSION, descriptor_count, len(body)) + body


def parse_header(data: bytes) -> Header:
    """Parse the header of a packet.

    Raises:
        ProtocolError: the header has wrong magic bytes or another version, or the body is over the limit.

    """
    magic, version, descriptor_count, body_length = HEADER.unpack(data)
    if magic != MAGIC or version != VERSION or body_length > MAX_BODY_BYTES:
        raise ProtocolError(
            "packet", f"header is not of version {VERSION}, or body is over {MAX_BODY_BYTES} bytes"
        )
    return Header(descriptor_count, body_length)


class Channel:
    """One end of the connection between predecessor and successor.

    Methods report by their return value that the other process has closed the connection; they don't raise.

    Attributes:
        stream: the connected Unix socket.

    """

    def __init__(self, stream: UNIXSocketStream) -> None:
        self.stream = stream
        self._send_lock = anyio.Lock()

    async def send(self, packet: Packet, descriptors: list[int] | None = None) -> bool:
        """Send a packet with copies of file descriptors, which stay open in this process.

        Returns:
            Whether the packet was written; False if the connection is closed.

        """
        data = frame(packet, len(descriptors or ()))
        # Shielded from cancellation: after an incomplete packet, the receiver could not parse any later one.
        async with self._send_lock:
            with anyio.CancelScope(shield=True):
                try:
                    if descriptors:
                        await self.stream.send_fds(data[: HEADER.size], descriptors)
                        await self.stream.send(data[HEADER.size :])
                    else:
                        await self.stream.send(data)
                except CONNECTION_ENDED_ERRORS:
                    return False
        return True

    async def receive(self) -> Received | None:
        """Return the next packet; None if the other process has closed the connection.

        Raises:
            ProtocolError: the received bytes are not a valid packet of this version.

        """
        descriptors: list[int] = []
        try:
            packet = await self._receive_packet(descriptors)
        except (anyio.EndOfStream, *CONNECTION_ENDED_ERRORS):
            _close_all(descriptors)
            return None
        except BaseException:  # also a cancellation: nothing else would close the received descriptors
            _close_all(descriptors)
            raise
        return Received(packet, _sockets_of(descriptors))

    async def close(self) -> None:
        """Close the connection to the other process."""
        await self.stream.aclose()

    async def _receive_packet(self, descriptors: list[int]) -> Packet:
        """Read one packet.

        Descriptors are appended to the list as soon as they are received, so that the caller can close them
        if a later step fails.
        """
        header = parse_header(await self._receive_header(descriptors))
        packet = decode_packet(await self._receive_body(header.body_length))
        if header.descriptor_count != len(descriptors):
            raise ProtocolError(
                "packet", f"{len(descriptors)} descriptors received instead of {header.descriptor_count}"
            )
        return packet

    async def _receive_header(self, descriptors: list[int]) -> bytes:
        data = b""
        while len(data) < HEADER.size:
            chunk, received = await self.stream.receive_fds(HEADER.size - len(data), MAX_DESCRIPTORS)
            data += chunk
            descriptors += received
        return data

    async def _receive_body(self, length: int) -> bytes:
        body = bytearray()
        while len(body) < length:
            body += await self.stream.receive(min(CHUNK_BYTES, length - len(body)))
        return bytes(body)


def _sockets_of(descriptors: list[int]) -> list[socket.socket]:
    """Return the sockets of received descriptors.

    Raises:
        ProtocolError: a descriptor is not a socket; all are closed.

    """
    sockets: list[socket.socket] = []
    try:
        for descriptor in descriptors:
            sockets.append(socket.socket(fileno=descriptor))
    except OSError:
        for sock in sockets:
            sock.close()
        _close_all(descriptors[len(sockets) :])
        raise ProtocolError("packet", "a descriptor is not a socket") from None
    return sockets


def _close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        socket.close(descriptor)
