"""Nodes that run as separate processes, and calls to their admin APIs."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from itertools import count
from pathlib import Path
from typing import Any

import anyio
import orjson
from anyio.abc import Process
from anyio.streams.buffered import BufferedByteReceiveStream

from larchlatch.node.wire.stream import Ending, LineConnection


class NodeProcess:
    """A node that runs as a separate process, and its log."""

    def __init__(self, process: Process) -> None:
        assert process.stdout is not None
        self.process = process
        self.log = BufferedByteReceiveStream(process.stdout)
        self.port = 0
        self.admin_address = ""  # address of the admin API; empty: not known

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    async def next_event(self, event: str) -> dict[str, Any]:
        """Return the next log row with this event, and skip the rows before it."""
        while True:
            row: dict[str, Any] = orjson.loads(await self.log.receive_until(b"\n", 65536))
            if row["event"] == event:
                return row

    async def exit_code(self) -> int:
        """Wait until the process has ended, and return its exit code."""
        return await self.process.wait()


@asynccontextmanager
async def node_process(
    path: Path, event: str = "serving", more: Sequence[str] = (), **env: str
) -> AsyncIterator[NodeProcess]:
    """Run a node with this configuration file, and wait until it has logged the event.

    Args:
        path: path of the configuration file.
        event: log event to wait for, whose row has the listen address.
        more: additional command-line arguments.
        env: additional environment variables.

    """
    command = [sys.executable, "-B", "-m", "larchlatch", "serve", *more]
    made = await anyio.open_process(
        command, env={**os.environ, "EDGE_CONFIG": str(path), **env}, stderr=subprocess.STDOUT
    )
    try:
        running = NodeProcess(made)
        running.port = (await running.next_event(event))["listen"][1]
        yield running
    finally:
        if made.returncode is None:
            made.kill()
        await made.aclose()


ADMIN_ADDRESS_NUMBERS = count(1)  # give each node an address of its own


def admin_address() -> str:
    return f"127.77.{os.getpid() % 250 + 1}.{next(ADMIN_ADDRESS_NUMBERS)}:9600"


async def call_admin_api(address: str, what: str, more: str = "") -> tuple[int, str]:
    """Make one call to an admin API and return the status code and the whole response."""
    host, _, port = address.rpartition(":")
    caller = LineConnection(await anyio.connect_tcp(host, int(port)))
    await caller.send(f"{what} HTTP/1.1\r\nHost: admin\r\n{more}\r\n".encode())
    return await read_http_answer(caller)


async def read_http_answer(caller: LineConnection) -> tuple[int, str]:
    text = ""
    while not isinstance(chunk := await caller.receive_lines(), Ending):
        text += b"".join(chunk).decode()
    await caller.close()
    return int(text.split()[1]) if text else 0, text
