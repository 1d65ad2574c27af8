"""A stream of packets with file descriptors between two processes of one node, over a Unix socket."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, NamedTuple

import anyio

from larchlatch.errors import ProtocolError
from larchlatch.node.hot_restart.packets import Packet, decode_packet, encode_packet
from larchlatch.node.wire.stream import GONE

if TYPE_CHECKING:
    from anyio.abc import UNIXSocketStream

MAGIC = b"LL"
VERSION = 1  # of the packets: another one is not understood, and each process goes on alone
HEADER = struct.Struct("!2sBBI")  # magic, version, number of descriptors, bytes of the body
MAX_BODY = 16 * 1024 * 1024  # bytes: an endpoint list of thousands of upstreams
MAX_DESCRIPTORS = 2  # beside one packet: a session's two connections
CHUNK = 65536  # bytes that are read at a time


class Received(NamedTuple):
    """A packet, and the sockets that came beside it: whoever receives them closes them."""

    packet: Packet
    sockets: list[socket.socket]


class Header(NamedTuple):
    """What stands before each body.

    Attributes:
        descriptor_count: descriptors that come beside the packet.
        body_length: bytes.

    """

    descriptor_count: int
    body_length: int


def frame(packet: Packet, descriptor_count: int) -> bytes:
    """Write a packet with its header."""
    body = encode_packet(packet)
    return HEADER.pack(MAGIC, VERSION, descriptor_count, len(body)) + body


def parse_header(data: bytes) -> Header:
    """Read a header.

    Raises:
        ProtocolError: it is not of this version, or names a body that is too long.

    """
    magic, version, descriptor_count, body_length = HEADER.unpack(data)
    if magic != MAGIC or version != VERSION or body_length > MAX_BODY:
        raise ProtocolError("packet", f"not of version {VERSION}")
    return Header(descriptor_count, body_length)


class Channel:
    """One side of the conversation; that the other has broken it off is an answer, not an exception."""

    def __init__(self, stream: UNIXSocketStream) -> None:
        self.stream = stream
        self._send_lock = anyio.Lock()

    async def send(self, packet: Packet, descriptors: list[int] | None = None) -> bool:
        """Return whether the packet was written; the descriptors stay open in this process."""
        data = frame(packet, len(descriptors or ()))
        # Whole or not at all: half a packet would make all that follow unreadable.
        async with self._send_lock:
            with anyio.CancelScope(shield=True):
                try:
                    if descriptors:
                        await self.stream.send_fds(data[: HEADER.size], descriptors)
                        await self.stream.send(data[HEADER.size :])
                    else:
                        await self.stream.send(data)
                except GONE:
                    return False
        return True

    async def receive(self) -> Received | None:
        """Return the next packet; None when the other side has ended or broken off.

        Raises:
            ProtocolError: what came is no packet of this version.

        """
        descriptors: list[int] = []
        try:
            packet = await self._receive_packet(descriptors)
        except (anyio.EndOfStream, *GONE):
            _close_all(descriptors)
            return None
        except BaseException:
            _close_all(descriptors)
            raise
        return Received(packet, [socket.socket(fileno=descriptor) for descriptor in descriptors])

    async def close(self) -> None:
        """End the conversation."""
        await self.stream.aclose()

    async def _receive_packet(self, descriptors: list[int]) -> Packet:
        """Read one packet; descriptors that come are added to the list at once, so that none is lost."""
        header = parse_header(await self._receive_header(descriptors))
        packet = decode_packet(await self._receive_body(header.body_length))
        if header.descriptor_count != len(descriptors):
            raise ProtocolError("packet", f"{len(descriptors)} descriptors, not {header.descriptor_count}")
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
            body += await self.stream.receive(min(CHUNK, length - len(body)))
        return bytes(body)


def _close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        socket.close(descriptor)
