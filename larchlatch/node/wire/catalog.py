"""The host list over HTTP: whole, or as a watch on its changes."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import anyio
import h11
import orjson
from anyio.abc import SocketStream

from larchlatch.links import State
from larchlatch.node.wire.listen import stream_of
from larchlatch.node.wire.stream import Unconnected, dial
from larchlatch.terms import NUMBER, BadInput, known, need, whole

STATES = {"in_service": State.READY, "terminating": State.DRAINING, "terminated": State.GONE}
CHUNK = 65536  # bytes read at a time
MOST = 8 * 1024 * 1024  # bytes of one list: thousands of hosts
UNREAD_S = 0.02  # for what has come already to be read: a turn of the loop
LARGEST = 1e6  # sizes of a host are compared and added up: one beyond all reason would outweigh the fleet
STRINGS = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')


class Member(NamedTuple):
    """One host as the list tells it; its start is Unix time in microseconds, 0 for long ago."""

    name: str
    address: tuple[str, int]
    zone: str
    cell: int
    state: State
    size: float
    came_up: int


class Members(NamedTuple):
    """A list, or the changes to one."""

    revision: int
    whole: bool
    members: list[Member]
    unreadable: tuple[str, ...] = ()  # hosts whose entries are faulty: what is known of them stays


def address_of(text: str, where: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise BadInput(f"{where}: not an address with a port ({text[:60]!r})")
    return host.strip("[]"), int(port)


def member_of(raw: Any, where: str) -> Member:
    if not isinstance(raw, dict):
        raise BadInput(f"{where}: not an object")
    cell, size = raw.get("cell"), raw.get("size")
    if isinstance(size, NUMBER) and size >= LARGEST:
        raise BadInput(f"{where}.size: too large ({size:g})")
    return Member(
        name=need(raw, "id", str, where),
        address=address_of(need(raw, "host_port", str, where), f"{where}.host_port"),
        zone=str(raw.get("locality") or ""),
        cell=cell if isinstance(cell, int) else -1,
        state=known(need(raw, "phase", str, where), STATES, f"{where}.phase"),
        size=float(size) if isinstance(size, NUMBER) and size > 0 else 1.0,
        came_up=whole(raw, "up_since_ms", where) * 1000,
    )


def members_of(raw: Any, where: str) -> Members:
    if not isinstance(raw, dict):
        raise BadInput(f"{where}: not an object")
    rows = need(raw, "members", list, where)
    return Members(
        revision=need(raw, "revision", int, where),
        whole=need(raw, "complete", bool, where),
        members=[member_of(row, f"{where}.members[{place}]") for place, row in enumerate(rows)],
    )


def readable_of(raw: Any, where: str) -> tuple[Members, list[str]]:
    """A list as far as it can be read, and what is wrong with the rest of it.

    One faulty entry costs no other host its news: a drain that stands beside it was told.
    """
    if not isinstance(raw, dict):
        raise BadInput(f"{where}: not an object")
    members: list[Member] = []
    faults: list[str] = []
    unreadable: list[str] = []
    complete = need(raw, "complete", bool, where)
    for place, row in enumerate(need(raw, "members", list, where)):
        try:
            members.append(member_of(row, f"{where}.members[{place}]"))
        except BadInput as error:
            faults.append(str(error))
            name = row.get("id") if isinstance(row, dict) else None
            if isinstance(name, str):
                unreadable.append(name)
            else:
                complete = False  # whoever it speaks of would be taken for gone
    return Members(need(raw, "revision", int, where), complete, members, tuple(unreadable)), faults


def wire_form(told: Members) -> dict[str, Any]:
    """A list in the form in which it is read."""
    phases = {state: phase for phase, state in STATES.items()}
    return {
        "revision": told.revision,
        "complete": told.whole,
        "members": [
            {
                "id": member.name,
                "host_port": f"{member.address[0]}:{member.address[1]}",
                "locality": member.zone,
                "cell": member.cell,
                "phase": phases[member.state],
                "size": member.size,
                "up_since_ms": member.came_up // 1000,
            }
            for member in told.members
        ],
    }


def decoded(text: bytes) -> tuple[Members, list[str]]:
    try:
        return readable_of(orjson.loads(text), "list")
    except orjson.JSONDecodeError as error:
        raise BadInput(f"list: no JSON ({error})") from None


class Framing:
    """Cuts the bytes of a watch into its objects, on one line each or indented over many."""

    def __init__(self) -> None:
        self.tail = b""  # of a line that is still open
        self.lines: list[bytes] = []  # of an object that is still open
        self.size = 0  # bytes of these
        self.depth = 0  # brackets that are open

    def feed(self, chunk: bytes) -> list[bytes]:
        """What has become whole: objects, and nothing (empty) for each empty line between them."""
        *lines, self.tail = (self.tail + chunk).split(b"\n")
        pieces = [piece for line in lines if (piece := self.line(line)) is not None]
        if self.size + len(self.tail) > MOST:
            raise BadInput("list: too long")
        return pieces

    def line(self, line: bytes) -> bytes | None:
        bare = line.strip()
        if not bare and not self.lines:
            return b""
        # An empty line is sent between objects alone, and a line that begins one right within another can't
        # be its own: the one before has been cut short, and would swallow all that follows.
        if self.lines and (not bare or (self.depth <= 1 and bare.startswith(b"{"))):
            raise BadInput("list: broken off within an object")
        rest = STRINGS.sub(b"", bare)
        if b'"' in rest:
            raise BadInput("list: a string without an end")
        self.depth += rest.count(b"{") + rest.count(b"[") - rest.count(b"}") - rest.count(b"]")
        self.lines.append(line)
        self.size += len(line)
        if self.depth > 0:
            return None
        piece = b"\n".join(self.lines)
        self.lines, self.size, self.depth = [], 0, 0
        return piece


class Refused(Exception):
    """Discovery has answered, and said no."""


class Limits(NamedTuple):
    """How long discovery may take, in seconds."""

    connect_s: float  # for a connection
    answer_s: float  # from then on for an answer to begin
    silence_s: float  # for the next whole word of it


class Body:
    """The answer to one GET, piece by piece as it comes."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)

    async def event(self) -> Any:
        while (event := self.http.next_event()) is h11.NEED_DATA:
            try:
                self.http.receive_data(await self.stream.receive(CHUNK))
            except anyio.EndOfStream:
                self.http.receive_data(b"")
        return event

    async def begun(self, within_s: float) -> None:
        """Its head has come, and says yes; TimeoutError where none comes in time."""
        event: Any = None
        # Looked at once more when the time is up: where this node's own loop was late, it lies here unread.
        for wait_s in (within_s, UNREAD_S):
            with anyio.move_on_after(wait_s):
                event = await self.event()
                break
        if event is None:
            raise TimeoutError("no answer")
        if not isinstance(event, h11.Response):
            raise OSError("no answer")
        if event.status_code != 200:
            raise Refused(f"status {event.status_code}")

    async def more(self) -> bytes | None:
        """The next bytes; None at the answer's end."""
        while True:
            event = await self.event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return None


