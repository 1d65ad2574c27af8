"""Changes of the cluster file while requests, loans and ballots are under way, without I/O.

The members read a new file one after the other, at any time, and datagrams of the former file arrive later.
"""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.cluster.cluster_file import ClusterConfiguration
from larchlatch.cluster.quota.borrower import Borrower
from tests.support.cluster_network import (
    ELECTORS,
    HEARTBEAT_US,
    NAMES,
    SECOND_US,
    Network,
    cluster_file,
)

DEMAND = {"a": 6}


def test_loan_of_a_removed_member_ends_with_its_term_and_the_quota_is_kept() -> None:
    """A node that renews a loan with a member that its file no longer has sends to an unknown address.

    The borrowed amount has to be gone before the removed member's share is spent elsewhere.
    """
    network = Network(cluster_file())
    network.run(12 * SECOND_US, DEMAND)
    assert network.borrowed("a").get("d"), "the loan that this test is about"
    del network.members["d"]
    read_at = network.now
    for name in "abc":
        network.members[name].read(cluster_file("abc"), network.now)
        network.run(HEARTBEAT_US, DEMAND)
    term_us = network.members["a"].configuration.quota_settings.loan_terms.term_us
    while network.borrowed("a").get("d"):
        network.run(HEARTBEAT_US, DEMAND)
        assert network.now <= read_at + term_us + HEARTBEAT_US, "the loan was renewed"
    network.run(12 * SECOND_US, DEMAND)
    assert network.checker.verdict().holds
    assert sum(network.borrowed("a").values()) > 0, "the node borrows from the members that are left"


def test_grant_for_a_request_under_a_former_file_with_a_shorter_term_is_not_used() -> None:
    """A borrower that counted the new, longer term would spend the loan while its lender spends it again."""
    network = Network(cluster_file("ab", term_ms=2000), "ab")
    network.run(8 * SECOND_US, {})
    network.request_sessions("a", 60)
    network.heartbeat("a")
    requests = [datagram for datagram in network.in_flight if datagram.recipient == "b"]
    network.in_flight = []
    lender, borrower = network.members["b"], network.members["a"]
    grants = [
        grant
        for request in requests
        for grant in lender.exchange.receive(request.data, now=network.now, wall=network.now).datagrams
    ]
    assert grants, "the grant that this test is about"
    borrower.read(cluster_file("ab", term_ms=20_000), network.now)
    for _, data in grants:
        borrower.exchange.receive(data, now=network.now, wall=network.now)
    assert not network.borrowed("a")


@st.composite
def cluster_files(draw: st.DrawFn) -> ClusterConfiguration:
    names = "".join(sorted(draw(st.sets(st.sampled_from(NAMES), min_size=1))))
    electors: tuple[str, ...] = ()
    if len(names) >= 3 and draw(st.booleans()):
        electors = tuple(draw(st.permutations(names))[:3])
    return cluster_file(
        names,
        quotas=draw(st.sampled_from([("all",), ("all", "more"), ("more",), ()])),
        electors=electors,
        term_ms=draw(st.sampled_from([3000, 3000, 1600, 9000])),
        window_ms=draw(st.sampled_from([1000, 1000, 500])),
        beat_ms=draw(st.sampled_from([100, 200])),
        floor=draw(st.sampled_from([0.0, 0.5, 1.0])),
    )


INDEX = st.integers(0, 99)
STEPS = st.one_of(
    st.tuples(st.just("read"), INDEX, INDEX),
    st.tuples(st.just("heartbeat"), INDEX, INDEX),
    st.tuples(st.just("heartbeat"), INDEX, INDEX),
    st.tuples(st.just("deliver"), INDEX, INDEX),
    st.tuples(st.just("deliver"), INDEX, INDEX),
    st.tuples(st.just("sessions"), INDEX, INDEX),
    st.tuples(st.just("wait"), INDEX, INDEX),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.booleans(),
    st.lists(cluster_files(), min_size=2, max_size=5),
    st.lists(STEPS, min_size=10, max_size=150),
)
def test_no_sequence_of_files_and_datagrams_makes_a_member_use_one_that_it_no_longer_has(
    has_roles: bool, files: list[ClusterConfiguration], steps: list[tuple[str, int, int]]
) -> None:
    """A file may remove members, quotas or roles, or change electors and terms, at any time."""
    full = cluster_file(electors=ELECTORS if has_roles else ())
    network = Network(full)
    network.run(8 * SECOND_US, DEMAND)
    for step, first, second in steps:
        name = NAMES[first % len(NAMES)]
        if step == "read":
            network.members[name].read(files[second % len(files)], network.now)
        elif step == "heartbeat":
            network.heartbeat(name)
        elif step == "deliver":
            network.deliver(first)
        elif step == "sessions":
            for traffic_class in ("all", "more"):
                network.request_sessions(name, second, traffic_class)
        else:
            network.now += second * 20_000
    network.run(4 * SECOND_US, DEMAND)


def test_planted_renewal_with_a_removed_member_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that the tests above find the fault that they guard against."""

    def keep_settings(borrower: Borrower, settings: object) -> None:
        pass

    monkeypatch.setattr(Borrower, "apply_settings", keep_settings)
    with pytest.raises(AssertionError, match="no member"):
        test_loan_of_a_removed_member_ends_with_its_term_and_the_quota_is_kept()
