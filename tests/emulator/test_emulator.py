"""The emulator: the day's file, the clock, the checker that bites, known results, and days that hurt."""

from __future__ import annotations

import os
import random
import subprocess
import sys
from math import factorial
from pathlib import Path
from statistics import fmean, stdev
from typing import Any

import orjson
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.__main__ import cli
from larchlatch.emulator.baselines import POLICIES, Plain
from larchlatch.emulator.clock import CHECK, TIMER, TOLD, WORLD, Clock
from larchlatch.emulator.nodes import Node
from larchlatch.emulator.stage import START_US
from larchlatch.emulator.sweep import interval, rows_of, runs_of, summed
from larchlatch.emulator.world import Make, World
from larchlatch.errors import InvalidInputError
from larchlatch.policy.balancer import Balancer
from larchlatch.policy.types import Answer, Endpoint, EndpointState, Hold, Nothing, Outcome, Session
from larchlatch.scenario.amounts import SECOND
from larchlatch.scenario.clients import client_arrivals
from larchlatch.scenario.node_settings import deployment_settings
from larchlatch.scenario.random_streams import RandomStreams
from larchlatch.scenario.scenario import SlowStart
from larchlatch.scenario.scenario_file import parse_scenario, read_scenario_file
from larchlatch.scenario.upstreams import SimulatedUpstream

DAYS = Path(__file__).parents[2] / "scenarios"
SMALL: dict[str, Any] = {
    "span_s": 12.0,
    "nodes": {"count": 3, "back_s": 1.0, "noticed_s": 0.5},
    "hosts": [{"count": 6, "size": 2.0, "late": 2}],
    "links": {"rate": 25.0, "life_s": 6.0, "effects": ["rerunnable", "ticketed", "exclusive"]},
}
TROUBLE = [
    {"kind": "slow", "at_s": 1.0, "hosts": 2, "factor": 30.0, "for_s": 3.0},
    {"kind": "crash", "at_s": 2.0, "hosts": 2},
    {"kind": "silent", "at_s": 3.0, "hosts": 1, "for_s": 3.0},
    {"kind": "join", "at_s": 3.5, "hosts": 2},
    {"kind": "drain", "at_s": 4.0, "hosts": 1, "for_s": 3.0},
    {"kind": "kill", "at_s": 5.0, "nodes": 2},
    {"kind": "cut", "at_s": 6.0, "zone": 1, "for_s": 2.0},
    {"kind": "crowd", "at_s": 8.0, "share": 0.7},
    {"kind": "deaf", "at_s": 3.0, "for_s": 3.0},
    {"kind": "store", "at_s": 9.0, "factor": 10.0, "for_s": 2.0},
]


def world(policy: str | Make = "larchlatch", **changes: Any) -> World:
    return World(parse_scenario({**SMALL, **changes}, "day"), policy)


# The day's file.


@pytest.mark.parametrize(
    ("change", "told"),
    [
        ("span_s = -1.0", "span_s"),
        ("nodes = 3", "nodes"),
        ("[nodes]\ncount = 0", "nodes.count"),
        ("[nodes]\ncuont = 2", "cuont"),
        ("[[hosts]]\nsize = 'big'", "hosts[0].size"),
        ("[links]\neffects = ['twice']", "links.effects[0]"),
        ("[links]\nrate = 0.0", "links.rate"),
        ("[listing]\nsoon_ms = 9.0\nlate_ms = 1.0", "listing.late_ms"),
        ("[[faults]]\nkind = 'flood'\nat_s = 1.0", "faults[0]"),
        ("[[faults]]\nkind = 'kill'\nat_s = 1.0\nnodes = 9", "faults[0].nodes"),
        ("[[faults]]\nkind = 'join'\nat_s = 1.0", "faults[0].hosts"),
        ("[[faults]]\nkind = 'cut'\nat_s = 1.0\nzone = 2", "faults[0].zone"),
        ("x = [", "no TOML"),
    ],
)
def test_a_faulty_day_gets_one_line_that_names_the_key(change: str, told: str, tmp_path: Path) -> None:
    path = tmp_path / "day.toml"
    path.write_text(change)
    for command in (["emulate", str(path)], ["sweep", str(path), "--jobs", "1"]):
        result = CliRunner().invoke(cli, command)
        assert result.exit_code == 2
        assert told in result.stderr and result.stderr.count("\n") == 1, result.stderr