@asynccontextmanager
async def get(address: tuple[str, int], target: str, limits: Limits) -> AsyncIterator[Body]:
    """One GET that is being answered, its connection ended with the block.

    OSError where it is not answered in time, Refused where the answer is no.
    """
    sock = await dial(address, limits.connect_s)
    if isinstance(sock, Unconnected):
        raise OSError(f"no connection ({sock.value})")
    async with await stream_of(sock) as stream:
        body = Body(stream)
        request = h11.Request(method="GET", target=target, headers=[("Host", f"{address[0]}:{address[1]}")])
        await stream.send((body.http.send(request) or b"") + (body.http.send(h11.EndOfMessage()) or b""))
        await body.begun(limits.answer_s)
        yield body


async def fetch(address: tuple[str, int], path: str, limits: Limits) -> tuple[Members, list[str]]:
    """The whole list; TimeoutError where it has not come in time."""
    text = b""
    async with get(address, path, limits) as body:
        with anyio.fail_after(limits.silence_s):
            while (chunk := await body.more()) is not None:
                text += chunk
                if len(text) > MOST:
                    raise BadInput("list: too long")
    return decoded(text)


class Watch:
    """What changes, as it is told; its body is a GET's that does not end."""

    def __init__(self, body: Body, silence_s: float) -> None:
        self.body = body
        self.silence_s = silence_s
        self.framing = Framing()
        self.pieces: deque[bytes] = deque()

    async def next(self) -> tuple[Members, list[str]] | None:
        """The next change; None for a word that only says that it goes on.

        TimeoutError where nothing whole has come in time, EndOfStream where it ends.
        """
        # Danger: bytes alone are no word. One that trickles, or stops in the middle of a line, tells nothing.
        with anyio.fail_after(self.silence_s):
            while not self.pieces:
                chunk = await self.body.more()
                if chunk is None:
                    raise anyio.EndOfStream
                self.pieces.extend(self.framing.feed(chunk))
        piece = self.pieces.popleft()
        return decoded(piece) if piece else None


def watch_target(path: str, revision: int) -> str:
    return f"{path}?watch=1&from={revision}"
