"""Access to the buffers of an anyio socket stream, for a connection that is handed over to another process.

anyio has no interface for the data that a stream has read ahead, nor for the data that it has not sent yet.
If the data read ahead were not handed over with the connection, lines would be lost. So this module, and no
other, reads two private attributes of anyio's asyncio stream. The version of anyio is pinned, and the tests
of hot restart fail if these attributes change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from anyio.abc import SocketStream


class StreamBuffers:
    """The buffers of one socket stream."""

    def __init__(self, stream: SocketStream) -> None:
        self._transport: Any = getattr(stream, "_transport")  # noqa: B009 - private, see above
        self._protocol: Any = getattr(stream, "_protocol")  # noqa: B009 - private, see above

    @property
    def has_ended(self) -> bool:
        """Whether the stream is closed or broken."""
        return bool(self._transport.is_closing() or self._protocol.exception)

    @property
    def has_unsent(self) -> bool:
        """Whether data still has to be sent."""
        return bool(self._transport.get_write_buffer_size())

    def unread(self) -> bytes:
        """Return the data that the stream has read from the socket and not returned yet."""
        return b"".join(self._protocol.read_queue)

    def abort(self) -> None:
        """Close the stream's descriptor at once; the connection stays open if a duplicate of it exists."""
        self._transport.abort()
