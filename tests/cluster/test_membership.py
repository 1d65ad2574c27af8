"""The cluster without I/O: membership, datagrams, the cluster file. Real processes are in test_between."""

from __future__ import annotations

import itertools
import os
import random
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.__main__ import cli
from larchlatch.cluster.cluster_file import parse_cluster
from larchlatch.cluster.election.electorate import Electorate
from larchlatch.cluster.exchange.exchange import Exchange
from larchlatch.cluster.exchange.state import SharedState
from larchlatch.cluster.keys import create_secret, own_signer, read_secret
from larchlatch.cluster.membership.bitmap import has_bit, pack_bits
from larchlatch.cluster.membership.clock import FAN_OUT, ListeningClock
from larchlatch.cluster.membership.member import MemberState
from larchlatch.cluster.membership.membership import MAX_CLOCK_DIFFERENCE_US, Membership
from larchlatch.cluster.membership.watchers import WATCHERS, assign_watchers
from larchlatch.cluster.protocol.codec import (
    MAX_DATAGRAM_BYTES,
    VERSION,
    decode_datagram,
    decode_message,
    decode_record,
    encode_body,
    encode_datagram,
)
from larchlatch.cluster.protocol.messages import Datagram, DropReason, NodeRecord, SignedMessage, Suspicion
from larchlatch.cluster.protocol.signing import Signer, Verifier, parse_signer
from larchlatch.cluster.quota.loan_terms import LoanTerms
from larchlatch.cluster.quota.settings import QuotaSettings
from larchlatch.emulator.simulation import Simulation
from larchlatch.errors import InvalidInputError
from larchlatch.scenario.scenario_file import parse_scenario

HEARTBEAT_US = 200_000
SPANS = LoanTerms(1_000_000, 3_000_000, 0.01)
WALL_US = 1_800_000_000_000_000
SECRETS = {name: bytes([place]) * 32 for place, name in enumerate("abcdefgh", 1)}
KEYS = {name: Signer(secret).public_key for name, secret in SECRETS.items()}


