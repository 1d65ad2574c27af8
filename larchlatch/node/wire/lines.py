"""Lines of text, as clients and upstreams speak them: each is decoded once and encoded once. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

MAX_LINE_BYTES = 4096  # its end included
PING = b"PING\r\n"
PONG = b"PONG\r\n"
NO = b"NO\r\n"
STATS = b"STATS\r\n"
MOVE = b"MOVE\r\n"
FAILED = b"ERR\r\n"

REQUEST_WORDS = 4  # OPEN, the id, the key, the list of values
REQUIRED_VALUES = ("c", "d")
FLAGS = ("r", "again", "mid")
MAX_WAIT_DIGITS = 9
MAX_FIGURE = 1e15  # figures of a report beyond all reason are passed over


class BadLine(NamedTuple):
    """A line that is not in the required form, and why; the reason goes into the name of a counter."""

    reason: str


@dataclass(frozen=True, slots=True)
class Opening:
    """A client's request, its first line.

    Attributes:
        ident: the session's id, new with every connection.
        before: the line up to the figure of `d`.
        behind: the line from behind the figure of `d`.
        key: the client's key.
        traffic_class: name of the traffic class.
        tenant: name of the tenant, if one is named.
        wait_ms: how long the client waits for its answer.
        group: the affinity group, if one is named.
        mid_flow: whether its packets passed through another node before.
        established_upstream: name of the upstream where it was established before, if it was.
        load: its expected load in microseconds of work a second; 0 for unknown.

    """

    ident: str
    before: str
    behind: str
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
        """Whether its client was served before, and may be in the middle of what it sends."""
        return self.mid_flow or self.established_upstream is not None


def parse_opening(line: bytes) -> Opening | BadLine:
    """Parse a client's first line."""
    text = _printable_text(line)
    if isinstance(text, BadLine):
        return text
    words = text.split(" ")
    if len(words) != REQUEST_WORDS or words[0] != "OPEN" or not words[1] or not words[2]:
        return BadLine("not_an_open_line_of_four_words")
    values = _values(words[3])
    if isinstance(values, BadLine):
        return values
    load = parse_figure(values.get("h", "0"))
    if load is None:
        return BadLine("h_is_no_number")
    # The line is passed on unchanged but for d, which says how long this node will wait.
    wait_at = text.index(",d=") + 3 if ",d=" in text else text.index(" d=") + 3
    return Opening(
        ident=words[1],
        before=text[:wait_at],
        behind=text[wait_at + len(values["d"]) :],
        key=words[2],
        traffic_class=values["c"],
        tenant=values.get("t"),
        wait_ms=int(values["d"]),
        group=values.get("g"),
        mid_flow=values.get("mid") == "1",
        established_upstream=values.get("at"),
        load=load,
    )


def _printable_text(line: bytes) -> str | BadLine:
    try:
        text = line.decode("utf-8").rstrip("\r\n")
    except UnicodeDecodeError:
        return BadLine("not_utf8")
    return text if text.isprintable() else BadLine("not_printable")


def _values(word: str) -> dict[str, str] | BadLine:
    """Return the names and values of a request."""
    values: dict[str, str] = {}
    for item in word.split(","):
        name, equals, value = item.partition("=")
        if not equals or not name or not value:
            return BadLine("name_without_value")
        if name in values:
            return BadLine("name_twice")
        values[name] = value
    for name in REQUIRED_VALUES:
        if name not in values:
            return BadLine(f"{name}_missing")
    wait = values["d"]
    if not (wait.isascii() and wait.isdigit() and len(wait) <= MAX_WAIT_DIGITS):
        return BadLine("d_is_no_number")
    for name in FLAGS:
        if values.get(name, "1") not in ("0", "1"):
            return BadLine(f"{name}_is_no_flag")
    return values


def attempt_line(opening: Opening, wait_us: int) -> bytes:
    """Return the line that an attempt sends to its upstream, with the time that this node will wait."""
    return f"{opening.before}{max(1, wait_us // 1000)}{opening.behind}\r\n".encode()


def request_line(opening: Opening) -> bytes:
    """Return the line as the client sent it."""
    return attempt_line(opening, opening.wait_ms * 1000)


def shed_line(retry_after_us: int) -> bytes:
    """Return the answer that trying again is harmless; the wait is in whole milliseconds, rounded up."""
    return f"BUSY {-(-retry_after_us // 1000)}\r\n".encode() if retry_after_us > 0 else b"BUSY\r\n"


class Up(NamedTuple):
    """The session is established."""


class Bye(NamedTuple):
    """Served to its end."""


class Moved(NamedTuple):
    """A draining upstream sends the client away."""


class Fault(NamedTuple):
    """The upstream failed at it."""


class Busy(NamedTuple):
    """Rejected: nothing has run."""


class Load(NamedTuple):
    """The session's load as it is now, in microseconds of work a second."""

    load: float


class Pong(NamedTuple):
    """Answer to a probe.

    Attributes:
        utilization: load over capacity, if the upstream reported it.
        held: the sessions that it holds, if it reported them.

    """

    utilization: float | None
    held: float | None


class Other(NamedTuple):
    """Any other line."""


UpstreamLine = Up | Bye | Moved | Fault | Busy | Load | Pong | Other
LINES_BY_WORD: dict[bytes, UpstreamLine] = {
    b"UP": Up(),
    b"BYE": Bye(),
    b"MOVE": Moved(),
    b"ERR": Fault(),
    b"BUSY": Busy(),
}


def parse_upstream_line(line: bytes) -> UpstreamLine:
    """Parse a line of an upstream; any line has a meaning, if only `Other`."""
    word, _, rest = line.rstrip(b"\r\n").partition(b" ")
    if word == b"LOAD":
        load = parse_figure(rest.decode("latin-1"))
        return Other() if load is None else Load(load)
    if word == b"PONG":
        report = parse_load_report(rest.decode("latin-1"))
        return Pong(report.get("x0"), report.get("inflight"))
    return LINES_BY_WORD.get(word, Other())


def parse_load_report(text: str) -> dict[str, float]:
    """Return the figures of a load report; what is no figure is passed over."""
    report = {}
    for item in text.split(","):
        name, _, value = item.partition("=")
        figure = parse_figure(value)
        if figure is not None:
            report[name] = figure
    return report


def parse_figure(text: str) -> float | None:
    """Return a finite figure of at least 0, or None."""
    try:
        figure = float(text)
    except ValueError:
        return None
    return figure if 0 <= figure < MAX_FIGURE else None
