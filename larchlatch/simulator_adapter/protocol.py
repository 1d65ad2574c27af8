"""The simulator's wire protocol: decodes rows of JSON to typed messages, and encodes actions.

Only this module and the envelope of a batch in `main` use the names of the wire. A row is an array: the name
of its message, then the values of its fields. It is checked against its fields before it is decoded. Fields
that are left off at the end of a row are None; surplus values at its end are ignored.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from larchlatch.config.reading import NUMBER, one_of
from larchlatch.errors import ProtocolError
from larchlatch.policy.types import EndpointState, Outcome, ProbeResult
from larchlatch.simulator_adapter.messages import (
    AttemptEnded,
    ClientGone,
    DelayMeasured,
    DiscoveryFailed,
    EndpointListDefined,
    EndpointListKind,
    EndpointListReceived,
    EndpointRow,
    Ignored,
    LoadMeasured,
    Message,
    NodeKilled,
    NodeStarted,
    ProbeEnded,
    SessionDescription,
    SessionEstablished,
    SessionInherited,
    SessionRequested,
)

if TYPE_CHECKING:
    from collections.abc import Callable

OUTCOMES = {
    "pass": Outcome.COMPLETED,
    "no_room": Outcome.REJECTED,
    "no_route": Outcome.CONNECT_FAILED,
    "stale_send": Outcome.NOT_SENT,
    "fault": Outcome.ERROR,
    "too_slow": Outcome.TIMED_OUT,
    "cut": Outcome.RESET,
    "undone": Outcome.CANCELLED,
}
ENDPOINT_STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}

ENDPOINT_LIST_KINDS = {
    "diff": EndpointListKind.CHANGES,
    "snapshot": EndpointListKind.COMPLETE,
    "disk": EndpointListKind.STORED,
}

# Bits of the flags of a session.
LOAD_HINT_VALID = 1  # the load hint applies
MID_FLOW = 8  # another node has handed the session over after it was established

# Kinds of measurements of an established session.
LOAD_MEASUREMENT = 1  # in microseconds of work per second
DELAY_MEASUREMENT = 2  # in milliseconds

MICROSECONDS_PER_MILLISECOND = 1000


# One action in a reply: the name of the action, then its values.
Action = list[str | int | bool]

Kind = type | tuple[type, ...]
Row = list[Any]


class Field(NamedTuple):
    """A field of a row: its name, for error messages, and the type or types that its value may have."""

    name: str
    kind: Kind


class MessageFormat(NamedTuple):
    """The format of one message: the fields of its row in order, and the function that decodes them."""

    fields: tuple[Field, ...]
    decode: Callable[[Row], Message]


OPTIONAL_INT = (int, type(None))
OPTIONAL_STR = (str, type(None))
OPTIONAL_NUMBER = (int, float, type(None))
OPTIONAL_OBJECT = (dict, type(None))
OPTIONAL_ID = (str, int, type(None))

ENDPOINT_FIELDS = (
    Field("host", str),
    Field("hall", OPTIONAL_STR),
    Field("type", OPTIONAL_STR),
    Field("pack", OPTIONAL_INT),
    Field("lifecycle", str),
    Field("nominal", OPTIONAL_NUMBER),
    Field("came_up_us", OPTIONAL_INT),
)


def checked_row(row: Any, fields: tuple[Field, ...], where: str) -> Row:
    """Return the values of a row, with None for fields that are left off at its end.

    Args:
        row: The row, without the name of its message.
        fields: The fields that the row must have.
        where: The place of the row, for error messages.

    Raises:
        ProtocolError: The row is not an array, or a value has a type that its field may not have.
    """
    if not isinstance(row, list):
        raise ProtocolError(where, f"must be an array, not {type(row).__name__}")
    values = row[: len(fields)] + [None] * (len(fields) - len(row))
    for value, (name, kind) in zip(values, fields, strict=True):
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            problem = "is missing" if value is None else f"has the wrong type ({type(value).__name__})"
            raise ProtocolError(
                where,
                f"{name} {problem}, expected "
                + " or ".join(allowed.__name__ for allowed in (kind if isinstance(kind, tuple) else (kind,))),
            )
    return values


def decode_message(raw: Any) -> Message:
    """Return the typed message that a row encodes.

    Raises:
        ProtocolError: The row is not a message of the wire protocol, or one of its values is not valid.
    """
    if not isinstance(raw, list) or not raw or not isinstance(raw[0], str):
        raise ProtocolError("message", "must be an array that begins with the name of a message")
    message_format = MESSAGE_FORMATS.get(raw[0])
    if message_format is None:
        raise ProtocolError(
            "message", f"unknown name {raw[0]!r}, expected one of {', '.join(MESSAGE_FORMATS)}"
        )
    return message_format.decode(checked_row(raw[1:], message_format.fields, raw[0]))


def endpoint_state(row: EndpointRow) -> EndpointState:
    """Return the state of an endpoint list's entry, which is checked only when a node receives the list.

    Raises:
        ProtocolError: The name of the state is unknown.
    """
    return one_of(row.state_name, ENDPOINT_STATES, "INVENTORY: lifecycle", error=ProtocolError)


def _node_started(row: Row) -> NodeStarted:
    seed, settings = row
    return NodeStarted(seed, settings)


def _node_killed(row: Row) -> NodeKilled:
    return NodeKilled()


def _ignored(row: Row) -> Ignored:
    return Ignored()


def _endpoint_list_defined(row: Row) -> EndpointListDefined:
    slot, entries = row
    return EndpointListDefined(slot, [_endpoint_row(entry) for entry in entries])


def _endpoint_row(entry: Any) -> EndpointRow:
    values = checked_row(entry, ENDPOINT_FIELDS, "INVENTORY: members")
    upstream, zone, _machine_type, cell, state_name, size, started_at = values
    return EndpointRow(upstream, zone, cell, state_name, size, started_at)


def _endpoint_list_received(row: Row) -> EndpointListReceived | DiscoveryFailed:
    slot, mode, _revision = row
    if mode == "error":
        return DiscoveryFailed()
    if mode not in ENDPOINT_LIST_KINDS:
        raise ProtocolError(
            "TOPOLOGY", f"unknown mode {mode!r}, expected one of {', '.join(ENDPOINT_LIST_KINDS)}, error"
        )
    return EndpointListReceived(slot, ENDPOINT_LIST_KINDS[mode])


def _session_requested(row: Row) -> SessionRequested:
    handle, traffic_class, load_hint, key, _tenant, group, deadline, flags = row
    session = _session_description(handle, traffic_class, key, group, deadline, load_hint, flags)
    return SessionRequested(session)


def _session_inherited(row: Row) -> SessionInherited:
    handle, traffic_class, _tenant, key, deadline, load_hint, group, flags, upstream = row
    session = _session_description(handle, traffic_class, key, group, deadline, load_hint, flags)
    return SessionInherited(session, upstream)


def _session_description(
    handle: str,
    traffic_class: str,
    key: int | None,
    group: int | None,
    deadline: int | None,
    load_hint: int | None,
    flags: int | None,
) -> SessionDescription:
    flags = flags or 0
    load = float(load_hint) if flags & LOAD_HINT_VALID and load_hint else 0.0
    return SessionDescription(handle, traffic_class, key, group, deadline or 0, bool(flags & MID_FLOW), load)


def _client_gone(row: Row) -> ClientGone:
    return ClientGone(row[0])


def _session_established(row: Row) -> SessionEstablished:
    return SessionEstablished(row[0])


def _attempt_ended(row: Row) -> AttemptEnded:
    handle, _attempt, _upstream, code, _duration, answered, _load_report = row
    outcome = one_of(code, OUTCOMES, "ATTEMPT_END: state_code", error=ProtocolError)
    return AttemptEnded(handle, outcome, answered)


def _measured(row: Row) -> LoadMeasured | DelayMeasured | Ignored:
    handle, _upstream, _attempt, kind, value = row
    if kind == LOAD_MEASUREMENT:
        return LoadMeasured(handle, float(value))
    if kind == DELAY_MEASUREMENT:
        return DelayMeasured(handle, int(value * MICROSECONDS_PER_MILLISECOND))
    return Ignored()


def _probe_ended(row: Row) -> ProbeEnded:
    code, _duration, upstream, load_report = row
    outcome = one_of(code, OUTCOMES, "ECHO: state_code", error=ProtocolError)
    report = load_report or {}
    utilization = _optional_float(report.get("x0"))
    sessions = _optional_float(report.get("inflight"))
    return ProbeEnded(upstream, ProbeResult(outcome == Outcome.COMPLETED, utilization, sessions))


def _optional_float(value: Any) -> float | None:
    return None if value is None else float(value)


MESSAGE_FORMATS: dict[str, MessageFormat] = {
    "POWER_ON": MessageFormat((Field("seed", int), Field("conf", dict)), _node_started),
    "KILLED": MessageFormat((), _node_killed),
    "INVENTORY": MessageFormat((Field("slot", int), Field("members", list)), _endpoint_list_defined),
    "TOPOLOGY": MessageFormat(
        (Field("slot", OPTIONAL_INT), Field("mode", str), Field("revision", OPTIONAL_INT)),
        _endpoint_list_received,
    ),
    "ASK": MessageFormat(
        (
            Field("handle", str),
            Field("grade", str),
            Field("estimate_us", OPTIONAL_INT),
            Field("entity", OPTIONAL_INT),
            Field("account", OPTIONAL_ID),
            Field("room", OPTIONAL_INT),
            Field("not_after_us", int),
            Field("bitmap", OPTIONAL_INT),
        ),
        _session_requested,
    ),
    "EXISTING": MessageFormat(
        (
            Field("handle", str),
            Field("grade", str),
            Field("account", OPTIONAL_ID),
            Field("entity", OPTIONAL_INT),
            Field("not_after_us", OPTIONAL_INT),
            Field("estimate_us", OPTIONAL_INT),
            Field("room", OPTIONAL_INT),
            Field("bitmap", OPTIONAL_INT),
            Field("host", str),
        ),
        _session_inherited,
    ),
    "CLIENT_GONE": MessageFormat((Field("handle", str),), _client_gone),
    "WHISPER": MessageFormat((Field("author", int), Field("octets", str)), _ignored),
    "ELAPSED": MessageFormat((Field("label", int),), _ignored),
    "ECHO": MessageFormat(
        (
            Field("state_code", str),
            Field("duration_us", OPTIONAL_INT),
            Field("host", str),
            Field("feedback", OPTIONAL_OBJECT),
        ),
        _probe_ended,
    ),
    "UNDER_WAY": MessageFormat(
        (
            Field("handle", str),
            Field("duration_us", OPTIONAL_INT),
            Field("host", str),
            Field("leg", int),
        ),
        _session_established,
    ),
    "ATTEMPT_END": MessageFormat(
        (
            Field("handle", str),
            Field("leg", int),
            Field("host", str),
            Field("state_code", str),
            Field("duration_us", OPTIONAL_INT),
            Field("done_flag", bool),
            Field("feedback", OPTIONAL_OBJECT),
        ),
        _attempt_ended,
    ),
    "INTERIM": MessageFormat(
        (
            Field("handle", str),
            Field("host", str),
            Field("leg", int),
            Field("what", int),
            Field("level", NUMBER),
        ),
        _measured,
    ),
}


def attempt_action(handle: str, upstream: str, give_up_at: int) -> Action:
    """Return the action that sends a session's attempt to an upstream, and the time at which it times out."""
    return ["TRANSMIT", handle, upstream, give_up_at]


def shed_action(handle: str, retry_after_us: int) -> Action:
    """Return the action that sheds a session and advises when its client may retry; 0 for no advice."""
    return ["PUSH_BACK", handle, retry_after_us]


def fail_action(handle: str) -> Action:
    """Return the action that fails a session."""
    return ["DROP_REQUEST", handle]


def probe_action(upstream: str) -> Action:
    """Return the action that probes an upstream."""
    return ["POLL", upstream]


def migrate_action(handle: str) -> Action:
    """Return the action that migrates a session."""
    return ["REASSIGN", handle]


def cancel_action(handle: str, attempt: int) -> Action:
    """Return the action that cancels a session's attempt; attempts are numbered from 0."""
    return ["REVOKE", handle, attempt]


def poll_endpoints_action() -> Action:
    """Return the action that polls the endpoint list."""
    return ["TAIL", True]


def wake_action(delay_us: int) -> Action:
    """Return the action that asks the simulator to wake the node after a delay."""
    return ["WAKE_ME", delay_us, 0]


def crash_action(error: Exception) -> Action:
    """Return the action that reports an unexpected exception in place of a node's decisions."""
    return ["CRASH", f"{type(error).__name__}: {error}"]
