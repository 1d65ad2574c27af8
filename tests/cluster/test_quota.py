"""Shared quotas without I/O: safety on a bad network, and planted faults that the checker must detect."""

from __future__ import annotations

import random
from itertools import chain
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.cluster.election.electorate import Electorate
from larchlatch.cluster.election.fencing import NO_PERMIT
from larchlatch.cluster.exchange.exchange import Exchange
from larchlatch.cluster.exchange.state import SharedState
from larchlatch.cluster.membership.membership import Membership
from larchlatch.cluster.protocol.headers import RequestOrigin
from larchlatch.cluster.protocol.messages import LoanGrant, LoanRequest
from larchlatch.cluster.quota import counts
from larchlatch.cluster.quota.account import QuotaAccount
from larchlatch.cluster.quota.loan_terms import LoanTerms
from larchlatch.cluster.quota.settings import Quota, QuotaSettings, QuotaShare, share_at
from larchlatch.cluster.quota.shared_quotas import SharedQuotas
from larchlatch.config.upstream import UpstreamSettings
from larchlatch.emulator.simulation import Simulation
from larchlatch.emulator.unsigned_signer import UnsignedSigner, unsigned_key
from larchlatch.invariants.observations import QuotaUsageReported, SessionAdmitted, SessionRequested
from larchlatch.invariants.quota_safety import QuotaSafety
from larchlatch.node.balancer_actor import BalancerActor
from larchlatch.node.descriptor_budget import DescriptorBudget
from larchlatch.node.mailbox import Mailbox
from larchlatch.node.metrics import Counters
from larchlatch.node.upstream_registry import UpstreamRegistry
from larchlatch.policy.balancer import Balancer
from larchlatch.scenario.drifting_clock import DriftingClock
from larchlatch.scenario.node_settings import deployment_settings
from larchlatch.scenario.scenario import Scenario
from larchlatch.scenario.scenario_file import read_scenario_file

SECOND = 1_000_000
HEARTBEAT_US, STEP_US = 200_000, 20_000
LOAN_TERMS = LoanTerms(SECOND, 2 * SECOND, 0.01)
START = 1_000_000 * SECOND  # by the wall clock too: a node's incarnation is the time of its start
LIMIT = 24
NAMES = "abcd"


def quota_settings(
    floor: float = 0.5, names: str = NAMES, limit: int = LIMIT, digest: int = 1
) -> QuotaSettings:
    return QuotaSettings((Quota("all", limit, ("t",)),), tuple(names), floor, LOAN_TERMS, digest)


class ClusterNode:
    """One incarnation of a node in a cluster with quotas: a restart creates a new object."""

    def __init__(self, name: str, now: int, clock: DriftingClock, rng: random.Random) -> None:
        self.clock = clock
        self.members = Membership(
            name,
            dict.fromkeys(NAMES, ""),
            heartbeat_us=HEARTBEAT_US,
            wall_us=now,
            now_us=clock.at(now),
            rng=rng,
        )
        shared = SharedState.create(
            name,
            quota_settings(),
            Electorate(),
            max_clock_difference_us=0,
            heartbeat_us=HEARTBEAT_US,
            now=clock.at(now),
            random=rng,
        )
        self.quotas, self.usage, self.health, *_ = shared
        shared.open(clock.at(now))
        keys = {name: unsigned_key(name) for name in NAMES}
        sites, signer = dict.fromkeys(NAMES, ""), UnsignedSigner(name)
        self.exchange = Exchange(self.members, shared, sites, keys, signer, signer, lambda kind: None)
        self.next_heartbeat_at, self.awake_at = now + rng.randrange(HEARTBEAT_US), 0