def test_the_days_that_come_along_are_in_order() -> None:
    names = {path.stem: read_scenario_file(path).name for path in DAYS.glob("*.toml")}
    assert len(names) >= 4 and all(stem == name for stem, name in names.items())


# The clock and chance.


def test_ties_at_one_microsecond_come_in_the_order_that_is_stated() -> None:
    clock = Clock()
    seen: list[Any] = []
    for rank in (CHECK, TIMER, TOLD, WORLD):
        for number in (1, 2):
            clock.at(5, rank, lambda *what: seen.append(what), rank, number)
    clock.at(5, TIMER, lambda: clock.at(4, WORLD, lambda: seen.append("late")))
    clock.run(5)
    ranks = [(rank, number) for rank in (WORLD, TOLD, TIMER) for number in (1, 2)]
    assert seen == [*ranks, "late", (CHECK, 1), (CHECK, 2)], "the past is now, and the world comes first"
    assert clock.now == 5 and clock.done == 10


def test_a_fault_more_shifts_no_arrival() -> None:
    came = []
    for faults in ([], TROUBLE):
        day = parse_scenario({**SMALL, "faults": faults}, "day")
        clients = client_arrivals(day, RandomStreams(day.seed))
        came.append([(c.due, c.life_us, c.group, c.load) for c in clients])
    assert came[0] == came[1] and len(came[0]) > 200
    streams = RandomStreams(7)
    draws = [streams.draw("x", 1), streams.draw("x", 2), streams.draw("y", 1), RandomStreams(8).draw("x", 1)]
    assert len(set(draws)) == 4


def test_equal_seeds_give_equal_traces_byte_for_byte_in_any_process(tmp_path: Path) -> None:
    text = (DAYS / "crowd.toml").read_text().replace("span_s = 20.0", "span_s = 15.0")
    (tmp_path / "day.toml").write_text(text)
    traces = []
    for number, hashing in enumerate(("0", "1", "random")):
        out = tmp_path / f"trace{number}"
        command = [sys.executable, "-m", "larchlatch", "emulate", str(tmp_path / "day.toml")]
        command += ["--trace", str(out)]
        done = subprocess.run(command, env={**os.environ, "PYTHONHASHSEED": hashing}, capture_output=True)
        assert done.returncode == 0
        traces.append((out.read_bytes(), done.stdout))
    assert traces[0] == traces[1] == traces[2] and len(traces[0][0]) > 10_000


# The checker, with a policy that breaks each rule.


class Sleeper(Plain):
    """Answers nobody."""

    def place(self, now: int, session: Session) -> Answer:
        return Hold(now + 10 * SECOND)


class Doubler(Plain):
    """Sends an exclusive link once more, whatever became of it."""

    def choose(self, session: Session, upstreams: list[int]) -> int:
        return self.chance.choice(upstreams)

    def outcome(self, now: int, session: Session, outcome: Outcome, *, answered: bool = False) -> Answer:
        told = Outcome.REJECTED if outcome is Outcome.RESET else outcome
        return super().outcome(now, session, told, answered=answered)


class Deaf(Plain):
    """Has never heard of a drain."""

    def choose(self, session: Session, upstreams: list[int]) -> int:
        return self.chance.choice(upstreams)

    def update_endpoints(self, now: int, endpoints: Any, *, whole: bool, asked: bool) -> None:
        ready = [endpoint._replace(state=EndpointState.READY) for endpoint in endpoints]
        super().update_endpoints(now, ready, whole=whole, asked=asked)


class Pusher(Plain):
    """Sends all to the host that came last."""

    def choose(self, session: Session, upstreams: list[int]) -> int:
        return max(upstreams, key=lambda upstream: (self.ready[upstream].started_at, upstream))


