"""Tests of the membership without I/O, and in simulated clusters."""

from __future__ import annotations

import itertools
import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.cluster.membership.bitmap import has_bit, pack_bits
from larchlatch.cluster.membership.clock import FAN_OUT, ListeningClock
from larchlatch.cluster.membership.member import MemberState
from larchlatch.cluster.membership.membership import Membership
from larchlatch.cluster.membership.watchers import WATCHERS_PER_MEMBER, assign_watchers
from larchlatch.cluster.protocol.codec import (
    MAX_DATAGRAM_BYTES,
    decode_record,
    encode_body,
    encode_datagram,
)
from larchlatch.cluster.protocol.messages import DropReason, NodeRecord, SignedMessage, Suspicion
from larchlatch.emulator.simulation import Simulation
from larchlatch.scenario.scenario_file import parse_scenario
from tests.support.cluster import (
    HEARTBEAT_US,
    WALL_US,
    ManualNode,
    run_heartbeats,
)


def test_all_members_become_present_and_a_stopped_one_is_silent_until_it_resumes() -> None:
    nodes = [ManualNode(name, seed=index) for index, name in enumerate("abcd")]
    assert all(node.members.is_alone for node in nodes), "at the start no other node counts as present"
    next_heartbeat = run_heartbeats(nodes, 0, 6)
    assert {node.state(n) for node in nodes for n in "abcd" if n != node.members.own_name} == {
        MemberState.PRESENT
    }
    next_heartbeat = run_heartbeats(nodes[:3], next_heartbeat, 12)
    assert nodes[0].state("d") is MemberState.SILENT and nodes[0].state("b") is MemberState.PRESENT
    run_heartbeats(nodes, next_heartbeat, 6)
    assert nodes[0].state("d") is MemberState.PRESENT
    assert nodes[0].members.members["d"].false_positives == 1


def test_partition_is_detected_on_both_sides_and_heals() -> None:
    nodes = [ManualNode(name, "abcdefgh", seed=index) for index, name in enumerate("abcdefgh")]
    next_heartbeat = run_heartbeats(nodes, 0, 8)
    next_heartbeat = run_heartbeats(nodes, next_heartbeat, 14, cut=frozenset("abc"))
    for node in nodes:
        in_cut = node.members.own_name in "abc"
        for name in node.members.members:
            assert (node.state(name) is MemberState.PRESENT) is ((name in "abc") is in_cut), (
                node.members.own_name,
                name,
            )
    run_heartbeats(nodes, next_heartbeat, 8)
    assert all(node.state(n) is MemberState.PRESENT for node in nodes for n in node.members.members)


def test_a_node_resuming_after_a_stop_declares_no_member_silent() -> None:
    # Otherwise it would suspect all other nodes, because it received no heartbeats while stopped.
    nodes = [ManualNode(name, seed=index) for index, name in enumerate("abcd")]
    run_heartbeats(nodes, 0, 6)
    resumed = nodes[0]
    assert resumed.members.advance(60_000_000) == [], (
        "the time in which the node was stopped must not count as silence of others"
    )
    assert resumed.members.advance(60_000_000 + HEARTBEAT_US) == []
    for number in range(2, 12):
        resumed.members.advance(60_000_000 + number * HEARTBEAT_US)
    assert resumed.members.is_alone, (
        "the node has listened long enough to receive heartbeats of running members"
    )


def test_node_with_clock_set_back_exceeds_its_earlier_incarnation() -> None:
    # The incarnation of the restarted node is lower than that of its earlier records, so the other members
    # would ignore all its records as known.
    nodes = [ManualNode(name, seed=index) for index, name in enumerate("abcd")]
    next_heartbeat = run_heartbeats(nodes, 0, 6)
    restarted = ManualNode("a", wall=WALL_US - 5_000_000)
    next_heartbeat = run_heartbeats([restarted, *nodes[1:]], next_heartbeat, 14)
    assert restarted.members.incarnation > WALL_US
    known = nodes[1].members.members["a"].record
    assert known is not None and known.incarnation == restarted.members.incarnation
    assert nodes[1].state("a") is MemberState.PRESENT


