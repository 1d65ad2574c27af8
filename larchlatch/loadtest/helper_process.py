"""A process of the load test itself, which takes one command a line and answers each.

Proxies run in processes of their own: the load test's event loop must not delay what passes through them.
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
    """The load test's end of a helper process, which it owns until `stop`."""

    def __init__(self, module: str) -> None:
        self.module = module
        self._process: asyncio.subprocess.Process | None = None
        self._lock = asyncio.Lock()  # commands are answered one by one

    async def start(self, setup: msgspec.Struct, reply_type: type[ReplyT]) -> ReplyT:
        """Start the process, and return its reply to the setup.

        Raises:
            HelperProcessError: It has ended, or its reply is of another type.

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
            raise HelperProcessError(self.module, f"{error} in its reply {reply!r}") from error

    async def execute(self, command: msgspec.Struct) -> None:
        """Give a command, and wait until it has been executed.

        Raises:
            HelperProcessError: The process has ended.

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
        """End the process, by force if need be, and return what it has counted; nothing if it had ended."""
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
        """Close the process's input, which ends it, and return its last line."""
        if process.stdin is None or process.stdout is None:
            return {}
        process.stdin.close()
        counts: dict[str, int] = {}
        # A process that was killed has counted nothing; one of a run that was cut off may still answer a
        # command.
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
    """Run the helper process's own end until its input is closed.

    Args:
        setup_type: Type of the first line.
        set_up: Acts on the first line, and returns the reply to it.
        command_type: Type of all further lines, a union of tagged structures.
        execute: Executes one command.
        counts: Returns what is written as the last line.

    """
    # A terminal sends Ctrl-C to all processes of the load test, which itself ends this one.
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
    # The load test may have been killed: nobody reads any more.
    with suppress(BrokenPipeError):
        sys.stdout.buffer.write(line + b"\n")
        sys.stdout.buffer.flush()