@pytest.mark.parametrize(
    ("policy", "rule"), [(Sleeper, "lost"), (Doubler, "twice"), (Deaf, "drain"), (Pusher, "cold")]
)
def test_the_checker_sees_a_policy_that_breaks_a_rule(policy: Make, rule: str) -> None:
    sessions = {**SMALL["links"], "load_ms": 100.0, "setup_ms": 100.0, "effects": ["exclusive"]}
    told = world(policy, faults=TROUBLE, links=sessions)
    told.play()
    assert told.checker.broken[rule] > 0
    assert any(f": {rule}: " in word for word in told.checker.words)


def test_the_checker_sees_two_tries_out_and_an_answer_after_the_last(monkeypatch: pytest.MonkeyPatch) -> None:
    def twice(node: Node, now: int, session: Session, upstream: int, until: int) -> None:
        sent(node, now, session, upstream, until)
        sent(node, now, session, upstream, until)

    sent = Node.send
    monkeypatch.setattr(Node, "send", twice)
    told = world("random", span_s=3.0)
    told.play()
    assert told.checker.broken["twice"] > 0
    monkeypatch.undo()
    told = world("random", span_s=3.0)
    told.checker.came(10**9, START_US + SECOND, told.stage.traffic_classes[0].idempotency, 0)
    told.checker.answered(START_US, 10**9, shed=True)
    assert told.checker.kept
    told.checker.answered(START_US, 10**9, shed=False)
    told.checker.came(10**9 + 1, START_US, told.stage.traffic_classes[0].idempotency, 0)
    told.checker.answered(START_US + SECOND, 10**9 + 1, shed=False)
    assert told.checker.broken["lost"] == 2


# Days that hurt.


@pytest.mark.parametrize("policy", POLICIES)
@pytest.mark.parametrize("passes", [False, True])
def test_all_rules_hold_on_a_day_with_every_trouble(policy: str, passes: bool) -> None:
    for seed in (1, 2):
        told = world(policy, faults=TROUBLE, passes=passes, seed=seed)
        row = told.play()
        rules = dict(row["broken"])
        if policy in ("random", "least"):
            rules.pop("cold")  # they know of no budget
        assert not any(rules.values()), told.checker.words
        assert row["links"] > row["clients"] and row["dropped"] + row["moved"] > 0
        assert bool(row["mid_flow_right"] + row["mid_flow_wrong"]) == passes
        assert 0.2 < row["served"] <= 1.0, "nobody is served for longer than was wanted"


FAULT = st.sampled_from(TROUBLE)


@settings(derandomize=True, max_examples=25, deadline=None)
@given(
    st.lists(st.tuples(FAULT, st.floats(0.5, 7.0)), max_size=6),
    st.integers(0, 10**6),
    st.booleans(),
    st.integers(1, 5),
)
def test_rules_hold_on_days_drawn_at_random(
    drawn: list[tuple[dict[str, Any], float]], seed: int, passes: bool, nodes: int
) -> None:
    faults = [{**fault, "at_s": at} for fault, at in drawn]
    for fault in faults:
        if fault["kind"] == "kill":
            fault["nodes"] = min(nodes, fault["nodes"])
    told = world(
        faults=faults, seed=seed, passes=passes, span_s=8.0, nodes={"count": nodes, "noticed_s": 0.5}
    )
    told.play()
    assert told.checker.kept, told.checker.words


def test_a_day_without_hosts_gives_everybody_an_answer_in_time() -> None:
    told = world(hosts=[{"count": 2, "late": 2}])
    row = told.play()
    assert told.checker.kept and row["delivered"] == 0 and row["shed"] > 200


def test_a_day_that_asks_for_too_much_from_end_to_end_keeps_the_rules() -> None:
    sessions = {"rate": 60.0, "setup_ms": 400.0, "life_s": 5.0, "load_ms": 50.0}
    told = world(hosts=[{"count": 3, "size": 1.0}], links=sessions)
    row = told.play()
    assert told.checker.kept, told.checker.words
    assert 0 < row["delivered"] < row["links"] / 2 and row["shed"] + row["given_up"] > 100