def test_a_departing_node_announces_that_it_leaves() -> None:
    nodes = [ManualNode(name, seed=index) for index, name in enumerate("abcd")]
    next_heartbeat = run_heartbeats(nodes, 0, 6)
    nodes[3].members.is_departing = True
    run_heartbeats(nodes, next_heartbeat, 3)
    assert nodes[0].state("d") is MemberState.LEFT
    run_heartbeats(nodes[:3], next_heartbeat + 3, 20)
    assert nodes[0].state("d") is MemberState.LEFT, "a member that has left must not become silent"


def test_member_that_the_file_no_longer_has_is_forgotten_and_ignored() -> None:
    nodes = [ManualNode(name, seed=index) for index, name in enumerate("abcd")]
    next_heartbeat = run_heartbeats(nodes, 0, 6)
    nodes[0].members.set_members(dict.fromkeys("abc", ""))
    run_heartbeats(nodes, next_heartbeat, 6)
    assert "d" not in nodes[0].members.members and nodes[0].drop_count(DropReason.UNKNOWN_MEMBER) > 0
    assert nodes[0].state("c") is MemberState.PRESENT, "members that remain in the file keep their state"


def test_records_report_direct_contacts() -> None:
    nodes = [ManualNode(name, seed=index) for index, name in enumerate("abcd")]
    run_heartbeats(nodes, 0, 12)
    for member in nodes[0].members.snapshot():
        assert member.direct and member.hears_us and member.state is MemberState.PRESENT
    restarted = ManualNode("a")
    assert not any(member.direct or member.hears_us for member in restarted.members.snapshot())


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 3), st.sampled_from("ldr.")), max_size=120))
def test_any_order_loss_and_doubling_leaves_the_newest_record(steps: list[tuple[int, int, str]]) -> None:
    nodes = [ManualNode(name, seed=place) for place, name in enumerate("abcd")]
    kept: list[tuple[str, bytes]] = []
    newest: dict[str, tuple[int, int]] = {}
    for number, (one, other, what) in enumerate(steps):
        for name, data in nodes[one].exchange.heartbeat(now=number * HEARTBEAT_US, wall=WALL_US).datagrams:
            kept += [(name, data)] * {"l": 0, "d": 2}.get(what, 1)
        own = nodes[one].members
        newest[own.own_name] = (own.incarnation, own.record_number)
        while kept and what != "r":
            name, data = kept.pop(other % len(kept))
            node = next(s for s in nodes if s.members.own_name == name)
            before = {n: m.record.version for n, m in node.members.members.items() if m.record is not None}
            node.exchange.receive(data, now=0, wall=WALL_US)
            for n, member in node.members.members.items():
                assert member.record is None or before.get(n, (0, 0)) <= member.record.version <= newest[n]
    assert all(node.drop_count(DropReason.INVALID_SIGNATURE) == 0 for node in nodes)


def test_two_watchers_confirm_a_failed_member_in_a_large_cluster_and_one_does_not() -> None:
    # Old records of a failed member are gossiped for many seconds, so it would seem to be present. A single
    # watcher may be cut off itself, and must not silence a running member.
    names = [f"n{number:02}" for number in range(40)]
    members = Membership(
        "n00",
        {name: f"s{name[-1]}" for name in names},
        heartbeat_us=HEARTBEAT_US,
        wall_us=WALL_US,
        now_us=0,
        rng=random.Random(1),
    )
    failed = members.members["n20"]
    index, watchers = members.member_indexes["n20"], sorted(failed.watchers - {"n00"})
    assert len(failed.watchers) == 8 and len({name[-1] for name in failed.watchers}) == 8, (
        "its watchers are in different sites"
    )

    times = itertools.count(1)

    def receive(name: str, number: int, *suspicions: Suspicion) -> MemberState:
        record = NodeRecord(name, WALL_US, number, WALL_US, False, b"", suspicions=list(suspicions))
        members.receive(record, SignedMessage(encode_body(record), bytes(64)), direct=False)
        members.advance(next(times))
        return failed.state

    receive("n20", 5)
    non_watcher = next(name for name in names[1:] if name not in watchers and name != "n20")
    assert receive(watchers[0], 1, Suspicion(index, WALL_US, 9)) is MemberState.PRESENT, (
        "one watcher alone may be cut off itself"
    )
    assert receive(non_watcher, 1, Suspicion(index, WALL_US, 9)) is MemberState.PRESENT, (
        "a member that does not watch it must not count"
    )
    assert receive(watchers[1], 1, Suspicion(index, WALL_US, 9)) is MemberState.SILENT
    assert receive("n20", 9) is MemberState.SILENT, (
        "a record that its watchers already had refutes no suspicion"
    )
    assert receive("n20", 10) is MemberState.PRESENT, (
        "a record newer than those of its watchers refutes their suspicions"
    )
    assert receive(watchers[2], 1, Suspicion(index, WALL_US, 9)) is MemberState.PRESENT, (
        "a suspicion based on an outdated record must not count"
    )


