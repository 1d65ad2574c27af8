"""Helpers for asyncio streams: closing them, and the errors of broken connections."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

# Exceptions of reading and writing when the peer has closed: OSError from the socket, ValueError for a line
# that is longer than a stream's limit, and RuntimeError from uvloop for a transport that is closed already.
CONNECTION_ERRORS = (OSError, ValueError, RuntimeError)


def close_writer(writer: asyncio.StreamWriter) -> None:
    """Close a connection, which may be closed or broken already."""
    with suppress(OSError, RuntimeError):
        writer.close()


def abort_writer(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, which may be closed or broken already."""
    with suppress(OSError, RuntimeError):
        writer.transport.abort()
