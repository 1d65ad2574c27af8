"""Reads the events of an HTTP/1.1 connection from its stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import h11

if TYPE_CHECKING:
    from anyio.abc import SocketStream

# What h11 returns: an event, or one of its two markers for a connection that has none.
HttpEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


async def next_event(http: h11.Connection, stream: SocketStream, max_bytes: int) -> HttpEvent:
    """Return the next h11 event, after reading from the stream what it needs.

    Args:
        http: the state of the HTTP connection.
        stream: the stream below it.
        max_bytes: how many bytes are read at a time.

    Raises:
        h11.RemoteProtocolError: the other side violates HTTP/1.1.
        anyio.BrokenResourceError, anyio.ClosedResourceError: the connection is broken.

    """
    while True:
        event = http.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            http.receive_data(await stream.receive(max_bytes))
        except anyio.EndOfStream:
            http.receive_data(b"")
