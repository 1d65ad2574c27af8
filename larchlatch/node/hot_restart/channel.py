"""A stream of packets with file descriptors between two processes of one node, over a Unix socket."""

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
VERSION = 1  # of the packets; with a process of another version there is no hand-over
HEADER = struct.Struct("!2sBBI")  # magic, version, number of descriptors, bytes of the body
MAX_BODY = 16 * 1024 * 1024  # bytes, enough for an endpoint list of thousands of upstreams
MAX_DESCRIPTORS = 2  # with one packet: the two connections of a session
CHUNK_BYTES = 65536  # read at a time


class Received(NamedTuple):
    """A packet, and the sockets that came with it, which the receiver has to close."""

    packet: Packet
    sockets: list[socket.socket]


class Header(NamedTuple):
    """What precedes the body of each packet.

    Attributes:
        descriptor_count: how many descriptors come with the packet.
        body_length: length of the body in bytes.

    """

    descriptor_count: int
    body_length: int


def frame(packet: Packet, descriptor_count: int) -> bytes:
    """Return the bytes of a packet with its header."""
    body = encode_packet(packet)
    return HEADER.pack(MAGIC, VERSION, descriptor_count, len(body)) + body


def parse_header(data: bytes) -> Header:
    """Return the header in these bytes.

    Raises:
        ProtocolError: the header is not of this version, or gives a body length over the limit.

    """
    magic, version, descriptor_count, body_length = HEADER.unpack(data)
    if magic != MAGIC or version != VERSION or body_length > MAX_BODY:
        raise ProtocolError("packet", f"not of version {VERSION}")
    return Header(descriptor_count, body_length)


class Channel:
    """One side of the conversation. Its end by the other side is a return value, never an exception."""

    def __init__(self, stream: UNIXSocketStream) -> None:
        self.stream = stream
        self._send_lock = anyio.Lock()

    async def send(self, packet: Packet, descriptors: list[int] | None = None) -> bool:
        """Send a packet; return whether it was written. The descriptors stay open in this process."""
        data = frame(packet, len(descriptors or ()))
        # Not cancelled half-way: after part of a packet all that follows would be unreadable.
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
        """Return the next packet; None if the other side has ended the conversation.

        Raises:
            ProtocolError: the bytes received are no packet of this version.

        """
        descriptors: list[int] = []
        try:
            packet = await self._receive_packet(descriptors)
        except (anyio.EndOfStream, *CONNECTION_ENDED_ERRORS):
            _close_all(descriptors)
            return None
        except BaseException:  # also when cancelled: the descriptors received so far have no other owner
            _close_all(descriptors)
            raise
        return Received(packet, [socket.socket(fileno=descriptor) for descriptor in descriptors])

    async def close(self) -> None:
        """Close this side, which ends the conversation."""
        await self.stream.aclose()

    async def _receive_packet(self, descriptors: list[int]) -> Packet:
        """Read one packet. Descriptors are added to the list as they come, so that each can be closed."""
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
            body += await self.stream.receive(min(CHUNK_BYTES, length - len(body)))
        return bytes(body)


def _close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        socket.close(descriptor)