class ManualNode:
    """One node driven by hand, with its decisions, its keys and its counters."""

    def __init__(self, name: str, names: str = "abcd", wall: int = WALL_US, seed: int = 1) -> None:
        self.counts: dict[str, int] = {}
        self.members = Membership(
            name,
            dict.fromkeys(names, ""),
            heartbeat_us=HEARTBEAT_US,
            wall_us=wall,
            now_us=0,
            rng=random.Random(seed),
        )
        shared = SharedState.create(
            name,
            QuotaSettings((), tuple(names), 1.0, SPANS, 1),
            Electorate(),
            max_clock_difference_us=0,
            heartbeat_us=HEARTBEAT_US,
            now=0,
            random=random.Random(seed),
        )
        sites = dict.fromkeys(names, "")
        self.exchange = Exchange(
            self.members, shared, sites, KEYS, Signer(SECRETS[name]), Verifier(), self.count
        )

    def count(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def state(self, name: str) -> MemberState:
        return self.members.members[name].state

    def drop_count(self, why: DropReason) -> int:
        return self.counts.get(f"cluster_dropped_{why.value}", 0)

    def next_datagram(self, now: int = 0, wall: int = WALL_US) -> bytes:
        """Return the first datagram of its next heartbeat."""
        return self.exchange.heartbeat(now=now, wall=wall).datagrams[0][1]


def run_heartbeats(nodes: list[ManualNode], first: int, count: int, cut: frozenset[str] = frozenset()) -> int:
    """Run heartbeats of all nodes in turn; nothing passes between the nodes in `cut` and the others.

    Returns:
        The number of the heartbeat after them.

    """
    by_name = {node.members.own_name: node for node in nodes}
    for number in range(first, first + count):
        now = number * HEARTBEAT_US
        for node in nodes:
            for name, data in node.exchange.heartbeat(now=now, wall=WALL_US + now).datagrams:
                if name in by_name and (name in cut) is (node.members.own_name in cut):
                    by_name[name].exchange.receive(data, now=now, wall=WALL_US + now)
    return first + count


# Membership.


def test_all_hear_of_all_and_a_node_that_stops_is_silent_and_comes_back() -> None:
    nodes = [ManualNode(name, seed=place) for place, name in enumerate("abcd")]
    assert all(node.members.is_alone for node in nodes), "no other node is present at the start"
    at = run_heartbeats(nodes, 0, 6)
    assert {node.state(n) for node in nodes for n in "abcd" if n != node.members.own_name} == {
        MemberState.PRESENT
    }
    at = run_heartbeats(nodes[:3], at, 12)
    assert nodes[0].state("d") is MemberState.SILENT and nodes[0].state("b") is MemberState.PRESENT
    run_heartbeats(nodes, at, 6)
    assert nodes[0].state("d") is MemberState.PRESENT
    assert nodes[0].members.members["d"].false_positives == 1


def test_a_cut_is_told_on_both_sides_and_heals() -> None:
    nodes = [ManualNode(name, "abcdefgh", seed=place) for place, name in enumerate("abcdefgh")]
    at = run_heartbeats(nodes, 0, 8)
    at = run_heartbeats(nodes, at, 14, cut=frozenset("abc"))
    for node in nodes:
        here = node.members.own_name in "abc"
        for name in node.members.members:
            assert (node.state(name) is MemberState.PRESENT) is ((name in "abc") is here), (
                node.members.own_name,
                name,
            )
    run_heartbeats(nodes, at, 8)
    assert all(node.state(n) is MemberState.PRESENT for node in nodes for n in node.members.members)


def test_a_node_that_was_stopped_takes_nobody_for_silent_on_waking() -> None:
    # Otherwise a node that was stopped would take all the others for silent, for what it missed itself.
    nodes = [ManualNode(name, seed=place) for place, name in enumerate("abcd")]
    run_heartbeats(nodes, 0, 6)
    woken = nodes[0]
    assert woken.members.advance(60_000_000) == [], "it could not hear while it was stopped"
    assert woken.members.advance(60_000_000 + HEARTBEAT_US) == []
    for beat in range(2, 12):
        woken.members.advance(60_000_000 + beat * HEARTBEAT_US)
    assert woken.members.is_alone, "by now it could have heard them"


def test_a_node_whose_clock_was_set_back_outbids_its_earlier_life() -> None:
    # Its records have a lower incarnation than the others know of it: all of them would pass for known.
    nodes = [ManualNode(name, seed=place) for place, name in enumerate("abcd")]
    at = run_heartbeats(nodes, 0, 6)
    later = ManualNode("a", wall=WALL_US - 5_000_000)
    at = run_heartbeats([later, *nodes[1:]], at, 14)
    assert later.members.incarnation > WALL_US
    known = nodes[1].members.members["a"].record
    assert known is not None and known.incarnation == later.members.incarnation
    assert nodes[1].state("a") is MemberState.PRESENT


def test_a_node_that_leaves_says_so() -> None:
    nodes = [ManualNode(name, seed=place) for place, name in enumerate("abcd")]
    at = run_heartbeats(nodes, 0, 6)
    nodes[3].members.is_departing = True
    run_heartbeats(nodes, at, 3)
    assert nodes[0].state("d") is MemberState.LEFT
    run_heartbeats(nodes[:3], at + 3, 20)
    assert nodes[0].state("d") is MemberState.LEFT, "silence does not change it"


def test_a_member_that_the_file_no_longer_has_is_forgotten_and_not_heard() -> None:
    nodes = [ManualNode(name, seed=place) for place, name in enumerate("abcd")]
    at = run_heartbeats(nodes, 0, 6)
    nodes[0].members.set_members(dict.fromkeys("abc", ""))
    run_heartbeats(nodes, at, 6)
    assert "d" not in nodes[0].members.members and nodes[0].drop_count(DropReason.UNKNOWN_MEMBER) > 0
    assert nodes[0].state("c") is MemberState.PRESENT, "the others are kept"


def test_whom_each_hears_itself_is_told() -> None:
    nodes = [ManualNode(name, seed=place) for place, name in enumerate("abcd")]
    run_heartbeats(nodes, 0, 12)
    for told in nodes[0].members.snapshot():
        assert told.direct and told.hears_us and told.state is MemberState.PRESENT
    fresh = ManualNode("a")
    assert not any(told.direct or told.hears_us for told in fresh.members.snapshot())


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


def test_watchers_tell_of_a_death_in_a_large_fleet_and_one_alone_is_not_believed() -> None:
    # Old records of a dead member travel for many seconds, each as if it lived.
    names = [f"n{number:02}" for number in range(40)]
    members = Membership(
        "n00",
        {name: f"s{name[-1]}" for name in names},
        heartbeat_us=HEARTBEAT_US,
        wall_us=WALL_US,
        now_us=0,
        rng=random.Random(1),
    )
    dead = members.members["n20"]
    place, watchers = members.member_indexes["n20"], sorted(dead.watchers - {"n00"})
    assert len(dead.watchers) == 8 and len({name[-1] for name in dead.watchers}) == 8, "from different sites"

    times = itertools.count(1)

    def hear(name: str, number: int, *missed: Suspicion) -> MemberState:
        record = NodeRecord(name, WALL_US, number, WALL_US, False, b"", suspicions=list(missed))
        members.receive(record, SignedMessage(encode_body(record), bytes(64)), direct=False)
        members.advance(next(times))
        return dead.state

    hear("n20", 5)
    stranger = next(name for name in names[1:] if name not in watchers and name != "n20")
    assert hear(watchers[0], 1, Suspicion(place, WALL_US, 9)) is MemberState.PRESENT, (
        "one watcher alone may be cut off"
    )
    assert hear(stranger, 1, Suspicion(place, WALL_US, 9)) is MemberState.PRESENT, "it is no watcher"
    assert hear(watchers[1], 1, Suspicion(place, WALL_US, 9)) is MemberState.SILENT
    assert hear("n20", 9) is MemberState.SILENT, "a record that its watchers had already"
    assert hear("n20", 10) is MemberState.PRESENT, "a newer record refutes the suspicion"
    assert hear(watchers[2], 1, Suspicion(place, WALL_US, 9)) is MemberState.PRESENT, (
        "a suspicion by an older record"
    )


def test_a_death_among_many_is_told_within_seconds_whatever_is_lost() -> None:
    faults = [
        {"kind": "lossy", "at_s": 0.1, "loss": 0.2, "for_s": 60.0},
        {"kind": "kill", "at_s": 8.0, "nodes": 3},
    ]
    day = {"span_s": 15.0, "zones": 3, "cluster": {"on": True}, "nodes": {"count": 60, "back_s": 60.0}}
    row = Simulation(
        parse_scenario({**day, "links": {"rate": 1.0, "life_s": 1.0}, "faults": faults}, "day")
    ).run()
    assert row["agreed_s"] is not None and row["agreed_s"] < 6.0 and row["members_wrong"] == 0
    assert row["cluster_bytes_s"] < 20_000


def test_a_cut_among_many_takes_nobody_for_silent_who_is_on_the_same_side() -> None:
    """Reports of the other side are older than the cut, and the last record before it reached few nodes."""
    faults = [
        {"kind": "lossy", "at_s": 0.1, "loss": 0.2, "for_s": 60.0},
        {"kind": "part", "at_s": 8.0, "zone": 0, "for_s": 11.0},
    ]
    day = {"span_s": 26.0, "zones": 4, "cluster": {"on": True}, "nodes": {"count": 40}}
    row = Simulation(
        parse_scenario({**day, "links": {"rate": 1.0, "life_s": 1.0}, "faults": faults}, "day")
    ).run()
    assert row["agreed_s"] is not None and row["agreed_s"] < 9.0 and row["members_wrong"] == 0


@pytest.mark.parametrize("sites", [[50, 50, 50, 50], [100, 60, 40], [30, 10]])
def test_watching_falls_on_all_of_a_site_alike(sites: list[int]) -> None:
    where = {f"n{n}-{site}": f"s{site}" for site, count in enumerate(sites) for n in range(count)}
    names = sorted(where)
    watched: Counter[str] = Counter()
    for name, watchers in assign_watchers(names, where).items():
        assert len(set(watchers)) == WATCHERS and name not in watchers
        assert {where[other] for other in watchers} == set(where.values())
        watched.update(watchers)
    for site in set(where.values()):
        counts = [watched[name] for name in names if where[name] == site]
        assert max(counts) - min(counts) <= WATCHERS


def test_a_beat_costs_the_same_whatever_the_fleets_size() -> None:
    names = [f"node-{number:04}" for number in range(1000)]
    members = Membership(
        names[0],
        dict.fromkeys(names, ""),
        heartbeat_us=HEARTBEAT_US,
        wall_us=WALL_US,
        now_us=0,
        rng=random.Random(1),
    )
    blank = bytes(64)
    for number, name in enumerate(names[1:]):
        record = NodeRecord(name, WALL_US, number, WALL_US + number, False, bytes(125))
        members.receive(record, SignedMessage(encode_body(record), blank), direct=False)
    own = SignedMessage(
        encode_body(members.next_record(WALL_US, digest=0, quota_reports=[], observations=[], promises=[])),
        blank,
    )
    sent = [members.gossip_targets() for _ in range(333)]
    assert all(len(set(targets)) == FAN_OUT for targets in sent)
    assert {name for targets in sent for name in targets} == set(names[1:]), "each is reached within a round"
    records = members.pack_records(own, 1)[0]
    assert len(encode_datagram(records)) <= MAX_DATAGRAM_BYTES and len(records) >= 5
    newest = decode_record(records[1].body)
    assert newest is not None and newest.name == names[-1], "the newest is forwarded first"


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


# Datagrams.


def test_what_can_not_be_used_is_dropped_and_counted_by_cause() -> None:
    good = ManualNode("b").next_datagram()
    body = encode_body(NodeRecord("b", WALL_US, 1, WALL_US, False, b""))
    forged = encode_datagram([SignedMessage(body, Signer(SECRETS["c"]).sign(body))])
    stranger = encode_body(NodeRecord("x", WALL_US, 1, WALL_US, False, b""))
    cases = [
        (b"", DropReason.EMPTY),
        (bytes(MAX_DATAGRAM_BYTES + 1), DropReason.TOO_LONG),
        (bytes([VERSION + 1]) + good[1:], DropReason.UNKNOWN_VERSION),
        (bytes([VERSION]) + b"\xc1", DropReason.MALFORMED),
        (encode_datagram([SignedMessage(b"", bytes(64))]), DropReason.MALFORMED),
        (encode_datagram([SignedMessage(body, b"short")]), DropReason.MALFORMED),
        (encode_datagram([]), DropReason.MALFORMED),
        (encode_datagram([SignedMessage(stranger, bytes(64))]), DropReason.UNKNOWN_MEMBER),
        (forged, DropReason.INVALID_SIGNATURE),
        (
            ManualNode("b", wall=WALL_US - 86_400_000_000).next_datagram(wall=WALL_US - 86_400_000_000),
            DropReason.TOO_OLD,
        ),
        (ManualNode("b").next_datagram(wall=WALL_US + 2 * MAX_CLOCK_DIFFERENCE_US), DropReason.IN_THE_FUTURE),
    ]
    node = ManualNode("a")
    for data, why in cases:
        before = node.drop_count(why)
        assert node.exchange.receive(data, now=0, wall=WALL_US).changes == []
        assert node.drop_count(why) == before + 1, why
    assert node.members.is_alone, "nothing of it was taken in"
    assert node.exchange.unknown_version == VERSION + 1, "for the log, which says it once"
    assert node.exchange.receive(good, now=0, wall=WALL_US).changes != []


def test_yesterdays_datagrams_and_twice_the_same_are_no_news() -> None:
    node, other = ManualNode("a"), ManualNode("b")
    first, second = other.next_datagram(), other.next_datagram()
    node.exchange.receive(second, now=0, wall=WALL_US)
    for data in (first, second):
        assert node.exchange.receive(data, now=0, wall=WALL_US).changes == []
    assert node.counts["cluster_records_accepted"] == 1 and node.counts["cluster_records_known"] == 2


def test_nobody_speaks_for_another() -> None:
    # A member with a key of its own may claim anything of itself, and must not of another member.
    liar, node = Signer(SECRETS["b"]), ManualNode("a")
    run_heartbeats([node, ManualNode("c", seed=2)], 0, 4)
    before = node.members.members["c"].record
    body = encode_body(NodeRecord("c", WALL_US + 9, 99, WALL_US, True, b""))
    own = encode_body(NodeRecord("b", WALL_US, 1, WALL_US, False, b""))
    data = encode_datagram([SignedMessage(own, liar.sign(own)), SignedMessage(body, liar.sign(body))])
    node.exchange.receive(data, now=0, wall=WALL_US)
    assert node.members.members["c"].record == before and node.state("c") is MemberState.PRESENT
    assert node.drop_count(DropReason.INVALID_SIGNATURE) == 1 and node.state("b") is MemberState.PRESENT


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.binary(max_size=MAX_DATAGRAM_BYTES + 2), st.integers(0, 400), st.integers(0, 255))
def test_no_bytes_at_all_end_a_reader(noise: bytes, place: int, change: int) -> None:
    good = bytearray(ManualNode("b").next_datagram())
    good[place % len(good)] = change
    for data in (noise, bytes([VERSION]) + noise, bytes(good), bytes(good[: place % len(good)])):
        node = ManualNode("a")
        node.exchange.receive(data, now=0, wall=WALL_US)
        found = decode_datagram(data)
        if isinstance(found, Datagram):
            for signed in found.records + found.messages:
                decode_record(signed.body)
                decode_message(signed.body)


