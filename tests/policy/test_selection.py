"""Tests of the candidates of a session and of the choice among upstreams."""

from __future__ import annotations

import random
from dataclasses import replace
from itertools import islice

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.policy.balancer import Balancer
from larchlatch.policy.types import EndpointState, Outcome, ProbeResult, Session
from tests.support.balancer_harness import SECOND_US, SETTINGS, BalancerHarness, endpoint, forwarded_to


def test_ring_is_the_same_on_every_node_and_changes_remap_locally() -> None:
    one, other = BalancerHarness(seed=1, upstreams=8), BalancerHarness(seed=2, upstreams=8, me=1)
    before = {key: one.arrive(key).upstream for key in range(1, 200)}
    assert before == {key: other.arrive(key).upstream for key in range(1, 200)}
    changed = BalancerHarness(seed=3, upstreams=8)
    changed.update_endpoints(endpoint(5, EndpointState.GONE))
    remapped = [key for key in before if changed.arrive(key).upstream != before[key]]
    assert len(remapped) < len(before) // 3


def test_sessions_of_one_group_stay_on_two_candidates() -> None:
    harness = BalancerHarness()
    upstreams = []
    for _ in range(5):
        session = harness.arrive(key=77)
        upstreams.append(session.upstream)
        harness.finish_attempt(session, Outcome.ESTABLISHED)
    assert 1 <= len(set(upstreams)) <= 2


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 9), st.sampled_from(list(EndpointState))), max_size=30))
def test_a_ring_changed_line_by_line_is_the_ring_of_the_last_list(
    changes: list[tuple[int, EndpointState]],
) -> None:
    harness = BalancerHarness()
    for number, state in changes:
        harness.update_endpoints(endpoint(number, state))
    fresh = BalancerHarness(seed=9, upstreams=0)
    fresh.update_endpoints(*harness.endpoints.values())
    for key in range(1, 30):
        session = Session(1000, 0, key, key, harness.now + SECOND_US)
        there = [upstream.number for upstream in harness.balancer.ring.successors(session)]
        assert there == [upstream.number for upstream in fresh.balancer.ring.successors(session)]


