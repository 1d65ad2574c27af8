"""Tests of slow start: the turns of nodes, their budgets, and random admission without a turn."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.policy.types import EndpointState, Outcome, ProbeResult
from tests.support.balancer_harness import SECOND_US, BalancerHarness, endpoint


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.integers(2, 6), st.lists(st.integers(0, 200), min_size=20, max_size=200))
def test_nodes_together_keep_a_slow_start_budget(nodes: int, gaps: list[int]) -> None:
    """A crowd at every node at once: an upstream in slow start gets at most the turn's budget in any
    window."""
    sends = []
    for me in range(nodes):
        harness = BalancerHarness(nodes=nodes, me=me, upstreams=4)
        for number in range(12):
            harness.finish_attempt(harness.arrive(key=number + 1), Outcome.ESTABLISHED)
        harness.update_endpoints(endpoint(9, started_at=harness.now))
        for number, gap in enumerate(gaps):
            harness.advance(gap * 1000)
            session = harness.arrive(key=1000 + number)
            if session.number in harness.attempt_upstreams:
                harness.finish_attempt(session, Outcome.ESTABLISHED)
        sends += [at for at, upstream in harness.slow_start_sends if upstream == 9 and at < 102 * SECOND_US]
    # Early on a turn's budget is one session; a window touches two turns at most.
    assert all(sum(at <= other < at + SECOND_US for other in sends) <= 2 for at in sends)


@pytest.mark.parametrize("calm", [True, False])
@pytest.mark.parametrize(("nodes", "sessions", "least"), [(10, 30, 8), (40, 8, 8), (200, 2, 2), (200, 8, 8)])
def test_warming_upstream_is_filled_but_not_overloaded_if_nodes_see_few_sessions(
    nodes: int, sessions: int, least: int, calm: bool
) -> None:
    """With turns alone, the upstream would stay almost empty beside full ones, as few sessions meet a turn.

    If each node counted only its own sessions, bursts at all nodes at once would overload the upstream.
    """
    warm_capacity, sends = 100.0, []
    for me in range(nodes):
        harness = BalancerHarness(
            nodes=nodes, me=me, seed=me, upstreams=4, probes=True, probes_report_load=True
        )
        start = harness.now
        harness.update_endpoints(endpoint(9, started_at=start))
        harness.advance(10 * SECOND_US // sessions * me // nodes if calm else 0)
        for number in range(sessions):
            for upstream in harness.endpoints:
                harness.balancer.record_probe(
                    harness.now,
                    upstream,
                    ProbeResult(True, 0.05 if upstream == 9 else 0.5, warm_capacity / 2),
                )
            session = harness.arrive(key=1 + 1000 * me + number)
            harness.advance(SECOND_US // 100)  # its candidates are probed
            harness.advance(10 * SECOND_US // sessions - SECOND_US // 100)
            if session.number in harness.attempt_upstreams:
                harness.finish_attempt(session, Outcome.ESTABLISHED)
        sends += [at - start for at, upstream in harness.slow_start_sends if upstream == 9]
    deployment_settings = harness.settings
    # The sessions per second that a warm upstream may be sent: the configured multiple of the sessions that
    # fill it, divided by the duration of slow start.
    rate = (
        deployment_settings.overload_multiple * warm_capacity * SECOND_US / deployment_settings.slow_start_us
    )

    def allowed(at: int) -> float:
        return rate * (
            deployment_settings.slow_start_min_share
            + (1 - deployment_settings.slow_start_min_share) * at / deployment_settings.slow_start_us
        )

    assert all(sum(at <= other < at + SECOND_US for other in sends) <= allowed(at) for at in sends)
    # Ten seconds have ten turns, and most of them belong to nodes without a session at that time.
    assert not calm or len(sends) >= least


def test_returning_client_gets_the_same_draw_for_a_warming_upstream() -> None:
    """If each placement made a new random draw, all waiting sessions would be admitted sooner or later.

    Held sessions are placed many times a second, and a shed client retries at another node.
    """
    admitted = []
    for key in range(1, 21):
        node_draws = []
        # Node 0 has its turn. Each other node admits a session only if the draw does, about half of all.
        for me in range(1, 5):
            harness = BalancerHarness(nodes=5, me=me, upstreams=1, probes=True, probes_report_load=True)
            harness.balancer.record_probe(harness.now, 0, ProbeResult(True, 0.5, 50))
            harness.update_endpoints(endpoint(9, started_at=harness.now - 10 * SECOND_US))
            session = harness.arrive(key=key)
            upstream = harness.balancer.fleet.upstreams[9]
            node_draws.append(
                [harness.balancer.slow_start.may_take(harness.now, upstream, session) for _ in range(100)]
            )
        assert len({tuple(row) for row in node_draws}) == 1 and len(set(node_draws[0])) == 1
        admitted.append(node_draws[0][0])
    assert 4 <= sum(admitted) <= 16


def test_budget_follows_probes_of_an_upstream_that_warms_faster_than_stated() -> None:
    """The configured slow start is the slowest possible one, so it would leave a faster upstream unused.

    A probe must not raise the budget above that of a warm upstream of the same size, and a probe before a
    restart must not raise it at all.
    """
    harness = BalancerHarness(nodes=40, upstreams=4, probes=True, probes_report_load=True)
    balancer, start = harness.balancer, harness.now
    for number in range(4):
        balancer.record_probe(start, number, ProbeResult(True, 0.5, 50))
    harness.update_endpoints(endpoint(9, started_at=start))
    upstream = balancer.fleet.upstreams[9]

    def budget(now: int) -> float:
        return balancer.slow_start.turn_budget(now, upstream, balancer.slow_start.reported_capacity(upstream))

    configured_budget = budget(start)
    # The reported utilization is too low to derive a capacity from it.
    balancer.record_probe(start, 9, ProbeResult(True, 0.05, 40))
    assert budget(start) == configured_budget
    balancer.record_probe(start, 9, ProbeResult(True, 0.5, 20))
    assert budget(start) == pytest.approx(2 * configured_budget)
    balancer.record_probe(start, 9, ProbeResult(True, 0.5, 500))
    assert budget(start) == pytest.approx(5 * configured_budget)
    harness.update_endpoints(endpoint(9, started_at=start + SECOND_US))
    assert budget(start + SECOND_US) == configured_budget


def test_sessions_do_not_migrate_towards_a_warming_upstream_without_budget() -> None:
    """Migrated sessions would return to the upstream that they left, at the cost of a setup each time."""
    harness = BalancerHarness(upstreams=1, nodes=2, me=0)
    sessions = [harness.arrive(key=key) for key in range(1, 40)]
    for session in sessions:
        harness.finish_attempt(session, Outcome.ESTABLISHED)
    harness.now += SECOND_US
    harness.update_endpoints(
        endpoint(9, started_at=harness.now - 3 * SECOND_US), endpoint(8, EndpointState.DRAINING)
    )
    for _ in range(4):  # half of these seconds are the other node's turn at the upstream in slow start
        harness.balancer.record_delay(harness.now, sessions[0], 400_000)
        migrations = harness.balancer.due_actions(harness.now).migrations
        in_turn = (harness.now - harness.endpoints[9].started_at) // SECOND_US % 2 == 0
        assert bool(migrations) == in_turn
        harness.now += SECOND_US


def test_arrivals_of_earlier_windows_are_forgotten() -> None:
    """Without upstreams in slow start, the list of arrivals would grow for as long as the node runs."""
    harness = BalancerHarness()
    for number in range(200):
        harness.finish_attempt(harness.arrive(key=number), Outcome.COMPLETED)
        harness.advance(SECOND_US // 10)
    assert len(harness.balancer.slow_start.arrivals.times) <= 11