# The operator's file.


ENTRY = {"name": "a", "address": "10.0.0.1:7400", "key": KEYS["a"].hex()}
OTHER = {"name": "b", "address": "10.0.0.2:7400", "key": KEYS["b"].hex()}


def raw(**changes: Any) -> dict[str, Any]:
    return {"nodes": [ENTRY, OTHER], **changes}


@pytest.mark.parametrize(
    ("change", "told"),
    [
        ({"nodes": []}, "nodes"),
        ({"nodez": 1}, "nodez"),
        ({"beat_ms": 1}, "beat_ms"),
        ({"nodes": [{"name": "a", "address": "x", "key": KEYS["a"].hex()}]}, "nodes[0].address"),
        ({"nodes": [{**ENTRY, "address": "h:0"}]}, "nodes[0].address"),
        ({"nodes": [{"name": "a", "address": "h:1", "key": "zz"}]}, "nodes[0].key"),
        ({"nodes": [ENTRY, {**OTHER, "name": "a"}]}, "nodes[1].name"),
        (
            {"nodes": [ENTRY, {**OTHER, "address": "10.0.0.1:7400"}]},
            "nodes[1].address",
        ),
        ({"nodes": [ENTRY, {**OTHER, "key": KEYS["a"].hex()}]}, "nodes[1].key"),
    ],
)
def test_a_faulty_file_gets_one_line_that_names_the_key(change: dict[str, Any], told: str) -> None:
    with pytest.raises(InvalidInputError) as error:
        parse_cluster(raw(**change), "cluster")
    assert told in str(error.value) and "\n" not in str(error.value)


