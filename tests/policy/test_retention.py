"""What a node knows of an upstream ends some time after the upstream is gone, and not before."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.policy.balancer import Balancer
from larchlatch.policy.types import EndpointState, Forward, Outcome, ProbeResult, Session
from tests.support.balancer_harness import SECOND_US, SETTINGS, endpoint

CHECK_US = SECOND_US
STEPS = st.tuples(
    st.sampled_from(["ready", "drain", "gone", "whole", "arrive", "establish", "end", "probe", "wait"]),
    st.integers(0, 30),
)


class Fleet:
    """A balancer whose upstreams come and go, and its sessions."""

    def __init__(self) -> None:
        self.now = 100 * SECOND_US
        self.balancer = Balancer(SETTINGS, random.Random(1))
        self.sessions: dict[int, Session] = {}
        self.gone_at: dict[int, int] = {}
        self.session_count = 0
        self.listed: set[int] = set()

    def update(self, numbers: set[int], state: EndpointState, *, whole: bool = False) -> None:
        rows = [endpoint(number, state) for number in sorted(numbers)]
        self.balancer.update_endpoints(self.now, rows, whole=whole, from_discovery=True)
        if whole:
            for number in self.listed - numbers:
                self.gone_at[number] = self.now
            self.listed &= numbers
        for number in numbers:
            if state is EndpointState.GONE:
                self.gone_at.setdefault(number, self.now)
                self.listed.discard(number)
            else:
                self.gone_at.pop(number, None)
                self.listed.add(number)

    def arrive(self) -> None:
        self.session_count += 1
        session = Session(self.session_count, 2, self.session_count, None, self.now + 2 * SECOND_US)
        if isinstance(self.balancer.place(self.now, session), Forward):
            self.sessions[session.number] = session

    def end(self, index: int, outcome: Outcome) -> None:
        if not self.sessions:
            return
        session = list(self.sessions.values())[index % len(self.sessions)]
        answered = session.established
        answer = self.balancer.outcome(self.now, session, outcome, answered=answered)
        if outcome is not Outcome.ESTABLISHED and not isinstance(answer, Forward):
            del self.sessions[session.number]

    def release(self) -> list[int]:
        referenced = {session.upstream for session in self.sessions.values()}
        released = self.balancer.release_gone(self.now, self.sessions.values())
        for number in released.unused:
            assert number in self.gone_at and number not in referenced
        for number in released.forgotten:
            assert self.now >= self.gone_at[number] + self.balancer.retention.retention_us
            del self.gone_at[number]
        return released.forgotten

    def wait(self, duration_us: int) -> None:
        for _ in range(duration_us // CHECK_US):
            self.now += CHECK_US
            self.release()


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(STEPS, max_size=60))
def test_upstreams_are_forgotten_when_nothing_refers_to_them_any_more(steps: list[tuple[str, int]]) -> None:
    """Guards against records that are kept for ever, and against decisions on one that was dropped."""
    fleet = Fleet()
    for step, number in steps:
        if step in ("ready", "drain", "gone"):
            state = {"ready": EndpointState.READY, "drain": EndpointState.DRAINING}.get(step)
            fleet.update({number}, state or EndpointState.GONE)
        elif step == "whole":
            fleet.update(set(range(number)), EndpointState.READY, whole=True)
        elif step == "arrive":
            fleet.arrive()
        elif step == "establish":
            fleet.end(number, Outcome.ESTABLISHED)
        elif step == "end":
            fleet.end(number, Outcome.RESET)
        elif step == "probe":
            fleet.balancer.record_probe(fleet.now, number, ProbeResult(answered=False))
            fleet.balancer.record_unresponsive(fleet.now, number)
        else:
            fleet.wait(number * SECOND_US // 2)
        fleet.balancer.due_actions(fleet.now)
    while fleet.sessions:
        fleet.end(0, Outcome.COMPLETED)
    fleet.wait(fleet.balancer.retention.retention_us + 2 * CHECK_US)
    assert set(fleet.balancer.fleet.upstreams) == fleet.listed
    assert not fleet.balancer.fleet.gone


def test_retention_covers_the_memory_of_keyed_sessions_and_slow_start() -> None:
    """A repeat within its group needs to know the group, and cold upstreams the capacity of warm ones."""
    retention = Balancer(SETTINGS, random.Random(1)).retention
    assert retention.retention_us >= max(SETTINGS.slow_start_us, SETTINGS.overload_window_us)
    keyed = [kind.dedup_window_us for kind in SETTINGS.traffic_classes]
    assert retention.retention_us >= max(keyed)


@pytest.mark.parametrize("within", [True, False])
def test_upstream_that_returns_within_its_time_is_known_and_later_is_new(within: bool) -> None:
    fleet = Fleet()
    fleet.update({1, 2}, EndpointState.READY)
    fleet.balancer.record_probe(fleet.now, 1, ProbeResult(answered=True, utilization=0.7, sessions=3.0))
    fleet.update({1}, EndpointState.GONE)
    retention_us = fleet.balancer.retention.retention_us
    fleet.wait(retention_us - CHECK_US if within else retention_us + CHECK_US)
    fleet.update({1}, EndpointState.READY)
    upstream = fleet.balancer.fleet.upstreams[1]
    assert upstream.utilization == (0.7 if within else 0.0)
    assert upstream.ring_points and upstream in fleet.balancer.fleet.ready


def test_established_session_whose_client_left_needs_no_record_of_its_upstream() -> None:
    """The node was idle meanwhile, so the session has not been recorded as a stable one yet."""
    fleet = Fleet()
    fleet.update({1}, EndpointState.READY)
    fleet.arrive()
    [session] = fleet.sessions.values()
    fleet.end(0, Outcome.ESTABLISHED)
    fleet.balancer.remove_session(session)
    fleet.sessions.clear()
    fleet.update({1}, EndpointState.GONE)
    fleet.wait(fleet.balancer.retention.retention_us + CHECK_US)
    assert not fleet.balancer.fleet.upstreams
    fleet.update({2}, EndpointState.READY)
    fleet.arrive()
    assert fleet.sessions


def test_no_session_is_placed_again_by_an_upstream_that_is_remembered_for_a_repeat() -> None:
    """An upstream to which a keyed session may have gone is kept while the session has no final answer."""
    fleet = Fleet()
    fleet.update({1}, EndpointState.READY)
    fleet.arrive()
    [session] = fleet.sessions.values()
    fleet.update({1}, EndpointState.GONE)
    fleet.balancer.outcome(fleet.now, session, Outcome.TIMED_OUT)
    assert session.maybe_executed_upstream == 1
    fleet.wait(2 * fleet.balancer.retention.retention_us)
    assert 1 in fleet.balancer.fleet.upstreams
    fleet.sessions.clear()
    fleet.wait(2 * CHECK_US)
    assert not fleet.balancer.fleet.upstreams