def played(
    seed: int,
    loss: float,
    double: float,
    late: float,
    faults: bool,
    span_s: int = 14,
    active_names: str = NAMES,
) -> QuotaSafety:
    """Run nodes that share a quota over a network that loses, duplicates and delays datagrams.

    Args:
        seed: seed of all random choices.
        loss: probability that a datagram is lost.
        double: probability that a datagram is delivered twice.
        late: probability that a datagram is delayed by up to 4 s instead of 60 ms.
        faults: whether the network is partitioned, and nodes are restarted or paused.
        span_s: duration of the run, in seconds.
        active_names: nodes that may request sessions; every 3 s some of them are chosen at random to do so.

    """
    rng = random.Random(seed)
    clocks = [DriftingClock(START) for _ in NAMES]
    for clock in clocks:
        clock.set_gain(START, rng.choice((-0.01, 0.0, 0.01)))
    nodes = [ClusterNode(name, START, clock, rng) for name, clock in zip(NAMES, clocks, strict=True)]
    checker, in_flight, isolated, sessions = (
        QuotaSafety(LIMIT, SECOND),
        list[tuple[int, float, str, bytes]](),
        "",
        0,
    )
    requesting: list[str] = []
    for now in range(START, START + span_s * SECOND, STEP_US):
        if now % (3 * SECOND) == START % (3 * SECOND):
            requesting = rng.sample(active_names, rng.randint(1, len(active_names)))
        if faults and now % SECOND == 0:
            isolated = rng.choice(("", "", "a", "ab", "abc"))
            index, draw = rng.randrange(len(NAMES)), rng.random()
            if draw < 0.15:
                nodes[index] = ClusterNode(NAMES[index], now, clocks[index], rng)
            elif draw < 0.3:
                nodes[index].awake_at = now + rng.randrange(4 * SECOND)
        sent: list[tuple[str, str, bytes]] = []
        due = sorted((at, n, to, data) for at, n, to, data in in_flight if at <= now)
        in_flight = [entry for entry in in_flight if entry[0] > now]
        for _, _, to, data in due:
            node = nodes[NAMES.index(to)]
            if now >= node.awake_at:
                received = node.exchange.receive(data, now=node.clock.at(now), wall=now)
                sent += [(to, *datagram) for datagram in received.datagrams]
        for name, node in zip(NAMES, nodes, strict=True):
            if now < node.awake_at:
                continue
            if now >= node.next_heartbeat_at:
                node.next_heartbeat_at = now + HEARTBEAT_US
                sent += [
                    (name, *d) for d in node.exchange.heartbeat(now=node.clock.at(now), wall=now).datagrams
                ]
            for _ in range(rng.choice((0, 0, 0, 0, 1, 1, 2)) * (name in requesting)):
                sessions += 1
                checker.observe(SessionRequested(now, str(sessions)))
                if not node.quotas.admit(node.clock.at(now), "t"):
                    checker.observe(SessionAdmitted(now, str(sessions)))
        for sender, to, data in sent:
            if rng.random() < loss or (sender in isolated) is not (to in isolated):
                continue
            for _ in range(2 if rng.random() < double else 1):
                delay = rng.randrange(4 * SECOND) if rng.random() < late else rng.randrange(60_000)
                in_flight.append((now + delay, rng.random(), to, data))
        if now % SECOND == 0:
            for node in nodes:
                if now >= node.awake_at:
                    [usage] = node.usage.ranges(now)
                    report = QuotaUsageReported(now, usage.least, usage.most, node.usage.span_us)
                    checker.observe(report)
    return checker


def run_with_late_grant() -> QuotaSafety:
    """Run a lender and a borrower that admit all they may; the grant arrives just before its term ends."""
    checker, requested_at = QuotaSafety(LIMIT, SECOND), START + 60 * SECOND
    lender, borrower = (
        SharedQuotas(n, quota_settings(names="ab"), HEARTBEAT_US, START, random.Random(1)) for n in "ab"
    )
    for node in (lender, borrower):
        node.open(START)
    request = borrower.request_loan(
        requested_at, RequestOrigin("b", 1, requested_at), lender="a", quota="all", amount=6
    )
    grant = lender.answer(requested_at, request, NO_PERMIT)
    assert grant is not None and borrower.expects(grant)
    for now in range(requested_at, requested_at + 6 * SECOND, STEP_US):
        if now == requested_at + LOAN_TERMS.term_us - STEP_US:
            assert borrower.accept_grant(now, grant)
        for name, node in (("a", lender), ("b", borrower)):
            for number in range(9):
                ident = f"{name} {now} {number}"
                checker.observe(SessionRequested(now, ident))
                if not node.admit(now, "t"):
                    checker.observe(SessionAdmitted(now, ident))
    return checker


# Quota safety.


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.integers(0, 10**6), st.floats(0, 0.5), st.floats(0, 0.5), st.floats(0, 0.5), st.booleans())
def test_any_order_loss_doubling_and_restart_overspends_nothing(
    seed: int, loss: float, double: float, late: float, faults: bool
) -> None:
    judge = played(seed, loss, double, late, faults)
    assert judge.verdict().holds and judge.reports > 20


def test_late_grant_does_not_exceed_the_quota() -> None:
    """A borrower that counts the term from the answer would still spend the loan when the lender does."""
    assert run_with_late_grant().verdict().holds and run_with_late_grant().used_share() > 0.8


def test_quota_is_lent_to_the_only_node_with_demand() -> None:
    assert played(1, 0.0, 0.0, 0.0, False, 24, "a").used_share() > 0.5, (
        "the node's own share is 0.25 of the quota, and 0.62 with all that the others can lend"
    )


