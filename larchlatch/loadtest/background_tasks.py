"""The owner of a run's tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from types import TracebackType
    from typing import Self

    from anyio.abc import TaskGroup


class BackgroundTasks:
    """Runs tasks until it is left, and cancels them then; an error in one of them cancels all others.

    Unlike a task group of anyio it can be made before the event loop runs, and given to the parts of a run.
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
            RuntimeError: There is no running owner for it.

        """
        if self._group is None:
            raise RuntimeError("tasks can't be started before their owner is entered")
        self._group.start_soon(function, *args)

    def call_later(self, delay_s: float, action: Callable[..., None], *args: object) -> None:
        """Call an action with these arguments after so many seconds."""
        self.start(_call_after, delay_s, action, *args)


async def _call_after(delay_s: float, action: Callable[..., None], *args: object) -> None:
    await anyio.sleep(delay_s)
    action(*args)
