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
        cancels=bool(caps.get("cancel")),
        probe_tells_load=probes and telemetry.get("via") != "none" and "x0" in fields,
        late_told=bool(domain.get("tells_delay")),
        most_tries=need(caps, "most_setup_tries", int, f"{top}.caps"),
        longest_return_us=int(caps.get("max_retry_after_us") or 0) if caps.get("retry_after") else 0,
        ask_within_us=int(need(rules, "ask_within_us", NUMBER, f"{top}.rules")),
        cold_from=float(need(rules, "cold_from", NUMBER, f"{top}.rules")),
        cold_us=int(need(rules, "cold_us", NUMBER, f"{top}.rules")),
        tip_multiple=float(need(rules, "tip_multiple", NUMBER, f"{top}.rules")),
        tip_after_us=int(need(rules, "tip_after_us", NUMBER, f"{top}.rules")),
    )
