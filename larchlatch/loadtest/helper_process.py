"""Helper processes of the load test: how they are started, and the protocol on their pipes.

A helper process reads one JSON message a line from its standard input and answers each with one line. Proxies
run as helper processes so that the load test's event loop does not delay the traffic that they forward.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from contextlib import suppress
from typing import TYPE_CHECKING, Any, TypeVar

import anyio
import msgspec

from larchlatch.loadtest.errors import HelperProcessError
from larchlatch.loadtest.streams import CONNECTION_ERRORS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

STOP_TIMEOUT_S = 10.0
EXECUTED = b"true"

SetupT = TypeVar("SetupT")
CommandT = TypeVar("CommandT")
ReplyT = TypeVar("ReplyT")


class HelperProcess:
    """A helper process as the load test sees it; this object owns the process until `stop`."""

    def __init__(self, module: str) -> None:
        self.module = module
        self._process: asyncio.subprocess.Process | None = None
        self._lock = asyncio.Lock()  # held from each message until its reply, as replies carry no ID

    async def start(self, setup: msgspec.Struct, reply_type: type[ReplyT]) -> ReplyT:
        """Start the process, and return its reply to the setup.

        Raises:
            HelperProcessError: The process ended, or its reply is not of the given type.

        """
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.module,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        reply = await self._request(setup)
        try:
            return msgspec.json.decode(reply, type=reply_type)
        except msgspec.DecodeError as error:
            raise HelperProcessError(self.module, f"{error} in the reply {reply!r}") from error

    async def execute(self, command: msgspec.Struct) -> None:
        """Send a command, and wait until it has been executed.

        Raises:
            HelperProcessError: The process has not been started, or has ended.

        """
        await self._request(command)

    async def _request(self, message: msgspec.Struct) -> bytes:
        process = self._process
        if process is None or process.stdin is None or process.stdout is None:
            raise HelperProcessError(self.module, "not started")
        async with self._lock:
            try:
                process.stdin.write(msgspec.json.encode(message) + b"\n")
                reply = await process.stdout.readline()
            except CONNECTION_ERRORS as error:
                raise HelperProcessError(self.module, str(error)) from error
        if not reply:
            raise HelperProcessError(self.module, "ended without a reply")
        return reply

    async def stop(self) -> dict[str, int]:
        """Stop the process, and return its counts; no counts if it had ended or had to be killed."""
        process = self._process
        if process is None or process.returncode is not None:
            return {}
        counts: dict[str, int] = {}
        try:
            with anyio.move_on_after(STOP_TIMEOUT_S):
                counts = await self._read_counts(process)
        finally:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()
                with anyio.CancelScope(shield=True):
                    await process.wait()
        return counts

    async def _read_counts(self, process: asyncio.subprocess.Process) -> dict[str, int]:
        """Close the process's standard input, which ends it, and return the counts of its last line."""
        if process.stdin is None or process.stdout is None:
            return {}
        process.stdin.close()
        counts: dict[str, int] = {}
        # A killed process sends no counts. If the run was interrupted, the reply to a command may come first.
        while line := await process.stdout.readline():
            with suppress(msgspec.DecodeError):
                counts = msgspec.json.decode(line, type=dict[str, int])
        await process.wait()
        return counts


async def serve_commands(
    setup_type: type[SetupT],
    set_up: Callable[[SetupT], Awaitable[Any]],
    command_type: Any,
    execute: Callable[[CommandT], Awaitable[None]],
    counts: Callable[[], dict[str, int]],
) -> None:
    """Serve as a helper process: execute commands from standard input until it is closed.

    Args:
        setup_type: Type of the message on the first line.
        set_up: Handles the first message, and returns the reply to it.
        command_type: Type of the messages on all further lines, a union of tagged structs.
        execute: Executes one command.
        counts: Returns the counts that are written as the last line.

    """
    # A terminal sends SIGINT on Ctrl-C to all processes of the load test; the load test then stops this one.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    commands = msgspec.json.Decoder(command_type)
    reply = await set_up(msgspec.json.decode(await reader.readline(), type=setup_type))
    _write_line(msgspec.json.encode(reply))
    while line := await reader.readline():
        await execute(commands.decode(line))
        _write_line(EXECUTED)
    _write_line(msgspec.json.encode(counts()))


def _write_line(line: bytes) -> None:
    # If the load test was killed, nothing reads the pipe any more.
    with suppress(BrokenPipeError):
        sys.stdout.buffer.write(line + b"\n")
        sys.stdout.buffer.flush()
