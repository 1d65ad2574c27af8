"""Cuts a stream of bytes into the JSON objects of a discovery watch. No I/O."""

from __future__ import annotations

import re

from larchlatch.errors import ProtocolError

MAX_LIST_BYTES = 8 * 1024 * 1024  # one endpoint list: enough for thousands of upstreams, bounded in memory
JSON_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')


class JsonObjectFramer:
    """Finds where each object of a watch ends, whether it is on one line or indented over many.

    It counts brackets outside of strings and does not parse: a complete piece may still be invalid JSON.
    """

    def __init__(self) -> None:
        self._partial_line = b""
        self._open_lines: list[bytes] = []  # the lines so far of an object that is not complete
        self._open_size = 0  # their bytes
        self._depth = 0  # brackets that are open

    def feed(self, chunk: bytes) -> list[bytes]:
        """Add received bytes and return the objects that they complete.

        Returns:
            The complete objects, and an empty piece for each empty line between them: the keep-alive of a
            watch.

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
        """Raise ProtocolError where this line can't belong to the object that is open."""
        # An empty line is only sent between objects, and directly within an object a line begins with a key,
        # not with another object. The open object was cut short and would swallow all that follows.
        if not text or (self._depth <= 1 and text.startswith(b"{")):
            raise ProtocolError("list", "broken off within an object")


def bracket_balance(text: bytes) -> int:
    """Return how many brackets a line opens beyond those that it closes, leaving out strings.

    Raises:
        ProtocolError: a string does not end on the line that it began on.

    """
    outside_strings = JSON_STRING.sub(b"", text)
    if b'"' in outside_strings:
        raise ProtocolError("list", "a string without an end")
    opened = outside_strings.count(b"{") + outside_strings.count(b"[")
    closed = outside_strings.count(b"}") + outside_strings.count(b"]")
    return opened - closed
