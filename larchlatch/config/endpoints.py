"""Parses and serializes the JSON form of the endpoint list. No I/O.

Discovery sends this form, and configuration files contain it. No other module reads its keys.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import orjson

from larchlatch.config.reading import is_number, non_negative_int, one_of, required
from larchlatch.errors import ConfigurationError, InvalidInputError, ProtocolError
from larchlatch.policy.types import UNKNOWN_PLACE, EndpointState

STATE_BY_PHASE = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.GONE,
}
PHASE_BY_STATE = {state: phase for phase, state in STATE_BY_PHASE.items()}

MAX_SIZE = 1e6  # sizes are summed: an absurdly large one would outweigh all other upstreams together
DEFAULT_SIZE = 1.0

Address = tuple[str, int]  # host and port

MAX_PORT = 65535
MICROSECONDS_PER_MS = 1000
MAX_QUOTED_CHARACTERS = 60  # an error message quotes at most this much of an invalid address


class EndpointEntry(NamedTuple):
    """One upstream as the endpoint list describes it.

    Attributes:
        name: The name of the upstream.
        address: Its host and port.
        zone: The name of its zone; empty if the list names none.
        cell: The number of its cell; `UNKNOWN_PLACE` if the list names none.
        state: Whether it accepts sessions.
        size: Its capacity relative to other upstreams.
        started_at: When it started, in microseconds of Unix time; 0 if that was long ago.

    """

    name: str
    address: Address
    zone: str
    cell: int
    state: EndpointState
    size: float
    started_at: int


class EndpointList(NamedTuple):
    """A complete endpoint list, or a set of changes to one.

    Attributes:
        revision: The revision of the list, or the revision that results from the changes.
        complete: Whether it is the complete list, so that an upstream without an entry is gone.
        endpoints: The valid entries.
        unreadable: Names of upstreams whose entries are invalid. Their previous entries stay in force.

    """

    revision: int
    complete: bool
    endpoints: list[EndpointEntry]
    unreadable: tuple[str, ...] = ()


class DecodedEndpointList(NamedTuple):
    """The valid part of an endpoint list, and the errors in the rest.

    Attributes:
        endpoint_list: The list without its invalid entries.
        faults: An error message for each invalid entry.

    """

    endpoint_list: EndpointList
    faults: list[str]


def parse_address(text: str, where: str, *, error: type[InvalidInputError] = ConfigurationError) -> Address:
    """Return the host and port of `HOST:PORT`; an IPv6 address may be enclosed in brackets.

    Raises:
        InvalidInputError: The text is not such an address. `error` is the type that is raised.

    """
    host, _, port = text.rpartition(":")
    # isdigit() alone would also accept digits of other scripts.
    if not host or not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        raise error(where, f"not an address of the form HOST:PORT ({text[:MAX_QUOTED_CHARACTERS]!r})")
    return host.strip("[]"), int(port)


def parse_endpoint(raw: Any, where: str) -> EndpointEntry:
    """Return one entry of an endpoint list.

    Raises:
        ProtocolError: The entry is invalid.

    """
    if not isinstance(raw, dict):
        raise ProtocolError(where, "not an object")
    size = _parse_size(raw, where)
    name = required(raw, "id", str, where, error=ProtocolError)
    host_port = required(raw, "host_port", str, where, error=ProtocolError)
    address = parse_address(host_port, f"{where}.host_port", error=ProtocolError)
    phase = required(raw, "phase", str, where, error=ProtocolError)
    cell = raw.get("cell")
    up_since_ms = non_negative_int(raw, "up_since_ms", where, error=ProtocolError)
    return EndpointEntry(
        name=name,
        address=address,
        zone=str(raw.get("locality") or ""),
        cell=cell if isinstance(cell, int) and is_number(cell) else UNKNOWN_PLACE,
        state=one_of(phase, STATE_BY_PHASE, f"{where}.phase", error=ProtocolError),
        size=size,
        started_at=up_since_ms * MICROSECONDS_PER_MS,
    )


def _parse_size(raw: dict[str, Any], where: str) -> float:
    """Return the size in an entry; the default if the entry has no size above 0."""
    size = raw.get("size")
    if size is None or not is_number(size):
        return DEFAULT_SIZE
    if size >= MAX_SIZE:
        raise ProtocolError(f"{where}.size", f"too large ({size:g})")
    return float(size) if size > 0 else DEFAULT_SIZE


def parse_endpoint_list(raw: Any, where: str) -> EndpointList:
    """Return an endpoint list; a single invalid entry makes the whole list invalid.

    Raises:
        ProtocolError: The list or one of its entries is invalid.

    """
    if not isinstance(raw, dict):
        raise ProtocolError(where, "not an object")
    entries = required(raw, "members", list, where, error=ProtocolError)
    return EndpointList(
        revision=required(raw, "revision", int, where, error=ProtocolError),
        complete=required(raw, "complete", bool, where, error=ProtocolError),
        endpoints=[parse_endpoint(entry, f"{where}.members[{index}]") for index, entry in enumerate(entries)],
    )


def parse_valid_entries(raw: Any, where: str) -> DecodedEndpointList:
    """Return the valid entries of an endpoint list, and an error message for each of the others.

    An invalid entry must not keep the node from learning about the other upstreams.

    Raises:
        ProtocolError: The list itself is invalid.

    """
    if not isinstance(raw, dict):
        raise ProtocolError(where, "not an object")
    complete = required(raw, "complete", bool, where, error=ProtocolError)
    endpoints: list[EndpointEntry] = []
    faults: list[str] = []
    unreadable: list[str] = []
    for index, entry in enumerate(required(raw, "members", list, where, error=ProtocolError)):
        try:
            endpoints.append(parse_endpoint(entry, f"{where}.members[{index}]"))
        except InvalidInputError as error:
            faults.append(str(error))
            name = _name_of_invalid_entry(entry)
            if name is not None:
                unreadable.append(name)
            else:
                # The entry may belong to any upstream. A complete list without it would declare that upstream
                # gone.
                complete = False
    revision = required(raw, "revision", int, where, error=ProtocolError)
    return DecodedEndpointList(EndpointList(revision, complete, endpoints, tuple(unreadable)), faults)


def _name_of_invalid_entry(entry: Any) -> str | None:
    """Return the name in an entry that is otherwise invalid; None if the entry has no name."""
    name = entry.get("id") if isinstance(entry, dict) else None
    return name if isinstance(name, str) else None


def endpoint_list_to_json(endpoint_list: EndpointList) -> dict[str, Any]:
    """Return an endpoint list in the JSON form that `parse_endpoint_list` reads."""
    return {
        "revision": endpoint_list.revision,
        "complete": endpoint_list.complete,
        "members": [_endpoint_to_json(endpoint) for endpoint in endpoint_list.endpoints],
    }


def _endpoint_to_json(endpoint: EndpointEntry) -> dict[str, Any]:
    host, port = endpoint.address
    return {
        "id": endpoint.name,
        "host_port": f"{host}:{port}",
        "locality": endpoint.zone,
        "cell": endpoint.cell,
        "phase": PHASE_BY_STATE[endpoint.state],
        "size": endpoint.size,
        "up_since_ms": endpoint.started_at // MICROSECONDS_PER_MS,
    }


def decode_endpoint_list(text: bytes) -> DecodedEndpointList:
    """Return the valid part of an endpoint list that discovery has sent.

    Raises:
        ProtocolError: The text is not valid JSON, or the list itself is invalid.

    """
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ProtocolError("list", f"not valid JSON ({error})") from None
    return parse_valid_entries(raw, "list")
