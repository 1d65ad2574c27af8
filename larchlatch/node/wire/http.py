"""Reads HTTP/1.1 events from a socket stream, for the discovery client and the admin API."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import h11

if TYPE_CHECKING:
    from anyio.abc import SocketStream

# What h11 returns as the next event: an event, or one of its two markers that none is available.
HttpEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


async def next_event(http: h11.Connection, stream: SocketStream, max_bytes: int) -> HttpEvent:
    """Return the next h11 event; data is read from the stream until one is available.

    Args:
        http: the h11 state of the connection.
        stream: the socket stream of the connection.
        max_bytes: the most bytes per read.

    Raises:
        h11.RemoteProtocolError: the other side has violated HTTP/1.1.
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
