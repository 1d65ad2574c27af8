"""Tests of which sessions migrate off slow and unresponsive upstreams."""

from __future__ import annotations

from larchlatch.policy.types import Outcome, ProbeResult, Session
from tests.support.balancer_harness import SECOND_US, BalancerHarness, endpoint


def test_sessions_migrate_off_one_slow_upstream_but_not_if_all_are_slow() -> None:
    """Sessions left on a slow upstream stay late; if all slowed down, migration would move every session."""
    harness = BalancerHarness()
    sessions = [harness.arrive(key=key) for key in range(1, 40)]
    for session in sessions:
        harness.finish_attempt(session, Outcome.ESTABLISHED)
    harness.balancer.record_delay(harness.now, sessions[0], 400_000)
    migrated = []
    for _ in range(20):
        harness.balancer.record_delay(harness.now, sessions[0], 400_000)
        migrated += harness.balancer.due_actions(harness.now).migrations
        harness.now += SECOND_US
    # A round moves a tenth of the upstream's sessions over all nodes; one session from each node would empty
    # it at once.
    assert 1 <= len(migrated) <= 12 and all(
        sessions[number].upstream == sessions[0].upstream for number in migrated
    )
    harness.advance(SECOND_US)
    for session in sessions:
        harness.balancer.record_delay(harness.now, session, 400_000)
    assert not harness.balancer.due_actions(harness.now).migrations


