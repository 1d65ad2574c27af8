"""Cluster files with other terms, floors or electors, which the members read one after the other; no I/O."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.cluster.cluster_file import ClusterConfiguration
from larchlatch.cluster.election.ballots import BallotKind
from larchlatch.cluster.election.election import Election
from larchlatch.cluster.election.electorate import Electorate
from larchlatch.cluster.protocol.headers import RequestOrigin
from larchlatch.cluster.protocol.messages import BallotRequest, TokenGrant, Vote
from larchlatch.cluster.quota.shared_quotas import SharedQuotas
from larchlatch.cluster.slow_start.requester import TokenRequester
from tests.support.cluster_network import (
    ELECTORS,
    HEARTBEAT_US,
    SECOND_US,
    START_US,
    Network,
    cluster_file,
    holders,
)

INDEX = st.integers(0, 99)


def role_file(term_ms: int, **keys: Any) -> ClusterConfiguration:
    return cluster_file("abc", electors=ELECTORS, role_term_ms=term_ms, **keys)


@pytest.mark.parametrize("late_us", [2 * SECOND_US, 8 * SECOND_US, 20 * SECOND_US, 40 * SECOND_US])
def test_shorter_term_read_one_after_the_other_gives_no_second_holder(late_us: int) -> None:
    """An elector that outlasts only the new term promises the role while the former lease is in use."""
    network = Network(role_file(30_000), "abc")
    while not holders(network, 0):
        network.run(SECOND_US, {})
        assert network.now < START_US + 120 * SECOND_US
    [holder] = holders(network, 0)
    for name in "abc":
        if name != holder:
            network.members[name].read(role_file(3000), network.now)
    for elapsed in range(0, 60 * SECOND_US, HEARTBEAT_US):
        if elapsed == late_us:
            network.members[holder].read(role_file(3000), network.now)
        network.run(HEARTBEAT_US, {})
        assert len(holders(network, 0)) <= 1, "two members hold the role"
    assert len(holders(network, 0)) == 1, "the role stays vacant"


def test_vote_under_a_former_file_does_not_count_for_a_later_round() -> None:
    """A vote names only its round: with numbers that start again, it would count for another lease."""
    electorate = role_file(3000).electorate
    election = Election("a", electorate, HEARTBEAT_US, START_US, random.Random(1))
    election.open(START_US)
    origin = RequestOrigin("a", START_US, START_US)
    now = START_US + 30 * SECOND_US
    requests = election.tick(now, origin, {}, {})
    first = next(request for request in requests if request.recipient == "b")
    changed = role_file(4000).electorate
    election.follow(changed, now)
    later = now + 60 * SECOND_US
    second = next(r for r in election.tick(later, origin, {}, {}) if r.recipient == "b")
    assert (second.role_index, second.config_digest) == (first.role_index, changed.digest)
    late_vote = Vote("b", "a", START_US, first.request_id, first.role_index, True, 0, 0)
    assert not election.expects_vote(late_vote)


def test_file_read_before_a_process_may_spend_does_not_open_its_accounts() -> None:
    """In a hot restart the predecessor spends until it hands over, also if the file changes its terms."""
    quotas = SharedQuotas("a", cluster_file("ab").quota_settings, HEARTBEAT_US, START_US, random.Random(1))
    quotas.apply_settings(cluster_file("ab", term_ms=5000, quotas=("all", "more")).quota_settings, START_US)
    later = START_US + 60 * SECOND_US
    assert quotas.admit(later, "all") and quotas.admit(later, "more")
    quotas.open(later)
    assert not quotas.admit(later + 2 * SECOND_US, "all")
    assert not quotas.admit(later + 2 * SECOND_US, "more")
    quotas.close(later + 3 * SECOND_US)
    quotas.apply_settings(cluster_file("ab", term_ms=6000).quota_settings, later + 4 * SECOND_US)
    assert quotas.admit(later + 60 * SECOND_US, "all")


def test_issuer_promise_under_a_former_longer_term_is_kept() -> None:
    """The former issuer counts on the turns that were handed over to it for its own, longer term."""
    requester = TokenRequester(role_file(30_000).electorate, START_US)
    until = requester.handed_over_until
    requester.follow(role_file(3000).electorate)
    origin = RequestOrigin("a", START_US, START_US)
    requester.open(START_US)
    for now in range(START_US, START_US + 2 * SECOND_US, HEARTBEAT_US):
        request, notice = requester.tick(now, origin, "b")
        assert notice is None or notice.handed_over_until >= until
        if request is not None:
            grant = TokenGrant("b", "a", START_US, request.request_id, 7, SECOND_US, now, 0)
            requester.accept(now, grant)
    assert requester.answered_lately(now)


def test_higher_floor_with_another_term_is_not_spent_while_a_part_of_it_is_lent() -> None:
    """The borrowers go on by the former file: a part of the new floor is still theirs."""
    network = Network(cluster_file("abc", term_ms=9000, floor=0.25), "abc")
    network.run(24 * SECOND_US, {"b": 6})
    assert network.borrowed("b").get("a"), "the loan that this test is about"
    network.members["a"].read(cluster_file("abc", term_ms=3000, floor=1.0), network.now)
    network.run(8 * SECOND_US, {"a": 6, "b": 6, "c": 6})
    assert network.checker.verdict().holds


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from([1600, 3000, 9000]), st.sampled_from([0.0, 0.5, 1.0])),
        min_size=2,
        max_size=4,
    ),
    st.lists(st.booleans(), min_size=4, max_size=4),
    st.lists(st.tuples(st.sampled_from("abc"), INDEX, st.integers(0, 40)), min_size=4, max_size=12),
    st.integers(0, 10**6),
)
def test_no_order_of_files_with_other_terms_exceeds_the_quota_or_gives_two_holders(
    drawn: list[tuple[int, float]], roles: list[bool], reads: list[tuple[str, int, int]], seed: int
) -> None:
    """The members read files with other terms and floors at any time, and half of the datagrams are late."""
    files = [
        cluster_file(
            "abc", electors=ELECTORS if has_roles else (), term_ms=term, floor=floor, role_term_ms=2 * term
        )
        for (term, floor), has_roles in zip(drawn, roles, strict=False)
    ]
    rng = random.Random(seed)
    network = Network(files[0], "abc")
    network.run(48 * SECOND_US, {"a": 6, "b": 1})  # roles are held, and loans made
    busy = "a"
    for name, index, heartbeats in reads:
        network.members[name].read(files[index % len(files)], network.now)
        for _ in range(heartbeats):
            if rng.random() < 0.05:
                busy = rng.choice("abc")
            for member in rng.sample("abc", 3):
                network.heartbeat(member)
                network.request_sessions(member, 6 if member == busy else 1)
            rng.shuffle(network.in_flight)
            for _ in range(len(network.in_flight) // 2 + 1):
                network.deliver(0)
            network.now += HEARTBEAT_US
            for role_index in range(2):
                assert len(holders(network, role_index)) <= 1
    assert network.checker.verdict().holds


@pytest.mark.parametrize("new_term_ms", [1600, 30_000])
@pytest.mark.parametrize("removed", ELECTORS)
def test_replaced_elector_and_another_term_give_no_second_holder(removed: str, new_term_ms: int) -> None:
    """The promises of the removed elector, which is stopped before, may be half of those of the holder."""
    for late in ELECTORS:
        network = Network(cluster_file(electors=ELECTORS, role_term_ms=12_000))
        while not holders(network, 0):
            network.run(SECOND_US, {})
        holder = holders(network, 0)[0]
        if removed in (late, holder):
            continue
        del network.members[removed]
        electors = tuple(sorted({*ELECTORS, "d"} - {removed}))
        changed = cluster_file(electors=electors, role_term_ms=new_term_ms)
        for name, member in network.members.items():
            if name not in (late, holder):
                member.read(changed, network.now)
        for _ in range(60 * SECOND_US // HEARTBEAT_US):
            network.run(HEARTBEAT_US, {})
            assert len(holders(network, 0)) <= 1, "two members hold the role"
        for member in network.members.values():
            member.read(changed, network.now)
        network.run(60 * SECOND_US, {})
        assert len(holders(network, 0)) == 1, "the role stays vacant"


def ballot(electorate: Electorate, lease: int) -> BallotRequest:
    return BallotRequest("b", 1, 1, START_US, "a", electorate.digest, 0, lease, BallotKind.GRANT.value, "")


@pytest.mark.parametrize("without_roles_between", [False, True])
def test_elector_that_sees_another_replaced_waits_for_a_promise_by_the_former_term(
    without_roles_between: bool,
) -> None:
    """The removed elector's promises are unknown: with a shorter term, a second holder could be elected."""
    former = cluster_file(electors=ELECTORS, role_term_ms=30_000).electorate
    changed = cluster_file(electors=("a", "b", "d"), role_term_ms=3000).electorate
    election = Election("a", former, HEARTBEAT_US, START_US, random.Random(1))
    election.open(START_US)
    now = START_US + 120 * SECOND_US
    if without_roles_between:
        election.follow(cluster_file().electorate, now - 60 * SECOND_US)
    election.follow(changed, now)
    waits_until = now + former.lease_terms.promise_us
    assert election.answer_ballot(waits_until - 1, ballot(changed, now)) is None
    assert election.answer_ballot(waits_until, ballot(changed, now)) is not None


def test_quota_that_a_file_removed_and_another_adds_again_is_not_spent_while_a_part_is_lent() -> None:
    """The borrowers go on by the first file, though the lender has forgotten the loans."""
    network = Network(cluster_file("abc", term_ms=9000, floor=0.25), "abc")
    network.run(24 * SECOND_US, {"b": 6})
    assert network.borrowed("b").get("a"), "the loan that this test is about"
    member = network.members["a"]
    member.read(cluster_file("abc", quotas=(), term_ms=9000, floor=0.25), network.now)
    member.read(cluster_file("abc", term_ms=9000, floor=1.0), network.now)
    network.run(8 * SECOND_US, {"a": 6, "b": 6, "c": 6})
    assert network.checker.verdict().holds
