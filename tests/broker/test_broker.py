"""Tests of the broker: limits per window, nested quotas with borrowing, and validation of contracts."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.__main__ import cli
from larchlatch.broker.broker import AdmittedSession, Broker, NoContract
from larchlatch.broker.contracts import parse_contracts
from larchlatch.broker.quota_tree import Dimension, QuotaLimits, QuotaNode, QuotaTree, Rejection, iterate
from larchlatch.broker.sliding_window import SLOTS, SlidingWindowCounter
from larchlatch.errors import InvalidInputError

SECOND = 1_000_000
START = 1_000 * SECOND
LATER = START + 2 * SECOND  # the window that counts as used up at the start has expired
EXAMPLE = Path(__file__).parents[2] / "deploy" / "contracts.example.toml"
ONE_SESSION = {Dimension.NEW_SESSIONS: 1}


def amounts(sessions_per_s: float, held: float = 100_000) -> dict[str, float]:
    return {"links_per_s": sessions_per_s, "messages_per_s": 10 * sessions_per_s, "held": held}


def contracts_of(**teams: float) -> dict[str, Any]:
    """Return contracts by the sessions per second promised to each team, in a pool with 100 per second."""
    return {
        "pools": [{"name": "p", "able": amounts(100)}],
        "teams": [
            {
                "name": name,
                "service": f"s-{name}",
                "pool": "p",
                "setup_ms": 500.0,
                "promised": amounts(rate, 20_000),
            }
            for name, rate in teams.items()
        ],
    }


def tree(pool_limit: int, **shares: int) -> tuple[QuotaTree, dict[str, QuotaNode]]:
    root = QuotaNode("pool", QuotaLimits((pool_limit,) * 3, (pool_limit,) * 3))
    for name, share in shares.items():
        root.children[name] = QuotaNode(name, QuotaLimits((share,) * 3, (pool_limit,) * 3), root)
    return QuotaTree(root, SECOND, START), root.children


# Windows.


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 400_000), st.integers(1, 6)), max_size=150), st.integers(1, 20))
def test_no_stretch_as_long_as_the_window_holds_more_than_the_limit(
    asks: list[tuple[int, int]], limit: int
) -> None:
    quotas, teams = tree(limit, a=limit)
    now, taken = LATER, []
    for gap, number in asks:
        now += gap
        if quotas.admit(now, teams["a"], {Dimension.NEW_SESSIONS: number}) is None:
            taken.append((now, number))
    for first, _ in taken:
        assert sum(number for at, number in taken if first <= at < first + SECOND) <= limit


def test_the_long_run_rate_is_within_two_percent_of_the_limit() -> None:
    """Counting one slot more than the window lowers the admitted rate, but must not lower it by over 2%."""
    quotas, teams = tree(200, a=200)
    admitted = sum(quotas.admit(LATER + n * 1000, teams["a"], ONE_SESSION) is None for n in range(60_000))
    assert 0.98 * 200 * 60 <= admitted <= 200 * 61


def test_use_expires_after_a_window_and_its_end_is_reported() -> None:
    counter = SlidingWindowCounter()
    counter.add(10, 5)
    assert counter.advance(10 + SLOTS) == 5 and counter.slots_until_free(10 + SLOTS, 5) == 1
    assert counter.advance(11 + SLOTS) == 0
    counter.add(10**9, 2)
    counter.add(10**9 + 3, 2)
    assert (
        counter.slots_until_free(10**9 + 3, 1) == SLOTS - 2
        and counter.slots_until_free(10**9 + 3, 4) == SLOTS + 1
    )
    assert counter.advance(5) == 4, "a clock that goes back must not free anything"


def test_retry_at_the_reported_time_is_admitted() -> None:
    """Advice that is too short would make clients retry in vain."""
    quotas, teams = tree(10, a=10)
    now = LATER
    for _ in range(10):
        assert quotas.admit(now, teams["a"], ONE_SESSION) is None
    rejection = quotas.admit(now + 1, teams["a"], ONE_SESSION)
    assert isinstance(rejection, Rejection) and 0 < rejection.retry_after_us <= SECOND * (SLOTS + 1) // SLOTS
    assert quotas.admit(now + rejection.retry_after_us + quotas.slot_us, teams["a"], ONE_SESSION) is None


def test_starting_node_does_not_admit_a_full_window_at_once() -> None:
    """Before a restart the process may have used up the window, so a second one at once would be too much."""
    quotas, teams = tree(100, a=100)
    at_once = sum(quotas.admit(START, teams["a"], ONE_SESSION) is None for _ in range(200))
    in_a_second = sum(quotas.admit(START + n * 5000, teams["a"], ONE_SESSION) is None for n in range(200))
    assert at_once <= 2 and 80 <= in_a_second <= 100


# Trees.

ASK = st.tuples(
    st.integers(0, 60_000),
    st.sampled_from(["link", "end", "message", "new contracts"]),
    st.sampled_from(["a", "b", "c"]),
    st.lists(st.sampled_from(["x", "y", "z"]), max_size=3),
)


def nested(rate: float) -> dict[str, Any]:
    contracts = contracts_of(a=rate, b=30, c=20)
    for team in contracts["teams"]:
        team["parts"] = [
            {"name": "x", "share": 0.5, "parts": [{"name": "x", "share": 0.3, "unnamed": 0.2}]},
            {"name": "y", "share": 0.3, "most": 0.5, "unnamed": 0.1},
        ]
    return contracts


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(ASK, max_size=200))
def test_over_random_trees_and_arrivals_all_or_nothing_and_all_accounted_for(asks: list[Any]) -> None:
    broker = Broker(parse_contracts(nested(40)), 1, START)
    now = LATER
    open_: list[AdmittedSession] = []
    root = broker.trees["p"].root
    for gap, verb, team, path in asks:
        now += gap
        before = {id(node): (node.held, node.admitted) for node in iterate(root)}
        if verb == "link":
            came = broker.admit_session(now, f"s-{team}", tuple(path))
            touched = (
                {id(node) for node in came.leaf.path_to_root()}
                if isinstance(came, AdmittedSession)
                else set()
            )
            for node in iterate(root):
                held, admitted = before.get(id(node), (0, 0))
                more = id(node) in touched
                assert (node.held, node.admitted) == (held + more, admitted + more), "all, or nothing"
            if isinstance(came, AdmittedSession):
                open_.append(came)
                slot = now // broker.trees["p"].slot_us
                for node in came.leaf.path_to_root():
                    assert all(
                        node.used(dimension, slot) <= node.limits.maximum[dimension]
                        for dimension in Dimension
                    )
        elif verb == "end" and open_:
            ticket = open_.pop(len(path) % len(open_))
            broker.release(now, ticket)
            broker.release(now, ticket)
        elif verb == "message" and open_:
            broker.admit_message(now, open_[-1])
        elif verb == "new contracts":
            broker.set_contracts(now, parse_contracts(nested(10 + 10 * len(path))))
        for node in iterate(root):
            assert node.held >= sum(child.held for child in node.children.values()) >= 0
        assert root.held == len(open_), "an admitted link is held until it ends"
        for row in broker.usage(now):
            assert row.used >= 0 and row.borrowed >= 0 and row.lent >= 0
            assert row.borrowed == 0 or row.used == row.share + row.borrowed
    for ticket in open_:
        broker.release(now, ticket)
    assert all(node.held == 0 for node in iterate(root))


def test_a_team_over_its_promise_takes_nothing_from_teams_within_theirs() -> None:
    """A team that sends ten times its promised rate must not reduce what the other teams are admitted.

    The other teams send within their promises for a minute, once alone and once beside the flood.
    """
    admitted: dict[bool, dict[str, int]] = {}
    for flood in (False, True):
        broker = Broker(parse_contracts(contracts_of(a=30, b=30, c=20)), 1, START)
        rng, counts = random.Random(4), dict.fromkeys("abc", 0)
        arrivals = [
            (LATER + round(rng.random() * 60 * SECOND), team) for team in "bc" for _ in range(28 * 60)
        ]
        arrivals = [(at, team) for at, team in arrivals if team == "b" or rng.random() < 0.65]
        if flood:
            arrivals += [(LATER + n * 60 * SECOND // 18_000, "a") for n in range(18_000)]
        for at, team in sorted(arrivals):
            decision = broker.admit_session(at, f"s-{team}")
            if isinstance(decision, AdmittedSession):
                counts[team] += 1
                broker.release(at, decision)
        admitted[flood] = counts
    for team in "bc":
        assert admitted[True][team] >= 0.97 * admitted[False][team], admitted
    assert 30 * 60 * 0.97 <= admitted[True]["a"] <= 100 * 62 - admitted[True]["b"] - admitted[True]["c"]


def test_unused_share_is_borrowed_and_returned_within_a_window() -> None:
    """A lender that requests again must get its whole share once the borrower's use has expired."""
    quotas, teams = tree(100, a=50, b=50)
    now = LATER
    for n in range(3000):
        now = LATER + n * 1000
        quotas.admit(now, teams["a"], ONE_SESSION)
    slot = now // quotas.slot_us
    assert teams["a"].used(Dimension.NEW_SESSIONS, slot) >= 97, "a borrows all that b leaves unused"
    rows = {row.address: row for row in quotas.usage(now) if row.dimension is Dimension.NEW_SESSIONS}
    assert rows["pool/a"].borrowed == rows["pool/b"].lent > 40
    # From now on both teams request at the same times, and the returning lender requests first each time.
    admitted = {"a": 0, "b": 0}
    admitted_later = {"a": 0, "b": 0}
    for n in range(3000):
        at = now + n * 1000
        for name in ("b", "a"):
            is_admitted = quotas.admit(at, teams[name], ONE_SESSION) is None
            admitted[name] += is_admitted
            admitted_later[name] += is_admitted and at >= now + SECOND * (SLOTS + 1) // SLOTS
    assert admitted_later["b"] >= 0.95 * 50 * 2 and abs(admitted_later["a"] - admitted_later["b"]) <= 6, (
        admitted,
        admitted_later,
    )