def test_suspicion_of_a_watcher_that_the_file_no_longer_has_does_not_count() -> None:
    """A removed member never withdraws its suspicion, so one more watcher would silence a running member."""
    sites = {f"n{number:02}": f"s{number % 10}" for number in range(40)}
    members = Membership(
        "n00", sites, heartbeat_us=HEARTBEAT_US, wall_us=WALL_US, now_us=0, rng=random.Random(1)
    )
    suspected = members.members["n20"]
    removed = sorted(suspected.watchers - {"n00"})[0]
    for name, suspicions in (("n20", []), (removed, [members.member_indexes["n20"]])):
        reports = [Suspicion(index, WALL_US, 9) for index in suspicions]
        record = NodeRecord(name, WALL_US, 1, WALL_US, False, b"", suspicions=reports)
        members.receive(record, SignedMessage(encode_body(record), bytes(64)), direct=False)
    assert set(suspected.suspected_by) == {removed}
    members.set_members({name: site for name, site in sites.items() if name != removed})
    assert not suspected.suspected_by and not members._suspicions._suspected


def test_failed_member_of_a_large_cluster_is_detected_within_seconds_despite_loss() -> None:
    faults = [
        {"kind": "lossy", "at_s": 0.1, "loss": 0.2, "for_s": 60.0},
        {"kind": "kill", "at_s": 8.0, "nodes": 3},
    ]
    scenario = {"span_s": 15.0, "zones": 3, "cluster": {"on": True}, "nodes": {"count": 60, "back_s": 60.0}}
    row = Simulation(
        parse_scenario({**scenario, "links": {"rate": 1.0, "life_s": 1.0}, "faults": faults}, "day")
    ).run()
    assert row["agreed_s"] is not None and row["agreed_s"] < 6.0 and row["members_wrong"] == 0
    assert row["cluster_bytes_s"] < 20_000


def test_partition_of_a_large_cluster_silences_no_member_of_the_same_side() -> None:
    """Members of the same side are declared silent because of outdated suspicions.

    The other side reports suspicions that are based on records from before the partition, and the last record
    of a member before the partition reached only few nodes.
    """
    faults = [
        {"kind": "lossy", "at_s": 0.1, "loss": 0.2, "for_s": 60.0},
        {"kind": "part", "at_s": 8.0, "zone": 0, "for_s": 11.0},
    ]
    scenario = {"span_s": 26.0, "zones": 4, "cluster": {"on": True}, "nodes": {"count": 40}}
    row = Simulation(
        parse_scenario({**scenario, "links": {"rate": 1.0, "life_s": 1.0}, "faults": faults}, "day")
    ).run()
    assert row["agreed_s"] is not None and row["agreed_s"] < 9.0 and row["members_wrong"] == 0


@pytest.mark.parametrize("sites", [[50, 50, 50, 50], [100, 60, 40], [30, 10]])
def test_watch_load_is_even_within_each_site(sites: list[int]) -> None:
    site_of = {f"n{n}-{site}": f"s{site}" for site, count in enumerate(sites) for n in range(count)}
    names = sorted(site_of)
    watch_counts: Counter[str] = Counter()
    for name, watchers in assign_watchers(names, site_of).items():
        assert len(set(watchers)) == WATCHERS_PER_MEMBER and name not in watchers
        assert {site_of[other] for other in watchers} == set(site_of.values())
        watch_counts.update(watchers)
    for site in set(site_of.values()):
        counts = [watch_counts[name] for name in names if site_of[name] == site]
        assert max(counts) - min(counts) <= WATCHERS_PER_MEMBER


