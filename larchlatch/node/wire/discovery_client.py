"""The HTTP client of discovery: fetches the complete endpoint list, or watches its changes."""

from __future__ import annotations

from collections import deque
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import anyio
import h11

from larchlatch.config.endpoints import EndpointList, decode_endpoint_list
from larchlatch.errors import LarchlatchError, ProtocolError
from larchlatch.node.wire.dialing import Unconnected, dial
from larchlatch.node.wire.http import HttpEvent, next_event
from larchlatch.node.wire.json_framing import MAX_LIST_BYTES, JsonObjectFramer
from larchlatch.node.wire.listen import stream_of

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream

READ_BYTES = 65536  # read at a time: enough for a list of usual size in a few reads
HTTP_OK = 200
UNREAD_GRACE_S = 0.02  # for the event loop to read what has arrived already


class DiscoveryRefusedError(LarchlatchError):
    """Discovery has answered a call with an HTTP status other than OK."""


class CallTimeouts(NamedTuple):
    """How long each step of a call to discovery may take.

    Attributes:
        connect_s: seconds for connecting.
        answer_s: seconds from then until the response begins.
        silence_s: seconds until the next complete object or keep-alive line, each time anew.

    """

    connect_s: float
    answer_s: float
    silence_s: float


class EndpointUpdate(NamedTuple):
    """An endpoint list or a change to one, as far as it could be read.

    Attributes:
        endpoints: the entries that could be read.
        faults: what is wrong with each of the other entries.

    """

    endpoints: EndpointList
    faults: list[str]


class ResponseBody:
    """The response to one GET, read in parts as it arrives."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)

    async def send_request(self, target: str, host: str) -> None:
        """Send a GET for this target."""
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        head = self._http.send(request) or b""
        await self._stream.send(head + (self._http.send(h11.EndOfMessage()) or b""))

    async def read_head(self, timeout_s: float) -> None:
        """Wait for the head of the response.

        Raises:
            TimeoutError: no head came in time.
            ConnectionError: the connection ended before.
            DiscoveryRefusedError: its status is not OK.

        """
        event = await self._first_event(timeout_s)
        if event is None:
            raise TimeoutError("no answer")
        if not isinstance(event, h11.Response):
            raise ConnectionError("no answer")
        if event.status_code != HTTP_OK:
            raise DiscoveryRefusedError(f"status {event.status_code}")

    async def read_some(self) -> bytes | None:
        """Return the next part of the body; None at its end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return None

    async def _first_event(self, timeout_s: float) -> HttpEvent | None:
        """Return the first event of the response; None if none came in time."""
        # A second, short wait: if this node's own event loop was late, the answer has arrived and is unread.
        for wait_s in (timeout_s, UNREAD_GRACE_S):
            with anyio.move_on_after(wait_s):
                return await self._next_event()
        return None

    async def _next_event(self) -> HttpEvent:
        return await next_event(self._http, self._stream, READ_BYTES)


@asynccontextmanager
async def open_get(
    address: tuple[str, int], target: str, timeouts: CallTimeouts
) -> AsyncIterator[ResponseBody]:
    """Send one GET and yield the body of its response; the connection is closed with the block.

    Raises:
        OSError: no connection, or no answer in time.
        DiscoveryRefusedError: the status of the response is not OK.

    """
    sock = await dial(address, timeouts.connect_s)
    if isinstance(sock, Unconnected):
        raise ConnectionError(f"no connection ({sock.value})")
    async with await stream_of(sock) as stream:
        body = ResponseBody(stream)
        await body.send_request(target, host=f"{address[0]}:{address[1]}")
        await body.read_head(timeouts.answer_s)
        yield body


async def fetch_list(address: tuple[str, int], path: str, timeouts: CallTimeouts) -> EndpointUpdate:
    """Fetch the complete endpoint list.

    Raises:
        OSError: no connection, or not complete in time (TimeoutError).
        DiscoveryRefusedError: the status of the response is not OK.
        ProtocolError: the response is no endpoint list, or too long.

    """
    text = b""
    async with open_get(address, path, timeouts) as body:
        with anyio.fail_after(timeouts.silence_s):
            while (chunk := await body.read_some()) is not None:
                text += chunk
                if len(text) > MAX_LIST_BYTES:
                    raise ProtocolError("list", "too long")
    return EndpointUpdate(*decode_endpoint_list(text))


class Watch:
    """The changes to the endpoint list, read from the body of a GET that does not end."""

    def __init__(self, body: ResponseBody, silence_s: float) -> None:
        self._body = body
        self._silence_s = silence_s
        self._framer = JsonObjectFramer()
        self._pieces: deque[bytes] = deque()

    async def next(self) -> EndpointUpdate | None:
        """Return the next change; None for a keep-alive line.

        Raises:
            TimeoutError: nothing complete came in time.
            anyio.EndOfStream: the watch has ended.
            ProtocolError: what was received is no endpoint list.

        """
        # Only a complete object or line restarts the timeout: a watch that stops in the middle of a line
        # brings no changes.
        with anyio.fail_after(self._silence_s):
            while not self._pieces:
                chunk = await self._body.read_some()
                if chunk is None:
                    raise anyio.EndOfStream
                self._pieces.extend(self._framer.feed(chunk))
        piece = self._pieces.popleft()
        return EndpointUpdate(*decode_endpoint_list(piece)) if piece else None


def watch_target(path: str, revision: int) -> str:
    """Return the request target of a watch on all changes after a revision."""
    return f"{path}?watch=1&from={revision}"
