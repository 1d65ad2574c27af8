"""The deployment settings: the object `settings` of a configuration, also sent by the simulator."""

from __future__ import annotations

from typing import Any

from larchlatch.config.reading import NUMBER, non_negative_int, one_of, optional, required
from larchlatch.errors import ConfigurationError
from larchlatch.policy.types import DedupScope, DeploymentSettings, Idempotency, TrafficClass

# Words of the key `effect`.
IDEMPOTENCY_BY_EFFECT = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.KEYED,
    "at_most_once": Idempotency.NON_IDEMPOTENT,
}
# Words of the key `group` of a traffic class.
DEDUP_SCOPE_BY_GROUP = {scope.value: scope for scope in DedupScope}
DEFAULT_GROUP = DedupScope.ALL.value


def read_deployment_settings(raw: dict[str, Any], where: str) -> DeploymentSettings:
    """Return the settings that decisions depend on, checked and with their defaults.

    Args:
        raw: The JSON object that holds the settings.
        where: The place of that object, for the messages.

    Raises:
        ConfigurationError: A value is missing or wrong.

    """
    caps = required(raw, "caps", dict, where)
    rules = required(raw, "rules", dict, where)
    telemetry = required(raw, "telemetry", dict, where)
    domain = optional(raw, "domain", dict, where, {})
    required(raw, "areas", list, where)
    traffic_classes = _read_traffic_classes(raw, domain, where)
    probes = bool(caps.get("probes"))
    reports_load = _reports_load(telemetry, f"{where}.telemetry")
    max_retry_after_us = non_negative_int(caps, "max_retry_after_us", f"{where}.caps", 0)
    return DeploymentSettings(
        me=required(raw, "me", int, where),
        nodes=max(1, required(raw, "peers_total", int, where)),
        traffic_classes=traffic_classes,
        uses_groups=bool(domain.get("groups")),
        weighted=raw.get("weights") in ("nominal", "rough"),
        polls_discovery=required(raw, "discovery", str, where) == "on_request",
        probes=probes,
        can_cancel=bool(caps.get("cancel")),
        probes_report_load=probes and reports_load,
        reports_delay=bool(domain.get("tells_delay")),
        max_attempts=required(caps, "most_setup_tries", int, f"{where}.caps"),
        max_retry_after_us=max_retry_after_us if caps.get("retry_after") else 0,
        poll_within_us=non_negative_int(rules, "ask_within_us", f"{where}.rules"),
        slow_start_min_share=float(required(rules, "cold_from", NUMBER, f"{where}.rules")),
        slow_start_us=max(1, non_negative_int(rules, "cold_us", f"{where}.rules")),
        overload_multiple=float(required(rules, "tip_multiple", NUMBER, f"{where}.rules")),
        overload_window_us=max(1, non_negative_int(rules, "tip_after_us", f"{where}.rules")),
    )


def _read_traffic_classes(
    raw: dict[str, Any], domain: dict[str, Any], where: str
) -> tuple[TrafficClass, ...]:
    """Return the traffic classes in the order of the key `tariffs`."""
    objectives = optional(domain, "message_aim_us", list, f"{where}.domain", [])
    traffic_classes = []
    for index, entry in enumerate(required(raw, "tariffs", list, where)):
        if not isinstance(entry, dict):
            raise ConfigurationError(f"{where}.tariffs[{index}]", "not an object")
        objective = objectives[index] if index < len(objectives) else 0
        if not isinstance(objective, NUMBER):
            raise ConfigurationError(
                f"{where}.domain", f"message_aim_us[{index}] has the wrong type ({type(objective).__name__})"
            )
        traffic_classes.append(_read_traffic_class(entry, int(objective), f"{where}.tariffs[{index}]"))
    return tuple(traffic_classes)


def _read_traffic_class(entry: dict[str, Any], message_objective_us: int, where: str) -> TrafficClass:
    """Return one traffic class; its objective for messages stands apart from its entry."""
    latency_objective_us = non_negative_int(entry, "expected_time_us", where)
    effect = required(entry, "effect", str, where)
    idempotency = one_of(effect, IDEMPOTENCY_BY_EFFECT, f"{where}.effect")
    group = optional(entry, "group", str, where, "") or DEFAULT_GROUP
    return TrafficClass(
        latency_objective_us=latency_objective_us,
        message_objective_us=message_objective_us,
        idempotency=idempotency,
        dedup_scope=one_of(group, DEDUP_SCOPE_BY_GROUP, f"{where}.group"),
        dedup_window_us=non_negative_int(entry, "repeat_window_us", where, 0),
    )


def _reports_load(telemetry: dict[str, Any], where: str) -> bool:
    """Return whether the answers to probes carry the load of their upstream."""
    fields = optional(telemetry, "fields", list, where, [])
    return telemetry.get("via") != "none" and "x0" in fields
