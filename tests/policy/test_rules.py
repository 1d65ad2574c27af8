"""The four rules, checked after every step of seeded random runs, and a few plain cases."""

from __future__ import annotations

import random
from dataclasses import replace
from itertools import islice, pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.policy.balancer import Balancer
from larchlatch.policy.retries import SUPERSEDED_CHECK_US
from larchlatch.policy.types import EndpointState, Nothing, Outcome, ProbeResult, Session, Shed
from tests.support.balancer_harness import SECOND_US, SETTINGS, BalancerHarness, endpoint, forwarded_to

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
def test_an_upstream_in_slow_start_is_filled_where_each_node_sees_few_sessions_but_never_over(
    nodes: int, sessions: int, least: int, calm: bool
) -> None:
    """By turns alone it stays empty beside full ones; were each node's own sessions all that counted, a crowd
    at all nodes at once would push it over."""
    full, sends = 100.0, []
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
                    harness.now, upstream, ProbeResult(True, 0.05 if upstream == 9 else 0.5, full / 2)
                )
            session = harness.arrive(key=1 + 1000 * me + number)
            harness.advance(SECOND_US // 100)  # its candidates are probed
            harness.advance(10 * SECOND_US // sessions - SECOND_US // 100)
            if session.number in harness.attempt_upstreams:
                harness.finish_attempt(session, Outcome.ESTABLISHED)
        sends += [at - start for at, upstream in harness.slow_start_sends if upstream == 9]
    deployment_settings = harness.settings
    # What an upstream may be sent in a second, as it warms evenly: the stated multiple of what fills it
    # meanwhile.
    rate = deployment_settings.overload_multiple * full * SECOND_US / deployment_settings.slow_start_us

    def allowed(at: int) -> float:
        return rate * (
            deployment_settings.slow_start_min_share
            + (1 - deployment_settings.slow_start_min_share) * at / deployment_settings.slow_start_us
        )

    assert all(sum(at <= other < at + SECOND_US for other in sends) <= allowed(at) for at in sends)
    # Ten seconds hold ten turns, most of them of nodes that have no session then.
    assert not calm or len(sends) >= least


def test_a_client_that_comes_again_draws_no_second_time_for_an_upstream_in_slow_start() -> None:
    """Held sessions are asked again many times a second, and a shed client comes to the next node: were it a
    new chance each time, the crowd that waits would all get in."""
    rows = []
    for key in range(1, 21):
        taken = []
        for me in range(
            1, 5
        ):  # the fifth has its turn at the upstream in slow start, and about half of all sessions a chance
            harness = BalancerHarness(nodes=5, me=me, upstreams=1, probes=True, probes_report_load=True)
            harness.balancer.record_probe(harness.now, 0, ProbeResult(True, 0.5, 50))
            harness.update_endpoints(endpoint(9, started_at=harness.now - 10 * SECOND_US))
            session = harness.arrive(key=key)
            upstream = harness.balancer.fleet.upstreams[9]
            taken.append(
                [harness.balancer.slow_start.may_take(harness.now, upstream, session) for _ in range(100)]
            )
        assert len({tuple(row) for row in taken}) == 1 and len(set(taken[0])) == 1
        rows.append(taken[0][0])
    assert 4 <= sum(rows) <= 16


def test_what_a_probe_shows_of_an_upstream_in_slow_start_counts_where_it_warms_faster_than_stated() -> None:
    """The stated warm-up is the slowest: a fleet half of whose upstreams are new can't wait for it. An
    upstream is
    never held to be able to do more than a warm one of its size, nor what it could before a new start."""
    harness = BalancerHarness(nodes=40, upstreams=4, probes=True, probes_report_load=True)
    balancer, start = harness.balancer, harness.now
    for number in range(4):
        balancer.record_probe(start, number, ProbeResult(True, 0.5, 50))
    harness.update_endpoints(endpoint(9, started_at=start))
    upstream = balancer.fleet.upstreams[9]

    def budget(now: int) -> float:
        return balancer.slow_start.turn_budget(now, upstream, balancer.slow_start.reported_capacity(upstream))

    stated = budget(start)
    balancer.record_probe(start, 9, ProbeResult(True, 0.05, 40))  # too few to tell by
    assert budget(start) == stated
    balancer.record_probe(start, 9, ProbeResult(True, 0.5, 20))
    assert budget(start) == pytest.approx(2 * stated)
    balancer.record_probe(start, 9, ProbeResult(True, 0.5, 500))
    assert budget(start) == pytest.approx(5 * stated)
    harness.update_endpoints(endpoint(9, started_at=start + SECOND_US))
    assert budget(start + SECOND_US) == stated


def test_sessions_are_not_moved_towards_an_upstream_in_slow_start_that_can_not_take_them() -> None:
    """They would come back to the upstream that they were moved off, and cost a setup each time."""
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
        moves = harness.balancer.wait(harness.now).migrations
        in_turn = (harness.now - harness.endpoints[9].started_at) // SECOND_US % 2 == 0
        assert bool(moves) == in_turn
        harness.now += SECOND_US


def test_what_counts_sessions_asked_for_forgets_those_of_earlier_windows() -> None:
    """It would grow with every session for as long as the node lives, on a fleet that has no upstream in
    slow start."""
    harness = BalancerHarness()
    for number in range(200):
        harness.finish_attempt(harness.arrive(key=number), Outcome.COMPLETED)
        harness.advance(SECOND_US // 10)
    assert len(harness.balancer.slow_start.arrivals.times) <= 11


def test_same_ring_on_every_node_and_local_remapping() -> None:
    one, other = BalancerHarness(seed=1, upstreams=8), BalancerHarness(seed=2, upstreams=8, me=1)
    before = {key: one.arrive(key).upstream for key in range(1, 200)}
    assert before == {key: other.arrive(key).upstream for key in range(1, 200)}
    fresh = BalancerHarness(seed=3, upstreams=8)
    fresh.update_endpoints(endpoint(5, EndpointState.GONE))
    moved = [key for key in before if fresh.arrive(key).upstream != before[key]]
    assert len(moved) < len(before) // 3


def test_less_loaded_of_two_candidates() -> None:
    harness = BalancerHarness()
    upstreams = []
    for _ in range(5):
        session = harness.arrive(key=77)
        upstreams.append(session.upstream)
        harness.finish_attempt(session, Outcome.ESTABLISHED)
    assert 1 <= len(set(upstreams)) <= 2


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


def test_no_upstream_at_all_is_answered_in_time() -> None:
    harness = BalancerHarness(upstreams=1)
    harness.update_endpoints(endpoint(0, EndpointState.GONE))
    session = harness.arrive()
    harness.advance(2 * SECOND_US)
    assert session.number not in harness.sessions


def test_shed_advice_stays_within_what_clients_honour() -> None:
    harness = BalancerHarness(max_retry_after_us=1000)
    session = harness.arrive(deadline=1000)
    answer = harness.balancer.retries.final_answer(harness.now, session)
    assert isinstance(answer, Shed) and 0 < answer.retry_after_us <= 1000


def test_asked_list_is_asked_for_until_it_answers() -> None:
    """Without a subscription drains are never heard of, yet count as told."""
    harness = BalancerHarness(polls_discovery=True)
    harness.balancer.discovery_failed(harness.now)
    at = [harness.now]
    for _ in range(6000):
        harness.now += SECOND_US // 10
        if harness.balancer.wait(harness.now).poll_list:
            at.append(harness.now)
            harness.balancer.discovery_failed(harness.now)
    within = harness.balancer.settings.poll_within_us
    assert len(at) > 40 and all(later - earlier <= 2 * within + SECOND_US for earlier, later in pairwise(at))


@pytest.mark.parametrize("nodes", [10, 40, 200])
def test_nodes_that_lose_the_list_together_get_through_an_overbooked_service(nodes: int) -> None:
    """One that serves a call for every seven nodes a second, dead ones too: asked on and on by all, it
    would answer each call too late, and nobody would hear of a drain."""
    grounds = [BalancerHarness(polls_discovery=True, nodes=nodes, seed=seed) for seed in range(nodes)]
    for harness in grounds:
        harness.balancer.discovery_failed(harness.now)
    start = grounds[0].now
    free_at, through = 0.0, 0
    waiting: list[tuple[float, BalancerHarness]] = []  # when a call is answered, and whose it is
    for now in range(start, start + 60 * SECOND_US, SECOND_US // 20):
        for answer in [answer for answer in waiting if answer[0] <= now]:
            waiting.remove(answer)
            answer[1].balancer.discovery_failed(now)
        for harness in grounds:
            harness.now = now
            if not harness.balancer.polling.subscribed and harness.balancer.wait(now).poll_list:
                free_at = max(free_at, now) + 7 * SECOND_US / nodes
                if free_at > now + 2 * SECOND_US:
                    waiting.append((now + 2 * SECOND_US, harness))
                else:
                    harness.balancer.update_endpoints(now, [], whole=False, asked=True)
                    through += 1
    assert through >= 0.9 * nodes


def test_sessions_are_moved_off_a_slow_upstream_but_not_when_all_are_slow() -> None:
    """An upstream with late messages earns nothing; a slowdown of everything must not set all sessions
    moving."""
    harness = BalancerHarness()
    sessions = [harness.arrive(key=key) for key in range(1, 40)]
    for session in sessions:
        harness.finish_attempt(session, Outcome.ESTABLISHED)
    harness.balancer.record_delay(harness.now, sessions[0], 400_000)
    moved = []
    for _ in range(20):
        harness.balancer.record_delay(harness.now, sessions[0], 400_000)
        moved += harness.balancer.wait(harness.now).migrations
        harness.now += SECOND_US
    # A tenth of the upstream's sessions a round and all nodes: one from each node with few would empty it
    # at once.
    assert 1 <= len(moved) <= 12 and all(
        sessions[number].upstream == sessions[0].upstream for number in moved
    )
    harness.advance(SECOND_US)
    for session in sessions:
        harness.balancer.record_delay(harness.now, session, 400_000)
    assert not harness.balancer.wait(harness.now).migrations


def test_a_new_session_waits_briefly_for_its_candidates_load() -> None:
    """Probes that never answer must not hold a session: it waits once, then is placed."""
    harness = BalancerHarness(probes=True, probes_report_load=True)
    session = harness.arrive(key=3)
    assert session.number in harness.held_until and len(harness.balancer.wait(harness.now).probes) == 2
    harness.advance(SECOND_US // 10)
    assert session.number in harness.attempt_upstreams


def test_slow_upstreams_take_no_new_session_even_when_all_are_slow() -> None:
    """Sessions added to upstreams that are late for everybody keep all of them late: the fleet never
    recovers."""
    harness = BalancerHarness()
    sessions = [harness.arrive(key=key) for key in range(1, 40)]
    for session in sessions:
        harness.finish_attempt(session, Outcome.ESTABLISHED)
        harness.balancer.record_delay(harness.now, session, 400_000)
    late = harness.arrive(key=50)
    assert late.number not in harness.attempt_upstreams
    hopeless = harness.arrive(key=50, deadline=SECOND_US)
    assert hopeless.number not in harness.sessions, "held though no upstream can be had before its deadline"
    for session in sessions:
        harness.balancer.record_delay(harness.now, session, 10_000)
    soon = harness.arrive(key=50, deadline=4 * SECOND_US)
    harness.advance(SECOND_US + SECOND_US // 10)
    assert soon.number in harness.attempt_upstreams


def test_a_session_whose_attempt_is_in_flight_gets_no_second_one() -> None:
    harness = BalancerHarness()
    session = harness.arrive()
    assert harness.balancer.place(harness.now, session) == Nothing()
    harness.finish_attempt(session, Outcome.ESTABLISHED)
    assert harness.balancer.place(harness.now, session) == Nothing()


def test_a_setup_that_takes_long_is_waited_for() -> None:
    """Given up in a shared queue, it is served all the same: time-outs fill the queue with dead work."""
    harness = BalancerHarness()
    session = harness.arrive(key=1, deadline=4 * SECOND_US)
    assert harness.attempt_deadlines[session.number] == session.deadline


def test_a_session_standing_on_an_upstream_that_no_list_names() -> None:
    """A node that restarts with an old list is handed sessions on upstreams that the list has never named."""
    harness = BalancerHarness()
    session = Session(500, 0, 1, 1, 0)
    harness.balancer.add_established(session, 77)
    assert harness.arrive(key=1).upstream != 77
    assert harness.balancer.outcome(harness.now, session, Outcome.RESET, answered=True) == Nothing()


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


def test_a_node_with_hardly_a_session_goes_by_probed_load() -> None:
    """One node of hundreds holds a session or two an upstream: counted alone, these say nothing of its
    load."""
    harness = BalancerHarness(nodes=200, probes=True, probes_report_load=True)
    session = harness.arrive(key=3)
    master, second = harness.balancer.wait(harness.now).probes
    first = next(harness.balancer.ring.successors(session)).number
    for number in (master, second):
        harness.balancer.record_probe(harness.now, number, ProbeResult(True, 0.9 if number == first else 0.3))
    harness.advance(SECOND_US // 10)
    assert harness.attempt_upstreams[session.number] not in (-1, first)


def test_a_group_too_large_for_two_upstreams_spreads_and_a_small_one_does_not() -> None:
    """Two upstreams of a large fleet drop the sessions of a group that makes up a tenth of all, over and
    over."""
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


def test_more_sessions_are_moved_the_later_an_upstream_is() -> None:
    """An upstream with seconds of work piled up keeps all its sessions late while a tenth of them leaves."""
    moved = []
    for delay in (51_000, 900_000):
        harness = BalancerHarness(upstreams=6)
        sessions = [harness.arrive(key=key) for key in range(1, 300)]
        for session in sessions:
            harness.finish_attempt(session, Outcome.ESTABLISHED)
        harness.balancer.record_delay(harness.now, sessions[0], delay)
        moved.append(len(harness.balancer.wait(harness.now).migrations))
    assert 2 * moved[0] < moved[1] <= 30


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


def test_a_session_passes_over_candidates_whose_probes_say_that_they_are_full() -> None:
    """Both candidates full, the less loaded of them would only be late a little less."""
    harness = BalancerHarness(nodes=200, probes=True, probes_report_load=True)
    session = harness.arrive(key=3)
    full = harness.balancer.wait(harness.now).probes
    for number in full:
        harness.balancer.record_probe(harness.now, number, ProbeResult(True, 1.1))
    harness.advance(SECOND_US // 10)
    assert harness.attempt_upstreams[session.number] not in full


def test_odd_fleets_and_numbers_leave_every_session_with_its_answer() -> None:
    """A list that empties and comes back, names hundreds at once, a node beyond the stated number."""
    for upstreams, me in ((0, 0), (1, 7), (300, 500)):
        harness = BalancerHarness(upstreams=upstreams, me=me)
        sessions = [harness.arrive(key=key) for key in (1, 2)]
        harness.balancer.update_endpoints(harness.now, [], whole=True, asked=True)
        harness.endpoints = {number: endpoint(number, EndpointState.GONE) for number in harness.endpoints}
        sessions.append(harness.arrive(key=3))
        harness.advance(3 * SECOND_US)
        assert not harness.sessions
        harness.update_endpoints(*(endpoint(number) for number in range(300)))
        assert harness.arrive(key=4).number in harness.attempt_upstreams


def test_sessions_leave_an_upstream_that_only_probes_show_to_be_full() -> None:
    """It answers at once and serves nobody in time: without a look now and then its sessions would stay."""
    harness = BalancerHarness(probes=True, probes_report_load=True, reports_delay=False)
    sessions = []
    for key in range(1, 60):
        session = harness.arrive(key=key)
        for number in harness.balancer.wait(harness.now).probes:
            harness.balancer.record_probe(harness.now, number, ProbeResult(True, 0.4))
        harness.advance(SECOND_US // 5)
        harness.finish_attempt(session, Outcome.ESTABLISHED)
        sessions.append(session)
    full = sessions[0].upstream
    there = [session for session in sessions if session.upstream == full]
    moved: list[int] = []
    for _ in range(100):
        harness.now += SECOND_US // 10
        due = harness.balancer.wait(harness.now)
        for number in due.probes:
            harness.balancer.record_probe(
                harness.now, number, ProbeResult(True, 1.05 if number == full else 0.4)
            )
        moved += due.migrations
    assert len(moved) > len(there) // 3
    assert {sessions[number].upstream for number in moved} == {full}


def test_no_session_is_moved_where_probes_show_all_upstreams_to_be_as_full() -> None:
    """Sessions would be handed round, each move costing its client, and no upstream be better off."""
    harness = BalancerHarness(probes=True, probes_report_load=True, reports_delay=False)
    for key in range(1, 40):
        session = harness.arrive(key=key)
        for number in harness.balancer.wait(harness.now).probes:
            harness.balancer.record_probe(harness.now, number, ProbeResult(True, 0.8))
        harness.advance(SECOND_US // 10)
        if session.number in harness.attempt_upstreams:
            harness.finish_attempt(session, Outcome.ESTABLISHED)
    for step in range(100):
        harness.now += SECOND_US // 10
        due = harness.balancer.wait(harness.now)
        for number in due.probes:
            harness.balancer.record_probe(harness.now, number, ProbeResult(True, 0.8 + 0.02 * (step % 10)))
        assert not due.migrations


def test_all_sessions_leave_an_upstream_that_is_unresponsive_and_out_of_reach_at_once() -> None:
    """A vanished upstream resets nothing: moved off bit by bit, its sessions would earn nothing for
    seconds."""
    for answered in (True, False):
        harness = BalancerHarness(probes=True, probes_report_load=True, reports_delay=False)
        sessions = [Session(number, 0, number + 1, None, 0) for number in range(40)]
        for session in sessions:
            harness.balancer.add_established(session, session.number % 2)
        harness.balancer.record_unresponsive(harness.now, 0)
        due = harness.balancer.wait(harness.now)
        assert 0 in due.probes and 0 < len(due.migrations) < 20
        harness.now += SECOND_US // 2
        harness.balancer.record_probe(harness.now, 0, ProbeResult(answered, 0.5 if answered else None))
        moved = due.migrations + harness.balancer.wait(harness.now).migrations
        assert answered or sorted(moved) == [session.number for session in sessions if session.upstream == 0]
        assert not answered or moved == due.migrations


def test_an_upstream_that_may_have_filled_up_is_probed_again_before_the_next_session() -> None:
    """A crowd comes within the time that a probe serves: the figure is from before, and the upstream full."""
    for load, least, most in ((0.05, 1, 2), (0.7, 3, 5)):
        harness = BalancerHarness(upstreams=2, probes=True, probes_report_load=True, reports_delay=False)
        probed = {0: 0, 1: 0}
        for key in range(1, 40):
            session = harness.arrive(key=key)
            for number in harness.balancer.wait(harness.now).probes:
                harness.balancer.record_probe(harness.now, number, ProbeResult(True, load))
                probed[number] += 1
            harness.advance(SECOND_US // 20)
            harness.finish_attempt(session, Outcome.ESTABLISHED)
        # Where there is much room a probe serves its time: looks at every few sessions would scatter groups.
        assert all(least <= number <= most for number in probed.values())


def test_a_vanished_upstream_neither_holds_up_relief_of_others_nor_costs_sessions_their_attempts() -> None:
    """Its sessions fill others: were it counted as slow with these, most would be, and none be relieved."""
    harness = BalancerHarness(upstreams=5, probes=True, probes_report_load=True, reports_delay=False)
    for number in range(120):
        harness.balancer.add_established(Session(number, 0, number + 1, None, 0), number % 5)
    harness.balancer.wait(harness.now)
    harness.balancer.record_unresponsive(harness.now, 0)
    harness.balancer.record_probe(harness.now, 0, ProbeResult(False))
    for number in (4, 3, 2, 1):
        harness.balancer.record_probe(harness.now, number, ProbeResult(True, 1.5 if number < 3 else 0.2))
    moved = harness.balancer.wait(harness.now).migrations
    assert {number % 5 for number in moved} == {0, 1, 2}
    for step in range(8):
        harness.now += SECOND_US // 2
        session = harness.arrive(key=step + 1)
        for number in harness.balancer.wait(harness.now).probes:
            harness.balancer.record_probe(harness.now, number, ProbeResult(number != 0, 0.2))
        harness.advance(SECOND_US // 20)
        assert harness.attempt_upstreams.get(session.number) != 0
        if session.number in harness.attempt_upstreams:
            harness.finish_attempt(session, Outcome.ESTABLISHED)


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


def test_a_small_upstream_over_its_capacity_is_relieved_where_a_large_one_has_room() -> None:
    """Among a few upstreams its own figure lifts the mean: held against that it would stay full for good."""
    for large, relieved in ((0.4, True), (0.9, False)):
        harness = BalancerHarness(upstreams=0, probes=True, probes_report_load=True, reports_delay=False)
        harness.update_endpoints(endpoint(0, size=1.5), endpoint(1, size=1.5), endpoint(2, size=6.0))
        for number in range(60):
            harness.balancer.add_established(Session(number, 0, number + 1, None, 0), number % 3)
        for number, load in ((2, large), (1, 1.0), (0, 1.15)):
            harness.balancer.record_probe(harness.now, number, ProbeResult(True, load))
        assert bool(harness.balancer.wait(harness.now).migrations) is relieved


def guess(balancer: Balancer, now: int, number: int, key: int) -> int:
    """Where a session in mid-flow is taken."""
    return forwarded_to(balancer.place(now, Session(number, 0, key, key, now + 2 * SECOND_US, mid_flow=True)))


def test_a_session_in_mid_flow_is_not_looked_for_at_an_upstream_that_came_after_it() -> None:
    now = 100 * SECOND_US
    for fresh_up, holds in ((now - 4 * SECOND_US, True), (now - 30 * SECOND_US, False)):
        before, after = (Balancer(SETTINGS, random.Random(seed)) for seed in (1, 2))
        old = [endpoint(number) for number in range(4)]
        before.update_endpoints(now, old, whole=True, asked=True)
        after.update_endpoints(now, [*old, endpoint(4, started_at=fresh_up)], whole=True, asked=True)
        pairs = [(guess(before, now, key, key), guess(after, now, key, key)) for key in range(1, 200)]
        assert all(was == now_at for was, now_at in pairs) == holds


def test_sessions_in_mid_flow_are_not_all_looked_for_at_the_few_upstreams_past_slow_start() -> None:
    now = 100 * SECOND_US
    balancer = Balancer(replace(SETTINGS, nodes=1, overload_multiple=100.0), random.Random(1))
    cold = [endpoint(number, started_at=now - 4 * SECOND_US) for number in range(1, 6)]
    balancer.update_endpoints(now, [endpoint(0), *cold], whole=True, asked=True)
    places = [guess(balancer, now, key, key) for key in range(1, 60)]
    assert places.count(0) < len(places) / 2


def test_a_session_in_mid_flow_finds_an_upstream_in_slow_start_where_all_are_cold_and_none_that_drains() -> (
    None
):
    now = 100 * SECOND_US
    balancer = Balancer(replace(SETTINGS, nodes=1, me=0), random.Random(1))
    cold = [endpoint(number, started_at=now - SECOND_US) for number in range(3)]
    balancer.update_endpoints(now, [*cold, endpoint(3, EndpointState.DRAINING)], whole=True, asked=True)
    assert {guess(balancer, now, key, key) for key in range(1, 4)} <= {0, 1, 2}


@pytest.mark.parametrize(("load", "strays"), [(0.3, True), (0.8, False), (None, False)])
def test_sessions_stray_in_wide_trouble_only_where_the_upstreams_that_are_well_show_room(
    load: float | None, strays: bool
) -> None:
    now, went = 100 * SECOND_US, []
    for key in range(1, 40):
        balancer = Balancer(replace(SETTINGS, probes_report_load=True, probes=True), random.Random(key))
        balancer.update_endpoints(now, [endpoint(number) for number in range(8)], whole=True, asked=True)
        session = Session(key, 0, key, key, now + 2 * SECOND_US)
        pair = balancer.selector.candidates(now, session).pair
        bad = [upstream.number for upstream in pair] + [
            n for n in range(8) if balancer.fleet.upstreams[n] not in pair
        ][:1]
        for upstream in balancer.fleet.upstreams.values():
            upstream.probed_at = now
            balancer.record_probe(now, upstream.number, ProbeResult(True, load))
            if upstream.number in bad:
                upstream.slow_until = now + 2 * SECOND_US
        went.append(forwarded_to(balancer.place(now, session)))
        assert went[-1] not in bad
    assert all(upstream >= 0 for upstream in went) == strays, (
        "three of eight are slow, both of each link's own too"
    )


def placed_by_many(figure: float, room: float, nodes: int = 60, cold: bool = False) -> list[int]:
    """Where so many nodes put a session, all having read the same figures of its candidates and of the
    others."""
    chosen = []
    for me in range(nodes):
        harness = BalancerHarness(
            seed=me, upstreams=8, nodes=nodes, me=me, probes=True, probes_report_load=True
        )
        pair = [
            upstream.number
            for upstream in islice(harness.balancer.ring.successors(Session(0, 0, 1, 1, 0)), 2)
        ]
        for number in range(8):
            harness.balancer.fleet.upstreams[number].probed_at = harness.now
            harness.balancer.record_probe(
                harness.now, number, ProbeResult(True, figure if number in pair else room, 20.0)
            )
        if cold:
            harness.balancer.fleet.upstreams[
                next(n for n in range(8) if n not in pair)
            ].started_at = harness.now
        chosen.append(harness.arrive().upstream)
        assert chosen[-1] >= 0
    return [chosen.count(number) for number in pair]


def test_nodes_that_read_one_figure_do_not_all_act_on_it() -> None:
    # An upstream just relieved reads as fit at every node at once, gets all back, and is full again.
    assert sum(placed_by_many(0.8, 0.2)) < 40, "its candidates stand at the edge, and others have room"
    assert sum(placed_by_many(0.3, 0.2)) == 60, "it has room: the ordinary path"
    assert sum(placed_by_many(0.8, 0.85)) == 60, "nobody has room: straying would gain nothing"
    assert sum(placed_by_many(0.8, 0.2, cold=True)) == 60, (
        "strays would crowd before a cold host's small budget"
    )
