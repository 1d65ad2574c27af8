"""Tests of sweeps: their results on one core and on several, their summaries, output and plots."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest
from click.testing import CliRunner

from larchlatch.__main__ import cli
from larchlatch.emulator.sweep import Variation, execute_all, interval, plan_runs, summarize
from larchlatch.errors import InvalidInputError


def test_a_sweep_gives_the_same_results_on_one_core_and_on_many(tmp_path: Path) -> None:
    """State that a run leaves in its process would change the results of later runs in that process."""
    path = tmp_path / "scenario.toml"
    path.write_text("span_s = 3.0\n[links]\nrate = 20.0\n")
    runs = plan_runs(path, [Variation("nodes.count", [1, 2])], seeds=2, policies=["larchlatch", "random"])
    assert len(runs) == 8
    rows = list(execute_all(runs, 1))
    assert rows == list(execute_all(runs, 3))
    assert {(row["nodes.count"], row["policy"], row["seed"]) for row in rows} == {
        (count, policy, seed) for count in (1, 2) for policy in ("larchlatch", "random") for seed in (1, 2)
    }
    assert set(summarize(rows, ["nodes.count"], "served")) == {(1,), (2,)}
    with pytest.raises(InvalidInputError, match="no figure named happiness"):
        summarize(rows, [], "happiness")


def test_an_interval_follows_students_t_distribution() -> None:
    summary = interval([1.0, 2.0, 3.0])
    assert (
        summary.median == 2.0
        and abs(summary.high - 2 - 4.30 / 3**0.5) < 1e-9
        and abs(summary.low + summary.high - 4) < 1e-9
    )
    assert interval([5.0]) == (5.0, 5.0, 5.0)


def test_a_sweep_prints_results_that_can_be_plotted(tmp_path: Path) -> None:
    path = tmp_path / "scenario.toml"
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