def test_node_with_hardly_a_session_chooses_by_load_reports() -> None:
    """One of hundreds of nodes has very few sessions at an upstream, which tell nothing about its load."""
    harness = BalancerHarness(nodes=200, probes=True, probes_report_load=True)
    session = harness.arrive(key=3)
    master, second = harness.balancer.due_actions(harness.now).probes
    first = next(harness.balancer.ring.successors(session)).number
    for number in (master, second):
        harness.balancer.record_probe(harness.now, number, ProbeResult(True, 0.9 if number == first else 0.3))
    harness.advance(SECOND_US // 10)
    assert harness.attempt_upstreams[session.number] not in (-1, first)


def test_large_group_spreads_and_small_one_does_not() -> None:
    """A group with a large share of all sessions would overload two upstreams, which would reset them."""
    harness = BalancerHarness(upstreams=60)
    placed = {}
    for number in range(120):
        session = Session(
            1000 + number, 0, number + 1, 7 if number % 3 else number + 100, harness.now + SECOND_US
        )
        placed[number] = forwarded_to(harness.balancer.place(harness.now, session))
        harness.balancer.outcome(harness.now, session, Outcome.ESTABLISHED)
    spread = {upstream for number, upstream in placed.items() if number % 3 and number > 40}
    assert 10 <= len(spread) <= 45
    small = BalancerHarness(upstreams=60)
    keys = [7 if number % 40 == 0 else number + 100 for number in range(161)]
    assert len({session.upstream for session in map(small.arrive, keys) if session.key == 7}) <= 3


def test_session_skips_candidates_that_report_to_be_full() -> None:
    """If both candidates are full, even the less loaded one would serve the session late."""
    harness = BalancerHarness(nodes=200, probes=True, probes_report_load=True)
    session = harness.arrive(key=3)
    full_upstreams = harness.balancer.due_actions(harness.now).probes
    for number in full_upstreams:
        harness.balancer.record_probe(harness.now, number, ProbeResult(True, 1.1))
    harness.advance(SECOND_US // 10)
    assert harness.attempt_upstreams[session.number] not in full_upstreams


def upstream_of_handed_over(balancer: Balancer, now: int, number: int, key: int) -> int:
    """Return the number of the upstream on which a session handed over by another node is placed."""
    return forwarded_to(balancer.place(now, Session(number, 0, key, key, now + 2 * SECOND_US, mid_flow=True)))


def test_handed_over_session_does_not_go_to_an_upstream_that_started_after_it() -> None:
    now = 100 * SECOND_US
    for started_at, keeps_upstream in ((now - 4 * SECOND_US, True), (now - 30 * SECOND_US, False)):
        before, after = (Balancer(SETTINGS, random.Random(seed)) for seed in (1, 2))
        old = [endpoint(number) for number in range(4)]
        before.update_endpoints(now, old, whole=True, from_discovery=True)
        after.update_endpoints(
            now, [*old, endpoint(4, started_at=started_at)], whole=True, from_discovery=True
        )
        pairs = [
            (upstream_of_handed_over(before, now, key, key), upstream_of_handed_over(after, now, key, key))
            for key in range(1, 200)
        ]
        assert (
            all(upstream_before == upstream_after for upstream_before, upstream_after in pairs)
            == keeps_upstream
        )


def test_handed_over_sessions_do_not_all_go_to_a_few_warm_upstreams() -> None:
    now = 100 * SECOND_US
    balancer = Balancer(replace(SETTINGS, nodes=1, overload_multiple=100.0), random.Random(1))
    warming = [endpoint(number, started_at=now - 4 * SECOND_US) for number in range(1, 6)]
    balancer.update_endpoints(now, [endpoint(0), *warming], whole=True, from_discovery=True)
    places = [upstream_of_handed_over(balancer, now, key, key) for key in range(1, 60)]
    assert places.count(0) < len(places) / 2


def test_handed_over_session_goes_to_a_warming_upstream_if_all_are_and_to_no_draining_one() -> None:
    now = 100 * SECOND_US
    balancer = Balancer(replace(SETTINGS, nodes=1, me=0), random.Random(1))
    warming = [endpoint(number, started_at=now - SECOND_US) for number in range(3)]
    balancer.update_endpoints(
        now, [*warming, endpoint(3, EndpointState.DRAINING)], whole=True, from_discovery=True
    )
    assert {upstream_of_handed_over(balancer, now, key, key) for key in range(1, 4)} <= {0, 1, 2}


@pytest.mark.parametrize(("load", "placed_elsewhere"), [(0.3, True), (0.8, False), (None, False)])
def test_sessions_leave_slow_candidates_only_if_healthy_upstreams_report_capacity(
    load: float | None, placed_elsewhere: bool
) -> None:
    now, placed_at = 100 * SECOND_US, []
    for key in range(1, 40):
        balancer = Balancer(replace(SETTINGS, probes_report_load=True, probes=True), random.Random(key))
        balancer.update_endpoints(
            now, [endpoint(number) for number in range(8)], whole=True, from_discovery=True
        )
        session = Session(key, 0, key, key, now + 2 * SECOND_US)
        candidates = balancer.selector.candidates(now, session).pair
        slow_upstreams = [upstream.number for upstream in candidates] + [
            n for n in range(8) if balancer.fleet.upstreams[n] not in candidates
        ][:1]
        for upstream in balancer.fleet.upstreams.values():
            upstream.probed_at = now
            balancer.record_probe(now, upstream.number, ProbeResult(True, load))
            if upstream.number in slow_upstreams:
                upstream.slow_until = now + 2 * SECOND_US
        placed_at.append(forwarded_to(balancer.place(now, session)))
        assert placed_at[-1] not in slow_upstreams
    assert all(upstream >= 0 for upstream in placed_at) == placed_elsewhere, (
        "three of eight upstreams are slow, including both candidates of each session"
    )


def sessions_placed_by_many_nodes(
    candidate_load: float, other_load: float, nodes: int = 60, warming: bool = False
) -> list[int]:
    """Return how many nodes place a session on each of its candidates, all with the same load reports."""
    chosen = []
    for me in range(nodes):
        harness = BalancerHarness(
            seed=me, upstreams=8, nodes=nodes, me=me, probes=True, probes_report_load=True
        )
        candidates = [
            upstream.number
            for upstream in islice(harness.balancer.ring.successors(Session(0, 0, 1, 1, 0)), 2)
        ]
        for number in range(8):
            harness.balancer.fleet.upstreams[number].probed_at = harness.now
            harness.balancer.record_probe(
                harness.now,
                number,
                ProbeResult(True, candidate_load if number in candidates else other_load, 20.0),
            )
        if warming:
            harness.balancer.fleet.upstreams[
                next(n for n in range(8) if n not in candidates)
            ].started_at = harness.now
        chosen.append(harness.arrive().upstream)
        assert chosen[-1] >= 0
    return [chosen.count(number) for number in candidates]


def test_nodes_with_equal_load_reports_do_not_all_choose_the_same_upstream() -> None:
    # If all nodes reacted alike, an upstream that sessions have just left would be filled again at once.
    assert sum(sessions_placed_by_many_nodes(0.8, 0.2)) < 40, (
        "the session's candidates are nearly full, and other upstreams have capacity"
    )
    assert sum(sessions_placed_by_many_nodes(0.3, 0.2)) == 60, (
        "the session's candidates have capacity, so it goes to one of them"
    )
    assert sum(sessions_placed_by_many_nodes(0.8, 0.85)) == 60, (
        "no upstream has capacity: leaving the candidates would gain nothing"
    )
    assert sum(sessions_placed_by_many_nodes(0.8, 0.2, warming=True)) == 60, (
        "sessions placed elsewhere would exceed the small budget of a warming upstream"
    )
