"""Changes of the cluster file while requests, loans and ballots are under way, without I/O.

The members read a new file one after the other, at any time, and datagrams of the former file arrive later.
"""

from __future__ import annotations

import random
from itertools import count
from typing import Any, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.cluster.cluster_file import ClusterConfiguration, check_transition, parse_cluster
from larchlatch.cluster.election.election import Election
from larchlatch.cluster.exchange.exchange import Exchange
from larchlatch.cluster.exchange.state import SharedState
from larchlatch.cluster.membership.membership import Membership
from larchlatch.cluster.protocol.headers import RequestOrigin
from larchlatch.cluster.protocol.messages import TokenGrant, Vote
from larchlatch.cluster.quota.borrower import Borrower
from larchlatch.cluster.quota.shared_quotas import SharedQuotas
from larchlatch.cluster.slow_start.requester import TokenRequester
from larchlatch.emulator.unsigned_signer import UnsignedSigner, unsigned_key
from larchlatch.errors import ConfigurationError
from larchlatch.invariants.observations import SessionAdmitted, SessionRequested
from larchlatch.invariants.quota_safety import QuotaSafety

SECOND_US = 1_000_000
HEARTBEAT_US = 200_000
START_US = 1_000_000 * SECOND_US
NAMES = "abcd"
LIMIT = 24


def cluster_file(
    names: str = NAMES,
    *,
    quotas: tuple[str, ...] = ("all",),
    electors: tuple[str, ...] = (),
    role_term_ms: int = 3000,
    **keys: Any,
) -> ClusterConfiguration:
    """Return a checked cluster file in which each traffic class has the name of its quota."""
    raw: dict[str, Any] = {
        "nodes": [
            {"name": name, "address": f"127.0.0.1:{7000 + index}", "key": name.encode().hex() * 32}
            for index, name in enumerate(names)
        ],
        "budgets": [{"name": quota, "links_per_s": LIMIT, "tariffs": [quota]} for quota in quotas],
        **keys,
    }
    if electors:
        roles = {"allot": bool(quotas), "pace": True, "term_ms": role_term_ms}
        raw["duties"] = {"electors": list(electors), **roles}
    return parse_cluster(raw, "cluster")


class Member:
    """One node with its exchange, which reads cluster files as `ClusterService.reload` does."""

    def __init__(self, name: str, configuration: ClusterConfiguration, now: int) -> None:
        self.name = name
        self.configuration = configuration
        rng = random.Random(name)
        membership = Membership(
            name,
            configuration.sites,
            heartbeat_us=configuration.heartbeat_us,
            wall_us=now,
            now_us=now,
            rng=rng,
        )
        self.state = SharedState.create(
            name,
            configuration.quota_settings,
            configuration.electorate,
            max_clock_difference_us=configuration.max_clock_difference_us,
            heartbeat_us=configuration.heartbeat_us,
            now=now,
            random=rng,
        )
        self.state.open(now)
        keys = {other: unsigned_key(other) for other in configuration.nodes}
        signer = UnsignedSigner(name)
        self.exchange = Exchange(
            membership, self.state, configuration.sites, keys, signer, signer, lambda counter: None
        )

    def read(self, configuration: ClusterConfiguration, now: int) -> None:
        """Apply a cluster file, unless it lacks this node or can't follow the present one."""
        try:
            check_transition(configuration, before=self.configuration)
        except ConfigurationError:
            return
        if self.name not in configuration.nodes:
            return
        self.configuration = configuration
        self.exchange.apply_configuration(
            configuration.sites,
            {other: unsigned_key(other) for other in configuration.nodes},
            configuration.quota_settings,
            configuration.electorate,
            heartbeat_us=configuration.heartbeat_us,
            now=now,
        )


class InFlight(NamedTuple):
    """A datagram on its way."""

    recipient: str
    data: bytes


class Network:
    """Members that exchange datagrams, which arrive when and in the order that the test chooses."""

    def __init__(self, configuration: ClusterConfiguration, names: str = NAMES) -> None:
        self.now = START_US
        self.members = {name: Member(name, configuration, self.now) for name in names}
        self.in_flight: list[InFlight] = []
        self.checker = QuotaSafety(LIMIT, SECOND_US)
        self._numbers = count()

    def send(self, member: Member, datagrams: list[Any]) -> None:
        for recipient, data in datagrams:
            assert recipient in member.configuration.nodes, "a datagram to a node that is no member"
            self.in_flight.append(InFlight(recipient, data))

    def heartbeat(self, name: str) -> None:
        member = self.members[name]
        self.send(member, member.exchange.heartbeat(now=self.now, wall=self.now).datagrams)

    def deliver(self, index: int) -> None:
        if not self.in_flight:
            return
        recipient, data = self.in_flight.pop(index % len(self.in_flight))
        if recipient in self.members:
            member = self.members[recipient]
            self.send(member, member.exchange.receive(data, now=self.now, wall=self.now).datagrams)

    def request_sessions(self, name: str, number: int, traffic_class: str = "all") -> None:
        for _ in range(number):
            session = str(next(self._numbers))
            if traffic_class == "all":
                self.checker.observe(SessionRequested(self.now, session))
            if not self.members[name].state.quotas.admit(self.now, traffic_class) and traffic_class == "all":
                self.checker.observe(SessionAdmitted(self.now, session))

    def run(self, duration_us: int, demand: dict[str, int]) -> None:
        """Run heartbeats in turn, with all datagrams delivered at once, and a demand at some members."""
        for _ in range(duration_us // HEARTBEAT_US):
            ends_at = self.now + HEARTBEAT_US
            for name in list(self.members):
                self.heartbeat(name)
                self.request_sessions(name, demand.get(name, 0))
                while self.in_flight:
                    self.deliver(0)
                self.now += HEARTBEAT_US // len(self.members)
            self.now = ends_at

    def borrowed(self, name: str) -> dict[str, int]:
        """Return the amounts that a member has borrowed, by lender."""
        amounts: dict[str, int] = {}
        for loan in self.members[name].state.quotas.accounts["all"].borrowed.values():
            if self.now < loan.ends_at:
                amounts[loan.lender] = amounts.get(loan.lender, 0) + loan.amount
        return amounts


DEMAND = {"a": 6}
ELECTORS = ("a", "b", "c")


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


# Terms and electors that a new file changes.


def holders(network: Network, role_index: int) -> list[str]:
    """Return the members that hold a role now, by their own clocks."""
    return [
        name
        for name, member in network.members.items()
        if role_index < len(member.configuration.electorate.roles)
        and member.state.election.order_permit(
            network.now, member.configuration.electorate.roles[role_index]
        ).lease
    ]


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
        st.tuples(st.sampled_from([1600, 3000, 9000]), st.sampled_from([0.0, 0.5, 1.0]), st.booleans()),
        min_size=1,
        max_size=4,
    ),
    st.lists(st.tuples(st.sampled_from("abc"), INDEX, st.integers(0, 30)), max_size=12),
    st.integers(0, 10**6),
)
def test_no_order_of_files_with_other_terms_exceeds_the_quota_or_gives_two_holders(
    drawn: list[tuple[int, float, bool]], reads: list[tuple[str, int, int]], seed: int
) -> None:
    """The members read files with other terms and floors at any time, and half of the datagrams are late."""
    files = [
        cluster_file(
            "abc", electors=ELECTORS if has_roles else (), term_ms=term, floor=floor, role_term_ms=2 * term
        )
        for term, floor, has_roles in drawn
    ]
    rng = random.Random(seed)
    network = Network(files[0], "abc")
    network.run(8 * SECOND_US, {"a": 6, "b": 1})
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
