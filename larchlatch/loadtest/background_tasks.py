"""Owns the background tasks of a load test run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from types import TracebackType
    from typing import Self

    from anyio.abc import TaskGroup


class BackgroundTasks:
    """A context manager that runs tasks and cancels them on exit; an error in one task cancels all others.

    Unlike an anyio task group, it can be created before the event loop runs, so that it can be passed to the
    objects of a run when they are created.
    """

    def __init__(self) -> None:
        self._group: TaskGroup | None = None

    async def __aenter__(self) -> Self:
        group = anyio.create_task_group()
        await group.__aenter__()
        self._group = group
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> bool:
        if self._group is None:
            return False
        self._group.cancel_scope.cancel()
        return bool(await self._group.__aexit__(kind, error, traceback))

    def start(self, function: Callable[..., Coroutine[Any, Any, Any]], *args: object) -> None:
        """Start a task.

        Raises:
            RuntimeError: The context manager has not been entered yet.

        """
        if self._group is None:
            raise RuntimeError("BackgroundTasks must be entered (async with) before tasks are started")
        self._group.start_soon(function, *args)

    def call_later(self, delay_s: float, action: Callable[..., None], *args: object) -> None:
        """Call an action with these arguments after a delay in seconds."""
        self.start(_call_after, delay_s, action, *args)


async def _call_after(delay_s: float, action: Callable[..., None], *args: object) -> None:
    await anyio.sleep(delay_s)
    action(*args)