def test_a_node_killed_with_tries_out_leaves_no_link_at_a_host() -> None:
    sessions = {**SMALL["links"], "setup_ms": 300.0}
    kills = [{"kind": "kill", "at_s": at, "nodes": 3} for at in (2.0, 4.5, 7.0)]
    told = world(links=sessions, faults=kills)
    out: list[Any] = []
    real = told.kill

    def kill(node: Node) -> None:
        out.extend(
            record
            for record in node.records.values()
            if record.attempt is not None and not record.session.established
        )
        real(node)

    told.kill = kill  # type: ignore[method-assign]
    told.play()
    assert len(out) > 3 and told.checker.kept
    told.clock.run(told.clock.now + 3 * SECOND)
    held = {number for upstream in told.upstreams for number in upstream.sessions}
    assert held == set(told.stage.where), "a host holds what no node knows of"


def test_a_host_that_dies_between_a_line_and_its_answer_ends_the_try_as_one_that_may_have_run() -> None:
    seen = []

    class Watcher(Balancer):
        def outcome(self, now: int, session: Session, outcome: Outcome, *, answered: bool = False) -> Answer:
            if not session.established and outcome is Outcome.RESET:
                seen.append(session)
            return super().outcome(now, session, outcome, answered=answered)

    sessions = {**SMALL["links"], "setup_ms": 300.0, "effects": ["exclusive"]}
    crashes = [{"kind": "crash", "at_s": at, "hosts": 3} for at in (2.0, 5.0, 8.0)]
    told = world(Watcher, links=sessions, faults=crashes)
    row = told.play()
    assert len(seen) > 3 and told.checker.kept
    assert row["given_up"] >= len(seen), "exclusive: no second try, and no promise"


# Known results.


def queue(cores: int, use: float, seed: int, number: int = 20_000) -> float:
    """The mean wait before service at a host with exponential arrivals and work, in mean services."""
    chance = random.Random(seed)
    upstream = SimulatedUpstream(0, 0, 0, float(cores), SlowStart())
    work, now, waits = 10_000.0, 0.0, []
    for _ in range(number):
        now += chance.expovariate(cores * use / work)
        took = chance.expovariate(1 / work)
        end = upstream.schedule_setup(round(now), took)
        if end is not None:
            waits.append(end - round(now) - round(took))
    return fmean(waits) / work


def erlang(cores: int, use: float) -> float:
    """The same for M/M/c, by Erlang's formula."""
    asked = cores * use
    full = asked**cores / factorial(cores) / (1 - use)
    waits = full / (sum(asked**k / factorial(k) for k in range(cores)) + full)
    return waits / (cores * (1 - use))


@pytest.mark.parametrize(("cores", "use"), [(1, 0.5), (1, 0.8), (4, 0.8), (8, 0.6)])
def test_a_hosts_queue_waits_as_long_as_the_closed_form_says(cores: int, use: float) -> None:
    waits = [queue(cores, use, seed) for seed in range(10)]
    # 99.9% for nine degrees of freedom: the verdict is the same every time, for the seeds are.
    assert abs(fmean(waits) - erlang(cores, use)) < 4.78 * stdev(waits) / 10**0.5


def test_two_choices_hold_the_fullest_far_below_one() -> None:
    """Balls into bins: about ln n / ln ln n against ln ln n / ln 2."""
    most: dict[int, list[int]] = {1: [], 2: []}
    for seed in range(5):
        for choices in most:
            chance, bins = random.Random(seed), [0] * 2000
            for _ in range(2000):
                place = min(chance.choices(range(2000), k=choices), key=bins.__getitem__)
                bins[place] += 1
            most[choices].append(max(bins))
    assert fmean(most[1]) > 5 and fmean(most[2]) <= 4


