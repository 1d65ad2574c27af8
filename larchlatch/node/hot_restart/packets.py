"""What two processes of one node say at an upgrade, over a Unix socket: packets with descriptors."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import orjson

from larchlatch.config.endpoints import EndpointList, endpoint_list_to_json, parse_endpoint_list
from larchlatch.config.reading import NUMBER, required
from larchlatch.errors import ProtocolError
from larchlatch.node.wire.stream import GONE

if TYPE_CHECKING:
    from anyio.abc import UNIXSocketStream

MAGIC = b"LL"
VERSION = 1  # of these packets: another one is not understood, and each process goes on alone
HEAD = struct.Struct("!2sBBI")  # magic, version, descriptors, bytes of the body
MOST = 16 * 1024 * 1024  # bytes of one body: a list of thousands of hosts
MOST_FDS = 2


class Hello(NamedTuple):
    """The new process: which node it is."""

    name: str
    listen: str


class Welcome(NamedTuple):
    """The old one: what it knows, and beside it the descriptor on which it listens."""

    members: EndpointList


class Serving(NamedTuple):
    """The new one can serve: from now on it takes what is new."""


class Ceded(NamedTuple):
    """The old one takes nothing new any more."""

    learned: dict[str, Any]
    idents: list[str]  # ids of links that it has in hand
    holds: int  # descriptors that it holds or may come to hold
    drained_s: float | None  # for how long a drain has been on
    clock_us: int  # what its clock read at the start of the machine's own


class Standing(NamedTuple):
    """A standing link, with its client's and its host's connection."""

    line: bytes  # the client's first one
    upstream: str
    load: float
    asked_at: int  # when a line was sent that has had no answer yet; 0: none waits
    last: int  # what the end of its host's side would mean
    client_early: bytes  # read of either side, and not passed on
    upstream_early: bytes


Packet = Hello | Welcome | Serving | Ceded | Standing


class Form(NamedTuple):
    """How a packet is written: its kind, and the key of each field in the fields' order.

    Processes of different versions read each other's packets, so none of these names may change.
    """

    kind: str
    keys: tuple[str, ...] = ()


FORMS: dict[type[Packet], Form] = {
    Hello: Form("Hello", ("name", "listen")),
    Welcome: Form("Welcome", ("members",)),
    Serving: Form("Serving"),
    Ceded: Form("Ceded", ("learned", "idents", "holds", "drained_s", "clock_us")),
    Standing: Form("Standing", ("line", "host", "load", "asked_at", "last", "client_early", "host_early")),
}


def encoded(packet: Packet, fds: int) -> bytes:
    form = FORMS[type(packet)]
    body: dict[str, Any] = {"kind": form.kind}
    for name, value in zip(form.keys, packet, strict=True):
        if isinstance(value, bytes):
            body[name] = value.decode("latin-1")
        else:
            body[name] = endpoint_list_to_json(value) if isinstance(value, EndpointList) else value
    text = orjson.dumps(body)
    return HEAD.pack(MAGIC, VERSION, fds, len(text)) + text


def decoded(text: bytes) -> Packet:
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ProtocolError("packet", f"no JSON ({error})") from None
    top = "packet"
    if not isinstance(raw, dict):
        raise ProtocolError(top, "not an object")
    match required(raw, "kind", str, top, error=ProtocolError):
        case "Hello":
            return Hello(
                required(raw, "name", str, top, error=ProtocolError),
                required(raw, "listen", str, top, error=ProtocolError),
            )
        case "Welcome":
            return Welcome(
                parse_endpoint_list(
                    required(raw, "members", dict, top, error=ProtocolError), f"{top}.members"
                )
            )
        case "Serving":
            return Serving()
        case "Ceded":
            drained = raw.get("drained_s")
            return Ceded(
                required(raw, "learned", dict, top, error=ProtocolError),
                [str(ident) for ident in required(raw, "idents", list, top, error=ProtocolError)],
                required(raw, "holds", int, top, error=ProtocolError),
                float(drained) if isinstance(drained, NUMBER) else None,
                required(raw, "clock_us", int, top, error=ProtocolError),
            )
        case "Standing":
            return Standing(
                bytes_of(raw, "line"),
                required(raw, "host", str, top, error=ProtocolError),
                float(required(raw, "load", NUMBER, top, error=ProtocolError)),
                required(raw, "asked_at", int, top, error=ProtocolError),
                required(raw, "last", int, top, error=ProtocolError),
                bytes_of(raw, "client_early"),
                bytes_of(raw, "host_early"),
            )
        case kind:
            raise ProtocolError(top, f"unknown kind {kind[:40]!r}")


def bytes_of(raw: dict[str, Any], item: str) -> bytes:
    try:
        return bytes(required(raw, item, str, "packet", error=ProtocolError).encode("latin-1"))
    except UnicodeEncodeError:
        raise ProtocolError("packet", f"{item} holds no bytes") from None


class Channel:
    """One side of the conversation; that it has broken off is an answer, not an exception."""

    def __init__(self, stream: UNIXSocketStream) -> None:
        self.stream = stream
        self.sending = anyio.Lock()

    async def send(self, packet: Packet, fds: list[int] | None = None) -> bool:
        """Whether it was written; the descriptors stay open here."""
        data = encoded(packet, len(fds or ()))
        # Whole or not at all: half a packet would make all that follow unreadable.
        async with self.sending:
            with anyio.CancelScope(shield=True):
                try:
                    if fds:
                        await self.stream.send_fds(data[: HEAD.size], fds)
                        await self.stream.send(data[HEAD.size :])
                    else:
                        await self.stream.send(data)
                except GONE:
                    return False
        return True

    async def receive(self) -> tuple[Packet, list[socket.socket]] | None:
        """The next packet and the sockets beside it; None when the other side has ended or broken off."""
        fds: list[int] = []
        try:
            head = b""
            while len(head) < HEAD.size:
                some, came = await self.stream.receive_fds(HEAD.size - len(head), MOST_FDS)
                head += some
                fds += came
            magic, version, count, length = HEAD.unpack(head)
            if magic != MAGIC or version != VERSION or length > MOST:
                raise ProtocolError("packet", f"not of version {VERSION}")
            text = bytearray()
            while len(text) < length:
                text += await self.stream.receive(min(65536, length - len(text)))
            packet = decoded(bytes(text))
            if count != len(fds):
                raise ProtocolError("packet", f"{len(fds)} descriptors, not {count}")
        except (anyio.EndOfStream, *GONE):
            for fd in fds:
                socket.close(fd)
            return None
        except BaseException:
            for fd in fds:
                socket.close(fd)
            raise
        return packet, [socket.socket(fileno=fd) for fd in fds]

    async def close(self) -> None:
        await self.stream.aclose()
