"""Slow-start tokens: budgets of warming upstreams hold although messages are lost, doubled or late."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.cluster.election.fencing import NO_PERMIT, OrderPermit
from larchlatch.cluster.protocol.headers import RequestOrigin
from larchlatch.cluster.protocol.messages import TokenDemand, TokenGrant, TokenRequest
from larchlatch.cluster.slow_start.issuer import TokenIssuer
from larchlatch.cluster.slow_start.requester import TokenRequester
from larchlatch.emulator.simulation import Simulation
from larchlatch.policy.types import Hold, Token, TokenCandidate
from larchlatch.scenario.scenario import Scenario
from larchlatch.scenario.scenario_file import read_scenario_file
from tests.support.balancer_harness import BalancerHarness, endpoint, forwarded_to
from tests.support.slow_start_tokens import (
    BUDGET,
    ELECTORATE,
    HEARTBEAT_US,
    NAMES,
    SECOND,
    START,
    TERM,
    UPSTREAM,
    WALL,
    WINDOW,
    Played,
)


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.integers(0, 10**6), st.floats(0, 0.4), st.floats(0, 0.4), st.floats(0, 0.3), st.booleans())
def test_no_window_gets_more_than_its_budget_and_no_turn_is_used_that_was_handed_over(
    seed: int, loss: float, double: float, late: float, faults: bool
) -> None:
    played = Played(seed, loss, double, late, faults, not faults).run(24)
    assert played.most <= BUDGET and not played.taken_twice
    assert played.by_turn + len(played.by_leave) > 3


def test_without_faults_nearly_the_whole_budget_is_used_by_tokens() -> None:
    """An issuer that refuses too much would leave the capacity of warming upstreams unused."""
    played = Played(1, 0.0, 0.0, 0.0, False).run(30)
    assert played.sound and len(played.by_leave) > 0.7 * BUDGET * 22, (
        "8 of the 30 s are allowed for the hand-over of turns after the start"
    )


def forgetful(one: TokenRequester, now: int) -> None:
    one.handed_over_until = 0


def hasty(one: TokenRequester, now: int) -> bool:
    return one.answered_lately(now)


def at_once(one: TokenIssuer, now: int, lease: int) -> None:
    if lease != one.lease:
        one.lease, one.promised_until, one.issued, one.opens_at = lease, {}, {}, now


PLANTED_FAULTS: list[tuple[object, str, Any]] = [
    (TokenRequester, "open", forgetful),
    (TokenRequester, "promises", hasty),
    (TokenIssuer, "hold", at_once),
    (TokenIssuer, "counting_span_us", property(lambda one: WINDOW // 2)),
]


@pytest.mark.parametrize("fault", PLANTED_FAULTS, ids=lambda fault: str(fault[1]))
def test_what_is_planted_is_caught(fault: tuple[object, str, Any], monkeypatch: pytest.MonkeyPatch) -> None:
    """The invariants could hold in the other tests only because the harness does not detect violations.

    The injected faults are a restart that forgets the hand-over of turns, a promise that the balancer does
    not know of, an issuer that issues before the tokens of its predecessor have expired, and a counting span
    that is too short.
    """
    monkeypatch.setattr(*fault)
    networks = ((0.1, 0.2, 0.1, True, False), (0.0, 0.0, 0.0, False, True))
    assert not all(Played(seed, *network).run(25).sound for seed in range(20) for network in networks)


def ready_issuer(now: int = START, lease: int = 5) -> TokenIssuer:
    """Return a token issuer to which all nodes have handed their turns over."""
    one = TokenIssuer("a", ELECTORATE)
    one.update_upstreams([UPSTREAM], window_us=WINDOW)
    one.hold(now - TERM, lease)
    one.promised_until = dict.fromkeys(NAMES, now + TERM)
    return one


def token_request(number: int, budget: float = BUDGET, weight: float = 1.0, **changes: Any) -> TokenRequest:
    want = TokenDemand(UPSTREAM, int(budget * 1000), int(weight * 1000))
    return msgspec.structs.replace(TokenRequest("b", 1, number, WALL, "a", 7, 0, 0, [want]), **changes)


def test_session_counts_by_its_weight_and_any_weight_fits_an_empty_window() -> None:
    """A heavy session counted as one would cause overload; one above the budget would never be sent."""
    one, order = ready_issuer(), OrderPermit(5, 300_000)
    assert one.answer(START, token_request(1, weight=9.0), order) is not None
    assert one.answer(START, token_request(2, weight=0.1), order) is None
    later = START + one.counting_span_us + 1
    assert one.answer(later, token_request(3, weight=4.5), order) is not None
    assert one.answer(later, token_request(4, weight=1.0), order) is None
    assert one.answer(later, token_request(5, weight=0.5), order) is not None


def test_nodes_that_use_turns_keep_their_part_of_the_budget() -> None:
    """Tokens for the whole budget, beside nodes that still use their turns, would overload an upstream."""
    one, order = ready_issuer(), OrderPermit(5, 300_000)
    one.promised_until = {"a": START + TERM, "b": START + TERM}
    granted = [one.answer(START, token_request(number), order) is not None for number in range(1, 6)]
    assert granted == [True, True, False, False, False], (
        "with the turns of two of four nodes, half of the budget of five gives two tokens"
    )
    one.promised_until = {}
    assert one.answer(START + 5 * SECOND, token_request(9), order) is None


def test_promise_counts_from_the_answer_that_it_echoes() -> None:
    """A late request would carry a promise that has ended already, if the promise counted from its arrival.

    The issuer does not know the age of a request. It counts the promise from its own answer, whose timestamp
    the request echoes.
    """
    one, order = ready_issuer(), OrderPermit(5, 300_000)
    one.promised_until = {}
    one.answer(START + 2 * SECOND, token_request(1, lease=5, issued_us=START), order)
    assert START + TERM * 0.97 < one.promised_until["b"] < START + TERM * 0.99
    one.answer(START + 2 * SECOND, token_request(2, lease=4, issued_us=START + SECOND), order)
    assert one.promised_until["b"] < START + TERM, (
        "an answer under another lease has another clock and does not count"
    )
    one.answer(START, token_request(3, lease=5, issued_us=START + 9 * SECOND), order)
    assert one.promised_until["b"] < START + TERM, "a timestamp in the future does not count"


def test_no_token_without_the_role_or_with_another_file() -> None:
    """A node that issued tokens beside the holder, or by another cluster file, would exceed the budget."""
    one = ready_issuer()
    assert one.answer(START, token_request(1), NO_PERMIT) is None
    assert one.answer(START, token_request(2), OrderPermit(6, 300_000)) is None, (
        "the issuer does not know this new lease yet"
    )
    assert one.answer(START, token_request(3, config_digest=8), OrderPermit(5, 300_000)) is None
    assert one.answer(START, token_request(4, sender="x"), OrderPermit(5, 300_000)) is None
    stranger = msgspec.structs.replace(token_request(6), demands=[TokenDemand(UPSTREAM + 1, 9000, 1)])
    assert one.answer(START, stranger, OrderPermit(5, 300_000)) is None, (
        "the upstream is not among those that are ready"
    )
    one.hold(START, 6)
    assert one.answer(START + SECOND, token_request(5), OrderPermit(6, 300_000)) is None, (
        "tokens of the previous issuer are still valid"
    )


def test_request_rate_of_the_cluster_is_bounded() -> None:
    """Many waiting sessions in a large cluster would overload the issuer, which verifies each signature."""
    one, now, request_count = TokenRequester(ELECTORATE, START), START, 0
    one.update_slow_start(now, slow_start_us=100 * SECOND, window_us=WINDOW)
    one.names = frozenset(map(str, range(200)))
    one.issuer, one.answered_at = "b", START + 10**9
    for heartbeat in range(50):
        one.tick(now + heartbeat * HEARTBEAT_US, RequestOrigin("a", 1, WALL), "b")
        for _ in range(20):
            want = [(UPSTREAM, TokenCandidate(UPSTREAM, BUDGET, 1.0))]
            request_count += (
                one.request_token(now + heartbeat * HEARTBEAT_US, RequestOrigin("a", 1, WALL), 7, want)
                is not None
            )
    assert 1000 * 10 / 200 - 5 <= request_count <= 1000 * 10 / 200 + 16


def test_what_was_given_long_ago_is_forgotten() -> None:
    """The issuer's memory use would grow without bound if it kept tokens that no longer count."""
    one = ready_issuer()
    assert one.answer(START, token_request(1), OrderPermit(5, 300_000)) is not None
    one.hold(START + 2 * one.counting_span_us, 5)
    assert one.issued
    one.hold(START + 5 * one.counting_span_us, 5)
    assert not one.issued


