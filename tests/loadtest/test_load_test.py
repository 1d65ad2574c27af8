"""The load tool: what it refuses, and one short day on sockets beside the emulator's."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner
from structlog.testing import capture_logs

from larchlatch.__main__ import cli
from larchlatch.cluster.cluster_file import read_cluster_file
from larchlatch.cluster.election.candidate_side import RoleChange, RoleChangeReason, RoleEvent
from larchlatch.cluster.election.electorate import QUOTA_ALLOCATOR
from larchlatch.cluster.exchange.results import ExecutedOrder
from larchlatch.cluster.health.observations import EjectionAdvice, ReportedFailure
from larchlatch.cluster.keys import create_secret, own_signer, read_secret
from larchlatch.cluster.local_node import LocalNode
from larchlatch.cluster.membership.member import MemberChange, MemberState
from larchlatch.cluster.service import ClusterService
from larchlatch.config.node import parse_node_configuration
from larchlatch.emulator.simulation import Simulation
from larchlatch.errors import InvalidInputError
from larchlatch.invariants.observations import UpstreamLost
from larchlatch.loadtest import play
from larchlatch.loadtest.bounds import playable
from larchlatch.loadtest.company import Company
from larchlatch.loadtest.play import LoadTest, Place
from larchlatch.loadtest.sites import Watch
from larchlatch.loadtest.ways import Ways
from larchlatch.node.messages import EjectionAdvised, SlowStartTokens
from larchlatch.node.metrics import Counters
from larchlatch.policy.types import Idempotency
from larchlatch.scenario.scenario_file import parse_scenario

SHORT: dict[str, Any] = {
    "span_s": 6.0,
    "nodes": {"count": 2, "back_s": 1.0, "noticed_s": 0.3},
    "hosts": [{"count": 3, "size": 2.0}],
    "links": {"rate": 15.0, "life_s": 3.0, "beat_s": 0.5, "effects": ["rerunnable", "exclusive"]},
    "faults": [
        {"kind": "crash", "at_s": 1.0, "hosts": 1, "for_s": 1.0},
        {"kind": "kill", "at_s": 2.5, "nodes": 1},
        {"kind": "drain", "at_s": 3.5, "hosts": 1, "for_s": 1.5},
        {"kind": "crowd", "at_s": 4.0, "share": 0.5},
    ],
}


def test_a_link_at_a_node_that_is_being_killed_is_owed_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its process takes connections for some milliseconds more; a node that runs owes each link an answer."""

    async def ends(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def body(killed: bool) -> LoadTest:
        load_test = LoadTest(parse_scenario({**SHORT, "faults": []}, "day"))
        server = await asyncio.start_server(ends, "127.0.0.1", 0)
        place = Place(0, "127.0.0.1", server.sockets[0].getsockname()[1])
        place.process = await asyncio.create_subprocess_exec("sleep", "60")
        load_test.places = [place]
        connect = asyncio.open_connection

        async def connected(*at: Any) -> Any:
            made = await connect(*at)
            if killed:
                load_test.kill(place)
                await asyncio.sleep(0.05)
            return made

        with monkeypatch.context() as patch:
            patch.setattr(asyncio, "open_connection", connected)
            how = await load_test.session(load_test.clients[0], 0.0)
        assert how == ("refused", 0)
        for task in load_test.tasks:
            task.cancel()
        await load_test.end(place)
        server.close()
        return load_test

    assert asyncio.run(body(killed=True)).watch.broken["lost"] == 0
    watch = asyncio.run(body(killed=False)).watch
    assert watch.broken["lost"] == 1 and "node 0" in watch.words[0], "and the judge says what was lost"


def test_a_way_that_is_cut_takes_no_connection_and_says_nothing_until_it_heals() -> None:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            writer.write(line)

    async def reached(port: int) -> str:
        """What becomes of a new connection within half a second."""
        try:
            async with asyncio.timeout(0.5):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
        except TimeoutError:
            return "nothing"
        except OSError:
            return "refused"
        writer.close()
        return "had"

    async def body() -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        ways = Ways()
        first = {"address": "127.0.0.1", "zones": 2, "ports": [port, port], "host_zones": [0, 1]}
        [[near, far], [other, own]] = await ways.begin(first)
        reader, writer = await asyncio.open_connection("127.0.0.1", far)
        writer.write(b"one\r\n")
        assert await reader.readline() == b"one\r\n"
        await ways.order({"sever": 0})
        assert [await reached(at) for at in (near, far, other, own)] == ["had", "nothing", "nothing", "had"]
        writer.write(b"two\r\n")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await reader.readline()
        await ways.order({"shut": 1})
        assert await reached(own) == "refused"
        await ways.order({"open": 1})
        assert [await reached(at) for at in (far, own)] == ["nothing", "had"], "it came back behind the cut"
        await ways.order({"mend": 0})
        assert await reader.readline() == b"two\r\n", "what was under way goes on"
        assert await reached(far) == "had"
        for row in ways.ways:
            for way in row:
                way.shut()
        writer.close()
        server.close()

    asyncio.run(body())


@pytest.mark.parametrize(
    "address", ["10.0.0.1", "192.168.1.1", "0.0.0.0", "8.8.8.8", "localhost", "::1", "x"]
)
def test_no_address_but_loopback_is_played_on(address: str, tmp_path: Path) -> None:
    (tmp_path / "day.toml").write_text("")
    result = CliRunner().invoke(cli, ["load", str(tmp_path / "day.toml"), "--address", address])
    assert result.exit_code == 2 and "address" in result.stderr and address in result.stderr


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"passes": True}, "passes"),
        ({"nodes": {"count": 50}}, "nodes.count"),
        ({"links": {"rate": 9000.0}}, "links.rate"),
        ({"span_s": 5000.0}, "span_s"),
        ({"links": {"rate": 400.0, "life_s": 100.0}}, "links.life_s"),
    ],
)
def test_a_day_that_sockets_can_not_carry_is_refused_with_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(InvalidInputError) as told:
        playable(parse_scenario(change, "day"))
    assert key in str(told.value)


