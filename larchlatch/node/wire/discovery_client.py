"""The HTTP client of discovery: fetches the complete endpoint list, or watches it for changes."""

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

READ_BYTES = 65536  # per read: a list of usual size takes a few reads
HTTP_OK = 200
UNREAD_GRACE_S = 0.02  # time for a late event loop to read data that has already arrived


class DiscoveryRefusedError(LarchlatchError):
    """Discovery answered a call with an HTTP status other than 200."""


class CallTimeouts(NamedTuple):
    """How long each step of a call to discovery may take.

    Attributes:
        connect_s: seconds to establish the connection.
        answer_s: seconds from then until the head of the response is complete.
        silence_s: seconds to read a complete list, or to wait for each object or keep-alive line of a watch.

    """

    connect_s: float
    answer_s: float
    silence_s: float


class EndpointUpdate(NamedTuple):
    """An endpoint list or a change to one; invalid entries are left out of it.

    Attributes:
        endpoints: the list or the change, with its valid entries.
        faults: what is wrong with each invalid entry.

    """

    endpoints: EndpointList
    faults: list[str]


class HttpGet:
    """One GET request and its response, whose body is read in parts as it arrives."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)

    async def send_request(self, target: str, host: str) -> None:
        """Send the GET request for a target, with a Host header."""
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        head = self._http.send(request) or b""
        await self._stream.send(head + (self._http.send(h11.EndOfMessage()) or b""))

    async def read_head(self, timeout_s: float) -> None:
        """Wait for the head of the response.

        Raises:
            TimeoutError: the head was not complete in time.
            ConnectionError: the connection ended before the head of a final response.
            DiscoveryRefusedError: the status of the response is not 200.

        """
        event = await self._first_event(timeout_s)
        if event is None:
            raise TimeoutError(f"no response within {timeout_s:g} s")
        if not isinstance(event, h11.Response):
            raise ConnectionError("no final HTTP response")
        if event.status_code != HTTP_OK:
            raise DiscoveryRefusedError(f"HTTP status {event.status_code}")

    async def read_some(self) -> bytes | None:
        """Return the next part of the body, or None at its end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return None

    async def _first_event(self, timeout_s: float) -> HttpEvent | None:
        """Return the first event of the response, or None if there was none in time."""
        # The second, short wait is for the case that this node's event loop was late: the response may have
        # arrived in time without having been read.
        for wait_s in (timeout_s, UNREAD_GRACE_S):
            with anyio.move_on_after(wait_s):
                return await self._next_event()
        return None

    async def _next_event(self) -> HttpEvent:
        return await next_event(self._http, self._stream, READ_BYTES)


@asynccontextmanager
async def open_get(address: tuple[str, int], target: str, timeouts: CallTimeouts) -> AsyncIterator[HttpGet]:
    """Send one GET request and yield its response; the connection is closed when the block is left.

    Raises:
        OSError: no connection could be established, or no response came in time.
        DiscoveryRefusedError: the status of the response is not 200.

    """
    sock = await dial(address, timeouts.connect_s)
    if isinstance(sock, Unconnected):
        raise ConnectionError(f"no connection to {address[0]}:{address[1]} ({sock.value})")
    stream = await stream_of(sock)
    if stream is None:
        raise ConnectionError(f"{address[0]}:{address[1]} has reset the connection")
    async with stream:
        response = HttpGet(stream)
        await response.send_request(target, host=f"{address[0]}:{address[1]}")
        await response.read_head(timeouts.answer_s)
        yield response


async def fetch_list(address: tuple[str, int], path: str, timeouts: CallTimeouts) -> EndpointUpdate:
    """Fetch the complete endpoint list.

    Raises:
        OSError: no connection could be established, or the response was not complete in time (TimeoutError).
        DiscoveryRefusedError: the status of the response is not 200.
        ProtocolError: the response is not an endpoint list, or longer than `MAX_LIST_BYTES`.

    """
    text = b""
    async with open_get(address, path, timeouts) as response:
        with anyio.fail_after(timeouts.silence_s):
            while (chunk := await response.read_some()) is not None:
                text += chunk
                if len(text) > MAX_LIST_BYTES:
                    raise ProtocolError("list", f"longer than {MAX_LIST_BYTES} bytes")
    return EndpointUpdate(*decode_endpoint_list(text))


class Watch:
    """Reads the changes to the endpoint list from a response that does not end."""

    def __init__(self, response: HttpGet, silence_s: float) -> None:
        self._response = response
        self._silence_s = silence_s
        self._framer = JsonObjectFramer()
        self._pieces: deque[bytes] = deque()

    async def next(self) -> EndpointUpdate | None:
        """Return the next change, or None for a keep-alive line.

        Raises:
            TimeoutError: no object or keep-alive line was complete in time.
            anyio.EndOfStream: discovery has ended the response.
            ProtocolError: the received data is not a change to an endpoint list.

        """
        # Only a complete object or keep-alive line restarts the timeout: a watch that completes none brings
        # no changes, even if single bytes still arrive.
        with anyio.fail_after(self._silence_s):
            while not self._pieces:
                chunk = await self._response.read_some()
                if chunk is None:
                    raise anyio.EndOfStream
                self._pieces.extend(self._framer.feed(chunk))
        piece = self._pieces.popleft()
        return EndpointUpdate(*decode_endpoint_list(piece)) if piece else None


def watch_target(path: str, revision: int) -> str:
    """Return the request target of a watch for all changes after a revision."""
    return f"{path}?watch=1&from={revision}"