@pytest.mark.parametrize("name", ["{}", "h{}", "h-{}", "host{:04}", "rack 7, number {:06}", "{0:x}.{0}"])
def test_a_rings_arcs_grow_even_with_the_tokens(name: str) -> None:
    """The share of a host varies as one over the root of its tokens, however hosts are named."""
    spread = {}
    for size in (1.0, 4.0):
        balancer = Balancer(deployment_settings(parse_scenario({}, "day"), 0), random.Random(1))
        upstreams = [Endpoint(n, name.format(n), 0, 0, EndpointState.READY, size, 0) for n in range(40)]
        balancer.update_endpoints(0, upstreams, whole=True, asked=True)
        arcs = dict.fromkeys(range(40), 0)
        before = balancer.ring.hash_ring.points[-1] - 2**64
        for spot in balancer.ring.hash_ring.points:
            arcs[spot & 0xFFFFFF] += spot - before
            before = spot
        shares = [arc / 2**64 * 40 for arc in arcs.values()]
        assert abs(fmean(shares) - 1) < 1e-6
        spread[size] = stdev(shares)
    assert 0.10 < spread[1.0] < 0.28 and 1.4 < spread[1.0] / spread[4.0] < 2.9


# Sweeps.


def test_a_sweep_gives_the_same_rows_on_one_core_and_on_many(tmp_path: Path) -> None:
    path = tmp_path / "day.toml"
    path.write_text("span_s = 3.0\n[links]\nrate = 20.0\n")
    runs = runs_of(path, [("nodes.count", [1, 2])], 2, ["larchlatch", "random"])
    assert len(runs) == 8
    rows = list(rows_of(runs, 1))
    assert rows == list(rows_of(runs, 3))
    assert {(row["nodes.count"], row["policy"], row["seed"]) for row in rows} == {
        (count, policy, seed) for count in (1, 2) for policy in ("larchlatch", "random") for seed in (1, 2)
    }
    assert set(summed(rows, ["nodes.count"], "served")) == {(1,), (2,)}
    with pytest.raises(InvalidInputError, match="no figure of that name"):
        summed(rows, [], "happiness")


def test_an_interval_is_students() -> None:
    at = interval([1.0, 2.0, 3.0])
    assert at.median == 2.0 and abs(at.high - 2 - 4.30 / 3**0.5) < 1e-9 and abs(at.low + at.high - 4) < 1e-9
    assert interval([5.0]) == (5.0, 5.0, 5.0)


def test_a_sweep_is_printed_as_rows_and_drawn(tmp_path: Path) -> None:
    path = tmp_path / "day.toml"
    path.write_text("span_s = 2.0\n")
    command = ["sweep", str(path), "--vary", "nodes.count=1,2", "--seeds", "2", "--jobs", "1"]
    result = CliRunner().invoke(cli, command)
    assert result.exit_code == 0
    rows = [orjson.loads(line) for line in result.stdout.splitlines()]
    assert len(rows) == 4 and "nodes.count=2: served" in result.stderr
    (tmp_path / "rows").write_text(result.stdout)
    out = tmp_path / "out.png"
    plot = ["plot", str(tmp_path / "rows"), "--over", "nodes.count", "--out", str(out)]
    assert CliRunner().invoke(cli, plot).exit_code == 0
    assert out.read_bytes().startswith(b"\x89PNG")
    (tmp_path / "rows").write_text("{}\nnonsense\n")
    result = CliRunner().invoke(cli, plot)
    assert result.exit_code == 2 and "line 2" in result.stderr


def test_the_node_reads_nothing_of_the_tools() -> None:
    probe = (
        "import sys, larchlatch.__main__, larchlatch.node.runtime, larchlatch.simulator_adapter.loop;"
        "print([m for m in sys.modules if m.split('.')[0] in ('msgspec', 'matplotlib', 'hdrh', 'numpy')"
        " or m.startswith(('larchlatch.emulator', 'larchlatch.loadtest'))])"
    )
    done = subprocess.run([sys.executable, "-c", probe], capture_output=True, text=True)
    assert done.stdout.strip() == "[]", done.stdout + done.stderr


def test_a_driver_carries_out_what_has_no_answer_to_nobody() -> None:
    told = world()
    node = told.nodes[0]
    before = told.clock.made
    node.carry_out(told.clock.now, Session(1, 0, 1, 1, 0), Nothing())
    assert told.clock.made == before and not node.held
