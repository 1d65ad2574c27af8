"""Runs one node under test as a process that can be paused, killed and replaced."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

import anyio

from larchlatch.loadtest.errors import NodeProcessError
from larchlatch.loadtest.streams import close_writer
from larchlatch.node.wire.lines import PING, PONG

if TYPE_CHECKING:
    from pathlib import Path
    from typing import BinaryIO

CONNECT_INTERVAL_S = 0.02  # between attempts to connect to a node that is starting


class NodeCommand(NamedTuple):
    """How a node's process is started.

    Attributes:
        module: The Python module that is run.
        arguments: Arguments of the command `serve`.
        environment: Environment variables in addition to those of this process.

    """

    module: str
    arguments: list[str]
    environment: dict[str, str]


class NodeProcess:
    """A node under test, which owns its current process; a restart replaces the process.

    Attributes:
        number: The node's number.
        address: The address on which it listens.
        port: The port on which it listens.
        admin_address: Address and port of its process's admin API; empty if it has none.
        in_rotation: Whether clients connect to it.
        removed: Whether it has left the cluster for good.
        start_count: Number of processes that have been started for it.
        interruption_count: How often it was killed, brought back, paused or resumed.

    """

    def __init__(self, number: int, address: str, port: int) -> None:
        self.number = number
        self.address = address
        self.port = port
        self.admin_address = ""
        self.in_rotation = True
        self.removed = False
        self.start_count = 0
        self.interruption_count = 0
        self._process: asyncio.subprocess.Process | None = None
        self._successor: asyncio.subprocess.Process | None = None  # during a hot restart
        self._killed = False
        self._paused = False
        self._pause_count = 0  # number of faults that pause it now; they may overlap

    @property
    def running(self) -> bool:
        """Whether the node has a process, which may be paused."""
        return self._process is not None and self._process.returncode is None

    @property
    def killed(self) -> bool:
        """Whether a fault has killed the node, and no new process serves yet."""
        return self._killed

    def has_run_since(self, interruption_count: int) -> bool:
        """Return whether the node runs, without an interruption since `interruption_count` had this value."""
        return self.interruption_count == interruption_count and not self._killed and not self._paused

    # The process.

    async def start(self, command: NodeCommand, log: Path) -> None:
        """Start a process whose output is appended to a file, and wait until it serves.

        Raises:
            NodeProcessError: The process ended before it served.

        """
        self.start_count += 1
        self._process = await _start_process(command, log)
        while not await self._answers_ping():
            if self._process.returncode is not None:
                raise NodeProcessError(self.number, f"ended: {_last_line(log)}")
            await anyio.sleep(CONNECT_INTERVAL_S)

    async def _answers_ping(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.address, self.port)
        except OSError:
            return False
        try:
            writer.write(PING)
            return await reader.readline() == PONG
        except OSError:
            return False
        finally:
            close_writer(writer)

    async def stop(self) -> None:
        """Kill the process, and a successor if there is one, and wait until they have ended."""
        for process in (self._process, self._successor):
            await _kill(process)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, which may have ended."""
        if self._process is not None and self._process.returncode is None:
            with suppress(ProcessLookupError):
                self._process.send_signal(number)

    # Hot restart: a second process takes over from the present one.

    async def start_successor(self, command: NodeCommand, log: Path) -> None:
        """Start a second process; `abort_hot_restart` or `complete_hot_restart` has to follow."""
        self.start_count += 1
        self._successor = await _start_process(command, log)

    async def abort_hot_restart(self) -> int:
        """Let the second process end gracefully; return its exit code."""
        successor, self._successor = self._successor, None
        return await _terminate(successor)

    async def complete_hot_restart(self) -> int:
        """Let the first process hand over and end gracefully; return its exit code."""
        predecessor, self._process, self._successor = self._process, self._successor, None
        return await _terminate(predecessor)

    async def shut_down(self) -> int:
        """Let the process end gracefully; return its exit code."""
        return await _terminate(self._process)

    @property
    def pid(self) -> int:
        """The ID of the process; 0 if the node has not been started."""
        return self._process.pid if self._process is not None else 0

    # Faults.

    def mark_killed(self) -> None:
        """Record that a fault kills the node: a missing answer is no violation from now on."""
        self._killed = True
        self._paused = False
        self._pause_count = 0
        self.interruption_count += 1

    def mark_back(self) -> None:
        """Record that a new process serves after a kill."""
        self._killed = False
        self.interruption_count += 1
        self.in_rotation = True

    def pause(self) -> bool:
        """Pause the process; return whether there was one to pause."""
        self._pause_count += 1
        return self._interrupt(paused=True)

    def resume(self) -> bool:
        """End one pause, and resume the process after the last one; return whether it was resumed."""
        self._pause_count = max(0, self._pause_count - 1)
        return self._pause_count == 0 and self._interrupt(paused=False)

    def _interrupt(self, *, paused: bool) -> bool:
        if not self.running or not self.in_rotation:
            return False  # the process has been killed
        self.send_signal(signal.SIGSTOP if paused else signal.SIGCONT)
        self.interruption_count += 1
        self._paused = paused
        return True


async def _start_process(command: NodeCommand, log: Path) -> asyncio.subprocess.Process:
    with _open_log(log) as output:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            command.module,
            "serve",
            *command.arguments,
            stdout=output,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, "EDGE_CONTROL": "", **command.environment},
        )


async def _terminate(process: asyncio.subprocess.Process | None) -> int:
    """Send SIGTERM to a process, and return its exit code; on cancellation it is killed."""
    if process is None:
        raise RuntimeError("there is no process to end")
    try:
        if process.returncode is None:
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
        return await process.wait()
    finally:
        with anyio.CancelScope(shield=True):
            await _kill(process)


async def _kill(process: asyncio.subprocess.Process | None) -> None:
    if process is None or process.returncode is not None:
        return
    with suppress(ProcessLookupError):
        process.kill()
    await process.wait()


def _open_log(log: Path) -> BinaryIO:
    return log.open("ab")


def _last_line(log: Path) -> str:
    lines = log.read_text().splitlines()
    return lines[-1] if lines else "its log is empty"
