"""The one reader of the settings: shapes checked, names turned into larchlatch's own."""

from __future__ import annotations

from typing import Any

from larchlatch.errors import InvalidInputError
from larchlatch.policy.types import DedupScope, DeploymentSettings, Idempotency, TrafficClass

REPEATS = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.KEYED,
    "at_most_once": Idempotency.NON_IDEMPOTENT,
}

NUMBER = (int, float)
MOST = 2**53  # beyond it a number in JSON is no longer exact: microseconds of centuries


def need(holder: dict[str, Any], item: str, kind: Any, where: str) -> Any:
    """The item of that name, or a plain complaint."""
    if item not in holder:
        raise InvalidInputError(where, f"{item} is missing")
    value = holder[item]
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise InvalidInputError(where, f"{item} has the wrong type ({type(value).__name__})")
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
        raise InvalidInputError(where, f"{item} is out of range ({value})")
    return int(value)


def known(value: str, names: dict[str, Any], where: str) -> Any:
    """What the wire's word stands for."""
    if value not in names:
        raise InvalidInputError(where, f"unknown value {value!r}")
    return names[value]


def read_deployment_settings(conf: dict[str, Any], top: str) -> DeploymentSettings:
    """The settings that decisions read; top: what the complaints call the object that holds them."""
    caps = need(conf, "caps", dict, top)
    rules = need(conf, "rules", dict, top)
    telemetry = need(conf, "telemetry", dict, top)
    domain = maybe(conf, "domain", dict, top, {})
    need(conf, "areas", list, top)
    message_objective_us = maybe(domain, "message_aim_us", list, f"{top}.domain", [])
    traffic_classes = []
    for place, entry in enumerate(need(conf, "tariffs", list, top)):
        where = f"{top}.tariffs[{place}]"
        if not isinstance(entry, dict):
            raise InvalidInputError(where, "not an object")
        wanted = message_objective_us[place] if place < len(message_objective_us) else 0
        if not isinstance(wanted, NUMBER):
            raise InvalidInputError(
                f"{top}.domain", f"message_aim_us[{place}] has the wrong type ({type(wanted).__name__})"
            )
        traffic_classes.append(
            TrafficClass(
                latency_objective_us=whole(entry, "expected_time_us", where),
                message_objective_us=int(wanted),
                idempotency=known(need(entry, "effect", str, where), REPEATS, f"{where}.effect"),
                dedup_scope=known(
                    maybe(entry, "group", str, where, "") or "all",
                    {g.value: g for g in DedupScope},
                    f"{where}.group",
                ),
                dedup_window_us=whole(entry, "repeat_window_us", where, 0),
            )
        )
    probes = bool(caps.get("probes"))
    fields = maybe(telemetry, "fields", list, f"{top}.telemetry", [])
    max_retry_after_us = whole(caps, "max_retry_after_us", f"{top}.caps", 0)
    return DeploymentSettings(
        me=need(conf, "me", int, top),
        nodes=max(1, need(conf, "peers_total", int, top)),
        traffic_classes=tuple(traffic_classes),
        uses_groups=bool(domain.get("groups")),
        weighted=conf.get("weights") in ("nominal", "rough"),
        polls_discovery=need(conf, "discovery", str, top) == "on_request",
        probes=probes,
        can_cancel=bool(caps.get("cancel")),
        probes_report_load=probes and telemetry.get("via") != "none" and "x0" in fields,
        reports_delay=bool(domain.get("tells_delay")),
        max_attempts=need(caps, "most_setup_tries", int, f"{top}.caps"),
        max_retry_after_us=max_retry_after_us if caps.get("retry_after") else 0,
        poll_within_us=whole(rules, "ask_within_us", f"{top}.rules"),
        slow_start_min_share=float(need(rules, "cold_from", NUMBER, f"{top}.rules")),
        slow_start_us=max(1, whole(rules, "cold_us", f"{top}.rules")),
        overload_multiple=float(need(rules, "tip_multiple", NUMBER, f"{top}.rules")),
        overload_window_us=max(1, whole(rules, "tip_after_us", f"{top}.rules")),
    )
