"""Reading the wire's JSON: shapes checked at the door, names turned into larchlatch's own."""

from __future__ import annotations

from typing import Any

from larchlatch.config.reading import NUMBER
from larchlatch.errors import ProtocolError
from larchlatch.policy.types import EndpointState, Outcome

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
STATES = {"SERVING": EndpointState.READY, "DRAINING": EndpointState.DRAINING, "DELETED": EndpointState.GONE}
MID_FLOW = 8
HINT_VALID = 1
LOAD_NOTE = 1
DELAY_NOTE = 2

OPTIONAL_INT = (int, type(None))
# Each message: its items in the wire's order, with the types that each may have.
MESSAGES: dict[str, tuple[tuple[str, Any], ...]] = {
    "POWER_ON": (("seed", int), ("conf", dict)),
    "INVENTORY": (("slot", int), ("members", list)),
    "TOPOLOGY": (("slot", OPTIONAL_INT), ("mode", str), ("revision", OPTIONAL_INT)),
    "ASK": (
        ("handle", str),
        ("grade", str),
        ("estimate_us", OPTIONAL_INT),
        ("entity", OPTIONAL_INT),
        ("account", (str, int, type(None))),
        ("room", OPTIONAL_INT),
        ("not_after_us", int),
        ("bitmap", OPTIONAL_INT),
    ),
    "EXISTING": (
        ("handle", str),
        ("grade", str),
        ("account", (str, int, type(None))),
        ("entity", OPTIONAL_INT),
        ("not_after_us", OPTIONAL_INT),
        ("estimate_us", OPTIONAL_INT),
        ("room", OPTIONAL_INT),
        ("bitmap", OPTIONAL_INT),
        ("host", str),
    ),
    "CLIENT_GONE": (("handle", str),),
    "WHISPER": (("author", int), ("octets", str)),
    "ELAPSED": (("label", int),),
    "ECHO": (
        ("state_code", str),
        ("duration_us", OPTIONAL_INT),
        ("host", str),
        ("feedback", (dict, type(None))),
    ),
    "UNDER_WAY": (("handle", str), ("duration_us", OPTIONAL_INT), ("host", str), ("leg", int)),
    "KILLED": (),
    "ATTEMPT_END": (
        ("handle", str),
        ("leg", int),
        ("host", str),
        ("state_code", str),
        ("duration_us", OPTIONAL_INT),
        ("done_flag", bool),
        ("feedback", (dict, type(None))),
    ),
    "INTERIM": (("handle", str), ("host", str), ("leg", int), ("what", int), ("level", NUMBER)),
}
LISTED = (
    ("host", str),
    ("hall", (str, type(None))),
    ("type", (str, type(None))),
    ("pack", OPTIONAL_INT),
    ("lifecycle", str),
    ("nominal", (int, float, type(None))),
    ("came_up_us", OPTIONAL_INT),
)


def checked(row: Any, items: tuple[tuple[str, Any], ...], where: str) -> list[Any]:
    """The row's values, None for those left off at its end, once each has a type that its item may have."""
    if not isinstance(row, list):
        raise ProtocolError(where, "not an array")
    values = row[: len(items)] + [None] * (len(items) - len(row))
    for value, (item, kind) in zip(values, items, strict=True):
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            problem = "is missing" if value is None else f"has the wrong type ({type(value).__name__})"
            raise ProtocolError(where, f"{item} {problem}")
    return values


def message(raw: Any) -> tuple[str, list[Any]]:
    """A message's name and its checked values."""
    if not isinstance(raw, list) or not raw or not isinstance(raw[0], str):
        raise ProtocolError("message", "not an array that opens with a name")
    items = MESSAGES.get(raw[0])
    if items is None:
        raise ProtocolError("message", f"unknown name {raw[0]!r}")
    return raw[0], checked(raw[1:], items, raw[0])
