"""Tests of the simulated clock and of the reproducibility of simulations."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

from larchlatch.emulator.clock import Priority, SimulationClock
from tests.support.simulations import SCENARIOS


def test_events_of_one_microsecond_run_by_priority_then_in_order_of_scheduling() -> None:
    """An order of simultaneous events that depended on anything else would make results irreproducible."""
    clock = SimulationClock()
    executed: list[Any] = []
    for priority in reversed(Priority):
        for number in (1, 2):
            clock.schedule(5, priority, lambda *event: executed.append(event), priority, number)
    environment, check = Priority.ENVIRONMENT, Priority.CHECK
    clock.schedule(5, Priority.TIMER, lambda: clock.schedule(4, environment, lambda: executed.append("late")))
    clock.run_until(5)
    before = [
        (priority, number)
        for priority in (Priority.ENVIRONMENT, Priority.NOTIFICATION, Priority.TIMER)
        for number in (1, 2)
    ]
    assert executed == [*before, "late", (check, 1), (check, 2)], (
        "an event scheduled for a past time must run at the present time, before events of lower priority"
    )
    assert clock.now == 5 and clock.executed_count == 10


def test_equal_seeds_give_equal_traces_byte_for_byte_in_any_process(tmp_path: Path) -> None:
    """Iteration over a set, whose order depends on the hash seed of the process, would make traces differ."""
    text = (SCENARIOS / "crowd.toml").read_text().replace("span_s = 20.0", "span_s = 15.0")
    (tmp_path / "scenario.toml").write_text(text)
    traces = []
    for number, hash_seed in enumerate(("0", "1", "random")):
        out = tmp_path / f"trace{number}"
        command = [sys.executable, "-m", "larchlatch", "emulate", str(tmp_path / "scenario.toml")]
        command += ["--trace", str(out)]
        completed = subprocess.run(
            command, env={**os.environ, "PYTHONHASHSEED": hash_seed}, capture_output=True
        )
        assert completed.returncode == 0
        traces.append((out.read_bytes(), completed.stdout))
    assert traces[0] == traces[1] == traces[2] and len(traces[0][0]) > 10_000
