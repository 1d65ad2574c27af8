"""Lines of text, as clients and hosts speak them: each decoded once, encoded once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

LONGEST = 4096  # bytes a line may have, its end included
PING = b"PING\r\n"
PONG = b"PONG\r\n"
NO = b"NO\r\n"
STATS = b"STATS\r\n"
MOVE = b"MOVE\r\n"
FAILED = b"ERR\r\n"


class BadLine(NamedTuple):
    """A line that is not as the page says, and why."""

    why: str


@dataclass(frozen=True, slots=True)
class Opening:
    """A client's first line."""

    ident: str
    before: str  # the line up to the figure of d, and from behind it
    behind: str
    key: str
    traffic_class: str
    tenant: str | None
    wait_ms: int
    group: str | None
    mid_flow: bool
    standing_at: str | None  # the host at which it was open before
    load: float

    @property
    def goes_on(self) -> bool:
        """Whether its client has been served before and may be in the middle of what it says."""
        return self.mid_flow or self.standing_at is not None


def parse_opening(line: bytes) -> Opening | BadLine:
    try:
        text = line.decode("utf-8").rstrip("\r\n")
    except UnicodeDecodeError:
        return BadLine("not UTF-8")
    if not text.isprintable():
        return BadLine("not printable")
    messages = text.split(" ")
    if len(messages) != 4 or messages[0] != "OPEN" or not messages[1] or not messages[2]:
        return BadLine("not an OPEN line of four words")
    values: dict[str, str] = {}
    for item in messages[3].split(","):
        name, equals, value = item.partition("=")
        if not equals or not name or not value:
            return BadLine("a name without a value")
        if name in values:
            return BadLine("a name that stands twice")
        values[name] = value
    for name in ("c", "d"):
        if name not in values:
            return BadLine(f"{name} is missing")
    if not (values["d"].isascii() and values["d"].isdigit() and 0 < len(values["d"]) <= 9):
        return BadLine("d is no number of milliseconds")
    for name in ("r", "again", "mid"):
        if values.get(name, "1") not in ("0", "1"):
            return BadLine(f"{name} is neither 0 nor 1")
    load = number_of(values.get("h", "0"))
    if load is None:
        return BadLine("h is no number")
    # The line goes on as it came but for d, which says how long this node will wait.
    found = text.index(",d=") + 3 if ",d=" in text else text.index(" d=") + 3
    return Opening(
        ident=messages[1],
        before=text[:found],
        behind=text[found + len(values["d"]) :],
        key=messages[2],
        traffic_class=values["c"],
        tenant=values.get("t"),
        wait_ms=int(values["d"]),
        group=values.get("g"),
        mid_flow=values.get("mid") == "1",
        standing_at=values.get("at"),
        load=load,
    )


def try_line(opening: Opening, wait_us: int) -> bytes:
    """The line that a setup try sends to its host."""
    return f"{opening.before}{max(1, wait_us // 1000)}{opening.behind}\r\n".encode()


def first_line(opening: Opening) -> bytes:
    """The line as the client sent it."""
    return try_line(opening, opening.wait_ms * 1000)


def shed_line(back_us: int) -> bytes:
    return f"BUSY {-(-back_us // 1000)}\r\n".encode() if back_us > 0 else b"BUSY\r\n"


class Up(NamedTuple):
    """The link stands."""


class Bye(NamedTuple):
    """Delivered to its end."""


class Moved(NamedTuple):
    """A draining host sends the client away."""


class Fault(NamedTuple):
    """The host failed at it."""


class Busy(NamedTuple):
    """Turned away unseen."""


class Load(NamedTuple):
    """The link's load as it is now, in microseconds of work a second."""

    load: float


class Pong(NamedTuple):
    """A probe's answer, with the load over capacity where the host told it."""

    utilization: float | None
    held: float | None  # the links that it holds, where it told


class Other(NamedTuple):
    """Any other line."""


Said = Up | Bye | Moved | Fault | Busy | Load | Pong | Other
PLAIN: dict[bytes, Said] = {
    b"UP": Up(),
    b"BYE": Bye(),
    b"MOVE": Moved(),
    b"ERR": Fault(),
    b"BUSY": Busy(),
}


def parse_upstream_line(line: bytes) -> Said:
    message, _, rest = line.rstrip(b"\r\n").partition(b" ")
    if message == b"LOAD":
        load = number_of(rest.decode("latin-1"))
        return Other() if load is None else Load(load)
    if message == b"PONG":
        report = report_of(rest.decode("latin-1"))
        return Pong(report.get("x0"), report.get("inflight"))
    return PLAIN.get(message, Other())


def report_of(text: str) -> dict[str, float]:
    """A load report's figures; what is no figure is passed over."""
    report = {}
    for item in text.split(","):
        name, _, value = item.partition("=")
        figure = number_of(value)
        if figure is not None:
            report[name] = figure
    return report


def number_of(text: str) -> float | None:
    """A figure of at least 0; not nan, not endless."""
    try:
        figure = float(text)
    except ValueError:
        return None
    return figure if 0 <= figure < 1e15 else None
