"""The one reader of the settings: shapes checked, names turned into larchlatch's own."""

from __future__ import annotations

from typing import Any

from larchlatch.links import Group, Repeat, Tariff, Terms

REPEATS = {
    "idempotent": Repeat.RERUNNABLE,
    "deduplicated": Repeat.TICKETED,
    "at_most_once": Repeat.EXCLUSIVE,
}

NUMBER = (int, float)
MOST = 2**53  # beyond it a number in JSON is no longer exact: microseconds of centuries


class BadInput(Exception):
    """Something that came in is not as its page says; the text says what and where."""


def need(holder: dict[str, Any], item: str, kind: Any, where: str) -> Any:
    """The item of that name, or a plain complaint."""
    if item not in holder:
        raise BadInput(f"{where}: {item} is missing")
    value = holder[item]
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise BadInput(f"{where}: {item} has the wrong type ({type(value).__name__})")
    return value


def maybe(holder: dict[str, Any], item: str, kind: Any, where: str, default: Any) -> Any:
    """The item of that name, the default where it is missing or null, or a plain complaint."""
    return default if holder.get(item) is None else need(holder, item, kind, where)


def whole(holder: dict[str, Any], item: str, where: str, default: int | None = None) -> int:
    """A number of at least 0 as a whole one: lengths of time, counts."""
    value = (
        need(holder, item, NUMBER, where) if default is None else maybe(holder, item, NUMBER, where, default)
    )
    if not 0 <= value < MOST:
        raise BadInput(f"{where}: {item} is out of range ({value})")
    return int(value)


def known(value: str, names: dict[str, Any], where: str) -> Any:
    """What the wire's word stands for."""
    if value not in names:
        raise BadInput(f"{where}: unknown value {value!r}")
    return names[value]


def terms_of(conf: dict[str, Any], top: str) -> Terms:
    """The settings that decisions read; top: what the complaints call the object that holds them."""
    caps = need(conf, "caps", dict, top)
    rules = need(conf, "rules", dict, top)
    telemetry = need(conf, "telemetry", dict, top)
    domain = maybe(conf, "domain", dict, top, {})
    need(conf, "areas", list, top)
    message_us = maybe(domain, "message_aim_us", list, f"{top}.domain", [])
    tariffs = []
    for place, entry in enumerate(need(conf, "tariffs", list, top)):
        where = f"{top}.tariffs[{place}]"
        if not isinstance(entry, dict):
            raise BadInput(f"{where}: not an object")
        wanted = message_us[place] if place < len(message_us) else 0
        if not isinstance(wanted, NUMBER):
            raise BadInput(
                f"{top}.domain: message_aim_us[{place}] has the wrong type ({type(wanted).__name__})"
            )
        tariffs.append(
            Tariff(
                expected_us=whole(entry, "expected_time_us", where),
                message_us=int(wanted),
                repeat=known(need(entry, "effect", str, where), REPEATS, f"{where}.effect"),
                group=known(
                    maybe(entry, "group", str, where, "") or "all",
                    {g.value: g for g in Group},
                    f"{where}.group",
                ),
                memory_us=whole(entry, "repeat_window_us", where, 0),
            )
        )
    probes = bool(caps.get("probes"))
    fields = maybe(telemetry, "fields", list, f"{top}.telemetry", [])
    longest_return_us = whole(caps, "max_retry_after_us", f"{top}.caps", 0)
    return Terms(
        me=need(conf, "me", int, top),
        nodes=max(1, need(conf, "peers_total", int, top)),
        tariffs=tuple(tariffs),
        grouped=bool(domain.get("groups")),
        sized=conf.get("weights") in ("nominal", "rough"),
        asked_list=need(conf, "discovery", str, top) == "on_request",
        probes=probes,
        cancels=bool(caps.get("cancel")),
        probe_tells_load=probes and telemetry.get("via") != "none" and "x0" in fields,
        late_told=bool(domain.get("tells_delay")),
        most_tries=need(caps, "most_setup_tries", int, f"{top}.caps"),
        longest_return_us=longest_return_us if caps.get("retry_after") else 0,
        ask_within_us=whole(rules, "ask_within_us", f"{top}.rules"),
        cold_from=float(need(rules, "cold_from", NUMBER, f"{top}.rules")),
        cold_us=max(1, whole(rules, "cold_us", f"{top}.rules")),
        tip_multiple=float(need(rules, "tip_multiple", NUMBER, f"{top}.rules")),
        tip_after_us=max(1, whole(rules, "tip_after_us", f"{top}.rules")),
    )
