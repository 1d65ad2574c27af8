"""Derives the settings of a node's balancer from a scenario."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.policy.types import DedupScope, DeploymentSettings, Idempotency, TrafficClass
from larchlatch.scenario.amounts import SECOND, us

if TYPE_CHECKING:
    from larchlatch.scenario.scenario import Demand, Scenario

MAX_ATTEMPTS = 6
POLL_WITHIN_US = 10 * SECOND


def deployment_settings(scenario: Scenario, node_number: int) -> DeploymentSettings:
    """Return the settings on which the decisions of one node's balancer depend."""
    sessions, slow_start = scenario.sessions, scenario.slow_start
    return DeploymentSettings(
        me=node_number,
        nodes=scenario.nodes.count,
        traffic_classes=tuple(
            _traffic_class(sessions, Idempotency(value)) for value in sessions.idempotencies
        ),
        uses_groups=True,
        weighted=True,
        polls_discovery=False,
        probes=scenario.network.probes,
        can_cancel=True,
        probes_report_load=scenario.network.probes,
        reports_delay=False,  # as real nodes, which report no delays either
        max_attempts=MAX_ATTEMPTS,
        max_retry_after_us=us(sessions.wait_ms / 2e3),
        poll_within_us=POLL_WITHIN_US,
        slow_start_min_share=slow_start.initial_share,
        slow_start_us=us(slow_start.duration_s),
        overload_multiple=slow_start.overload_multiple,
        overload_window_us=us(slow_start.overload_window_s),
    )


def _traffic_class(sessions: Demand, idempotency: Idempotency) -> TrafficClass:
    return TrafficClass(
        latency_objective_us=us(sessions.expected_ms / 1e3),
        message_objective_us=us(sessions.message_ms / 1e3),
        idempotency=idempotency,
        dedup_scope=DedupScope.ALL,
        dedup_window_us=us(sessions.dedup_window_s),
    )
