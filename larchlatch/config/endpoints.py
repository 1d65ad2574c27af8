"""The endpoint list in its JSON form, of discovery and of the configuration's `known` list. No I/O."""

from __future__ import annotations

from typing import Any, NamedTuple

import orjson

from larchlatch.config.deployment import NUMBER, known, need, whole
from larchlatch.errors import InvalidInputError, ProtocolError
from larchlatch.policy.types import EndpointState

STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.GONE,
}
LARGEST = 1e6  # sizes of a host are compared and added up: one beyond all reason would outweigh the fleet


class EndpointEntry(NamedTuple):
    """One host as the list tells it; its start is Unix time in microseconds, 0 for long ago."""

    name: str
    address: tuple[str, int]
    zone: str
    cell: int
    state: EndpointState
    size: float
    started_at: int


class EndpointList(NamedTuple):
    """A list, or the changes to one."""

    revision: int
    whole: bool
    members: list[EndpointEntry]
    unreadable: tuple[str, ...] = ()  # hosts whose entries are faulty: what is known of them stays


def address_of(text: str, where: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ProtocolError(where, f"not an address with a port ({text[:60]!r})")
    return host.strip("[]"), int(port)


def endpoint_entry_of(raw: Any, where: str) -> EndpointEntry:
    if not isinstance(raw, dict):
        raise ProtocolError(where, "not an object")
    cell, size = raw.get("cell"), raw.get("size")
    if isinstance(size, NUMBER) and size >= LARGEST:
        raise ProtocolError(f"{where}.size", f"too large ({size:g})")
    return EndpointEntry(
        name=need(raw, "id", str, where),
        address=address_of(need(raw, "host_port", str, where), f"{where}.host_port"),
        zone=str(raw.get("locality") or ""),
        cell=cell if isinstance(cell, int) else -1,
        state=known(need(raw, "phase", str, where), STATES, f"{where}.phase"),
        size=float(size) if isinstance(size, NUMBER) and size > 0 else 1.0,
        started_at=whole(raw, "up_since_ms", where) * 1000,
    )


def endpoint_list_of(raw: Any, where: str) -> EndpointList:
    if not isinstance(raw, dict):
        raise ProtocolError(where, "not an object")
    rows = need(raw, "members", list, where)
    return EndpointList(
        revision=need(raw, "revision", int, where),
        whole=need(raw, "complete", bool, where),
        members=[endpoint_entry_of(row, f"{where}.members[{place}]") for place, row in enumerate(rows)],
    )


def readable_of(raw: Any, where: str) -> tuple[EndpointList, list[str]]:
    """A list as far as it can be read, and what is wrong with the rest of it.

    One faulty entry costs no other host its news: a drain that stands beside it was told.
    """
    if not isinstance(raw, dict):
        raise ProtocolError(where, "not an object")
    members: list[EndpointEntry] = []
    faults: list[str] = []
    unreadable: list[str] = []
    complete = need(raw, "complete", bool, where)
    for place, row in enumerate(need(raw, "members", list, where)):
        try:
            members.append(endpoint_entry_of(row, f"{where}.members[{place}]"))
        except InvalidInputError as error:
            faults.append(str(error))
            name = row.get("id") if isinstance(row, dict) else None
            if isinstance(name, str):
                unreadable.append(name)
            else:
                complete = False  # whoever it speaks of would be taken for gone
    return EndpointList(need(raw, "revision", int, where), complete, members, tuple(unreadable)), faults


def wire_form(told: EndpointList) -> dict[str, Any]:
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
                "up_since_ms": member.started_at // 1000,
            }
            for member in told.members
        ],
    }


def decoded(text: bytes) -> tuple[EndpointList, list[str]]:
    try:
        return readable_of(orjson.loads(text), "list")
    except orjson.JSONDecodeError as error:
        raise ProtocolError("list", f"no JSON ({error})") from None