def open_without_waiting(account: QuotaAccount, now: int, former_recovery_us: int = 0) -> None:
    account.closed, account.opens_at, account.full_share_at = False, now, now


def lend_without_deducting(account: QuotaAccount, now: int, loan: Any, amount: int) -> int:
    return max(0, min(amount, account.spare(now)))


def borrow_from_answer(
    account: QuotaAccount, now: int, *, request: int, lender: str, amount: int, asked_at: int
) -> bool:
    return original_borrow(account, now, request=request, lender=lender, amount=amount, asked_at=now)


original_borrow = QuotaAccount.borrow
PLANTED_FAULTS: list[tuple[object, str, Any]] = [
    (QuotaAccount, "open", open_without_waiting),
    (QuotaAccount, "lend", lend_without_deducting),
    (QuotaAccount, "borrow", borrow_from_answer),
    (LoanTerms, "recovery_us", property(lambda loan_terms: loan_terms.term_us)),
    (counts, "overlaps_gap", lambda *args: False),
]


@pytest.mark.parametrize("fault", PLANTED_FAULTS, ids=lambda fault: str(fault[1]))
def test_planted_fault_is_detected(fault: tuple[object, str, Any], monkeypatch: pytest.MonkeyPatch) -> None:
    """A checker that misses a planted fault would also miss it in the tests above.

    The planted faults are a start that ignores earlier use and loans, a loan that is not deducted, a term
    counted from the answer, a lender that spends a loan again when its term ends, and usage ranges that
    ignore the time without reports.
    """
    monkeypatch.setattr(*fault)
    checkers = chain([run_with_late_grant()], (played(n, 0.2, 0.4, 0.3, True, 20) for n in range(12)))
    assert any(not checker.verdict().holds for checker in checkers)


LOANS = Path(__file__).parents[2] / "scenarios" / "loans.toml"


