"""The packets of a hot restart, and their form on the Unix socket between two processes of one node.

A packet is a JSON object. Processes of different versions read each other's packets, so neither a kind nor a
key in `FORMS` may change: fields and classes may be renamed, what they are written as may not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import orjson

from larchlatch.config.endpoints import EndpointList, endpoint_list_to_json, parse_endpoint_list
from larchlatch.config.reading import NUMBER, required
from larchlatch.errors import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

WHERE = "packet"  # how an error names the place of what is wrong
LONGEST_KIND_IN_ERROR = 40  # characters


class Hello(NamedTuple):
    """The successor says which node it is.

    Attributes:
        name: of the node.
        listen: the address for clients, host:port.

    """

    name: str
    listen: str


class Welcome(NamedTuple):
    """The predecessor's endpoint list; the listening socket's descriptor comes beside it."""

    endpoints: EndpointList


class Serving(NamedTuple):
    """The successor can serve: from now on it takes what is new."""


class StateHandover(NamedTuple):
    """The predecessor takes nothing new any more; what its successor has to know.

    Attributes:
        balancer_state: what the balancer has learned, as `policy.state_export` writes it.
        session_ids: ids of the sessions that the predecessor has in hand.
        descriptor_count: descriptors that it holds or may come to hold.
        draining_for_s: for how long a drain has been on; None where there is none.
        clock_offset_us: Unix time minus the monotonic clock, as the predecessor read them at its start.

    """

    balancer_state: dict[str, Any]
    session_ids: list[str]
    descriptor_count: int
    draining_for_s: float | None
    clock_offset_us: int


class SessionHandover(NamedTuple):
    """An established session; its client's and its upstream's connection come beside it, in this order.

    Attributes:
        request_line: the client's first line.
        upstream: the upstream's name.
        load: that the session makes.
        unanswered_since_us: when a line was sent that has had no answer yet; 0 where none waits.
        outcome_at_end: the `Outcome` that the end of the upstream's side would mean.
        client_unread: bytes that were read from the client and not passed on.
        upstream_unread: bytes that were read from the upstream and not passed on.

    """

    request_line: bytes
    upstream: str
    load: float
    unanswered_since_us: int
    outcome_at_end: int
    client_unread: bytes
    upstream_unread: bytes


Packet = Hello | Welcome | Serving | StateHandover | SessionHandover


class Form(NamedTuple):
    """How a packet is written.

    Attributes:
        kind: the value of the key `kind`.
        keys: the key of each field, in the fields' order.

    """

    kind: str
    keys: tuple[str, ...] = ()


FORMS: dict[type[Packet], Form] = {
    Hello: Form("Hello", ("name", "listen")),
    Welcome: Form("Welcome", ("members",)),
    Serving: Form("Serving"),
    StateHandover: Form("Ceded", ("learned", "idents", "holds", "drained_s", "clock_us")),
    SessionHandover: Form(
        "Standing", ("line", "host", "load", "asked_at", "last", "client_early", "host_early")
    ),
}


def encode_packet(packet: Packet) -> bytes:
    """Write a packet as JSON; bytes become text of the same code points (Latin-1)."""
    form = FORMS[type(packet)]
    body: dict[str, Any] = {"kind": form.kind}
    for key, value in zip(form.keys, packet, strict=True):
        body[key] = _json_value(value)
    return orjson.dumps(body)


def decode_packet(body: bytes) -> Packet:
    """Read a packet.

    Raises:
        ProtocolError: the bytes are no packet of a known kind with all its keys.

    """
    try:
        raw = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise ProtocolError(WHERE, f"no JSON ({error})") from None
    if not isinstance(raw, dict):
        raise ProtocolError(WHERE, "not an object")
    kind = required(raw, "kind", str, WHERE, error=ProtocolError)
    reader = READERS.get(kind)
    if reader is None:
        raise ProtocolError(WHERE, f"unknown kind {kind[:LONGEST_KIND_IN_ERROR]!r}")
    return reader(raw)


def _json_value(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.decode("latin-1")
    return endpoint_list_to_json(value) if isinstance(value, EndpointList) else value


def _hello(raw: dict[str, Any]) -> Hello:
    return Hello(
        required(raw, "name", str, WHERE, error=ProtocolError),
        required(raw, "listen", str, WHERE, error=ProtocolError),
    )


def _welcome(raw: dict[str, Any]) -> Welcome:
    return Welcome(
        parse_endpoint_list(required(raw, "members", dict, WHERE, error=ProtocolError), f"{WHERE}.members")
    )


def _serving(_raw: dict[str, Any]) -> Serving:
    return Serving()


def _state_handover(raw: dict[str, Any]) -> StateHandover:
    draining_for_s = raw.get("drained_s")
    return StateHandover(
        balancer_state=required(raw, "learned", dict, WHERE, error=ProtocolError),
        session_ids=[
            str(session_id) for session_id in required(raw, "idents", list, WHERE, error=ProtocolError)
        ],
        descriptor_count=required(raw, "holds", int, WHERE, error=ProtocolError),
        draining_for_s=float(draining_for_s) if isinstance(draining_for_s, NUMBER) else None,
        clock_offset_us=required(raw, "clock_us", int, WHERE, error=ProtocolError),
    )


def _session_handover(raw: dict[str, Any]) -> SessionHandover:
    return SessionHandover(
        request_line=_bytes(raw, "line"),
        upstream=required(raw, "host", str, WHERE, error=ProtocolError),
        load=float(required(raw, "load", NUMBER, WHERE, error=ProtocolError)),
        unanswered_since_us=required(raw, "asked_at", int, WHERE, error=ProtocolError),
        outcome_at_end=required(raw, "last", int, WHERE, error=ProtocolError),
        client_unread=_bytes(raw, "client_early"),
        upstream_unread=_bytes(raw, "host_early"),
    )


READERS: Mapping[str, Callable[[dict[str, Any]], Packet]] = {
    FORMS[Hello].kind: _hello,
    FORMS[Welcome].kind: _welcome,
    FORMS[Serving].kind: _serving,
    FORMS[StateHandover].kind: _state_handover,
    FORMS[SessionHandover].kind: _session_handover,
}


def _bytes(raw: dict[str, Any], key: str) -> bytes:
    text: str = required(raw, key, str, WHERE, error=ProtocolError)
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        raise ProtocolError(WHERE, f"{key} holds no bytes") from None
