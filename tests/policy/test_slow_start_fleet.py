"""An upstream in slow start under a whole fleet: what all nodes together send it stays within what it
bears."""

from __future__ import annotations

import math

import pytest

from larchlatch.policy.types import Outcome, ProbeResult
from tests.support.balancer_harness import SECOND_US, BalancerHarness, endpoint

FULL = 100.0  # sessions that fill a warm upstream of this size
COLD = 9  # the upstream that has just come up
LASTS = 10 * SECOND_US


def node_of(fleet: int, me: int, seed: int, now: int, started_at: int) -> BalancerHarness:
    """A node that has just started, before an upstream that came up then."""
    node = BalancerHarness(nodes=fleet, me=me, seed=seed, upstreams=4, probes=True, probes_report_load=True)
    node.now = now
    node.update_endpoints(endpoint(COLD, started_at=started_at))
    return node


def asked(node: BalancerHarness, key: int) -> None:
    """One session comes, and its candidates are probed."""
    for upstream in node.endpoints:
        node.balancer.record_probe(
            node.now, upstream, ProbeResult(True, 0.05 if upstream == COLD else 0.5, FULL / 2)
        )
    session = node.arrive(key=key)
    node.advance(SECOND_US // 100)
    if session.number in node.attempt_upstreams:
        node.finish_attempt(session, Outcome.ESTABLISHED)


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("told", [0.9, 1.0, 1.1])
@pytest.mark.parametrize(("nodes", "sessions"), [(2, 120), (7, 40), (30, 10), (200, 3)])
def test_a_fleet_keeps_a_slow_start_budget(nodes: int, sessions: int, told: float, restarts: bool) -> None:
    """Bursts at every node at once, and again later; nodes restart and forget what they have spent; the
    number of nodes that each is told is wrong by a tenth."""
    fleet = max(1, round(nodes * told))
    sends: list[int] = []
    start = 0
    for me in range(nodes):
        node = BalancerHarness(nodes=fleet, me=me, seed=me, upstreams=4, probes=True, probes_report_load=True)
        start = node.now
        node.update_endpoints(endpoint(COLD, started_at=start))
        for burst in range(2):
            for number in range(sessions):
                asked(node, 1 + 1000 * me + 500 * burst + number)
            sends += [at - start for at, upstream in node.slow_start_sends if upstream == COLD]
            node.slow_start_sends.clear()
            if restarts:
                node = node_of(fleet, me, 7 * me + burst, node.now, start)
            node.advance(
                start + (burst + 1) * LASTS // 2 - node.now if node.now < start + LASTS // 2 else SECOND_US
            )
    deployment_settings = BalancerHarness().settings
    rate = (
        deployment_settings.overload_multiple
        * FULL
        * deployment_settings.overload_window_us
        / deployment_settings.slow_start_us
    )

    def borne(at: int) -> float:
        able = rate * (
            deployment_settings.slow_start_min_share
            + (1 - deployment_settings.slow_start_min_share)
            * (at + SECOND_US)
            / deployment_settings.slow_start_us
        )
        return able + 2 * math.sqrt(able) + 2

    assert sends, "an upstream that nobody fills shows nothing"
    for at in sends:
        assert sum(at <= other < at + deployment_settings.overload_window_us for other in sends) <= borne(at)