def test_keys_are_made_checked_and_refused(tmp_path: Path) -> None:
    public = create_secret(tmp_path / "a.key")
    secret = read_secret(tmp_path / "a.key")
    assert (tmp_path / "a.key").stat().st_mode & 0o077 == 0, "nobody else reads it"
    made = parse_signer(secret)
    assert made is not None and made.public_key.hex() == public
    with pytest.raises(InvalidInputError, match="can't be written"):
        create_secret(tmp_path / "a.key")
    fleet = parse_cluster(raw(), "cluster")
    assert own_signer(fleet, "a", SECRETS["a"].hex()).public_key == KEYS["a"]
    for name, key, why in (
        ("x", SECRETS["a"].hex(), "not among"),
        ("a", secret, "not the one"),
        ("a", "q", "32"),
    ):
        with pytest.raises(InvalidInputError, match=why):
            own_signer(fleet, name, key)


def test_the_example_is_in_order_and_serve_wants_a_key(tmp_path: Path) -> None:
    example = Path(__file__).parents[2] / "deploy" / "cluster.example.toml"
    result = CliRunner().invoke(cli, ["check", "--cluster", str(example)])
    assert result.exit_code == 0 and "3 nodes" in result.stdout
    result = CliRunner().invoke(cli, ["cluster-key", "--out", str(tmp_path / "k")])
    assert result.exit_code == 0 and len(result.stdout.strip()) == 64


