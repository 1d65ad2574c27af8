"""What failed, reset and superseded attempts mean for upstreams and for the node."""

from __future__ import annotations

from larchlatch.policy.retries import SUPERSEDED_CHECK_US
from larchlatch.policy.types import Outcome
from tests.support.balancer_harness import SECOND_US, BalancerHarness


def test_silent_upstream_is_passed_over_and_tried_again_with_care() -> None:
    """A silent upstream must not take every session of its keys, nor a crowd when it may be back."""
    harness = BalancerHarness()
    bad = harness.arrive(key=5).upstream
    harness.finish_attempt(harness.sessions[0], Outcome.CONNECT_FAILED)
    for _ in range(3):
        session = harness.arrive(key=5)
        while (
            session.number in harness.attempt_upstreams and harness.attempt_upstreams[session.number] == bad
        ):
            harness.finish_attempt(session, Outcome.CONNECT_FAILED)
    attempt_count = sum(harness.arrive(key=5).upstream == bad for _ in range(20))
    assert attempt_count <= 1


def test_an_upstream_that_drops_sessions_is_not_given_them_back_at_once() -> None:
    """Dropped clients return at once: placed where they were dropped, they would be dropped again."""
    harness = BalancerHarness()
    sessions = [harness.arrive(key=5) for _ in range(6)]
    for session in sessions:
        harness.finish_attempt(session, Outcome.ESTABLISHED)
    worst = sessions[0].upstream
    for session in sessions:
        if session.upstream == worst:
            harness.finish_attempt(session, Outcome.RESET)
            harness.established.discard(session.number)
    assert all(harness.arrive(key=5).upstream != worst for _ in range(6))


def test_sessions_that_stand_only_to_be_dropped_or_to_stand_late_are_no_success() -> None:
    """Upstreams over capacity let sessions stand: credited for that, nodes would feed the storm at full
    speed."""
    for late in (False, True):
        harness = BalancerHarness(upstreams=40)
        tried = 0
        for key in range(1, 60):
            session = harness.arrive(key=key, deadline=4 * SECOND_US)
            if session.number in harness.attempt_upstreams:
                tried += 1
                harness.finish_attempt(session, Outcome.ESTABLISHED)
                if late:
                    harness.balancer.record_delay(harness.now, session, 900_000)
                else:
                    harness.now += 100_000
                    harness.finish_attempt(session, Outcome.RESET)
                    harness.established.discard(session.number)
            harness.now += 150_000
            harness.sessions.clear()
            harness.held_until.clear()
        assert tried < 40


def test_setups_are_spaced_out_while_most_upstreams_that_bear_sessions_are_slow() -> None:
    """Let in as fast as they are moved off, sessions only go round between upstreams that are all late."""
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


def test_an_attempt_that_later_ones_have_overtaken_is_cancelled_for_another_upstream() -> None:
    """An upstream that has lost a setup never answers it: its client would wait till the deadline, and
    fail."""
    for traffic_class, overtaken, withdrawn in ((0, True, True), (0, False, False), (4, True, False)):
        harness = BalancerHarness(can_cancel=True)
        stuck = harness.arrive(key=1, traffic_class=traffic_class, deadline=3 * SECOND_US)
        first = harness.attempt_upstreams[stuck.number]
        for wait in (SECOND_US // 10, SECOND_US // 2):
            assert not harness.balancer.wait(harness.now).superseded, "a little later is no sign"
            harness.advance(wait)
            later = harness.arrive(key=2, deadline=3 * SECOND_US)
            if overtaken:
                harness.finish_attempt(later, Outcome.ESTABLISHED)
        harness.now += SUPERSEDED_CHECK_US
        due = harness.balancer.wait(harness.now)
        assert (stuck.number in due.superseded) is withdrawn
        if withdrawn:
            harness.finish_attempt(stuck, Outcome.CANCELLED)
            assert harness.attempt_upstreams[stuck.number] != first
            harness.now += SUPERSEDED_CHECK_US
            assert not harness.balancer.wait(harness.now).superseded
