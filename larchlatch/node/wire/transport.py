"""Access to the buffers of an anyio socket stream, for a connection that passes to another process.

anyio has no interface for what its stream has read ahead and for what it has not sent yet. A connection that
is handed over without the former would lose lines. So two private attributes of its asyncio stream are read
here, and nowhere else. The version of anyio is pinned, and the tests of a hot restart fail if these change.
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
        """Whether data waits to be sent."""
        return bool(self._transport.get_write_buffer_size())

    def unread(self) -> bytes:
        """Return the data that was read from the socket and not from the stream."""
        return b"".join(self._protocol.read_queue)

    def abort(self) -> None:
        """Close the stream's socket without a word to the other side; duplicates of it stay open."""
        self._transport.abort()
