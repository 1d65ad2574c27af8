"""Nodes that know of each other: decisions, datagrams, the file. Real processes are in test_between."""

from __future__ import annotations

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
from larchlatch.cluster.cluster_file import fleet_from, new_secret, own_seal, secret_of
from larchlatch.cluster.election.electorate import Electorate
from larchlatch.cluster.exchange import Exchange, Shared
from larchlatch.cluster.membership.membership import (
    APART_US,
    FAN_OUT,
    WATCHERS,
    Members,
    State,
    watchers_of,
)
from larchlatch.cluster.protocol.datagrams import (
    MOST_BYTES,
    VERSION,
    Datagram,
    Missed,
    Record,
    Signed,
    Unread,
    body_of,
    datagram_of,
    note_of,
    read,
    record_of,
)
from larchlatch.cluster.protocol.signing import Checks, Seal, seal_of
from larchlatch.cluster.quota.loan_terms import LoanTerms
from larchlatch.cluster.quota.settings import QuotaSettings
from larchlatch.days.agreement import SETTLED_US, Agreement
from larchlatch.days.chance import Chance
from larchlatch.days.day import checked
from larchlatch.days.paths import Manner, Part, Paths
from larchlatch.emulator.world import World
from larchlatch.errors import InvalidInputError

BEAT = 200_000
SPANS = LoanTerms(1_000_000, 3_000_000, 0.01)
WALL = 1_800_000_000_000_000
SECRETS = {name: bytes([place]) * 32 for place, name in enumerate("abcdefgh", 1)}
KEYS = {name: Seal(secret).public for name, secret in SECRETS.items()}