def test_unused_share_is_divided_among_borrowers_in_proportion_to_their_shares() -> None:
    quotas, teams = tree(120, a=20, b=40, c=60)
    counts = dict.fromkeys("ab", 0)
    for n in range(20_000):
        for name in counts:
            counts[name] += quotas.admit(LATER + n * 1000, teams[name], ONE_SESSION) is None
    # c is idle, so that its 60 sessions per second are divided between a and b in the ratio 20 to 40.
    assert abs(counts["a"] / (40 * 20) - 1) < 0.05 and abs(counts["b"] / (80 * 20) - 1) < 0.05, counts


def test_an_exhausted_ancestor_rejects_and_is_named_though_the_child_has_share_left() -> None:
    """The rejection must name the exhausted parent, and the child must not be charged for the request."""
    root = QuotaNode("pool", QuotaLimits((10,) * 3, (10,) * 3))
    team = root.children["t"] = QuotaNode("t", QuotaLimits((10,) * 3, (10,) * 3), root)
    bank = team.children["b"] = QuotaNode("b", QuotaLimits((8,) * 3, (10,) * 3), team)
    other = team.children["o"] = QuotaNode("o", QuotaLimits((2,) * 3, (10,) * 3), team)
    quotas = QuotaTree(root, SECOND, START)
    for _ in range(10):
        assert quotas.admit(LATER, bank, ONE_SESSION) is None
    rejection = quotas.admit(LATER, other, ONE_SESSION)
    assert (
        isinstance(rejection, Rejection)
        and rejection.address == "pool"
        and rejection.dimension is Dimension.NEW_SESSIONS
    )
    assert other.used(Dimension.NEW_SESSIONS, LATER // quotas.slot_us) == 0 and root.admitted == 10


def test_held_sessions_are_not_terminated_and_count_until_they_end() -> None:
    """A borrower that replaced its ended sessions would keep the lender from its share for ever."""
    contracts = contracts_of(a=50, b=50)
    contracts["pools"][0]["able"]["held"] = 20
    for team in contracts["teams"]:
        team["promised"]["held"] = 10
    broker = Broker(parse_contracts(contracts), 1, START)
    held = [broker.admit_session(LATER + n, "s-a") for n in range(20)]
    assert all(isinstance(decision, AdmittedSession) for decision in held), (
        "b is idle, so its share is lent to a"
    )
    rejection = broker.admit_session(LATER + 30, "s-b")
    assert isinstance(rejection, Rejection) and rejection.dimension is Dimension.HELD_SESSIONS
    sessions = iter(held)
    # The lender b requests again: each session of the borrower a that ends makes room for one of b, and none
    # for a new session of a, which still holds more than its share.
    for n in range(10):
        session = next(sessions)
        assert isinstance(session, AdmittedSession)
        broker.release(LATER + 10 * SECOND + n, session)
        assert isinstance(broker.admit_session(LATER + 10 * SECOND + n, "s-b"), AdmittedSession)
        assert isinstance(broker.admit_session(LATER + 10 * SECOND + n, "s-a"), Rejection)


def test_contracts_below_the_number_of_held_sessions_terminate_none() -> None:
    """Established sessions survive a reduction; new ones are rejected until enough sessions have ended."""
    contracts = contracts_of(a=50)
    broker = Broker(parse_contracts(contracts), 1, START)
    sessions = [broker.admit_session(LATER + n * 20_000, "s-a") for n in range(40)]
    assert all(isinstance(session, AdmittedSession) for session in sessions)
    contracts["pools"][0]["able"]["held"] = contracts["teams"][0]["promised"]["held"] = 30
    contracts["teams"].append({**contracts["teams"][0], "name": "b", "service": "s-b"})
    contracts["teams"][0]["promised"] = amounts(50, 20)
    contracts["teams"][1]["promised"] = amounts(50, 10)
    broker.set_contracts(LATER + SECOND, parse_contracts(contracts))
    later = LATER + 3 * SECOND
    assert broker.trees["p"].root.held == 40
    assert isinstance(broker.admit_session(later, "s-a"), Rejection) and isinstance(
        broker.admit_session(later, "s-b"), Rejection
    )
    for session in sessions[:25]:
        assert isinstance(session, AdmittedSession)
        broker.release(later, session)
    assert isinstance(broker.admit_session(later, "s-a"), AdmittedSession) and isinstance(
        broker.admit_session(later, "s-b"), AdmittedSession
    )
    del contracts["teams"][0]
    broker.set_contracts(later + 1, parse_contracts(contracts))
    assert (
        isinstance(broker.admit_session(later + 2, "s-a"), NoContract) and broker.trees["p"].root.held == 17
    )


@pytest.mark.parametrize("window_s", [0.2, 10.0])
def test_contracts_with_another_window_length_take_effect(window_s: float) -> None:
    """A changed window length must neither admit a window's limit at once nor keep the former length."""
    broker = Broker(parse_contracts(contracts_of(a=50)), 1, START)
    assert isinstance(broker.admit_session(LATER, "s-a"), AdmittedSession)
    broker.set_contracts(LATER, parse_contracts({**contracts_of(a=50), "window_s": window_s}))
    window = round(window_s * SECOND)
    at_once = sum(isinstance(broker.admit_session(LATER + 1, "s-a"), AdmittedSession) for _ in range(2000))
    assert at_once <= 100 * window_s * 0.1 + 1, "the previous window must count as used up"
    later = LATER + 3 * window
    admitted = sum(isinstance(broker.admit_session(later, "s-a"), AdmittedSession) for _ in range(2000))
    assert admitted == 100 * window_s, "without other requests, the limit of a whole window"


def test_idle_unnamed_parts_are_removed_without_renewing_their_share() -> None:
    """Nodes of unnamed parts would fill the memory if kept, and renew their share if removed too early."""
    contracts = contracts_of(a=100)
    contracts["teams"][0]["parts"] = [{"name": "bank", "share": 1.0, "unnamed": 0.01}]
    broker = Broker(parse_contracts(contracts), 1, START)
    bank = broker.trees["p"].root.children["a"].children["bank"]
    seen = set()
    for n in range(5000):
        decision = broker.admit_session(LATER + n * 20_000, "s-a", ("bank", f"branch-{n}"))
        assert isinstance(decision, AdmittedSession)
        broker.release(LATER + n * 20_000, decision)
        seen.add(len(bank.children))
    assert max(seen) <= 50 * 2, "nodes that were idle for a window must be removed"
    now = LATER + 200 * SECOND
    first = broker.admit_session(now, "s-a", ("bank", "desk"))
    assert isinstance(first, AdmittedSession)
    broker.trees["p"].remove_idle(broker.trees["p"].root, now // broker.trees["p"].slot_us)
    assert bank.children["desk"] is first.leaf, "a node in use must not be removed"
    assert isinstance(broker.admit_session(now, "s-a", ("elsewhere",)), NoContract)
    assert isinstance(broker.admit_session(now, "s-a", ("bank", "b", "d", "x")), NoContract)
    assert isinstance(broker.admit_session(now, "s-none"), NoContract) and broker.without_contract == 3


@pytest.mark.parametrize("nodes", [1, 3, 7])
def test_all_nodes_together_admit_no_more_than_the_contract(nodes: int) -> None:
    """Limits that are rounded up at each node would add up to more than the capacity of the pool."""
    brokers = [Broker(parse_contracts(contracts_of(a=50, b=50)), nodes, START) for _ in range(nodes)]
    admitted = 0
    for n in range(2000):
        for broker in brokers:
            decision = broker.admit_session(LATER + n * 500, "s-a")
            if isinstance(decision, AdmittedSession):
                admitted += 1
    assert admitted <= 100 * 1 + nodes, "the pool's limit for a second, as the other team is idle"
    assert admitted >= 100 - 2 * nodes


# Contracts.


def contracts_with(**more: Any) -> dict[str, Any]:
    return {**contracts_of(a=50, b=50), **more}


@pytest.mark.parametrize(
    ("contracts", "expected"),
    [
        (contracts_of(a=60, b=50), ["'a' and 'b'", "links_per_s", "10 too many"]),
        (contracts_of(a=160), ["'a'", "links_per_s", "60 too many"]),
        (contracts_with(pools=[]), ["pools"]),
        (contracts_with(teams=[]), ["teams"]),
        (contracts_with(window_s=0.0), ["window_s"]),
        (contracts_with(windw_s=1.0), ["windw_s"]),
        (
            {**contracts_of(a=1), "teams": [*contracts_of(a=1)["teams"], *contracts_of(a=1)["teams"]]},
            ["teams", "'a' appears twice"],
        ),
        (
            {**contracts_of(a=1), "teams": [{**contracts_of(a=1)["teams"][0], "pool": "q"}]},
            ["teams[0].pool", "'q'"],
        ),
        (
            {**contracts_of(a=9), "teams": [{**contracts_of(a=9)["teams"][0], "most": amounts(8)}]},
            ["teams[0].most.links"],
        ),
        (
            {**contracts_of(a=1), "teams": [{**contracts_of(a=1)["teams"][0], "setup_ms": 0.0}]},
            ["teams[0].setup_ms"],
        ),
        (
            {
                **contracts_of(a=1),
                "teams": [
                    {
                        **contracts_of(a=1)["teams"][0],
                        "parts": [{"name": n, "share": 0.6} for n in ("x", "y")],
                    },
                ],
            },
            ["teams[0].parts", "0.2 more than 1"],
        ),
        (
            {
                **contracts_of(a=1),
                "teams": [
                    {**contracts_of(a=1)["teams"][0], "parts": [{"name": "x", "share": 0.6, "most": 0.5}]}
                ],
            },
            ["teams[0].parts[0].most"],
        ),
    ],
)
def test_invalid_contracts_are_rejected_and_the_key_is_named(
    contracts: dict[str, Any], expected: list[str]
) -> None:
    with pytest.raises(InvalidInputError) as caught:
        parse_contracts(contracts)
    assert all(text in str(caught.value) for text in expected), str(caught.value)


def test_the_command_checks_contracts(tmp_path: Path) -> None:
    result = CliRunner().invoke(cli, ["check", "--contracts", str(EXAMPLE)])
    assert result.exit_code == 0 and "2 teams" in result.stdout
    invalid = tmp_path / "contracts.toml"
    invalid.write_text(EXAMPLE.read_text().replace("links_per_s = 200", "links_per_s = 100"))
    result = CliRunner().invoke(cli, ["check", "--contracts", str(invalid)])
    assert result.exit_code == 2 and result.stderr.count("\n") == 1 and "40 too many" in result.stderr
    result = CliRunner().invoke(cli, ["check", "--contracts", str(tmp_path / "none")])
    assert result.exit_code == 2 and "can't be read" in result.stderr