def test_hosts_see_two_tries_at_once_and_an_exclusive_link_run_twice() -> None:
    watch = Watch()
    watch.tried("a", Idempotency.IDEMPOTENT)
    watch.tried("a", Idempotency.IDEMPOTENT)  # the first is still out
    assert watch.broken["twice"] == 1
    for idempotency, never_ran, breaks in (
        (Idempotency.NON_IDEMPOTENT, True, 0),
        (Idempotency.NON_IDEMPOTENT, False, 1),
        (Idempotency.IDEMPOTENT, False, 0),
    ):
        watch = Watch()
        watch.tried("a", idempotency)
        watch.ended("a", never_ran)
        watch.tried("a", idempotency)
        assert watch.broken["twice"] == breaks


def test_a_day_is_told_to_nodes_as_a_configuration_that_they_read() -> None:
    day = parse_scenario(SHORT, "day")
    raw = {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "1",
        "settings": play.settings_for(day, 1),
    }
    plan = parse_node_configuration(raw)
    simulation = Simulation(day)
    assert plan.settings == simulation.context.nodes[1].policy.settings  # type: ignore[attr-defined]
    assert plan.max_deadline_us == 3_000_000


def test_a_short_day_on_sockets_keeps_the_rules_and_serves_as_the_emulator_says() -> None:
    day = playable(parse_scenario(SHORT, "day"))
    load_test = play.LoadTest(day)
    row = asyncio.run(load_test.play())
    assert not any(row["broken"].values())
    assert row["clients"] == len(load_test.clients) > 50
    counts = load_test.tally.counts
    answered = counts["delivered"] + counts["shed"] + counts["given_up"] + counts["ended unanswered"]
    assert answered == counts["links"], "each link has one answer, or a node that died"
    assert counts["ended unanswered"] <= 10 and counts["lost with a node"] > 0 and row["dropped"] > 0
    assert counts["lost by the client"] > 0
    assert all(place.process is None or place.process.returncode is not None for place in load_test.places)
    # BallotKind a machine that is busy makes late may cost a client its life, but not most of them.
    assert abs(row["served"] - Simulation(day).run()["served"]) < 0.25