def test_partitions_crashes_and_a_shorter_cluster_file_during_loans_keep_the_quota(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rows = [Simulation(read_scenario_file(LOANS, {"seed": seed})).run() for seed in (1, 2)]
    assert all(row["over_budget"] == 0 and row["outside"] == 0 and row["members_wrong"] == 0 for row in rows)
    assert all(row["agreed_s"] is not None and not any(row["broken"].values()) for row in rows)
    monkeypatch.setattr(QuotaAccount, "open", open_without_waiting)
    assert Simulation(read_scenario_file(LOANS, {"seed": 1})).run()["over_budget"] > 0, (
        "a restart that ignores earlier use and loans must exceed the quota in this scenario"
    )


def test_shares_add_up_to_the_limit_and_a_full_floor_lends_nothing() -> None:
    for limit, count in ((24, 4), (10, 7), (3, 8), (1000, 200)):
        shares = [share_at(limit, 0.5, count, index) for index in range(count)]
        assert sum(share.own for share in shares) == limit
        assert all(0 <= share.floor <= share.own for share in shares)
    account = QuotaAccount(share_at(24, 1.0, 4, 0), LOAN_TERMS, START)
    account.open(START)
    assert account.spare(START + 60 * SECOND) == 0


def test_started_node_waits_a_window_then_spends_its_floor_then_its_whole_share() -> None:
    account = QuotaAccount(QuotaShare(10, 4), LOAN_TERMS, START)
    assert account.limit(START + 99 * SECOND) == 0, "before open(), another process may be spending"
    account.open(START + 100 * SECOND)
    opened = START + 100 * SECOND
    assert account.limit(opened + SECOND) == 0 and account.admit(opened) > 0
    assert account.limit(opened + LOAN_TERMS.counting_window_us) == 4
    assert account.limit(opened + LOAN_TERMS.recovery_us) == 10


def test_changed_file_reduces_shares_at_once_and_raises_them_once_all_agree() -> None:
    # Nodes read a new file one after the other. If a share grew at once, two nodes would spend one amount.
    quotas = SharedQuotas("a", quota_settings(), HEARTBEAT_US, START, random.Random(1))
    quotas.open(START)
    now = START + 60 * SECOND
    assert quotas.accounts["all"].limit(now) == 6
    quotas.apply_settings(quota_settings(limit=12, digest=2), now)
    assert quotas.accounts["all"].limit(now) == 3
    quotas.apply_settings(quota_settings(limit=48, digest=3), now)
    for digests, at, limit in (
        ([3, 3, None], 30, 3),
        ([3, 2, 3], 60, 3),
        ([3, 3, 3], 61, 3),
        ([3, 3, 3], 63, 3),
        ([3, 3, 3], 66, 12),
    ):
        quotas.compare_digests(now + at * SECOND, digests)
        assert quotas.accounts["all"].limit(now + at * SECOND) == limit, (digests, at)
    assert quotas.answer(now, LoanRequest("b", 1, 1, now, "a", 2, "all", 1, 0), NO_PERMIT) is None, (
        "a request from a node with another cluster file must be declined"
    )


def test_node_started_with_a_different_file_spends_only_its_floor() -> None:
    """By the others' file, a part of the starting node's share may be theirs and would be spent twice."""
    quotas = SharedQuotas("a", quota_settings(), HEARTBEAT_US, START, random.Random(1))
    quotas.open(START)
    for heartbeat in range(100):
        quotas.compare_digests(START + heartbeat * HEARTBEAT_US, [1, 7, None])
    assert quotas.accounts["all"].limit(START + 100 * HEARTBEAT_US) == 3 and quotas.any_file_differs


def test_two_processes_of_a_node_never_spend_at_once() -> None:
    # In a hot restart two processes of one node run. If both spent, each would spend the whole share.
    old, new = (SharedQuotas("a", quota_settings(), HEARTBEAT_US, START, random.Random(1)) for _ in range(2))
    old.open(START)
    now = START + 60 * SECOND
    assert [old.admit(now, "t") for _ in range(6)] == [0] * 6 and new.admit(now, "t") > 0
    used = old.close(now)
    new.take_over(now, used)
    assert old.admit(now, "t") > 0 and new.admit(now, "t") > 0, "the predecessor used up the window"
    later = now + LOAN_TERMS.counting_window_us + SECOND
    assert [new.admit(later, "t") > 0 for _ in range(4)] == [False, False, False, True], "only its floor"
    new.open(later)
    assert new.accounts["all"].limit(later + SECOND) == 3, "loans by the predecessor have not ended yet"
    old.open(later)
    assert old.admit(later, "t") > 0, "after a failed hot restart, the successor may have spent until now"


def test_unrequested_and_late_grants_are_not_spent() -> None:
    """The lender of a late grant may spend the amount again; a grant without a request has no known term."""
    quotas = SharedQuotas("a", quota_settings(), HEARTBEAT_US, START, random.Random(1))
    quotas.open(START - 60 * SECOND)
    request = quotas.request_loan(START, RequestOrigin("a", 1, START), lender="b", quota="all", amount=5)
    for lender, number in (("c", 1), ("b", 2)):
        assert not quotas.expects(LoanGrant(lender, "a", 1, number, "all", 5))
    grant = LoanGrant("b", "a", 1, request.request_id, "all", 500)
    assert quotas.expects(grant) and not quotas.accept_grant(START + LOAN_TERMS.term_us, grant)
    request = quotas.request_loan(START, RequestOrigin("a", 1, START), lender="b", quota="all", amount=5)
    assert not quotas.accept_grant(START + 1, LoanGrant("b", "a", 1, request.request_id, "all", 500)), (
        "an earlier time must not turn the account's clock back"
    )
    now = START + 9 * SECOND
    request = quotas.request_loan(now, RequestOrigin("a", 1, now), lender="b", quota="all", amount=5)
    assert quotas.accept_grant(now + 1, LoanGrant("b", "a", 1, request.request_id, "all", 500))
    assert quotas.accounts["all"].limit(now + 1) == 6 + 5, "only the requested amount counts"


class RecordingCluster:
    """Stands in for the cluster of a node; records the quota usage that it takes over."""

    def __init__(self) -> None:
        self.used: Any = None

    def hand_over(self) -> dict[str, int]:
        return {"all": 5}

    def take_over(self, used: Any) -> None:
        self.used = used


def test_spent_quota_is_handed_over_in_a_hot_restart() -> None:
    """Without the handed-over use, the successor would admit the share of the same window a second time."""

    def actor(cluster: Any) -> BalancerActor:
        settings, descriptors = UpstreamSettings(250_000, False, False, 0), DescriptorBudget(100)
        counters = Counters()
        mailbox = Mailbox(counters)
        upstreams = UpstreamRegistry([], settings, descriptors, counters, mailbox.post)
        balancer = Balancer(deployment_settings(Scenario(), 0), random.Random(1))
        return BalancerActor(balancer, [], mailbox, upstreams, counters, cluster=cluster)

    successor_cluster = RecordingCluster()
    old, new, without_cluster = actor(RecordingCluster()), actor(successor_cluster), actor(None)
    state = old.hand_over()
    new.restore(state, 0)
    without_cluster.restore(state, 0)
    assert successor_cluster.used == {"all": 5}
    new.restore(without_cluster.hand_over(), 0)
    assert successor_cluster.used == {"all": 5}, "a predecessor without a cluster must hand over no usage"