class Side:
    """One node by hand: its decisions, keys and what it counted."""

    def __init__(self, name: str, names: str = "abcd", wall: int = WALL, seed: int = 1) -> None:
        self.counts: dict[str, int] = {}
        self.members = Members(name, dict.fromkeys(names, ""), BEAT, wall, 0, random.Random(seed))
        shared = Shared.of(
            name,
            QuotaSettings((), tuple(names), 1.0, SPANS, 1),
            Electorate(),
            0,
            BEAT,
            0,
            random.Random(seed),
        )
        sites = dict.fromkeys(names, "")
        self.exchange = Exchange(self.members, shared, sites, KEYS, Seal(SECRETS[name]), Checks(), self.count)

    def count(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def state(self, name: str) -> State:
        return self.members.state(self.members.members[name])

    def dropped(self, why: Unread) -> int:
        return self.counts.get(f"cluster: dropped, {why.value}", 0)

    def said(self, now: int = 0, wall: int = WALL) -> bytes:
        """One of its beats."""
        return self.exchange.beat(now, wall).datagrams[0][1]


def beats(sides: list[Side], first: int, count: int, cut: frozenset[str] = frozenset()) -> int:
    """All beat in turn; nothing goes between those in `cut` and the others. The time after that."""
    by_name = {side.members.me: side for side in sides}
    for beat in range(first, first + count):
        now = beat * BEAT
        for side in sides:
            for name, data in side.exchange.beat(now, WALL + now).datagrams:
                if name in by_name and (name in cut) is (side.members.me in cut):
                    by_name[name].exchange.take(data, now, WALL + now)
    return first + count


# Members.


def test_all_hear_of_all_and_a_node_that_stops_is_silent_and_comes_back() -> None:
    sides = [Side(name, seed=place) for place, name in enumerate("abcd")]
    assert all(side.members.alone for side in sides), "nobody is heard at the start"
    at = beats(sides, 0, 6)
    assert {side.state(n) for side in sides for n in "abcd" if n != side.members.me} == {State.PRESENT}
    at = beats(sides[:3], at, 12)
    assert sides[0].state("d") is State.SILENT and sides[0].state("b") is State.PRESENT
    beats(sides, at, 6)
    assert sides[0].state("d") is State.PRESENT
    assert sides[0].members.members["d"].false_verdicts == 1


def test_a_cut_is_told_on_both_sides_and_heals() -> None:
    sides = [Side(name, "abcdefgh", seed=place) for place, name in enumerate("abcdefgh")]
    at = beats(sides, 0, 8)
    at = beats(sides, at, 14, cut=frozenset("abc"))
    for side in sides:
        here = side.members.me in "abc"
        for name in side.members.members:
            assert (side.state(name) is State.PRESENT) is ((name in "abc") is here), (side.members.me, name)
    beats(sides, at, 8)
    assert all(side.state(n) is State.PRESENT for side in sides for n in side.members.members)


def test_a_node_that_was_stopped_takes_nobody_for_silent_on_waking() -> None:
    # Danger: a second's stop of one node, and it would avoid all the others for what it has missed itself.
    sides = [Side(name, seed=place) for place, name in enumerate("abcd")]
    beats(sides, 0, 6)
    woken = sides[0]
    assert woken.members.look(60_000_000) == [], "it has heard nothing because it could not"
    assert woken.members.look(60_000_000 + BEAT) == []
    for beat in range(2, 12):
        woken.members.look(60_000_000 + beat * BEAT)
    assert woken.members.alone, "now it could have heard them, and did not"


def test_a_node_whose_clock_was_set_back_outbids_its_earlier_life() -> None:
    # Danger: its records carry a lower incarnation than the others know of it, and none would be heard again.
    sides = [Side(name, seed=place) for place, name in enumerate("abcd")]
    at = beats(sides, 0, 6)
    later = Side("a", wall=WALL - 5_000_000)
    at = beats([later, *sides[1:]], at, 14)
    assert later.members.incarnation > WALL
    known = sides[1].members.members["a"].record
    assert known is not None and known.incarnation == later.members.incarnation
    assert sides[1].state("a") is State.PRESENT


def test_a_node_that_leaves_says_so() -> None:
    sides = [Side(name, seed=place) for place, name in enumerate("abcd")]
    at = beats(sides, 0, 6)
    sides[3].members.leaving = True
    beats(sides, at, 3)
    assert sides[0].state("d") is State.LEFT
    beats(sides[:3], at + 3, 20)
    assert sides[0].state("d") is State.LEFT, "it needs no verdict"


def test_a_member_that_the_file_no_longer_has_is_forgotten_and_not_heard() -> None:
    sides = [Side(name, seed=place) for place, name in enumerate("abcd")]
    at = beats(sides, 0, 6)
    sides[0].members.follow(dict.fromkeys("abc", ""))
    beats(sides, at, 6)
    assert "d" not in sides[0].members.members and sides[0].dropped(Unread.STRANGER) > 0
    assert sides[0].state("c") is State.PRESENT, "the others are kept"


def test_whom_each_hears_itself_is_told() -> None:
    sides = [Side(name, seed=place) for place, name in enumerate("abcd")]
    beats(sides, 0, 12)
    for told in sides[0].members.told():
        assert told.direct and told.hears_us and told.state is State.PRESENT
    fresh = Side("a")
    assert not any(told.direct or told.hears_us for told in fresh.members.told())


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 3), st.sampled_from("ldr.")), max_size=120))
def test_any_order_loss_and_doubling_leaves_the_newest_record(steps: list[tuple[int, int, str]]) -> None:
    sides = [Side(name, seed=place) for place, name in enumerate("abcd")]
    kept: list[tuple[str, bytes]] = []
    newest: dict[str, tuple[int, int]] = {}
    for number, (one, other, what) in enumerate(steps):
        for name, data in sides[one].exchange.beat(number * BEAT, WALL).datagrams:
            kept += [(name, data)] * {"l": 0, "d": 2}.get(what, 1)
        own = sides[one].members
        newest[own.me] = (own.incarnation, own.number)
        while kept and what != "r":
            name, data = kept.pop(other % len(kept))
            side = next(s for s in sides if s.members.me == name)
            before = {n: m.record.age for n, m in side.members.members.items() if m.record is not None}
            side.exchange.take(data, 0, WALL)
            for n, member in side.members.members.items():
                assert member.record is None or before.get(n, (0, 0)) <= member.record.age <= newest[n]
    assert all(side.dropped(Unread.SIGNATURE) == 0 for side in sides)


def test_watchers_tell_of_a_death_in_a_large_fleet_and_one_alone_is_not_believed() -> None:
    # Danger: old records of a dead member go round for many seconds, each as if it lived.
    names = [f"n{number:02}" for number in range(40)]
    members = Members("n00", {name: f"s{name[-1]}" for name in names}, BEAT, WALL, 0, random.Random(1))
    dead = members.members["n20"]
    place, watchers = members.places["n20"], sorted(dead.watchers - {"n00"})
    assert len(dead.watchers) == 8 and len({name[-1] for name in dead.watchers}) == 8, "of many sites"

    def hear(name: str, number: int, *missed: Missed) -> State:
        record = Record(name, WALL, number, WALL, False, b"", missed=list(missed))
        members.heard(record, Signed(body_of(record), bytes(64)), direct=False)
        members.look(members.looked_at + 1)
        return members.state(dead)

    hear("n20", 5)
    stranger = next(name for name in names[1:] if name not in watchers and name != "n20")
    assert hear(watchers[0], 1, Missed(place, WALL, 9)) is State.PRESENT, "it may be cut off from it alone"
    assert hear(stranger, 1, Missed(place, WALL, 9)) is State.PRESENT, "it does not watch it"
    assert hear(watchers[1], 1, Missed(place, WALL, 9)) is State.SILENT
    assert hear("n20", 9) is State.SILENT, "an old record that went round"
    assert hear("n20", 10) is State.PRESENT, "a new one"
    assert hear(watchers[2], 1, Missed(place, WALL, 9)) is State.PRESENT, "an old word"


