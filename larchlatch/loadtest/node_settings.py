"""Builds the configuration file of a node from a scenario."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from larchlatch.policy.types import Idempotency
from larchlatch.scenario.amounts import SECOND, us

if TYPE_CHECKING:
    from larchlatch.scenario.scenario import Scenario

MAX_ATTEMPTS = 6
MAX_SOCKETS = 8192
POLL_WITHIN_US = 10 * SECOND
IDEMPOTENCY_NAMES = {
    Idempotency.IDEMPOTENT: "idempotent",
    Idempotency.KEYED: "deduplicated",
    Idempotency.NON_IDEMPOTENT: "at_most_once",
}


def node_configuration(
    scenario: Scenario, number: int, *, listen: str, discovery: str, seed: str, endpoints: dict[str, Any]
) -> dict[str, Any]:
    """Return the contents of a node's configuration file.

    Args:
        scenario: The scenario.
        number: The node's number.
        listen: Address and port on which it accepts clients.
        discovery: Address and port of discovery.
        seed: Seed of its random numbers, in hexadecimal.
        endpoints: The endpoint list with which the node starts.

    """
    return {
        "name": node_name(number),
        "listen": listen,
        "discovery": discovery,
        "seed": seed,
        "limits": {"sockets": MAX_SOCKETS},
        "known": endpoints,
        "settings": deployment_settings(scenario, number),
    }


def node_name(number: int) -> str:
    """Return the name of a node."""
    return f"n{number}"


def zone_name(zone: int) -> str:
    """Return the name of a zone, to which nodes and upstreams belong."""
    return f"z{zone}"


def deployment_settings(scenario: Scenario, number: int) -> dict[str, Any]:
    """Return the `settings` of a node's configuration."""
    sessions, slow_start = scenario.sessions, scenario.slow_start
    return {
        "areas": [zone_name(zone) for zone in range(scenario.zones)],
        "caps": {
            "dial_timeout_us": us(scenario.network.connect_timeout_ms / 1e3),
            "most_setup_tries": MAX_ATTEMPTS,
            "probes": scenario.network.probes,
            "cancel": True,
            "retry_after": True,
            "max_retry_after_us": us(sessions.wait_ms / 2e3),
        },
        "discovery": "pushed",
        "domain": {
            "groups": True,
            "message_aim_us": [us(sessions.message_ms / 1e3)] * len(sessions.idempotencies),
            "mode": "proxy",
            "tells_delay": True,
        },
        "me": number,
        "peers_total": scenario.nodes.count,
        "rules": {
            "ask_within_us": POLL_WITHIN_US,
            "cold_from": slow_start.initial_share,
            "cold_us": us(slow_start.duration_s),
            "tip_multiple": slow_start.overload_multiple,
            "tip_after_us": us(slow_start.overload_window_s),
        },
        "tariffs": _traffic_classes(scenario),
        "telemetry": {"via": "probe", "fields": ["inflight", "x0"]},
        "weights": "nominal",
    }


def _traffic_classes(scenario: Scenario) -> list[dict[str, Any]]:
    sessions = scenario.sessions
    return [
        {
            "name": f"t{index}",
            "expected_time_us": us(sessions.expected_ms / 1e3),
            "cut_off_us": us(sessions.wait_ms / 1e3),
            "effect": IDEMPOTENCY_NAMES[Idempotency(effect)],
            "repeat_window_us": us(sessions.dedup_window_s),
        }
        for index, effect in enumerate(sessions.idempotencies)
    ]
