"""The host list over HTTP: whole, or as a watch on its changes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import anyio
import h11
import orjson

from larchlatch.links import State
from larchlatch.terms import NUMBER, BadInput, known, need

STATES = {"in_service": State.READY, "terminating": State.DRAINING, "terminated": State.GONE}
CHUNK = 65536  # bytes read at a time
MOST = 8 * 1024 * 1024  # bytes of one list: thousands of hosts


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


def address_of(text: str, where: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise BadInput(f"{where}: not an address with a port ({text[:60]!r})")
    return host.strip("[]"), int(port)


def member_of(raw: Any, where: str) -> Member:
    if not isinstance(raw, dict):
        raise BadInput(f"{where}: not an object")
    cell, size = raw.get("cell"), raw.get("size")
    return Member(
        name=need(raw, "id", str, where),
        address=address_of(need(raw, "host_port", str, where), f"{where}.host_port"),
        zone=str(raw.get("locality") or ""),
        cell=cell if isinstance(cell, int) else -1,
        state=known(need(raw, "phase", str, where), STATES, f"{where}.phase"),
        size=float(size) if isinstance(size, NUMBER) and size > 0 else 1.0,
        came_up=int(need(raw, "up_since_ms", NUMBER, where)) * 1000,
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


def decoded(line: bytes) -> Members:
    try:
        return members_of(orjson.loads(line), "list")
    except orjson.JSONDecodeError as error:
        raise BadInput(f"list: no JSON ({error})") from None


async def get(address: tuple[str, int], target: str, silence_s: float) -> AsyncIterator[bytes]:
    """The body of one GET as it comes; ends with the answer, raises OSError where it breaks off."""
    with anyio.fail_after(silence_s):
        stream = await anyio.connect_tcp(*address)
    async with stream:
        http = h11.Connection(h11.CLIENT)
        request = h11.Request(method="GET", target=target, headers=[("Host", f"{address[0]}:{address[1]}")])
        await stream.send((http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b""))
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                # A watch says something every two seconds: one that doesn't has lost its other side.
                with anyio.fail_after(silence_s):
                    try:
                        http.receive_data(await stream.receive(CHUNK))
                    except anyio.EndOfStream:
                        http.receive_data(b"")
            elif isinstance(event, h11.Response) and event.status_code != 200:
                raise OSError(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return


async def fetch(address: tuple[str, int], path: str, silence_s: float) -> Members:
    """The whole list."""
    body = b""
    async for chunk in get(address, path, silence_s):
        body += chunk
        if len(body) > MOST:
            raise BadInput("list: too long")
    return decoded(body)


async def watch(
    address: tuple[str, int], path: str, revision: int, silence_s: float
) -> AsyncIterator[Members]:
    """What changes after this revision, as it is told."""
    tail = b""
    async for chunk in get(address, f"{path}?watch=1&from={revision}", silence_s):
        *lines, tail = (tail + chunk).split(b"\n")
        if len(tail) > MOST:
            raise BadInput("list: too long")
        for line in lines:
            if line.strip():
                yield decoded(line)