def test_a_death_among_many_is_told_within_seconds_whatever_is_lost() -> None:
    faults = [
        {"kind": "lossy", "at_s": 0.1, "loss": 0.2, "for_s": 60.0},
        {"kind": "kill", "at_s": 8.0, "nodes": 3},
    ]
    day = {"span_s": 15.0, "zones": 3, "cluster": {"on": True}, "nodes": {"count": 60, "back_s": 60.0}}
    row = World(checked({**day, "links": {"rate": 1.0, "life_s": 1.0}, "faults": faults}, "day")).play()
    assert row["agreed_s"] is not None and row["agreed_s"] < 6.0 and row["members_wrong"] == 0
    assert row["cluster_bytes_s"] < 20_000


def test_a_cut_among_many_takes_nobody_for_silent_who_is_on_the_same_side() -> None:
    """Words of the other side are older than the cut; the last record before it came to few."""
    faults = [
        {"kind": "lossy", "at_s": 0.1, "loss": 0.2, "for_s": 60.0},
        {"kind": "part", "at_s": 8.0, "zone": 0, "for_s": 11.0},
    ]
    day = {"span_s": 26.0, "zones": 4, "cluster": {"on": True}, "nodes": {"count": 40}}
    row = World(checked({**day, "links": {"rate": 1.0, "life_s": 1.0}, "faults": faults}, "day")).play()
    assert row["agreed_s"] is not None and row["agreed_s"] < 9.0 and row["members_wrong"] == 0


@pytest.mark.parametrize("sites", [[50, 50, 50, 50], [100, 60, 40], [30, 10]])
def test_watching_falls_on_all_of_a_site_alike(sites: list[int]) -> None:
    where = {f"n{n}-{site}": f"s{site}" for site, count in enumerate(sites) for n in range(count)}
    names = sorted(where)
    watched: Counter[str] = Counter()
    for name, watchers in watchers_of(names, where).items():
        assert len(set(watchers)) == WATCHERS and name not in watchers
        assert {where[other] for other in watchers} == set(where.values())
        watched.update(watchers)
    for site in set(where.values()):
        counts = [watched[name] for name in names if where[name] == site]
        assert max(counts) - min(counts) <= WATCHERS


def test_a_beat_costs_the_same_whatever_the_fleets_size() -> None:
    names = [f"node-{number:04}" for number in range(1000)]
    members = Members(names[0], dict.fromkeys(names, ""), BEAT, WALL, 0, random.Random(1))
    blank = bytes(64)
    for number, name in enumerate(names[1:]):
        record = Record(name, WALL, number, WALL + number, False, bytes(125))
        members.heard(record, Signed(body_of(record), blank), direct=False)
    own = Signed(body_of(members.own(WALL, 0, [], [], [])), blank)
    sent = [members.targets() for _ in range(333)]
    assert all(len(set(targets)) == FAN_OUT for targets in sent)
    assert {name for targets in sent for name in targets} == set(names[1:]), "each is reached within a round"
    records = members.passed_on(own, 1)[0]
    assert len(datagram_of(records)) <= MOST_BYTES and len(records) >= 5
    newest = record_of(records[1].body)
    assert newest is not None and newest.name == names[-1], "what was made last goes first"


# Datagrams.