def test_a_node_without_a_cluster_loads_nothing_of_it() -> None:
    code = "import sys, larchlatch.__main__; print([m for m in sys.modules if 'cluster' in m or m == 'nacl'])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, env={**os.environ})
    assert done.stdout.strip() == "[]", done.stderr


# Members of a simulated cluster.


def test_members_of_an_emulated_fleet_agree_through_every_fault_and_equal_days_are_equal() -> None:
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
    day = parse_scenario(
        {
            "span_s": 45.0,
            "cluster": {"on": True},
            "nodes": {"count": 12, "back_s": 4.0},
            "links": {"rate": 20.0, "life_s": 5.0},
            "faults": faults,
        },
        "day",
    )
    rows = [Simulation(day).run() for _ in range(2)]
    for row in rows:
        del row["cluster_cpu"]
    assert rows[0] == rows[1]
    assert rows[0]["agreed_s"] is not None and rows[0]["agreed_s"] < 3.0
    assert rows[0]["members_wrong"] == 0 and not any(rows[0]["broken"].values())


def test_a_stop_shorter_than_a_beat_leaves_an_emulated_node_with_one_beat() -> None:
    rows = []
    for faults in (
        [],
        [{"kind": "stall", "at_s": 0.05 + place, "nodes": 4, "for_s": 0.02} for place in range(9)],
    ):
        day = {"span_s": 12.0, "cluster": {"on": True}, "nodes": {"count": 4}, "faults": faults}
        rows.append(Simulation(parse_scenario(day, "day")).run()["cluster_bytes_s"])
    assert abs(rows[0] - rows[1]) < 0.02 * rows[0]
