"""Tests of when upstreams are probed and when the endpoint list is polled."""

from __future__ import annotations

from itertools import pairwise

import pytest

from larchlatch.policy.types import Outcome, ProbeResult
from tests.support.balancer_harness import SECOND_US, BalancerHarness


def test_new_session_waits_once_for_load_reports_of_its_candidates() -> None:
    """If a session waited for every probe, an upstream that answers none would hold it until its deadline."""
    harness = BalancerHarness(probes=True, probes_report_load=True)
    session = harness.arrive(key=3)
    assert session.number in harness.held_until and len(harness.balancer.due_actions(harness.now).probes) == 2
    harness.advance(SECOND_US // 10)
    assert session.number in harness.attempt_upstreams


def test_upstream_that_may_have_filled_up_is_probed_before_the_next_session() -> None:
    """Sessions that arrived since the last report may have filled the upstream without showing in it."""
    for load, min_probes, max_probes in ((0.05, 1, 2), (0.7, 3, 5)):
        harness = BalancerHarness(upstreams=2, probes=True, probes_report_load=True, reports_delay=False)
        probe_counts = {0: 0, 1: 0}
        for key in range(1, 40):
            session = harness.arrive(key=key)
            for number in harness.balancer.due_actions(harness.now).probes:
                harness.balancer.record_probe(harness.now, number, ProbeResult(True, load))
                probe_counts[number] += 1
            harness.advance(SECOND_US // 20)
            harness.finish_attempt(session, Outcome.ESTABLISHED)
        # With plenty of capacity, a report stays current: probes every few sessions would scatter groups.
        assert all(min_probes <= number <= max_probes for number in probe_counts.values())


def test_endpoint_list_is_polled_until_a_poll_is_answered() -> None:
    """A node that gave up after failed polls would never be subscribed, and never learn of drains."""
    harness = BalancerHarness(polls_discovery=True)
    harness.balancer.discovery_failed(harness.now)
    polled_at = [harness.now]
    for _ in range(6000):
        harness.now += SECOND_US // 10
        if harness.balancer.due_actions(harness.now).poll_list:
            polled_at.append(harness.now)
            harness.balancer.discovery_failed(harness.now)
    poll_within_us = harness.balancer.settings.poll_within_us
    assert len(polled_at) > 40 and all(
        later - earlier <= 2 * poll_within_us + SECOND_US for earlier, later in pairwise(polled_at)
    )


@pytest.mark.parametrize("nodes", [10, 40, 200])
def test_nodes_that_lose_subscriptions_together_renew_them_at_an_overloaded_service(nodes: int) -> None:
    """If all nodes polled at once, the service would answer each call too late, and no node would learn of
    drains.

    Each second, the service handles one call per seven nodes, including calls that have timed out.
    """
    harnesses = [BalancerHarness(polls_discovery=True, nodes=nodes, seed=seed) for seed in range(nodes)]
    for harness in harnesses:
        harness.balancer.discovery_failed(harness.now)
    start = harnesses[0].now
    free_at, answered_count = 0.0, 0
    waiting: list[tuple[float, BalancerHarness]] = []  # when a call is answered, and whose it is
    for now in range(start, start + 60 * SECOND_US, SECOND_US // 20):
        for answer in [answer for answer in waiting if answer[0] <= now]:
            waiting.remove(answer)
            answer[1].balancer.discovery_failed(now)
        for harness in harnesses:
            harness.now = now
            if not harness.balancer.polling.subscribed and harness.balancer.due_actions(now).poll_list:
                free_at = max(free_at, now) + 7 * SECOND_US / nodes
                if free_at > now + 2 * SECOND_US:
                    waiting.append((now + 2 * SECOND_US, harness))
                else:
                    harness.balancer.update_endpoints(now, [], whole=False, from_discovery=True)
                    answered_count += 1
    assert answered_count >= 0.9 * nodes
