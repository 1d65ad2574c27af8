"""The scenario of a soak: steady demand of all traffic classes, without faults of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from larchlatch.scenario.scenario_file import parse_scenario

if TYPE_CHECKING:
    from larchlatch.scenario.scenario import Scenario

MINUTE_S = 60.0
NODES_IN_CLUSTER = 4
OPERATED_NODES = 3  # the last node is not, so that it lends to the others until it is removed
SESSIONS: dict[str, Any] = {
    "rate": 24.0,
    "life_s": 4.0,
    "beat_s": 0.5,
    "wait_ms": 2500.0,
    "retries": 2,
    "uneven": 3.0,  # so that nodes with many clients borrow from those with few
    "effects": ["rerunnable", "ticketed", "exclusive"],
}
CLUSTER: dict[str, Any] = {"on": True, "links_per_s": 24.0, "pace": True}


def soak_scenario(seed: int, minutes: float, *, in_cluster: bool) -> Scenario:
    """Return the scenario of a soak.

    Args:
        seed: The seed of all random numbers.
        minutes: Its length, in minutes.
        in_cluster: Whether several nodes form a cluster with a shared quota; else there is one node.

    Raises:
        ConfigurationError: A value is invalid.

    """
    return parse_scenario(
        {
            "name": "soak",
            "seed": seed,
            "span_s": minutes * MINUTE_S,
            "nodes": {"count": NODES_IN_CLUSTER if in_cluster else 1},
            "hosts": [{"count": 6, "size": 2.0}],
            "links": SESSIONS,
            "cluster": CLUSTER if in_cluster else {},
        },
        "soak",
    )