def test_token_is_for_its_session_alone_and_expires() -> None:
    """A heavy session that got no token would use the token of a light one, and exceed the budget."""
    harness = BalancerHarness(upstreams=0, nodes=40, probes=False)
    harness.update_endpoints(endpoint(0, started_at=harness.now), endpoint(1, started_at=harness.now))
    balancer, now = harness.balancer, harness.now
    balancer.record_token(now, now + 10 * SECOND)
    one, other = (harness.arrive(key=key, deadline=2 * SECOND) for key in (1, 2))
    assert not harness.attempt_upstreams, (
        "both sessions wait, as all upstreams are warming up and turns are handed over"
    )
    requested = {
        want.upstream
        for answer in [balancer.place(now, session) for session in (one, other)]
        if isinstance(answer, Hold)
        for want in answer.token_candidates
    }
    assert requested <= {0, 1}
    balancer.record_token(now, now + 10 * SECOND, Token(1, one.number, now + 100_000))
    assert isinstance(balancer.place(now, other), Hold)
    late = balancer.place(now + 200_000, one)
    assert isinstance(late, Hold), "the token has expired"
    balancer.record_token(now + 200_000, now + 10 * SECOND, Token(1, one.number, now + 300_000))
    assert forwarded_to(balancer.place(now + 210_000, one)) == 1
    again = harness.arrive(key=3)
    assert again.number in harness.held_until and not harness.balancer.fleet.upstreams[1].tokens, (
        "a token serves one session"
    )


