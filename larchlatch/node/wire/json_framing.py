"""Splits the bytes of a discovery watch into JSON objects. No I/O."""

from __future__ import annotations

import re

from larchlatch.errors import ProtocolError

MAX_LIST_BYTES = 8 * 1024 * 1024  # of one endpoint list: enough for thousands of upstreams
JSON_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')


class JsonObjectFramer:
    """Finds where each object of a watch ends, on one line or indented over several.

    It counts brackets outside of strings and does not parse: a complete object may still be invalid JSON.
    """

    def __init__(self) -> None:
        self._partial_line = b""
        self._open_lines: list[bytes] = []  # of the object that is not complete yet
        self._open_size = 0  # of those lines, in bytes
        self._depth = 0  # how many brackets are open

    def feed(self, chunk: bytes) -> list[bytes]:
        """Add received bytes and return the objects that they complete.

        Returns:
            The complete objects, and an empty one for each empty line between them, which is the keep-alive
            of a watch.

        Raises:
            ProtocolError: an object is cut short or longer than `MAX_LIST_BYTES`.

        """
        *lines, self._partial_line = (self._partial_line + chunk).split(b"\n")
        pieces = [piece for line in lines if (piece := self._add_line(line)) is not None]
        if self._open_size + len(self._partial_line) > MAX_LIST_BYTES:
            raise ProtocolError("list", "too long")
        return pieces

    def _add_line(self, line: bytes) -> bytes | None:
        """Add one whole line; return the object that it completes, or None."""
        text = line.strip()
        if not text and not self._open_lines:
            return b""
        if self._open_lines:
            self._check_not_cut_short(text)
        self._depth += bracket_balance(text)
        self._open_lines.append(line)
        self._open_size += len(line)
        if self._depth > 0:
            return None
        piece = b"\n".join(self._open_lines)
        self._open_lines, self._open_size, self._depth = [], 0, 0
        return piece

    def _check_not_cut_short(self, text: bytes) -> None:
        """Raise ProtocolError if this line can't belong to the object that is not complete yet.

        An empty line is only sent between objects, and a line directly within an object begins with a key and
        not with another object. An object that was cut short would otherwise swallow all that follows.
        """
        if not text or (self._depth <= 1 and text.startswith(b"{")):
            raise ProtocolError("list", "broken off within an object")


def bracket_balance(text: bytes) -> int:
    """Return how many brackets outside of strings a line opens, less those that it closes.

    Raises:
        ProtocolError: a string does not end on the line that it began on.

    """
    outside_strings = JSON_STRING.sub(b"", text)
    if b'"' in outside_strings:
        raise ProtocolError("list", "a string without an end")
    opened = outside_strings.count(b"{") + outside_strings.count(b"[")
    closed = outside_strings.count(b"}") + outside_strings.count(b"]")
    return opened - closed