def test_heartbeat_cost_does_not_depend_on_cluster_size() -> None:
    names = [f"node-{number:04}" for number in range(1000)]
    members = Membership(
        names[0],
        dict.fromkeys(names, ""),
        heartbeat_us=HEARTBEAT_US,
        wall_us=WALL_US,
        now_us=0,
        rng=random.Random(1),
    )
    signature = bytes(64)
    for number, name in enumerate(names[1:]):
        record = NodeRecord(name, WALL_US, number, WALL_US + number, False, bytes(125))
        members.receive(record, SignedMessage(encode_body(record), signature), direct=False)
    own = SignedMessage(
        encode_body(members.next_record(WALL_US, digest=0, quota_reports=[], observations=[], promises=[])),
        signature,
    )
    sent = [members.gossip_targets() for _ in range(333)]
    assert all(len(set(targets)) == FAN_OUT for targets in sent)
    assert {name for targets in sent for name in targets} == set(names[1:]), (
        "each member is sent a heartbeat within one round"
    )
    records = members.pack_records(own, 1)[0]
    assert len(encode_datagram(records)) <= MAX_DATAGRAM_BYTES and len(records) >= 5
    newest = decode_record(records[1].body)
    assert newest is not None and newest.name == names[-1], "the newest record has to be forwarded first"


@settings(derandomize=True, deadline=None)
@given(st.lists(st.booleans(), max_size=40))
def test_packed_bits_are_read_back_and_none_is_set_beyond_the_end(flags: list[bool]) -> None:
    bits = pack_bits(flags)
    assert len(bits) == (len(flags) + 7) // 8
    assert [has_bit(bits, index) for index in range(len(flags))] == flags
    assert not any(has_bit(bits, index) for index in range(len(flags), len(flags) + 20))


def test_the_listening_clock_counts_a_stop_as_three_heartbeats_and_never_runs_back() -> None:
    clock = ListeningClock(heartbeat_us=HEARTBEAT_US, now_us=0)
    for now_us, listened_us in ((100_000, 100_000), (9_000_000, 700_000), (5, 700_000), (9_000_001, 700_001)):
        clock.advance(now_us)
        assert clock.listened_us == listened_us
    clock.member_count = 17
    assert not clock.needs_watchers
    clock.member_count = 18
    assert clock.needs_watchers and clock.silence_us == 1_620_000


def test_emulated_members_agree_through_every_fault_and_repeated_runs_are_equal() -> None:
    faults = [
        {
            "kind": "lossy",
            "at_s": 0.5,
            "loss": 0.05,
            "double": 0.1,
            "reorder": 0.2,
            "delay_ms": 20.0,
            "for_s": 60.0,
        },
        {"kind": "part", "at_s": 5.0, "zone": 1, "for_s": 6.0},
        {"kind": "part", "at_s": 16.0, "nodes": 3, "oneway": True, "for_s": 5.0},
        {"kind": "stall", "at_s": 26.0, "nodes": 3, "for_s": 4.0},
        {"kind": "kill", "at_s": 35.0, "nodes": 3},
    ]
    scenario = parse_scenario(
        {
            "span_s": 45.0,
            "cluster": {"on": True},
            "nodes": {"count": 12, "back_s": 4.0},
            "links": {"rate": 20.0, "life_s": 5.0},
            "faults": faults,
        },
        "day",
    )
    rows = [Simulation(scenario).run() for _ in range(2)]
    for row in rows:
        del row["cluster_cpu"]
    assert rows[0] == rows[1]
    assert rows[0]["agreed_s"] is not None and rows[0]["agreed_s"] < 3.0
    assert rows[0]["members_wrong"] == 0 and not any(rows[0]["broken"].values())


def test_emulated_node_keeps_one_heartbeat_timer_after_a_short_stop() -> None:
    rows = []
    for faults in (
        [],
        [{"kind": "stall", "at_s": 0.05 + index, "nodes": 4, "for_s": 0.02} for index in range(9)],
    ):
        scenario = {"span_s": 12.0, "cluster": {"on": True}, "nodes": {"count": 4}, "faults": faults}
        rows.append(Simulation(parse_scenario(scenario, "day")).run()["cluster_bytes_s"])
    assert abs(rows[0] - rows[1]) < 0.02 * rows[0]
