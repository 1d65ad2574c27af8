"""Reads the events of an HTTP/1.1 connection from its stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import h11

if TYPE_CHECKING:
    from anyio.abc import SocketStream


async def next_event(http: h11.Connection, stream: SocketStream, max_bytes: int) -> Any:
    """Return the next h11 event, reading at most so many bytes at a time.

    Raises:
        h11.RemoteProtocolError: the other side does not keep to HTTP/1.1.
        anyio.BrokenResourceError, anyio.ClosedResourceError: the connection is broken.

    """
    while (event := http.next_event()) is h11.NEED_DATA:
        try:
            http.receive_data(await stream.receive(max_bytes))
        except anyio.EndOfStream:
            http.receive_data(b"")
    return event
