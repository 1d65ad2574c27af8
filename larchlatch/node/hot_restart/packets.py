"""The packets of a hot restart and their JSON encoding on the Unix socket between two processes of one node.

The two processes may run different releases of larchlatch, so the packet kinds and JSON keys must not change.
They are string constants in this module only; the classes and fields may be renamed independently of them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, TypeVar

import orjson

from larchlatch.config.endpoints import EndpointList, endpoint_list_to_json, parse_endpoint_list
from larchlatch.config.reading import NUMBER, required
from larchlatch.errors import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

JsonObject = dict[str, object]
Value = TypeVar("Value")

WHERE = "packet"  # how error messages name the invalid input
MAX_QUOTED_CHARACTERS = 40  # of an unknown packet kind, in an error message
QUOTA_USAGE_KEY = "budgets"  # a key of the JSON object `learned`


class PacketKind(StrEnum):
    """The kinds of packets: the values of the JSON key `kind`."""

    HELLO = "Hello"
    WELCOME = "Welcome"
    SERVING = "Serving"
    STATE_HANDOVER = "Ceded"
    SESSION_HANDOVER = "Standing"


@dataclass(frozen=True, slots=True)
class Hello:
    """The first packet of the successor: it identifies the node.

    Attributes:
        name: the node's name.
        listen: the address at which the node accepts clients, as host:port.

    """

    name: str
    listen: str


@dataclass(frozen=True, slots=True)
class Welcome:
    """The predecessor's endpoint list. The descriptor of its listening socket is sent with this packet."""

    endpoints: EndpointList


@dataclass(frozen=True, slots=True)
class Serving:
    """The successor reports that it can serve: from now on it accepts all new clients."""


@dataclass(frozen=True, slots=True)
class BalancerState:
    """What the predecessor's balancer has learned; the successor continues from it.

    Attributes:
        learned: the state of the balancer as a JSON object, which `policy.state_export` writes.
        quota_usage: sessions charged to each quota in the last quota window; None if the node has no cluster.

    """

    learned: JsonObject
    quota_usage: dict[str, int] | None = None


@dataclass(frozen=True, slots=True)
class StateHandover:
    """What the successor has to know, sent when the predecessor has stopped accepting clients.

    Attributes:
        balancer_state: what the predecessor's balancer has learned.
        session_ids: ids of the sessions that are open at the predecessor.
        descriptor_count: how many file descriptors the predecessor has open or reserved.
        draining_for_s: seconds since the current drain started; None if the predecessor is not draining.
        clock_offset_us: Unix time minus monotonic clock when the predecessor started, in microseconds.

    """

    balancer_state: BalancerState
    session_ids: list[str]
    descriptor_count: int
    draining_for_s: float | None
    clock_offset_us: int


@dataclass(frozen=True, slots=True)
class SessionHandover:
    """An established session that the successor continues.

    The descriptors of the connections to its client and to its upstream are sent with it, in this order.

    Attributes:
        request_line: the client's first line, which opened the session.
        upstream: the upstream's name.
        load: the load that the session causes, in microseconds of work a second.
        unanswered_since_us: when the client sent the first line that is not yet answered; 0 if all lines are.
        outcome_at_end: number of the `Outcome` to record if the upstream ends its connection.
        client_unread: bytes that were received from the client and not yet passed on.
        upstream_unread: bytes that were received from the upstream and not yet passed on.

    """

    request_line: bytes
    upstream: str
    load: float
    unanswered_since_us: int
    outcome_at_end: int
    client_unread: bytes
    upstream_unread: bytes


Packet = Hello | Welcome | Serving | StateHandover | SessionHandover


def encode_packet(packet: Packet) -> bytes:
    """Return a packet as JSON text."""
    match packet:
        case Hello():
            kind, body = PacketKind.HELLO, _write_hello(packet)
        case Welcome():
            kind, body = PacketKind.WELCOME, _write_welcome(packet)
        case Serving():
            kind, body = PacketKind.SERVING, {}
        case StateHandover():
            kind, body = PacketKind.STATE_HANDOVER, _write_state_handover(packet)
        case SessionHandover():
            kind, body = PacketKind.SESSION_HANDOVER, _write_session_handover(packet)
    return orjson.dumps({"kind": kind.value, **body})


