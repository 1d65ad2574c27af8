"""Tests of the rules that hold for every session in every order of events."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.policy.types import EndpointState, Nothing, Outcome, Session, Shed
from tests.support.balancer_harness import SECOND_US, BalancerHarness, endpoint

FAILURES = [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET]
STEP = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 5), st.integers(0, 4)),
    st.tuples(
        st.just("end"),
        st.integers(0, 40),
        st.sampled_from([*FAILURES, Outcome.ESTABLISHED, Outcome.COMPLETED]),
    ),
    st.tuples(st.just("pass"), st.integers(1, 1500), st.just(0)),
    st.tuples(st.just("list"), st.integers(0, 7), st.sampled_from([*EndpointState, "fresh"])),
    st.tuples(st.just("note"), st.integers(0, 40), st.sampled_from([0, 30_000, 900_000])),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(1, 4), st.integers(0, 3), st.lists(STEP, max_size=60))
def test_rules_hold_after_every_step(nodes: int, me: int, steps: list[tuple[str, int, object]]) -> None:
    harness = BalancerHarness(nodes=nodes, me=me % nodes)
    made = []
    for verb, number, what in steps:
        if verb == "arrive":
            made.append(harness.arrive(key=number or None, traffic_class=int(str(what))))
        elif verb == "pass":
            harness.advance(number * 1000)
        elif verb == "list":
            fresh = what == "fresh"
            state = what if isinstance(what, EndpointState) else EndpointState.READY
            harness.update_endpoints(endpoint(number, state, harness.now if fresh else 0))
        elif made:
            session = made[number % len(made)]
            if verb == "note" and session.upstream >= 0:
                harness.balancer.record_delay(harness.now, session, int(str(what)))
            elif isinstance(what, Outcome) and (
                session.number in harness.attempt_upstreams or session.number in harness.established
            ):
                if session.number in harness.established:
                    what = Outcome.RESET if what in FAILURES else Outcome.COMPLETED
                harness.finish_attempt(session, what)
                if what is not Outcome.ESTABLISHED:
                    harness.established.discard(session.number)
    harness.advance(10 * SECOND_US)
    assert not [n for n in harness.sessions if n not in harness.established]


def test_session_without_any_upstream_is_answered_in_time() -> None:
    harness = BalancerHarness(upstreams=1)
    harness.update_endpoints(endpoint(0, EndpointState.GONE))
    session = harness.arrive()
    harness.advance(2 * SECOND_US)
    assert session.number not in harness.sessions


def test_retry_advice_stays_within_what_clients_follow() -> None:
    harness = BalancerHarness(max_retry_after_us=1000)
    session = harness.arrive(deadline=1000)
    answer = harness.balancer.retries.final_answer(harness.now, session)
    assert isinstance(answer, Shed) and 0 < answer.retry_after_us <= 1000


def test_session_with_attempt_in_flight_gets_no_second_attempt() -> None:
    harness = BalancerHarness()
    session = harness.arrive()
    assert harness.balancer.place(harness.now, session) == Nothing()
    harness.finish_attempt(session, Outcome.ESTABLISHED)
    assert harness.balancer.place(harness.now, session) == Nothing()


def test_attempt_may_last_until_the_deadline() -> None:
    """An upstream serves queued attempts even after they time out, so timeouts would fill its queue."""
    harness = BalancerHarness()
    session = harness.arrive(key=1, deadline=4 * SECOND_US)
    assert harness.attempt_deadlines[session.number] == session.deadline


def test_session_established_at_an_upstream_that_no_list_names_is_taken_over() -> None:
    """A node restarted with an old endpoint list may take over sessions at upstreams missing from it."""
    harness = BalancerHarness()
    session = Session(500, 0, 1, 1, 0)
    harness.balancer.add_established(session, 77)
    assert harness.arrive(key=1).upstream != 77
    assert harness.balancer.outcome(harness.now, session, Outcome.RESET, answered=True) == Nothing()


def test_unusual_fleets_and_node_numbers_leave_every_session_with_its_answer() -> None:
    """Endpoint lists and node numbers out of the usual range could leave sessions without an answer.

    The cases are a list that becomes empty and then names 300 upstreams at once, and a node number that is
    not below the number of nodes.
    """
    for upstreams, me in ((0, 0), (1, 7), (300, 500)):
        harness = BalancerHarness(upstreams=upstreams, me=me)
        sessions = [harness.arrive(key=key) for key in (1, 2)]
        harness.balancer.update_endpoints(harness.now, [], whole=True, from_discovery=True)
        harness.endpoints = {number: endpoint(number, EndpointState.GONE) for number in harness.endpoints}
        sessions.append(harness.arrive(key=3))
        harness.advance(3 * SECOND_US)
        assert not harness.sessions
        harness.update_endpoints(*(endpoint(number) for number in range(300)))
        assert harness.arrive(key=4).number in harness.attempt_upstreams
