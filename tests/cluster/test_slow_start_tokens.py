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


def open_without_handover(requester: TokenRequester, now: int) -> None:
    requester.handed_over_until = 0


def promise_before_notice(requester: TokenRequester, now: int) -> bool:
    return requester.answered_lately(now)


def hold_without_wait(issuer: TokenIssuer, now: int, lease: int) -> None:
    if lease != issuer.lease:
        issuer.lease, issuer.promised_until, issuer.issued, issuer.opens_at = lease, {}, {}, now


PLANTED_FAULTS: list[tuple[object, str, Any]] = [
    (TokenRequester, "open", open_without_handover),
    (TokenRequester, "promises", promise_before_notice),
    (TokenIssuer, "hold", hold_without_wait),
    (TokenIssuer, "counting_span_us", property(lambda issuer: WINDOW // 2)),
]


@pytest.mark.parametrize("fault", PLANTED_FAULTS, ids=lambda fault: str(fault[1]))
def test_harness_detects_planted_faults(
    fault: tuple[object, str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The invariants could hold in the other tests only because the harness does not detect violations.

    The planted faults are a restart that forgets the hand-over of turns, a promise that the balancer does
    not know of, an issuer that issues before the tokens of its predecessor have expired, and a counting span
    that is too short.
    """
    monkeypatch.setattr(*fault)
    networks = ((0.1, 0.2, 0.1, True, False), (0.0, 0.0, 0.0, False, True))
    assert not all(Played(seed, *network).run(25).sound for seed in range(20) for network in networks)


def ready_issuer(now: int = START, lease: int = 5) -> TokenIssuer:
    """Return a token issuer to which all nodes have handed their turns over."""
    issuer = TokenIssuer("a", ELECTORATE)
    issuer.update_upstreams([UPSTREAM], window_us=WINDOW)
    issuer.hold(now - TERM, lease)
    issuer.promised_until = dict.fromkeys(NAMES, now + TERM)
    return issuer


def token_request(number: int, budget: float = BUDGET, weight: float = 1.0, **changes: Any) -> TokenRequest:
    demand = TokenDemand(UPSTREAM, int(budget * 1000), int(weight * 1000))
    return msgspec.structs.replace(TokenRequest("b", 1, number, WALL, "a", 7, 0, 0, [demand]), **changes)


def test_session_counts_by_its_weight_and_any_weight_fits_an_empty_window() -> None:
    """A heavy session counted as one would cause overload; one above the budget would never be sent."""
    issuer, permit = ready_issuer(), OrderPermit(5, 300_000)
    assert issuer.answer(START, token_request(1, weight=9.0), permit) is not None
    assert issuer.answer(START, token_request(2, weight=0.1), permit) is None
    later = START + issuer.counting_span_us + 1
    assert issuer.answer(later, token_request(3, weight=4.5), permit) is not None
    assert issuer.answer(later, token_request(4, weight=1.0), permit) is None
    assert issuer.answer(later, token_request(5, weight=0.5), permit) is not None


def test_nodes_that_use_turns_keep_their_part_of_the_budget() -> None:
    """Tokens for the whole budget, beside nodes that still use their turns, would overload an upstream."""
    issuer, permit = ready_issuer(), OrderPermit(5, 300_000)
    issuer.promised_until = {"a": START + TERM, "b": START + TERM}
    granted = [issuer.answer(START, token_request(number), permit) is not None for number in range(1, 6)]
    assert granted == [True, True, False, False, False], (
        "with the turns of two of four nodes, half of the budget of five gives two tokens"
    )
    issuer.promised_until = {}
    assert issuer.answer(START + 5 * SECOND, token_request(9), permit) is None


def test_promise_counts_from_the_answer_that_it_echoes() -> None:
    """A late request would carry a promise that has ended already, if the promise counted from its arrival.

    The issuer does not know the age of a request. It counts the promise from its own answer, whose timestamp
    the request echoes.
    """
    issuer, permit = ready_issuer(), OrderPermit(5, 300_000)
    issuer.promised_until = {}
    issuer.answer(START + 2 * SECOND, token_request(1, lease=5, issued_us=START), permit)
    assert START + TERM * 0.97 < issuer.promised_until["b"] < START + TERM * 0.99
    issuer.answer(START + 2 * SECOND, token_request(2, lease=4, issued_us=START + SECOND), permit)
    assert issuer.promised_until["b"] < START + TERM, (
        "an answer under another lease has another clock and does not count"
    )
    issuer.answer(START, token_request(3, lease=5, issued_us=START + 9 * SECOND), permit)
    assert issuer.promised_until["b"] < START + TERM, "a timestamp in the future does not count"


def test_no_token_without_the_role_or_with_another_cluster_file() -> None:
    """A node that issued tokens beside the holder, or by another cluster file, would exceed the budget."""
    issuer = ready_issuer()
    assert issuer.answer(START, token_request(1), NO_PERMIT) is None
    assert issuer.answer(START, token_request(2), OrderPermit(6, 300_000)) is None, (
        "the issuer does not know this new lease yet"
    )
    assert issuer.answer(START, token_request(3, config_digest=8), OrderPermit(5, 300_000)) is None
    assert issuer.answer(START, token_request(4, sender="x"), OrderPermit(5, 300_000)) is None
    unknown_upstream_request = msgspec.structs.replace(
        token_request(6), demands=[TokenDemand(UPSTREAM + 1, 9000, 1)]
    )
    assert issuer.answer(START, unknown_upstream_request, OrderPermit(5, 300_000)) is None, (
        "the upstream is not among those that are ready"
    )
    issuer.hold(START, 6)
    assert issuer.answer(START + SECOND, token_request(5), OrderPermit(6, 300_000)) is None, (
        "tokens of the previous issuer are still valid"
    )


def test_request_rate_of_the_cluster_is_bounded() -> None:
    """Many waiting sessions in a large cluster would overload the issuer, which verifies each signature."""
    requester, now, request_count = TokenRequester(ELECTORATE, START), START, 0
    requester.update_slow_start(now, slow_start_us=100 * SECOND, window_us=WINDOW)
    requester.names = frozenset(map(str, range(200)))
    requester.issuer, requester.answered_at = "b", START + 10**9
    for heartbeat in range(50):
        requester.tick(now + heartbeat * HEARTBEAT_US, RequestOrigin("a", 1, WALL), "b")
        for _ in range(20):
            candidates = [(UPSTREAM, TokenCandidate(UPSTREAM, BUDGET, 1.0))]
            request_count += (
                requester.request_token(
                    now + heartbeat * HEARTBEAT_US, RequestOrigin("a", 1, WALL), 7, candidates
                )
                is not None
            )
    assert 1000 * 10 / 200 - 5 <= request_count <= 1000 * 10 / 200 + 16


def test_issuer_discards_tokens_that_no_longer_count() -> None:
    """The issuer's memory use would grow without bound if it kept tokens that no longer count."""
    issuer = ready_issuer()
    assert issuer.answer(START, token_request(1), OrderPermit(5, 300_000)) is not None
    issuer.hold(START + 2 * issuer.counting_span_us, 5)
    assert issuer.issued
    issuer.hold(START + 5 * issuer.counting_span_us, 5)
    assert not issuer.issued


def test_token_is_for_its_session_alone_and_expires() -> None:
    """A heavy session that got no token would use the token of a light one, and exceed the budget."""
    harness = BalancerHarness(upstreams=0, nodes=40, probes=False)
    harness.update_endpoints(endpoint(0, started_at=harness.now), endpoint(1, started_at=harness.now))
    balancer, now = harness.balancer, harness.now
    balancer.record_token(now, now + 10 * SECOND)
    session_with_token, other_session = (harness.arrive(key=key, deadline=2 * SECOND) for key in (1, 2))
    assert not harness.attempt_upstreams, (
        "both sessions wait, as all upstreams are warming up and turns are handed over"
    )
    requested_upstreams = {
        candidate.upstream
        for answer in [balancer.place(now, session) for session in (session_with_token, other_session)]
        if isinstance(answer, Hold)
        for candidate in answer.token_candidates
    }
    assert requested_upstreams <= {0, 1}
    balancer.record_token(now, now + 10 * SECOND, Token(1, session_with_token.number, now + 100_000))
    assert isinstance(balancer.place(now, other_session), Hold)
    after_expiry = balancer.place(now + 200_000, session_with_token)
    assert isinstance(after_expiry, Hold), "the token has expired"
    balancer.record_token(
        now + 200_000, now + 10 * SECOND, Token(1, session_with_token.number, now + 300_000)
    )
    assert forwarded_to(balancer.place(now + 210_000, session_with_token)) == 1
    later_session = harness.arrive(key=3)
    assert later_session.number in harness.held_until and not harness.balancer.fleet.upstreams[1].tokens, (
        "a token serves one session"
    )


SCENARIO = Path(__file__).parents[2] / "scenarios" / "pace.toml"


def small_scenario(with_issuer: bool, **changes: Any) -> Scenario:
    small: dict[str, Any] = {"nodes.count": 20, "hosts.0.count": 15, "hosts.0.late": 10, "faults.0.hosts": 10}
    small |= {"links.rate": 70.0, "faults.1.holder": with_issuer, "faults.1.at_s": 20.0, "span_s": 24.0}
    return read_scenario_file(SCENARIO, {"cluster.pace": with_issuer, **small, **changes})


def test_with_tokens_new_upstreams_reach_their_share_sooner_without_overload() -> None:
    """With turns alone, nodes with few sessions leave much of the capacity of new upstreams unused."""
    without_tokens, with_tokens = (
        Simulation(small_scenario(with_issuer)).run() for with_issuer in (False, True)
    )
    assert with_tokens["cold_over"] == 0 and with_tokens["two_holders"] == 0 and with_tokens["orders"] > 200
    assert (
        with_tokens["cold_used"] > 1.2 * without_tokens["cold_used"]
        and with_tokens["served"] > without_tokens["served"]
    )
    assert not any(with_tokens["broken"].values())


def test_without_a_token_issuer_turns_are_unchanged() -> None:
    """A role without a holder could still stop nodes from using their turns; most electors are down here."""
    with_issuer_role, without_issuer_role = (
        Simulation(small_scenario(with_issuer, **{"cluster.electors": 3})) for with_issuer in (True, False)
    )
    for simulation in (with_issuer_role, without_issuer_role):
        assert simulation.cluster is not None
        for number in (0, 1):
            simulation.cluster.members[number].is_alive = False
    rows = [simulation.run() for simulation in (with_issuer_role, without_issuer_role)]
    assert rows[0]["orders"] == 0 and abs(rows[0]["cold_used"] - rows[1]["cold_used"]) < 0.06


def test_resumed_node_promises_no_longer_than_its_balancer_knows() -> None:
    """A suspended node would promise its turns for longer than its balancer leaves them unused.

    The node resumes just before the issuer's last answer expires. A session then requests a token before the
    next heartbeat renews the hand-over. That request would promise a whole term, but the balancer would use
    the turns again before the term has ended.
    """
    requester, now = TokenRequester(ELECTORATE, START), START
    requester.update_slow_start(now, slow_start_us=100 * SECOND, window_us=WINDOW)
    for _ in range(10):
        request, _ = requester.tick(now, RequestOrigin("b", 1, WALL), "a")
        if request is not None:
            requester.accept(now, TokenGrant("a", "b", 1, request.request_id, 5, 300_000, now, 0))
        now += HEARTBEAT_US
    candidates = [(UPSTREAM, TokenCandidate(UPSTREAM, BUDGET, 1.0))]
    timely_request = requester.request_token(now, RequestOrigin("b", 1, WALL), 7, candidates)
    assert (
        timely_request is not None and timely_request.lease == 5 and requester.handed_over_until >= now + TERM
    )
    late_at = requester.answered_at + TERM - 50_000
    late_request = requester.request_token(late_at, RequestOrigin("b", 1, WALL), 8, candidates)
    assert late_request is not None and (
        not late_request.lease or requester.handed_over_until >= late_at + TERM
    )