def test_slow_upstreams_take_no_new_session_even_if_all_are_slow() -> None:
    """New sessions on slow upstreams would keep all sessions there late, so the fleet would not recover."""
    harness = BalancerHarness()
    sessions = [harness.arrive(key=key) for key in range(1, 40)]
    for session in sessions:
        harness.finish_attempt(session, Outcome.ESTABLISHED)
        harness.balancer.record_delay(harness.now, session, 400_000)
    new_session = harness.arrive(key=50)
    assert new_session.number not in harness.attempt_upstreams
    short_deadline_session = harness.arrive(key=50, deadline=SECOND_US)
    assert short_deadline_session.number not in harness.sessions, (
        "the session is held although no upstream is available before its deadline"
    )
    for session in sessions:
        harness.balancer.record_delay(harness.now, session, 10_000)
    later_session = harness.arrive(key=50, deadline=4 * SECOND_US)
    harness.advance(SECOND_US + SECOND_US // 10)
    assert later_session.number in harness.attempt_upstreams


def test_more_sessions_migrate_the_later_messages_are() -> None:
    """If only a tenth of the sessions migrated, an upstream with a long backlog would delay all others."""
    migrated = []
    for delay in (51_000, 900_000):
        harness = BalancerHarness(upstreams=6)
        sessions = [harness.arrive(key=key) for key in range(1, 300)]
        for session in sessions:
            harness.finish_attempt(session, Outcome.ESTABLISHED)
        harness.balancer.record_delay(harness.now, sessions[0], delay)
        migrated.append(len(harness.balancer.due_actions(harness.now).migrations))
    assert 2 * migrated[0] < migrated[1] <= 30


def test_sessions_migrate_off_an_upstream_that_only_load_reports_show_to_be_full() -> None:
    """A full upstream whose message latency shows no overload would keep its sessions and serve them late."""
    harness = BalancerHarness(probes=True, probes_report_load=True, reports_delay=False)
    sessions = []
    for key in range(1, 60):
        session = harness.arrive(key=key)
        for number in harness.balancer.due_actions(harness.now).probes:
            harness.balancer.record_probe(harness.now, number, ProbeResult(True, 0.4))
        harness.advance(SECOND_US // 5)
        harness.finish_attempt(session, Outcome.ESTABLISHED)
        sessions.append(session)
    full_upstream = sessions[0].upstream
    sessions_on_full_upstream = [session for session in sessions if session.upstream == full_upstream]
    migrated: list[int] = []
    for _ in range(100):
        harness.now += SECOND_US // 10
        due = harness.balancer.due_actions(harness.now)
        for number in due.probes:
            harness.balancer.record_probe(
                harness.now, number, ProbeResult(True, 1.05 if number == full_upstream else 0.4)
            )
        migrated += due.migrations
    assert len(migrated) > len(sessions_on_full_upstream) // 3
    assert {sessions[number].upstream for number in migrated} == {full_upstream}


def test_no_session_migrates_if_load_reports_show_all_upstreams_equally_full() -> None:
    """Sessions would migrate in circles at a cost to each client, without relieving any upstream."""
    harness = BalancerHarness(probes=True, probes_report_load=True, reports_delay=False)
    for key in range(1, 40):
        session = harness.arrive(key=key)
        for number in harness.balancer.due_actions(harness.now).probes:
            harness.balancer.record_probe(harness.now, number, ProbeResult(True, 0.8))
        harness.advance(SECOND_US // 10)
        if session.number in harness.attempt_upstreams:
            harness.finish_attempt(session, Outcome.ESTABLISHED)
    for step in range(100):
        harness.now += SECOND_US // 10
        due = harness.balancer.due_actions(harness.now)
        for number in due.probes:
            harness.balancer.record_probe(harness.now, number, ProbeResult(True, 0.8 + 0.02 * (step % 10)))
        assert not due.migrations


def test_all_sessions_migrate_at_once_off_an_unresponsive_and_unreachable_upstream() -> None:
    """An upstream that is down resets no session, so most of its sessions would get no answer for seconds."""
    for answered in (True, False):
        harness = BalancerHarness(probes=True, probes_report_load=True, reports_delay=False)
        sessions = [Session(number, 0, number + 1, None, 0) for number in range(40)]
        for session in sessions:
            harness.balancer.add_established(session, session.number % 2)
        harness.balancer.record_unresponsive(harness.now, 0)
        due = harness.balancer.due_actions(harness.now)
        assert 0 in due.probes and 0 < len(due.migrations) < 20
        harness.now += SECOND_US // 2
        harness.balancer.record_probe(harness.now, 0, ProbeResult(answered, 0.5 if answered else None))
        migrated = due.migrations + harness.balancer.due_actions(harness.now).migrations
        assert answered or sorted(migrated) == [
            session.number for session in sessions if session.upstream == 0
        ]
        assert not answered or migrated == due.migrations


def test_unresponsive_upstream_gets_no_attempt_and_full_ones_are_still_relieved() -> None:
    """Sessions of an unresponsive upstream fill others, off which sessions must still migrate.

    If the unresponsive upstream counted as slow, most upstreams would be slow, which stops all migration.
    """
    harness = BalancerHarness(upstreams=5, probes=True, probes_report_load=True, reports_delay=False)
    for number in range(120):
        harness.balancer.add_established(Session(number, 0, number + 1, None, 0), number % 5)
    harness.balancer.due_actions(harness.now)
    harness.balancer.record_unresponsive(harness.now, 0)
    harness.balancer.record_probe(harness.now, 0, ProbeResult(False))
    for number in (4, 3, 2, 1):
        harness.balancer.record_probe(harness.now, number, ProbeResult(True, 1.5 if number < 3 else 0.2))
    migrated = harness.balancer.due_actions(harness.now).migrations
    assert {number % 5 for number in migrated} == {0, 1, 2}
    for step in range(8):
        harness.now += SECOND_US // 2
        session = harness.arrive(key=step + 1)
        for number in harness.balancer.due_actions(harness.now).probes:
            harness.balancer.record_probe(harness.now, number, ProbeResult(number != 0, 0.2))
        harness.advance(SECOND_US // 20)
        assert harness.attempt_upstreams.get(session.number) != 0
        if session.number in harness.attempt_upstreams:
            harness.finish_attempt(session, Outcome.ESTABLISHED)


def test_small_full_upstream_is_relieved_if_a_large_one_has_capacity() -> None:
    """With few upstreams, the full one raises their mean: by the mean alone it would stay full."""
    for large_utilization, relieved in ((0.4, True), (0.9, False)):
        harness = BalancerHarness(upstreams=0, probes=True, probes_report_load=True, reports_delay=False)
        harness.update_endpoints(endpoint(0, size=1.5), endpoint(1, size=1.5), endpoint(2, size=6.0))
        for number in range(60):
            harness.balancer.add_established(Session(number, 0, number + 1, None, 0), number % 3)
        for number, load in ((2, large_utilization), (1, 1.0), (0, 1.15)):
            harness.balancer.record_probe(harness.now, number, ProbeResult(True, load))
        assert bool(harness.balancer.due_actions(harness.now).migrations) is relieved