SCENARIO = Path(__file__).parents[2] / "scenarios" / "pace.toml"


def small_scenario(with_issuer: bool, **changes: Any) -> Scenario:
    small: dict[str, Any] = {"nodes.count": 20, "hosts.0.count": 15, "hosts.0.late": 10, "faults.0.hosts": 10}
    small |= {"links.rate": 70.0, "faults.1.holder": with_issuer, "faults.1.at_s": 20.0, "span_s": 24.0}
    return read_scenario_file(SCENARIO, {"cluster.pace": with_issuer, **small, **changes})


def test_with_tokens_new_upstreams_reach_their_share_sooner_without_overload() -> None:
    """With turns alone, nodes with few sessions leave much of the capacity of new upstreams unused."""
    turns, by_leave = (Simulation(small_scenario(with_issuer)).run() for with_issuer in (False, True))
    assert by_leave["cold_over"] == 0 and by_leave["two_holders"] == 0 and by_leave["orders"] > 200
    assert by_leave["cold_used"] > 1.2 * turns["cold_used"] and by_leave["served"] > turns["served"]
    assert not any(by_leave["broken"].values())


def test_without_a_token_issuer_turns_are_unchanged() -> None:
    """A role without a holder could still stop nodes from using their turns; most electors are down here."""
    with_it, without = (
        Simulation(small_scenario(with_issuer, **{"cluster.electors": 3})) for with_issuer in (True, False)
    )
    for simulation in (with_it, without):
        assert simulation.cluster is not None
        for number in (0, 1):
            simulation.cluster.members[number].is_alive = False
    rows = [simulation.run() for simulation in (with_it, without)]
    assert rows[0]["orders"] == 0 and abs(rows[0]["cold_used"] - rows[1]["cold_used"]) < 0.06


def test_a_node_that_was_stopped_promises_no_longer_than_its_decisions_know() -> None:
    """A suspended node would promise its turns for longer than its balancer leaves them unused.

    The node resumes just before the issuer's last answer expires. A session then requests a token before the
    next heartbeat renews the hand-over. That request would promise a whole term, but the balancer would use
    the turns again before the term has ended.
    """
    one, now = TokenRequester(ELECTORATE, START), START
    one.update_slow_start(now, slow_start_us=100 * SECOND, window_us=WINDOW)
    for _ in range(10):
        request, _ = one.tick(now, RequestOrigin("b", 1, WALL), "a")
        if request is not None:
            one.accept(now, TokenGrant("a", "b", 1, request.request_id, 5, 300_000, now, 0))
        now += HEARTBEAT_US
    want = [(UPSTREAM, TokenCandidate(UPSTREAM, BUDGET, 1.0))]
    soon = one.request_token(now, RequestOrigin("b", 1, WALL), 7, want)
    assert soon is not None and soon.lease == 5 and one.handed_over_until >= now + TERM
    late = one.answered_at + TERM - 50_000
    late_request = one.request_token(late, RequestOrigin("b", 1, WALL), 8, want)
    assert late_request is not None and (not late_request.lease or one.handed_over_until >= late + TERM)
