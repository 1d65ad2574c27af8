"""Tests that an interrupted or failed load test leaves no process and no temporary folder behind."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
from click.testing import CliRunner

from larchlatch.__main__ import cli
from larchlatch.loadtest import node_fleet
from larchlatch.loadtest.node_process import NodeCommand

TIMEOUT_S = 30.0
PROXY_MODULES = ("datagram_fault_proxy", "tcp_fault_proxy")

# Starts both proxies, pauses a node and kills another.
SCENARIO = """
span_s = 60.0
[cluster]
on = true
links_per_s = 10.0
[nodes]
count = 3
back_s = 50.0
[[hosts]]
count = 2
[[faults]]
kind = "stall"
at_s = 0.1
nodes = 1
for_s = 50.0
[[faults]]
kind = "kill"
at_s = 0.5
nodes = 1
[[faults]]
kind = "cut"
at_s = 1.0
zone = 1
for_s = 50.0
[[faults]]
kind = "lossy"
at_s = 3.0
loss = 0.5
"""


class RunningLoadTest:
    """The command `load` and the processes that it starts, which are found by their TMPDIR."""

    def __init__(self, folder: Path) -> None:
        self.temporary = folder / "temporary"
        self.temporary.mkdir()
        scenario = folder / "scenario.toml"
        scenario.write_text(SCENARIO)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "larchlatch", "load", str(scenario)],
            env={**os.environ, "TMPDIR": str(self.temporary)},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            start_new_session=True,
        )

    def child_processes(self) -> dict[int, str]:
        """Return the command lines of the processes that it started and that still run, by process ID."""
        mark = f"TMPDIR={self.temporary}".encode()
        found = {}
        for entry in Path("/proc").iterdir():
            try:
                if not entry.name.isdigit() or mark not in (entry / "environ").read_bytes():
                    continue
                found[int(entry.name)] = (entry / "cmdline").read_bytes().replace(b"\0", b" ").decode()
            except OSError:
                continue  # the process has ended meanwhile
        found.pop(self.process.pid, None)
        return found

    def nodes(self) -> list[int]:
        return [pid for pid, command in self.child_processes().items() if " serve " in command]

    def proxies(self) -> list[int]:
        return [
            pid for pid, line in self.child_processes().items() if any(name in line for name in PROXY_MODULES)
        ]

    def any_node_is_paused(self) -> bool:
        return any(self.state_of(pid) == "T" for pid in self.nodes())

    @staticmethod
    def state_of(pid: int) -> str:
        try:
            return (Path("/proc") / str(pid) / "stat").read_text().rpartition(")")[2].split()[0]
        except OSError:
            return ""

    def wait_for(self, condition: Callable[[], bool]) -> None:
        ends_at = time.monotonic() + TIMEOUT_S
        while not condition():
            assert self.process.poll() is None, self.process.communicate()
            assert time.monotonic() < ends_at, self.child_processes()
            time.sleep(0.01)

    def wait_for_end(self) -> tuple[int, str]:
        """Wait until the command ends; return its exit code and what it wrote to standard error."""
        _, errors = self.process.communicate(timeout=TIMEOUT_S)
        return self.process.returncode, errors.decode()


@contextmanager
def running_load_test(folder: Path) -> Iterator[RunningLoadTest]:
    load_test = RunningLoadTest(folder)
    try:
        yield load_test
    finally:
        for pid in (*load_test.child_processes(), load_test.process.pid):
            try:
                os.kill(pid, signal.SIGKILL)
            except ProcessLookupError:
                continue
        load_test.process.communicate()


def assert_nothing_is_left(load_test: RunningLoadTest) -> None:
    assert load_test.child_processes() == {}
    assert list(load_test.temporary.iterdir()) == []


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM], ids=lambda number: number.name)
def test_run_interrupted_midway_leaves_nothing_behind(number: signal.Signals, tmp_path: Path) -> None:
    with running_load_test(tmp_path) as load_test:
        load_test.wait_for(load_test.any_node_is_paused)
        load_test.wait_for(lambda: len(load_test.nodes()) == 2)  # one of three has been killed
        assert len(load_test.proxies()) == 2
        load_test.process.send_signal(number)
        code, errors = load_test.wait_for_end()
        assert code == (1 if number is signal.SIGINT else 128 + signal.SIGTERM), errors
        assert "Traceback" not in errors
        assert_nothing_is_left(load_test)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM], ids=lambda number: number.name)
def test_run_interrupted_while_nodes_start_leaves_nothing_behind(
    number: signal.Signals, tmp_path: Path
) -> None:
    with running_load_test(tmp_path) as load_test:
        load_test.wait_for(lambda: len(load_test.nodes()) > 0)
        load_test.process.send_signal(number)
        code, errors = load_test.wait_for_end()
        assert code == (1 if number is signal.SIGINT else 128 + signal.SIGTERM), errors
        assert_nothing_is_left(load_test)


def test_interrupt_from_the_terminal_reaches_all_processes_and_leaves_nothing_behind(tmp_path: Path) -> None:
    with running_load_test(tmp_path) as load_test:
        load_test.wait_for(load_test.any_node_is_paused)
        os.killpg(load_test.process.pid, signal.SIGINT)
        code, errors = load_test.wait_for_end()
        assert code == 1 and "Traceback" not in errors, errors
        assert_nothing_is_left(load_test)


def test_run_whose_proxy_has_ended_says_so_and_leaves_nothing_behind(tmp_path: Path) -> None:
    with running_load_test(tmp_path) as load_test:
        load_test.wait_for(load_test.any_node_is_paused)
        [proxy] = [pid for pid, line in load_test.child_processes().items() if "datagram_fault_proxy" in line]
        os.kill(proxy, signal.SIGKILL)
        code, errors = load_test.wait_for_end()
        assert code == 1 and "helper process" in errors and "Traceback" not in errors, errors
        assert_nothing_is_left(load_test)


def test_node_that_does_not_start_ends_the_run_with_the_last_line_of_its_log(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(node_fleet, "SINGLE_NODE", NodeCommand("larchlatch", ["--nonsense"], {}))
    scenario = tmp_path / "scenario.toml"
    scenario.write_text("[nodes]\ncount = 1\n[[hosts]]\ncount = 1\n")
    result = CliRunner().invoke(cli, ["load", str(scenario)])
    assert result.exit_code == 1
    assert "node 0 ended" in result.stderr and "--nonsense" in result.stderr, result.stderr