def test_a_tool_that_was_late_itself_says_that_its_figures_are_void(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(play, "LATE_US", 0)
    (tmp_path / "day.toml").write_text(
        "span_s = 1.0\n[nodes]\ncount = 1\n[[hosts]]\ncount = 1\n[links]\nrate = 10.0\nlife_s = 1.0\n"
    )
    result = CliRunner().invoke(cli, ["load", str(tmp_path / "day.toml")])
    assert result.exit_code == 4 and "void" in result.stderr
    assert orjson.loads(result.stdout)["void"] is True


class Heard:
    """A balancer that takes all that its cluster tells it."""

    def advise_ejection(self, advice: EjectionAdvised) -> None:
        pass

    def receive_tokens(self, tokens: SlowStartTokens) -> bool:
        return True


def test_what_the_cluster_service_logs_is_what_the_load_tool_reads(tmp_path: Path) -> None:
    """The tool judges nodes by their logs: an event or a field that it does not know is judged sound."""
    key = create_secret(tmp_path / "n0.key")
    node = f'[[nodes]]\nname = "n0"\naddress = "127.0.0.1:7400"\nkey = "{key}"\n'
    (tmp_path / "cluster.toml").write_text(node)
    configuration = read_cluster_file(tmp_path / "cluster.toml")
    signer = own_signer(configuration, "n0", read_secret(tmp_path / "n0.key"))
    path, chance = tmp_path / "cluster.toml", random.Random(1)
    local_node = LocalNode("n0", (), path, configuration, signer)
    service = ClusterService(local_node, Counters(), chance, Heard())
    service.update_endpoints(["h-3"], slow_start_us=0, overload_window_us=0)
    [upstream] = service.upstreams
    with service._socket, capture_logs() as lines:
        service._events.member_changes([MemberChange("n1", MemberState.PRESENT)])
        service._notifier.send_advice(EjectionAdvice([], [ReportedFailure(upstream, 2)], [upstream]))
        service.state.election._candidate_side._events.append(
            RoleEvent(QUOTA_ALLOCATOR, RoleChange.HELD, 7, RoleChangeReason.VACANT)
        )
        service.log_orders([ExecutedOrder(QUOTA_ALLOCATOR, 7, "n1")])
        service.state.election._candidate_side._events.append(
            RoleEvent(QUOTA_ALLOCATOR, RoleChange.ENDED, 7, RoleChangeReason.NOT_RENEWED)
        )
        service.log_orders([])

    cluster = {"on": True, "links_per_s": 9.0, "allot": True, "electors": 3}
    day = parse_scenario({**SHORT, "faults": [], "nodes": {"count": 3}, "cluster": cluster}, "day")
    company = Company(day, "127.0.0.1", tmp_path, [("127.0.0.1", n) for n in range(3)], lambda *_: True)
    company.checkers.observe(UpstreamLost(0, 3))
    for number in range(3):
        company.runs(number, True)
    log = tmp_path / "n0.log"
    for line in lines:
        if line["event"] == "role_ended":
            assert company.checkers.leaders[QUOTA_ALLOCATOR].holders == [0], "it was said to be held"
        with log.open("ab") as out:
            out.write(orjson.dumps(line) + b"\n")
        company.read()
    assert company.checkers.membership.views[0][1]
    avoidance = company.checkers.avoidance
    assert (0, 3) in avoidance.detected_at and avoidance.ejections == 1
    assert (
        company.checkers.leaders[QUOTA_ALLOCATOR].orders == 1
        and company.checkers.leaders[QUOTA_ALLOCATOR].holders == []
    )
    assert len(lines) == 6, "each of them was read"
