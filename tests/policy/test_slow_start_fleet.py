"""Tests that all nodes together send an upstream in slow start no more sessions than it can handle."""

from __future__ import annotations

import math

import pytest

from larchlatch.policy.types import Outcome, ProbeResult
from tests.support.balancer_harness import SECOND_US, BalancerHarness, endpoint

SESSIONS_WHEN_FULL = 100.0  # sessions that fill a warm upstream of size 1
WARMING = 9  # number of the upstream that has just started
DURATION_US = 10 * SECOND_US


def restarted_node(stated_nodes: int, me: int, seed: int, now: int, started_at: int) -> BalancerHarness:
    """Return a node that has just restarted and has an upstream in slow start in its endpoint list."""
    node = BalancerHarness(
        nodes=stated_nodes, me=me, seed=seed, upstreams=4, probes=True, probes_report_load=True
    )
    node.now = now
    node.update_endpoints(endpoint(WARMING, started_at=started_at))
    return node


def place_one_session(node: BalancerHarness, key: int) -> None:
    """Let one session arrive after probes of all upstreams."""
    for upstream in node.endpoints:
        node.balancer.record_probe(
            node.now,
            upstream,
            ProbeResult(True, 0.05 if upstream == WARMING else 0.5, SESSIONS_WHEN_FULL / 2),
        )
    session = node.arrive(key=key)
    node.advance(SECOND_US // 100)
    if session.number in node.attempt_upstreams:
        node.finish_attempt(session, Outcome.ESTABLISHED)


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("stated_ratio", [0.9, 1.0, 1.1])
@pytest.mark.parametrize(("nodes", "sessions"), [(2, 120), (7, 40), (30, 10), (200, 3)])
def test_fleet_keeps_slow_start_budget(
    nodes: int, sessions: int, stated_ratio: float, restarts: bool
) -> None:
    """Simultaneous bursts at all nodes would overload the upstream if nodes spent more than their budgets.

    Nodes that restart lose the record of what they have spent, and the number of nodes in their settings is
    wrong by up to a tenth.
    """
    stated_nodes = max(1, round(nodes * stated_ratio))
    sends: list[int] = []
    start = 0
    for me in range(nodes):
        node = BalancerHarness(
            nodes=stated_nodes, me=me, seed=me, upstreams=4, probes=True, probes_report_load=True
        )
        start = node.now
        node.update_endpoints(endpoint(WARMING, started_at=start))
        for burst in range(2):
            for number in range(sessions):
                place_one_session(node, 1 + 1000 * me + 500 * burst + number)
            sends += [at - start for at, upstream in node.slow_start_sends if upstream == WARMING]
            node.slow_start_sends.clear()
            if restarts:
                node = restarted_node(stated_nodes, me, 7 * me + burst, node.now, start)
            node.advance(
                start + (burst + 1) * DURATION_US // 2 - node.now
                if node.now < start + DURATION_US // 2
                else SECOND_US
            )
    deployment_settings = BalancerHarness().settings
    rate = (
        deployment_settings.overload_multiple
        * SESSIONS_WHEN_FULL
        * deployment_settings.overload_window_us
        / deployment_settings.slow_start_us
    )

    def allowed(at: int) -> float:
        mean = rate * (
            deployment_settings.slow_start_min_share
            + (1 - deployment_settings.slow_start_min_share)
            * (at + SECOND_US)
            / deployment_settings.slow_start_us
        )
        return mean + 2 * math.sqrt(mean) + 2

    assert sends, "no session was sent, so the budget was not tested"
    for at in sends:
        assert sum(at <= other < at + deployment_settings.overload_window_us for other in sends) <= allowed(
            at
        )
