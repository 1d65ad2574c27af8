"""Signals at many instants from the start of a process on, as the deploy file starts it."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tomllib
from itertools import count
from pathlib import Path
from typing import Any

import anyio
import orjson
import pytest
from anyio.abc import TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from larchlatch.node.signal_mask import SIGNALS
from tests.support.configuration import node_configuration
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node_process import NodeProcess
from tests.support.races import ScriptedUpstream
from tests.support.stand_ins import UpstreamStubs

ROOT = Path(__file__).resolve().parents[2]
INSTANTS_S = [number / 38 for number in range(20)]  # from 0 to 0.5 s after the shell's `exec`
STOPS = {signal.SIGTERM, signal.SIGINT}
AT_ONCE = 7  # processes that run at the same time
NUMBERS = count(1)


def run_command() -> str:
    """Return the command of the deploy file, with the interpreter of this test."""
    command: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return command.replace(".venv/bin/python", sys.executable)


async def wait_for_interpreter(pid: int) -> None:
    """Wait until the shell has become the program that it was to start."""
    await wait_until(lambda: b"larchlatch" in Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0"))


class SignalledNode:
    """A process that gets signals at an instant, and the discovery to which its new configuration leads."""

    def __init__(self, tasks: TaskGroup, path: Path, upstreams: UpstreamStubs) -> None:
        self.tasks = tasks
        self.file = path / f"node-{next(NUMBERS)}.json"
        self.raw: dict[str, Any] = node_configuration(upstreams.addresses, 1)
        for traffic_class in self.raw["settings"]["tariffs"]:
            traffic_class["cut_off_us"] = 100_000
        self.file.write_bytes(orjson.dumps(self.raw))

    async def check(self, signals: list[signal.Signals], instant_s: float) -> None:
        new_discovery = await ScriptedUpstream().start(
            self.tasks, lambda upstream, session: anyio.sleep_forever()
        )
        environment = {**os.environ, "EDGE_CONFIG": str(self.file), "PYTHONUNBUFFERED": "1"}
        command = ["/bin/sh", "-c", run_command()]
        process = await anyio.open_process(command, cwd=ROOT, env=environment, stderr=subprocess.STDOUT)
        try:
            await wait_for_interpreter(process.pid)
            await anyio.sleep(instant_s)
            for number in signals:
                if number is signal.SIGHUP:
                    new = {**self.raw, "discovery": new_discovery.named}
                    replacement = self.file.with_suffix(".new")
                    replacement.write_bytes(orjson.dumps(new))
                    replacement.rename(self.file)
                process.send_signal(number)
            await self.check_process(NodeProcess(process), signals, new_discovery)
        finally:
            if process.returncode is None:
                process.kill()
            await process.aclose()

    async def check_process(
        self, node: NodeProcess, signals: list[signal.Signals], new_discovery: ScriptedUpstream
    ) -> None:
        if not STOPS.intersection(signals):
            await node.next_event("serving")
            if signal.SIGHUP in signals:
                await wait_until(lambda: bool(new_discovery.lines))
            for number in SIGNALS[::-1]:  # SIGTERM last: no signal ends the process while it stops
                node.signal(number)
        # Before a process handles signals, SIGTERM and SIGINT end it by their default action.
        expected = {0, *(-number for number in STOPS.intersection(signals))}
        while chunk := await receive_some(node.log):
            assert b"Traceback" not in chunk
        assert await node.exit_code() in expected


async def receive_some(log: BufferedByteReceiveStream) -> bytes:
    try:
        return await log.receive()
    except anyio.EndOfStream:
        return b""


@pytest.mark.parametrize(
    "signals",
    [
        [signal.SIGHUP],
        [signal.SIGUSR1],
        [signal.SIGTERM],
        [signal.SIGINT],
        [signal.SIGHUP, signal.SIGUSR1],
        [signal.SIGHUP, signal.SIGHUP],
        [signal.SIGHUP, signal.SIGTERM],
        [signal.SIGINT, signal.SIGUSR1],
    ],
    ids=lambda signals: "+".join(number.name for number in signals),
)
def test_a_signal_at_any_time_does_what_it_is_for(signals: list[signal.Signals], tmp_path: Path) -> None:
    """Guards against a process that SIGHUP or SIGUSR1 ends during its start or its stop (review/9).

    After SIGHUP the new configuration is in force, whenever the file was replaced. SIGTERM and SIGINT end the
    process in order and without a traceback.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        slots = anyio.Semaphore(AT_ONCE)

        async def check(instant_s: float) -> None:
            async with slots:
                await SignalledNode(tasks, tmp_path, upstreams).check(signals, instant_s)

        async with anyio.create_task_group() as checks:
            for instant_s in INSTANTS_S:
                checks.start_soon(check, instant_s)

    run_on_loopback(body)
