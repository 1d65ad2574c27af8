"""Splits the data that a discovery watch receives into JSON objects; does no I/O."""

from __future__ import annotations

import re

from larchlatch.errors import ProtocolError

MAX_LIST_BYTES = 8 * 1024 * 1024  # the longest endpoint list: enough for thousands of upstreams
JSON_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')


class JsonObjectFramer:
    """Finds where each JSON object of a watch ends; an object takes one line, or several if it is indented.

    The framer counts brackets outside strings and does not parse: a complete object may be invalid JSON.
    """

    def __init__(self) -> None:
        self._partial_line = b""
        self._open_lines: list[bytes] = []  # the lines of the object that is not complete yet
        self._open_size = 0  # the size of those lines in bytes
        self._depth = 0  # the number of open brackets

    def feed(self, chunk: bytes) -> list[bytes]:
        """Add received data and return the objects that it completes.

        Returns:
            The complete objects, and empty bytes for each empty line between objects, which is the keep-alive
            of a watch.

        Raises:
            ProtocolError: an object is cut short, or longer than `MAX_LIST_BYTES`.

        """
        *lines, self._partial_line = (self._partial_line + chunk).split(b"\n")
        pieces = [piece for line in lines if (piece := self._add_line(line)) is not None]
        if self._open_size + len(self._partial_line) > MAX_LIST_BYTES:
            raise ProtocolError("list", f"longer than {MAX_LIST_BYTES} bytes")
        return pieces

    def _add_line(self, line: bytes) -> bytes | None:
        """Add a line; return the object that it completes, empty bytes for a keep-alive, or None."""
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
        """Raise ProtocolError if a line can't belong to the object that is not complete yet.

        Empty lines are only sent between objects, and a line at the top level of an object begins with a key,
        never with another object. Without this check, an object that was cut short would take in all lines
        that follow it.
        """
        if not text or (self._depth <= 1 and text.startswith(b"{")):
            raise ProtocolError("list", "an object is cut short")


def bracket_balance(text: bytes) -> int:
    """Return how many brackets a line opens minus how many it closes; brackets in strings do not count.

    Raises:
        ProtocolError: a string does not end on the line where it begins.

    """
    outside_strings = JSON_STRING.sub(b"", text)
    if b'"' in outside_strings:
        raise ProtocolError("list", "a string does not end on its line")
    opened = outside_strings.count(b"{") + outside_strings.count(b"[")
    closed = outside_strings.count(b"}") + outside_strings.count(b"]")
    return opened - closed
