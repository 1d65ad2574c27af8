"""Tests of the effects of failed, reset and superseded attempts on upstreams and on the node."""

from __future__ import annotations

from larchlatch.policy.retries import SUPERSEDED_CHECK_US
from larchlatch.policy.types import Outcome
from tests.support.balancer_harness import SECOND_US, BalancerHarness


def test_unreachable_upstream_is_skipped_and_attempted_once_per_backoff() -> None:
    """Sessions would all try the unreachable upstream first, or many at once when its backoff is over."""
    harness = BalancerHarness()
    unreachable_upstream = harness.arrive(key=5).upstream
    harness.finish_attempt(harness.sessions[0], Outcome.CONNECT_FAILED)
    for _ in range(3):
        session = harness.arrive(key=5)
        while (
            session.number in harness.attempt_upstreams
            and harness.attempt_upstreams[session.number] == unreachable_upstream
        ):
            harness.finish_attempt(session, Outcome.CONNECT_FAILED)
    attempt_count = sum(harness.arrive(key=5).upstream == unreachable_upstream for _ in range(20))
    assert attempt_count <= 1


def test_sessions_do_not_return_at_once_to_an_upstream_that_reset_them() -> None:
    """Clients of reset sessions return at once, and an overloaded upstream would reset them again."""
    harness = BalancerHarness()
    sessions = [harness.arrive(key=5) for _ in range(6)]
    for session in sessions:
        harness.finish_attempt(session, Outcome.ESTABLISHED)
    resetting_upstream = sessions[0].upstream
    for session in sessions:
        if session.upstream == resetting_upstream:
            harness.finish_attempt(session, Outcome.RESET)
            harness.established.discard(session.number)
    assert all(harness.arrive(key=5).upstream != resetting_upstream for _ in range(6))


def test_sessions_that_are_soon_reset_or_late_count_as_failed() -> None:
    """Overloaded upstreams still establish sessions, which would end the backoff if they were successes."""
    for has_late_messages in (False, True):
        harness = BalancerHarness(upstreams=40)
        attempt_count = 0
        for key in range(1, 60):
            session = harness.arrive(key=key, deadline=4 * SECOND_US)
            if session.number in harness.attempt_upstreams:
                attempt_count += 1
                harness.finish_attempt(session, Outcome.ESTABLISHED)
                if has_late_messages:
                    harness.balancer.record_delay(harness.now, session, 900_000)
                else:
                    harness.now += 100_000
                    harness.finish_attempt(session, Outcome.RESET)
                    harness.established.discard(session.number)
            harness.now += 150_000
            harness.sessions.clear()
            harness.held_until.clear()
        assert attempt_count < 40


def test_node_spaces_attempts_while_most_used_upstreams_are_slow() -> None:
    """If sessions were admitted as fast as they migrate, they would only move between slow upstreams."""
    harness = BalancerHarness(upstreams=40)
    sessions = [harness.arrive(key=key) for key in range(1, 9)]
    for session in sessions:
        harness.finish_attempt(session, Outcome.ESTABLISHED)
    harness.advance(2 * SECOND_US)
    for _ in range(8):
        for session in sessions:
            harness.balancer.record_delay(harness.now, session, 400_000)
    sent = sum(harness.arrive(key=key).number in harness.attempt_upstreams for key in range(100, 120))
    assert sent <= 1


def test_superseded_attempt_is_cancelled_and_sent_to_another_upstream() -> None:
    """An upstream never answers an attempt that it has lost, so the client would wait until its deadline."""
    for traffic_class, later_established, cancelled in ((0, True, True), (0, False, False), (4, True, False)):
        harness = BalancerHarness(can_cancel=True)
        lost_session = harness.arrive(key=1, traffic_class=traffic_class, deadline=3 * SECOND_US)
        first = harness.attempt_upstreams[lost_session.number]
        for wait in (SECOND_US // 10, SECOND_US // 2):
            assert not harness.balancer.due_actions(harness.now).superseded, (
                "an attempt sent less than a latency objective later does not supersede this one"
            )
            harness.advance(wait)
            later = harness.arrive(key=2, deadline=3 * SECOND_US)
            if later_established:
                harness.finish_attempt(later, Outcome.ESTABLISHED)
        harness.now += SUPERSEDED_CHECK_US
        due = harness.balancer.due_actions(harness.now)
        assert (lost_session.number in due.superseded) is cancelled
        if cancelled:
            harness.finish_attempt(lost_session, Outcome.CANCELLED)
            assert harness.attempt_upstreams[lost_session.number] != first
            harness.now += SUPERSEDED_CHECK_US
            assert not harness.balancer.due_actions(harness.now).superseded
