"""A process of the load tool's own that stands between others: how it is started, told and asked."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import orjson

END_S = 10.0  # for it to say what went through


class Board:
    """The tool's end of it."""

    def __init__(self, module: str) -> None:
        self.module = module
        self.process: asyncio.subprocess.Process | None = None
        self.turn = asyncio.Lock()  # orders are answered one by one

    async def open(self, first: dict[str, Any]) -> Any:
        """Start it; its answer to the first line, which says between whom it stands."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", self.module, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE
        )
        return await self.ask(first)

    async def ask(self, order: dict[str, Any]) -> Any:
        """Give an order, and wait until it is carried out."""
        assert self.process is not None and self.process.stdin is not None
        assert self.process.stdout is not None
        async with self.turn:
            self.process.stdin.write(orjson.dumps(order) + b"\n")
            return orjson.loads(await self.process.stdout.readline())

    async def close(self) -> dict[str, int]:
        """End it; what it has counted."""
        told: dict[str, int] = {}
        if self.process is None or self.process.returncode is not None:
            return told
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(END_S):
                told = orjson.loads(await self.process.stdout.readline())
                await self.process.wait()
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        return told


async def serve(
    begin: Callable[[dict[str, Any]], Awaitable[Any]],
    order: Callable[[dict[str, Any]], Awaitable[None]],
    told: Callable[[], dict[str, int]],
) -> None:
    """The process's own end: the first line's answer, then each order's, then what it has counted."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    answer = await begin(orjson.loads(await reader.readline()))
    print(orjson.dumps(answer).decode(), flush=True)
    while line := await reader.readline():
        await order(orjson.loads(line))
        print("true", flush=True)
    print(orjson.dumps(told()).decode(), flush=True)
