"""The HTTP client of discovery: the whole endpoint list, or a watch on its changes."""

from __future__ import annotations

import re
from collections import deque
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import h11

from larchlatch.config.endpoints import EndpointList, decode_endpoint_list
from larchlatch.errors import ProtocolError
from larchlatch.node.wire.listen import stream_of
from larchlatch.node.wire.stream import Unconnected, dial

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream

CHUNK = 65536  # bytes read at a time
MOST = 8 * 1024 * 1024  # bytes of one list: thousands of hosts
UNREAD_S = 0.02  # for what has come already to be read: a turn of the loop
STRINGS = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')


class Framing:
    """Cuts the bytes of a watch into its objects, on one line each or indented over many."""

    def __init__(self) -> None:
        self.tail = b""  # of a line that is still open
        self.lines: list[bytes] = []  # of an object that is still open
        self.size = 0  # bytes of these
        self.depth = 0  # brackets that are open

    def feed(self, chunk: bytes) -> list[bytes]:
        """What has become whole: objects, and nothing (empty) for each empty line between them."""
        *lines, self.tail = (self.tail + chunk).split(b"\n")
        pieces = [piece for line in lines if (piece := self.line(line)) is not None]
        if self.size + len(self.tail) > MOST:
            raise ProtocolError("list", "too long")
        return pieces

    def line(self, line: bytes) -> bytes | None:
        bare = line.strip()
        if not bare and not self.lines:
            return b""
        # An empty line is sent between objects alone, and a line that begins one right within another can't
        # be its own: the one before has been cut short, and would swallow all that follows.
        if self.lines and (not bare or (self.depth <= 1 and bare.startswith(b"{"))):
            raise ProtocolError("list", "broken off within an object")
        rest = STRINGS.sub(b"", bare)
        if b'"' in rest:
            raise ProtocolError("list", "a string without an end")
        self.depth += rest.count(b"{") + rest.count(b"[") - rest.count(b"}") - rest.count(b"]")
        self.lines.append(line)
        self.size += len(line)
        if self.depth > 0:
            return None
        piece = b"\n".join(self.lines)
        self.lines, self.size, self.depth = [], 0, 0
        return piece


class Refused(Exception):
    """Discovery has answered, and said no."""


class Limits(NamedTuple):
    """How long discovery may take, in seconds."""

    connect_s: float  # for a connection
    answer_s: float  # from then on for an answer to begin
    silence_s: float  # for the next whole word of it


class Body:
    """The answer to one GET, piece by piece as it comes."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)

    async def event(self) -> Any:
        while (event := self.http.next_event()) is h11.NEED_DATA:
            try:
                self.http.receive_data(await self.stream.receive(CHUNK))
            except anyio.EndOfStream:
                self.http.receive_data(b"")
        return event

    async def begun(self, within_s: float) -> None:
        """Its head has come, and says yes; TimeoutError where none comes in time."""
        event: Any = None
        # Looked at once more when the time is up: where this node's own loop was late, it lies here unread.
        for wait_s in (within_s, UNREAD_S):
            with anyio.move_on_after(wait_s):
                event = await self.event()
                break
        if event is None:
            raise TimeoutError("no answer")
        if not isinstance(event, h11.Response):
            raise OSError("no answer")
        if event.status_code != 200:
            raise Refused(f"status {event.status_code}")

    async def more(self) -> bytes | None:
        """The next bytes; None at the answer's end."""
        while True:
            event = await self.event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return None


@asynccontextmanager
async def get(address: tuple[str, int], target: str, limits: Limits) -> AsyncIterator[Body]:
    """One GET that is being answered, its connection ended with the block.

    OSError where it is not answered in time, Refused where the answer is no.
    """
    sock = await dial(address, limits.connect_s)
    if isinstance(sock, Unconnected):
        raise OSError(f"no connection ({sock.value})")
    async with await stream_of(sock) as stream:
        body = Body(stream)
        request = h11.Request(method="GET", target=target, headers=[("Host", f"{address[0]}:{address[1]}")])
        await stream.send((body.http.send(request) or b"") + (body.http.send(h11.EndOfMessage()) or b""))
        await body.begun(limits.answer_s)
        yield body


async def fetch(address: tuple[str, int], path: str, limits: Limits) -> tuple[EndpointList, list[str]]:
    """The whole list; TimeoutError where it has not come in time."""
    text = b""
    async with get(address, path, limits) as body:
        with anyio.fail_after(limits.silence_s):
            while (chunk := await body.more()) is not None:
                text += chunk
                if len(text) > MOST:
                    raise ProtocolError("list", "too long")
    return decode_endpoint_list(text)


class Watch:
    """What changes, as it is told; its body is a GET's that does not end."""

    def __init__(self, body: Body, silence_s: float) -> None:
        self.body = body
        self.silence_s = silence_s
        self.framing = Framing()
        self.pieces: deque[bytes] = deque()

    async def next(self) -> tuple[EndpointList, list[str]] | None:
        """The next change; None for a word that only says that it goes on.

        TimeoutError where nothing whole has come in time, EndOfStream where it ends.
        """
        # Danger: bytes alone are no word. One that trickles, or stops in the middle of a line, tells nothing.
        with anyio.fail_after(self.silence_s):
            while not self.pieces:
                chunk = await self.body.more()
                if chunk is None:
                    raise anyio.EndOfStream
                self.pieces.extend(self.framing.feed(chunk))
        piece = self.pieces.popleft()
        return decode_endpoint_list(piece) if piece else None


def watch_target(path: str, revision: int) -> str:
    return f"{path}?watch=1&from={revision}"
