"""The line protocol with clients and upstreams: converts lines to typed messages and back; does no I/O.

The commands and keys of the protocol are defined in this module and used in no other.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

MAX_LINE_BYTES = 4096  # line ending included
MICROSECONDS_PER_MS = 1000

# Lines without arguments.
PING = b"PING\r\n"
PONG = b"PONG\r\n"
NO = b"NO\r\n"
STATS = b"STATS\r\n"
MOVE = b"MOVE\r\n"
FAILED = b"ERR\r\n"

# A request: the command OPEN, the session's id, the client's key, and a list of items `key=value`.
REQUEST_COMMAND = "OPEN"
REQUEST_FIELD_COUNT = 4
TRAFFIC_CLASS = "c"
TENANT = "t"
WAIT_MS = "d"
GROUP = "g"
LOAD = "h"
MID_FLOW = "mid"
ESTABLISHED_AT = "at"
RETRY = "r"
AGAIN = "again"
MAX_WAIT_DIGITS = 9

# A load report: a list of items `key=value` with numbers as values.
UTILIZATION = "x0"
SESSION_COUNT = "inflight"
MAX_FIGURE = 1e15  # a number of this size or larger is treated as invalid


class LineFault(StrEnum):
    """Why a line is not a valid request; the values are parts of counter names."""

    NOT_UTF8 = "not_utf8"
    NOT_PRINTABLE = "not_printable"
    NOT_FOUR_WORDS = "not_an_open_line_of_four_words"
    NAME_WITHOUT_VALUE = "name_without_value"
    NAME_TWICE = "name_twice"
    TRAFFIC_CLASS_MISSING = "c_missing"
    WAIT_MISSING = "d_missing"
    WAIT_IS_NO_NUMBER = "d_is_no_number"
    LOAD_IS_NO_NUMBER = "h_is_no_number"
    RETRY_IS_NO_FLAG = "r_is_no_flag"
    AGAIN_IS_NO_FLAG = "again_is_no_flag"
    MID_FLOW_IS_NO_FLAG = "mid_is_no_flag"


# The fault of a request that lacks a required key, and of one whose flag is neither 0 nor 1.
FAULT_BY_REQUIRED_KEY = {
    TRAFFIC_CLASS: LineFault.TRAFFIC_CLASS_MISSING,
    WAIT_MS: LineFault.WAIT_MISSING,
}
FAULT_BY_FLAG = {
    RETRY: LineFault.RETRY_IS_NO_FLAG,
    AGAIN: LineFault.AGAIN_IS_NO_FLAG,
    MID_FLOW: LineFault.MID_FLOW_IS_NO_FLAG,
}


class BadLine(NamedTuple):
    """A line that is not a valid request, and the reason."""

    reason: LineFault


@dataclass(frozen=True, slots=True)
class Opening:
    """A client's request for a session, which is the first line on its connection.

    Attributes:
        ident: the session's id, new with every connection.
        text_before_wait: the text of the line before the value of the client's wait.
        text_after_wait: the text of the line after that value.
        key: the client's key.
        traffic_class: the name of the session's traffic class.
        tenant: the name of the session's tenant, or None if the line names none.
        wait_ms: how long the client waits for an answer, in milliseconds.
        group: the session's affinity group, or None if the line names none.
        mid_flow: whether the session's packets passed through another node before.
        established_upstream: the name of the upstream where the session was established before, or None.
        load: the session's expected load in microseconds of work a second; 0 if unknown.

    """

    ident: str
    text_before_wait: str
    text_after_wait: str
    key: str
    traffic_class: str
    tenant: str | None
    wait_ms: int
    group: str | None
    mid_flow: bool
    established_upstream: str | None
    load: float

    @property
    def may_continue(self) -> bool:
        """Whether the session was established before, so that its client may already send further lines."""
        return self.mid_flow or self.established_upstream is not None


def parse_opening(line: bytes) -> Opening | BadLine:
    """Parse the first line that a client sent; return a `BadLine` if it is not a valid request."""
    text = _printable_text(line)
    if isinstance(text, BadLine):
        return text
    fields = text.split(" ")
    if len(fields) != REQUEST_FIELD_COUNT:
        return BadLine(LineFault.NOT_FOUR_WORDS)
    command, ident, key, values_text = fields
    if command != REQUEST_COMMAND or not ident or not key:
        return BadLine(LineFault.NOT_FOUR_WORDS)
    values = _parse_values(values_text)
    if isinstance(values, BadLine):
        return values
    load = _parse_figure(values.get(LOAD, "0"))
    if load is None:
        return BadLine(LineFault.LOAD_IS_NO_NUMBER)
    wait_at = len(text) - len(values_text) + _position_of_wait(values_text)
    return Opening(
        ident=ident,
        text_before_wait=text[:wait_at],
        text_after_wait=text[wait_at + len(values[WAIT_MS]) :],
        key=key,
        traffic_class=values[TRAFFIC_CLASS],
        tenant=values.get(TENANT),
        wait_ms=int(values[WAIT_MS]),
        group=values.get(GROUP),
        mid_flow=values.get(MID_FLOW) == "1",
        established_upstream=values.get(ESTABLISHED_AT),
        load=load,
    )


def _position_of_wait(values_text: str) -> int:
    """Return where the value of the client's wait begins in the items of a request.

    A node replaces this value by its own wait. The request's id and key, which precede the items, may contain
    text that looks like an item.
    """
    item = f"{WAIT_MS}="
    return f",{values_text}".index(f",{item}") + len(item)


def _printable_text(line: bytes) -> str | BadLine:
    try:
        text = line.decode("utf-8").rstrip("\r\n")
    except UnicodeDecodeError:
        return BadLine(LineFault.NOT_UTF8)
    return text if text.isprintable() else BadLine(LineFault.NOT_PRINTABLE)


def _parse_values(text: str) -> dict[str, str] | BadLine:
    """Return the values of a request by their keys, or a `BadLine` if they are invalid."""
    values: dict[str, str] = {}
    for item in text.split(","):
        name, equals, value = item.partition("=")
        if not equals or not name or not value:
            return BadLine(LineFault.NAME_WITHOUT_VALUE)
        if name in values:
            return BadLine(LineFault.NAME_TWICE)
        values[name] = value
    fault = _fault_in(values)
    return values if fault is None else BadLine(fault)


def _fault_in(values: dict[str, str]) -> LineFault | None:
    """Return what is wrong with the values of a request, or None if they are valid."""
    for key, fault in FAULT_BY_REQUIRED_KEY.items():
        if key not in values:
            return fault
    wait = values[WAIT_MS]
    if not (wait.isascii() and wait.isdigit() and len(wait) <= MAX_WAIT_DIGITS):
        return LineFault.WAIT_IS_NO_NUMBER
    for key, fault in FAULT_BY_FLAG.items():
        if values.get(key, "1") not in ("0", "1"):
            return fault
    return None


def attempt_line(opening: Opening, wait_us: int) -> bytes:
    """Return the line of an attempt: the client's request with the client's wait replaced by this node's."""
    wait_ms = max(1, wait_us // MICROSECONDS_PER_MS)
    return f"{opening.text_before_wait}{wait_ms}{opening.text_after_wait}\r\n".encode()


def request_line(opening: Opening) -> bytes:
    """Return the request line as the client sent it."""
    return attempt_line(opening, opening.wait_ms * MICROSECONDS_PER_MS)


def shed_line(retry_after_us: int) -> bytes:
    """Return the answer to a client that is shed; the advised wait, if any, is rounded up to milliseconds."""
    if retry_after_us <= 0:
        return b"BUSY\r\n"
    retry_after_ms = -(-retry_after_us // MICROSECONDS_PER_MS)
    return f"BUSY {retry_after_ms}\r\n".encode()


class Up(NamedTuple):
    """The session is established."""


class Bye(NamedTuple):
    """The session has ended normally."""


class Moved(NamedTuple):
    """The upstream is draining: the session has to be established at another one."""


class Fault(NamedTuple):
    """The upstream has failed to serve the session."""


class Busy(NamedTuple):
    """The upstream has rejected the session without doing any work for it."""


class Load(NamedTuple):
    """The present load of the session, in microseconds of work a second."""

    load: float


class Pong(NamedTuple):
    """The answer to a probe.

    Attributes:
        utilization: the upstream's load divided by its capacity, or None if it did not report that.
        session_count: how many sessions the upstream holds, or None if it did not report that.

    """

    utilization: float | None
    session_count: float | None


class Other(NamedTuple):
    """A line of an upstream that is no other message."""


UpstreamLine = Up | Bye | Moved | Fault | Busy | Load | Pong | Other
MESSAGE_BY_COMMAND: dict[bytes, UpstreamLine] = {
    b"UP": Up(),
    b"BYE": Bye(),
    b"MOVE": Moved(),
    b"ERR": Fault(),
    b"BUSY": Busy(),
}


def parse_upstream_line(line: bytes) -> UpstreamLine:
    """Return the message in a line of an upstream; `Other` for an unknown command or an invalid load."""
    command, _, arguments = line.rstrip(b"\r\n").partition(b" ")
    if command == b"LOAD":
        load = _parse_figure(arguments.decode("latin-1"))
        return Other() if load is None else Load(load)
    if command == b"PONG":
        figures = _parse_load_report(arguments.decode("latin-1"))
        return Pong(figures.get(UTILIZATION), figures.get(SESSION_COUNT))
    return MESSAGE_BY_COMMAND.get(command, Other())


def _parse_load_report(text: str) -> dict[str, float]:
    """Return the numbers of a load report by their keys; items without a valid number are left out."""
    figures = {}
    for item in text.split(","):
        name, _, value = item.partition("=")
        figure = _parse_figure(value)
        if figure is not None:
            figures[name] = figure
    return figures


def _parse_figure(text: str) -> float | None:
    """Return the number in a text if it is at least 0 and below `MAX_FIGURE`, otherwise None."""
    try:
        figure = float(text)
    except ValueError:
        return None
    return figure if 0 <= figure < MAX_FIGURE else None