def decode_packet(body: bytes) -> Packet:
    """Parse the JSON text of a packet.

    Raises:
        ProtocolError: the text is not a JSON object of a known kind with all required keys.

    """
    try:
        raw = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise ProtocolError(WHERE, f"not valid JSON ({error})") from None
    if not isinstance(raw, dict):
        raise ProtocolError(WHERE, "not a JSON object")
    kind = _required(raw, "kind", str)
    read = READERS.get(kind)
    if read is None:
        raise ProtocolError(WHERE, f"unknown packet kind {kind[:MAX_QUOTED_CHARACTERS]!r}")
    return read(raw)


# Conversion of each kind of packet to and from its JSON object.


def _write_hello(packet: Hello) -> JsonObject:
    return {"name": packet.name, "listen": packet.listen}


def _read_hello(raw: JsonObject) -> Hello:
    return Hello(name=_required(raw, "name", str), listen=_required(raw, "listen", str))


def _write_welcome(packet: Welcome) -> JsonObject:
    return {"members": endpoint_list_to_json(packet.endpoints)}


def _read_welcome(raw: JsonObject) -> Welcome:
    return Welcome(parse_endpoint_list(_required(raw, "members", dict), f"{WHERE}.members"))


def _read_serving(_raw: JsonObject) -> Serving:
    return Serving()


def _write_state_handover(packet: StateHandover) -> JsonObject:
    return {
        "learned": _write_balancer_state(packet.balancer_state),
        "idents": packet.session_ids,
        "holds": packet.descriptor_count,
        "drained_s": packet.draining_for_s,
        "clock_us": packet.clock_offset_us,
    }


def _read_state_handover(raw: JsonObject) -> StateHandover:
    draining_for_s = raw.get("drained_s")
    descriptor_count = _required(raw, "holds", int)
    if descriptor_count < 0 or (isinstance(draining_for_s, NUMBER) and draining_for_s < 0):
        raise ProtocolError(WHERE, "holds and drained_s must not be negative")
    return StateHandover(
        balancer_state=_read_balancer_state(_required(raw, "learned", dict)),
        session_ids=[str(session_id) for session_id in _required(raw, "idents", list)],
        descriptor_count=descriptor_count,
        draining_for_s=float(draining_for_s) if isinstance(draining_for_s, NUMBER) else None,
        clock_offset_us=_required(raw, "clock_us", int),
    )


def _write_balancer_state(state: BalancerState) -> JsonObject:
    if state.quota_usage is None:
        return state.learned
    return {**state.learned, QUOTA_USAGE_KEY: state.quota_usage}


def _read_balancer_state(raw: JsonObject) -> BalancerState:
    learned = {key: value for key, value in raw.items() if key != QUOTA_USAGE_KEY}
    raw_usage = raw.get(QUOTA_USAGE_KEY)
    if not isinstance(raw_usage, dict):
        return BalancerState(learned)
    return BalancerState(learned, {quota: _required(raw_usage, quota, int) for quota in raw_usage})


def _write_session_handover(packet: SessionHandover) -> JsonObject:
    return {
        "line": _write_bytes(packet.request_line),
        "host": packet.upstream,
        "load": packet.load,
        "asked_at": packet.unanswered_since_us,
        "last": packet.outcome_at_end,
        "client_early": _write_bytes(packet.client_unread),
        "host_early": _write_bytes(packet.upstream_unread),
    }


def _read_session_handover(raw: JsonObject) -> SessionHandover:
    return SessionHandover(
        request_line=_read_bytes(raw, "line"),
        upstream=_required(raw, "host", str),
        load=float(_required(raw, "load", NUMBER)),
        unanswered_since_us=_required(raw, "asked_at", int),
        outcome_at_end=_required(raw, "last", int),
        client_unread=_read_bytes(raw, "client_early"),
        upstream_unread=_read_bytes(raw, "host_early"),
    )


READERS: Mapping[str, Callable[[JsonObject], Packet]] = {
    PacketKind.HELLO: _read_hello,
    PacketKind.WELCOME: _read_welcome,
    PacketKind.SERVING: _read_serving,
    PacketKind.STATE_HANDOVER: _read_state_handover,
    PacketKind.SESSION_HANDOVER: _read_session_handover,
}


# Conversion of single values.


def _required(raw: JsonObject, key: str, kind: type[Value] | tuple[type[Value], ...]) -> Value:
    return required(raw, key, kind, WHERE, error=ProtocolError)


def _write_bytes(data: bytes) -> str:
    """Return a string with one character for each byte, with the code point of the byte's value."""
    return data.decode("latin-1")


def _read_bytes(raw: JsonObject, key: str) -> bytes:
    try:
        return _required(raw, key, str).encode("latin-1")
    except UnicodeEncodeError:
        raise ProtocolError(WHERE, f"{key} has characters above U+00FF, which are not bytes") from None