def test_what_can_not_be_used_is_dropped_and_counted_by_cause() -> None:
    good = Side("b").said()
    body = body_of(Record("b", WALL, 1, WALL, False, b""))
    forged = datagram_of([Signed(body, Seal(SECRETS["c"]).sign(body))])
    stranger = body_of(Record("x", WALL, 1, WALL, False, b""))
    cases = [
        (b"", Unread.EMPTY),
        (bytes(MOST_BYTES + 1), Unread.LONG),
        (bytes([VERSION + 1]) + good[1:], Unread.VERSION),
        (bytes([VERSION]) + b"\xc1", Unread.FORM),
        (datagram_of([Signed(b"", bytes(64))]), Unread.FORM),
        (datagram_of([Signed(body, b"short")]), Unread.FORM),
        (datagram_of([]), Unread.FORM),
        (datagram_of([Signed(stranger, bytes(64))]), Unread.STRANGER),
        (forged, Unread.SIGNATURE),
        (Side("b", wall=WALL - 86_400_000_000).said(wall=WALL - 86_400_000_000), Unread.STALE),
        (Side("b").said(wall=WALL + 2 * APART_US), Unread.EARLY),
    ]
    side = Side("a")
    for data, why in cases:
        before = side.dropped(why)
        assert side.exchange.take(data, 0, WALL).changes == []
        assert side.dropped(why) == before + 1, why
    assert side.members.alone, "none of it changed anything"
    assert side.exchange.foreign == VERSION + 1, "for the log, which says it once"
    assert side.exchange.take(good, 0, WALL).changes != []


def test_yesterdays_datagrams_and_twice_the_same_are_no_news() -> None:
    side, other = Side("a"), Side("b")
    first, second = other.said(), other.said()
    side.exchange.take(second, 0, WALL)
    for data in (first, second):
        assert side.exchange.take(data, 0, WALL).changes == []
    assert side.counts["cluster: record heard"] == 1 and side.counts["cluster: record known"] == 2


def test_nobody_speaks_for_another() -> None:
    # Danger: a member with a key of its own says what it likes of itself, and must not of anybody else.
    liar, side = Seal(SECRETS["b"]), Side("a")
    beats([side, Side("c", seed=2)], 0, 4)
    before = side.members.members["c"].record
    body = body_of(Record("c", WALL + 9, 99, WALL, True, b""))
    own = body_of(Record("b", WALL, 1, WALL, False, b""))
    data = datagram_of([Signed(own, liar.sign(own)), Signed(body, liar.sign(body))])
    side.exchange.take(data, 0, WALL)
    assert side.members.members["c"].record == before and side.state("c") is State.PRESENT
    assert side.dropped(Unread.SIGNATURE) == 1 and side.state("b") is State.PRESENT


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.binary(max_size=MOST_BYTES + 2), st.integers(0, 400), st.integers(0, 255))
def test_no_bytes_at_all_end_a_reader(noise: bytes, place: int, change: int) -> None:
    good = bytearray(Side("b").said())
    good[place % len(good)] = change
    for data in (noise, bytes([VERSION]) + noise, bytes(good), bytes(good[: place % len(good)])):
        side = Side("a")
        side.exchange.take(data, 0, WALL)
        found = read(data)
        if isinstance(found, Datagram):
            for signed in found.records + found.notes:
                record_of(signed.body)
                note_of(signed.body)


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
        fleet_from(raw(**change), "cluster")
    assert told in str(error.value) and "\n" not in str(error.value)


def test_keys_are_made_checked_and_refused(tmp_path: Path) -> None:
    public = new_secret(tmp_path / "a.key")
    secret = secret_of(tmp_path / "a.key")
    assert (tmp_path / "a.key").stat().st_mode & 0o077 == 0, "nobody else reads it"
    made = seal_of(secret)
    assert made is not None and made.public.hex() == public
    with pytest.raises(InvalidInputError, match="can't be written"):
        new_secret(tmp_path / "a.key")
    fleet = fleet_from(raw(), "cluster")
    assert own_seal(fleet, "a", SECRETS["a"].hex()).public == KEYS["a"]
    for name, key, why in (
        ("x", SECRETS["a"].hex(), "not among"),
        ("a", secret, "not the one"),
        ("a", "q", "32"),
    ):
        with pytest.raises(InvalidInputError, match=why):
            own_seal(fleet, name, key)


def test_the_example_is_in_order_and_serve_wants_a_key(tmp_path: Path) -> None:
    example = Path(__file__).parent.parent / "deploy" / "cluster.example.toml"
    result = CliRunner().invoke(cli, ["check", "--cluster", str(example)])
    assert result.exit_code == 0 and "3 nodes" in result.stdout
    result = CliRunner().invoke(cli, ["cluster-key", "--out", str(tmp_path / "k")])
    assert result.exit_code == 0 and len(result.stdout.strip()) == 64


