"""Node configurations and endpoint entries in the format of the files that users write."""

from __future__ import annotations

from typing import Any

from tests.support.balancer_harness import SECOND_US


def node_configuration(upstreams: list[str], discovery: int, **changes: Any) -> dict[str, Any]:
    """Return a node's configuration for upstreams at these addresses, with changes to its settings by key."""
    traffic_class = {"expected_time_us": 500_000, "cut_off_us": 3_000_000, "repeat_window_us": 5_000_000}
    settings: dict[str, Any] = {
        "areas": ["a", "b"],
        "caps": {"dial_timeout_us": 250_000, "most_setup_tries": 6, "probes": False},
        "discovery": "pushed",
        "domain": {"groups": True, "message_aim_us": [50_000] * 3, "mode": "proxy", "tells_delay": True},
        "me": 0,
        "peers_total": 2,
        "rules": {
            "ask_within_us": 10 * SECOND_US,
            "cold_from": 0.2,
            "cold_us": 20 * SECOND_US,
            "tip_multiple": 3.0,
            "tip_after_us": SECOND_US,
        },
        "tariffs": [
            {**traffic_class, "name": "rerun", "effect": "idempotent"},
            {**traffic_class, "name": "ticket", "effect": "deduplicated", "group": "cell"},
            {**traffic_class, "name": "once", "effect": "at_most_once"},
        ],
        "telemetry": {"via": "none", "fields": []},
        "tenants": [{"name": "acme"}],
        "weights": "nominal",
    }
    for name, value in changes.items():
        settings[name] = {**settings[name], **value} if isinstance(value, dict) else value
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "5eed",
        "limits": {"sockets": 1024},
        "known": {
            "revision": 1,
            "complete": True,
            "members": [endpoint_row(n, at) for n, at in enumerate(upstreams)],
        },
        "settings": settings,
    }


def endpoint_row(number: int, address: str, phase: str = "in_service") -> dict[str, Any]:
    """Return an upstream's entry as it stands in an endpoint list."""
    return {
        "id": f"s-{number}",
        "host_port": address,
        "locality": "ab"[number % 2],
        "cell": number,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 0,
    }
