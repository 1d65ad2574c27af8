"""Tests of load test runs: comparison with the emulator, killed nodes, and void runs."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner

from larchlatch.__main__ import cli
from larchlatch.emulator.simulation import Simulation
from larchlatch.loadtest import report
from larchlatch.loadtest.client_sessions import SessionResult
from larchlatch.loadtest.limits import check_playable
from larchlatch.loadtest.node_process import NodeProcess
from larchlatch.loadtest.outside_observer import Rule
from larchlatch.loadtest.run import LoadTestRun
from larchlatch.scenario.scenario_file import parse_scenario
from tests.loadtest.scenarios import SHORT


def test_missing_answer_of_a_killed_node_is_no_violation(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against false violations: a killed process still accepts connections for some milliseconds.

    A node that keeps running must be reported for a missing answer.
    """

    async def reset_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def play_session(*, killed: bool) -> LoadTestRun:
        run = LoadTestRun(parse_scenario({**SHORT, "faults": []}, "day"))
        server = await asyncio.start_server(reset_connection, "127.0.0.1", 0)
        node = NodeProcess(0, "127.0.0.1", server.sockets[0].getsockname()[1])
        node._process = await asyncio.create_subprocess_exec("sleep", "60")
        run.fleet.nodes = [node]
        connect = asyncio.open_connection

        async def patched_connect(*address: Any) -> Any:
            connection = await connect(*address)
            if killed:
                run.fleet.kill(node)
                await asyncio.sleep(0.05)
            return connection

        async with run.tasks:
            with monkeypatch.context() as patch:
                patch.setattr(asyncio, "open_connection", patched_connect)
                result = await run.sessions.run(run.clients[0], node, due_s=0.0, end_s=6.0)
        assert result == SessionResult(established=False, retry_after_us=0)
        await run.fleet.stop()
        server.close()
        return run

    assert asyncio.run(play_session(killed=True)).observer.violations[Rule.ONE_ANSWER] == 0
    observer = asyncio.run(play_session(killed=False)).observer
    assert observer.violations[Rule.ONE_ANSWER] == 1
    assert "node 0" in observer.descriptions[0], "the description must name the node"


def test_short_scenario_on_sockets_keeps_the_rules_and_serves_as_the_emulator_says() -> None:
    scenario = check_playable(parse_scenario(SHORT, "day"))
    run = LoadTestRun(scenario)
    row = asyncio.run(run.play())
    assert not any(row["broken"].values())
    assert row["clients"] == len(run.clients) > 50
    counts = run.figures.counts
    answered = counts["delivered"] + counts["shed"] + counts["given_up"] + counts["ended unanswered"]
    assert answered == counts["links"], "each session must have one answer or an interrupted node"
    assert counts["ended unanswered"] <= 10 and counts["lost with a node"] > 0 and row["dropped"] > 0
    assert counts["lost by the client"] > 0
    assert len(run.fleet.nodes) == 2 and not any(node.running for node in run.fleet.nodes)
    # The margin allows for sessions that a busy machine delays.
    assert abs(row["served"] - Simulation(scenario).run()["served"]) < 0.25


def test_run_is_void_if_clients_were_started_late(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    monkeypatch.setattr(report, "MAX_LATENESS_US", 0)
    (tmp_path / "day.toml").write_text(
        "span_s = 1.0\n[nodes]\ncount = 1\n[[hosts]]\ncount = 1\n[links]\nrate = 10.0\nlife_s = 1.0\n"
    )
    result = CliRunner().invoke(cli, ["load", str(tmp_path / "day.toml")])
    assert result.exit_code == 4 and "void" in result.stderr
    assert orjson.loads(result.stdout)["void"] is True
