"""Runs tests on loopback in a task group with a timeout, and waits for conditions."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import SocketAttribute, TaskGroup

TEST_TIMEOUT_S = 20.0  # only a test that hangs reaches it


def port_of(listener: Any) -> int:
    return int(listener.extra(SocketAttribute.local_port))


async def wait_until(holds: Callable[[], bool]) -> None:
    while not holds():
        await anyio.sleep(0.01)


def run_on_loopback(test: Callable[[TaskGroup], Awaitable[None]]) -> None:
    """Run a test's body with a task group for its node and stand-ins, which is cancelled after the body."""

    async def run() -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                await test(tasks)
                tasks.cancel_scope.cancel()

    anyio.run(run, backend_options={"use_uvloop": True})
