"""Reads the deployment settings: the object `settings` of a configuration file.

The simulator sends the same object. No other module reads its keys.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from xxhash import xxh3_64_intdigest

from larchlatch.config.reading import (
    EXACT_INTEGER_LIMIT,
    integer_from,
    is_number,
    non_negative_int,
    number_between,
    one_of,
    optional,
    required,
)
from larchlatch.errors import ConfigurationError
from larchlatch.policy.types import (
    UNKNOWN_PLACE,
    DedupScope,
    DeploymentSettings,
    Idempotency,
    TrafficClass,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

# Meaning of the values of the key `effect` of a traffic class.
IDEMPOTENCY_BY_EFFECT = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.KEYED,
    "at_most_once": Idempotency.NON_IDEMPOTENT,
}
# Meaning of the values of the key `group` of a traffic class.
DEDUP_SCOPE_BY_GROUP = {scope.value: scope for scope in DedupScope}
DEFAULT_GROUP = DedupScope.ALL.value

STABLE_SIZES = ("nominal", "rough")  # values of the key `weights` that promise stable sizes
POLLED_DISCOVERY = "on_request"  # value of the key `discovery`
PASS_THROUGH_MODE = "pass"  # value of the key `mode` of the object `domain`
NO_TELEMETRY = "none"  # value of the key `via` of the object `telemetry`
LOAD_FIELD = "x0"  # name of the utilization in the key `fields` of the object `telemetry`

DEFAULT_CONNECT_TIMEOUT_US = 250_000
SMALLEST_SHARE = 0.001  # of an upstream's capacity
UNNAMED_ZONES_FROM = 2**32  # numbers of zones that the settings do not name; above those that they name


@dataclass(frozen=True, slots=True)
class Deployment:
    """The settings of a deployment that a node needs to serve clients over sockets.

    Attributes:
        settings: The settings on which the balancer's decisions depend.
        traffic_class_names: Names of the traffic classes, in the order of `settings.traffic_classes`.
        tenants: Names of the tenants that clients belong to.
        zones: Names of the zones; the position of a name is the number by which the balancer knows the zone.
        connect_timeout_us: The time allowed for establishing a connection to an upstream.
        passes_through: Whether packets of established sessions bypass the node's process.
        max_deadline_us: The longest deadline of any traffic class; 0 if there are no traffic classes.

    """

    settings: DeploymentSettings
    traffic_class_names: list[str]
    tenants: list[str]
    zones: list[str]
    connect_timeout_us: int
    passes_through: bool
    max_deadline_us: int


class _Sections(NamedTuple):
    """The JSON objects nested in the deployment settings."""

    capabilities: dict[str, Any]
    rules: dict[str, Any]
    telemetry: dict[str, Any]
    domain: dict[str, Any]


def read_deployment(raw: dict[str, Any], where: str) -> Deployment:
    """Return the settings of a node that serves clients over sockets, validated and with defaults.

    Args:
        raw: The JSON object that holds the settings.
        where: The location of that object, for error messages.

    Raises:
        ConfigurationError: A value is missing or wrong.

    """
    settings = read_deployment_settings(raw, where)
    sections = _read_sections(raw, where)
    return Deployment(
        settings=settings,
        traffic_class_names=_read_names(raw["tariffs"], f"{where}.tariffs"),
        tenants=_read_names(optional(raw, "tenants", list, where, []), f"{where}.tenants"),
        zones=[str(zone) for zone in raw["areas"]],
        connect_timeout_us=_read_connect_timeout_us(sections.capabilities, f"{where}.caps"),
        passes_through=sections.domain.get("mode") == PASS_THROUGH_MODE,
        max_deadline_us=_read_max_deadline_us(raw["tariffs"], f"{where}.tariffs"),
    )


def read_deployment_settings(raw: dict[str, Any], where: str) -> DeploymentSettings:
    """Return the settings on which the balancer's decisions depend, validated and with defaults.

    Args:
        raw: The JSON object that holds the settings.
        where: The location of that object, for error messages.

    Raises:
        ConfigurationError: A value is missing or wrong.

    """
    capabilities, rules, telemetry, domain = _read_sections(raw, where)
    required(raw, "areas", list, where)
    probes = bool(capabilities.get("probes"))
    return DeploymentSettings(
        me=integer_from(raw, "me", where, least=0),
        nodes=max(1, required(raw, "peers_total", int, where)),
        traffic_classes=_read_traffic_classes(raw, domain, where),
        uses_groups=bool(domain.get("groups")),
        weighted=raw.get("weights") in STABLE_SIZES,
        polls_discovery=required(raw, "discovery", str, where) == POLLED_DISCOVERY,
        probes=probes,
        can_cancel=bool(capabilities.get("cancel")),
        probes_report_load=probes and _reports_load(telemetry, f"{where}.telemetry"),
        reports_delay=bool(domain.get("tells_delay")),
        max_attempts=integer_from(capabilities, "most_setup_tries", f"{where}.caps", least=0),
        max_retry_after_us=_read_max_retry_after_us(capabilities, f"{where}.caps"),
        poll_within_us=non_negative_int(rules, "ask_within_us", f"{where}.rules"),
        slow_start_min_share=_read_slow_start_min_share(rules, f"{where}.rules"),
        slow_start_us=max(1, non_negative_int(rules, "cold_us", f"{where}.rules")),
        overload_multiple=number_between(rules, "tip_multiple", f"{where}.rules", least=0),
        overload_window_us=max(1, non_negative_int(rules, "tip_after_us", f"{where}.rules")),
    )


def traffic_class_numbers(raw: dict[str, Any], where: str) -> dict[str, int]:
    """Return the number of each traffic class by its name, from settings that have been validated.

    Raises:
        ConfigurationError: A traffic class has no name.

    """
    return {
        required(entry, "name", str, f"{where}.tariffs"): number
        for number, entry in enumerate(raw["tariffs"])
    }


def zone_number(zones: Mapping[str, int], name: str) -> int:
    """Return the number of a zone; one that the settings do not name has a number of its own.

    Args:
        zones: The numbers of the zones that the settings name, by name.
        name: The zone's name; empty if it is not known.

    """
    if not name:
        return UNKNOWN_PLACE
    number = zones.get(name)
    return UNNAMED_ZONES_FROM + xxh3_64_intdigest(name.encode()) if number is None else number


def zone_numbers(raw: dict[str, Any]) -> dict[str, int]:
    """Return the number of each zone by its name, from settings that have been validated."""
    return {name: number for number, name in enumerate(raw["areas"])}


def _read_sections(raw: dict[str, Any], where: str) -> _Sections:
    return _Sections(
        capabilities=required(raw, "caps", dict, where),
        rules=required(raw, "rules", dict, where),
        telemetry=required(raw, "telemetry", dict, where),
        domain=optional(raw, "domain", dict, where, {}),
    )


def _read_traffic_classes(
    raw: dict[str, Any], domain: dict[str, Any], where: str
) -> tuple[TrafficClass, ...]:
    """Return the traffic classes in the order in which the key `tariffs` lists them."""
    objectives = optional(domain, "message_aim_us", list, f"{where}.domain", [])
    traffic_classes = []
    for index, entry in enumerate(required(raw, "tariffs", list, where)):
        if not isinstance(entry, dict):
            raise ConfigurationError(f"{where}.tariffs[{index}]", "not an object")
        objective_us = _message_objective_us(objectives, index, f"{where}.domain")
        traffic_classes.append(_read_traffic_class(entry, objective_us, f"{where}.tariffs[{index}]"))
    return tuple(traffic_classes)


def _message_objective_us(objectives: list[Any], index: int, where: str) -> int:
    """Return the message objective of the traffic class at `index`; 0 if the settings have none for it."""
    objective = objectives[index] if index < len(objectives) else 0
    if not is_number(objective):
        problem = f"message_aim_us[{index}] has the wrong type ({type(objective).__name__})"
        raise ConfigurationError(where, problem)
    if not 0 <= objective < EXACT_INTEGER_LIMIT:
        raise ConfigurationError(where, f"message_aim_us[{index}] is out of range ({objective})")
    return int(objective)


def _read_traffic_class(entry: dict[str, Any], message_objective_us: int, where: str) -> TrafficClass:
    """Return one traffic class; its message objective is not in its entry but in the object `domain`."""
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


def _read_slow_start_min_share(rules: dict[str, Any], where: str) -> float:
    """Return the share of its capacity that an upstream has when it starts.

    It is above 0, as loads are divided by it.
    """
    return max(SMALLEST_SHARE, number_between(rules, "cold_from", where, least=0, most=1))


def _reports_load(telemetry: dict[str, Any], where: str) -> bool:
    """Return whether an upstream reports its load in its answers to probes."""
    fields = optional(telemetry, "fields", list, where, [])
    return telemetry.get("via") != NO_TELEMETRY and LOAD_FIELD in fields


def _read_max_retry_after_us(capabilities: dict[str, Any], where: str) -> int:
    """Return the longest advised wait that clients follow; 0 if they follow no advice."""
    max_retry_after_us = non_negative_int(capabilities, "max_retry_after_us", where, 0)
    return max_retry_after_us if capabilities.get("retry_after") else 0


def _read_connect_timeout_us(capabilities: dict[str, Any], where: str) -> int:
    """Return the time allowed for establishing a connection; 0 in the file selects the default."""
    timeout_us = non_negative_int(capabilities, "dial_timeout_us", where, DEFAULT_CONNECT_TIMEOUT_US)
    return timeout_us or DEFAULT_CONNECT_TIMEOUT_US


def _read_max_deadline_us(entries: list[dict[str, Any]], where: str) -> int:
    deadlines_us = [
        non_negative_int(entry, "cut_off_us", f"{where}[{index}]") for index, entry in enumerate(entries)
    ]
    return max(deadlines_us, default=0)


def _read_names(entries: list[Any], where: str) -> list[str]:
    """Return the name of each entry of a list in the settings."""
    names = []
    for index, entry in enumerate(entries):
        if not isinstance(entry, dict):
            raise ConfigurationError(f"{where}[{index}]", "not an object")
        names.append(required(entry, "name", str, f"{where}[{index}]"))
    return names
