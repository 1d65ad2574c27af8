"""Reading the wire's JSON: shapes checked at the door, names turned into larchlatch's own."""

from __future__ import annotations

from typing import Any

from larchlatch.links import Group, Outcome, Repeat, State, Tariff, Terms

OUTCOMES = {
    "pass": Outcome.ENDED,
    "no_room": Outcome.REFUSED,
    "no_route": Outcome.UNREACHED,
    "stale_send": Outcome.UNSENT,
    "fault": Outcome.FAULT,
    "too_slow": Outcome.SILENT,
    "cut": Outcome.CUT,
    "undone": Outcome.CANCELLED,
}
STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}
REPEATS = {
    "idempotent": Repeat.RERUNNABLE,
    "deduplicated": Repeat.TICKETED,
    "at_most_once": Repeat.EXCLUSIVE,
}
MID_FLOW = 8
HINT_VALID = 1
LOAD_NOTE = 1
DELAY_NOTE = 2

NUMBER = (int, float)
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


class BadInput(Exception):
    """Something on the wire is not as its page says; the text says what and where."""


def need(holder: dict[str, Any], item: str, kind: Any, where: str) -> Any:
    """The item of that name, or a plain complaint."""
    if item not in holder:
        raise BadInput(f"{where}: {item} is missing")
    value = holder[item]
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise BadInput(f"{where}: {item} has the wrong type ({type(value).__name__})")
    return value


def checked(row: Any, items: tuple[tuple[str, Any], ...], where: str) -> list[Any]:
    """The row's values, None for those left off at its end, once each has a type that its item may have."""
    if not isinstance(row, list):
        raise BadInput(f"{where}: not an array")
    values = row[: len(items)] + [None] * (len(items) - len(row))
    for value, (item, kind) in zip(values, items, strict=True):
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            problem = "is missing" if value is None else f"has the wrong type ({type(value).__name__})"
            raise BadInput(f"{where}: {item} {problem}")
    return values


def message(raw: Any) -> tuple[str, list[Any]]:
    """A message's name and its checked values."""
    if not isinstance(raw, list) or not raw or not isinstance(raw[0], str):
        raise BadInput("message: not an array that opens with a name")
    items = MESSAGES.get(raw[0])
    if items is None:
        raise BadInput(f"message: unknown name {raw[0]!r}")
    return raw[0], checked(raw[1:], items, raw[0])


def known(value: str, names: dict[str, Any], where: str) -> Any:
    """What the wire's word stands for."""
    if value not in names:
        raise BadInput(f"{where}: unknown value {value!r}")
    return names[value]


def terms_of(conf: dict[str, Any]) -> Terms:
    """The settings that decisions read."""
    top = "POWER_ON: conf"
    caps = need(conf, "caps", dict, top)
    rules = need(conf, "rules", dict, top)
    telemetry = need(conf, "telemetry", dict, top)
    domain = conf.get("domain") or {}
    need(conf, "areas", list, top)
    message_us = domain.get("message_aim_us") or []
    tariffs = []
    for place, entry in enumerate(need(conf, "tariffs", list, top)):
        where = f"{top}.tariffs[{place}]"
        if not isinstance(entry, dict):
            raise BadInput(f"{where}: not an object")
        tariffs.append(
            Tariff(
                expected_us=int(need(entry, "expected_time_us", NUMBER, where)),
                message_us=int(message_us[place]) if place < len(message_us) else 0,
                repeat=known(need(entry, "effect", str, where), REPEATS, f"{where}.effect"),
                group=known(entry.get("group") or "all", {g.value: g for g in Group}, f"{where}.group"),
                memory_us=int(entry.get("repeat_window_us") or 0),
            )
        )
    probes = bool(caps.get("probes"))
    fields = telemetry.get("fields") or []
    return Terms(
        me=need(conf, "me", int, top),
        nodes=max(1, need(conf, "peers_total", int, top)),
        tariffs=tuple(tariffs),
        grouped=bool(domain.get("groups")),
        sized=conf.get("weights") in ("nominal", "rough"),
        asked_list=need(conf, "discovery", str, top) == "on_request",
        probes=probes,
        probe_tells_load=probes and telemetry.get("via") != "none" and "x0" in fields,
        most_tries=need(caps, "most_setup_tries", int, f"{top}.caps"),
        longest_return_us=int(caps.get("max_retry_after_us") or 0) if caps.get("retry_after") else 0,
        ask_within_us=int(need(rules, "ask_within_us", NUMBER, f"{top}.rules")),
        cold_from=float(need(rules, "cold_from", NUMBER, f"{top}.rules")),
        cold_us=int(need(rules, "cold_us", NUMBER, f"{top}.rules")),
        tip_multiple=float(need(rules, "tip_multiple", NUMBER, f"{top}.rules")),
        tip_after_us=int(need(rules, "tip_after_us", NUMBER, f"{top}.rules")),
    )