def test_a_node_without_a_cluster_loads_nothing_of_it() -> None:
    code = "import sys, larchlatch.__main__; print([m for m in sys.modules if 'cluster' in m or m == 'nacl'])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, env={**os.environ})
    assert done.stdout.strip() == "[]", done.stderr


# The rig: paths, and the judge of who could hear whom.


def test_paths_are_cut_each_way_and_each_draws_by_itself() -> None:
    paths = Paths(Chance(1))
    paths.parts.append(Part(frozenset({0, 1})))
    assert [paths.apart(*pair) for pair in ((0, 1), (0, 2), (2, 0), (2, 3))] == [False, True, True, False]
    paths.parts.append(Part(frozenset({1}), oneway=True))
    assert paths.apart(1, 0) and not paths.apart(0, 1), "it is not heard, but hears"
    paths.parts.clear()
    paths.manner = Manner(loss=0.2, double=0.1, reorder=0.1, delay_us=1000)
    fates = [paths.fate(0, 1) for _ in range(4000)]
    assert 0.17 < sum(not fate for fate in fates) / 4000 < 0.23
    assert 0.06 < sum(len(fate) == 2 for fate in fates) / 4000 < 0.10
    assert min(delay for fate in fates for delay in fate) == 1000
    other = Paths(Chance(1))
    other.manner = paths.manner
    for number in range(50):
        other.fate(1, 0)
        assert other.fate(0, 1) == fates[number], "another path's datagrams shift none of this one's"


def test_the_judge_tells_wrong_verdicts_and_how_long_agreement_took() -> None:
    judge, cut = Agreement(3, 0), Part(frozenset({2}))
    judge.is_so(0, [True] * 3, lambda one, other: False)
    for one in range(3):
        for other in range(3):
            if one != other:
                judge.said(300, one, other, True)
    assert judge.took_us == [300]
    judge.said(SETTLED_US + 1, 0, 1, False)
    assert judge.wrong == 1, "it could be heard all the time"
    judge.said(SETTLED_US + 2, 0, 1, True)
    judge.is_so(SETTLED_US + 10, [True] * 3, cut.stops)
    assert judge.row()["agreed_s"] is None
    for one, other in ((0, 2), (1, 2), (2, 0), (2, 1)):
        judge.said(SETTLED_US + 50, one, other, False)
    assert judge.took_us == [300, 40] and judge.wrong == 1, "a cut is no wrong verdict"
    chain = Part(frozenset({0}), oneway=True)
    judge.is_so(SETTLED_US + 60, [True] * 3, chain.stops)
    assert not judge.truth[1][0] and judge.truth[0][1], "not heard, but hears"


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
    day = checked(
        {
            "span_s": 45.0,
            "cluster": {"on": True},
            "nodes": {"count": 12, "back_s": 4.0},
            "links": {"rate": 20.0, "life_s": 5.0},
            "faults": faults,
        },
        "day",
    )
    rows = [World(day).play() for _ in range(2)]
    for row in rows:
        del row["cluster_cpu"]
    assert rows[0] == rows[1]
    assert rows[0]["agreed_s"] is not None and rows[0]["agreed_s"] < 3.0
    assert rows[0]["members_wrong"] == 0 and not any(rows[0]["broken"].values())


@pytest.mark.parametrize(
    ("fault", "told"),
    [
        ({"kind": "part", "nodes": 1, "zone": 0}, "nodes and zone"),
        ({"kind": "part"}, "nodes and zone"),
        ({"kind": "part", "zone": 9}, "zone"),
        ({"kind": "stall", "nodes": 9}, "nodes"),
    ],
)
def test_a_faulty_fault_between_nodes_is_refused(fault: dict[str, Any], told: str) -> None:
    with pytest.raises(InvalidInputError, match=told):
        checked({"cluster": {"on": True}, "faults": [{"at_s": 1.0, **fault}]}, "day")
    with pytest.raises(InvalidInputError, match=r"cluster\.on"):
        checked({"faults": [{"kind": "lossy", "at_s": 1.0}]}, "day")


def test_a_stop_shorter_than_a_beat_leaves_an_emulated_node_with_one_beat() -> None:
    rows = []
    for faults in (
        [],
        [{"kind": "stall", "at_s": 0.05 + place, "nodes": 4, "for_s": 0.02} for place in range(9)],
    ):
        day = {"span_s": 12.0, "cluster": {"on": True}, "nodes": {"count": 4}, "faults": faults}
        rows.append(World(checked(day, "day")).play()["cluster_bytes_s"])
    assert abs(rows[0] - rows[1]) < 0.02 * rows[0]
