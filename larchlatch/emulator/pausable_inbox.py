"""Defers the events of a process while it is paused."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class PausableInbox:
    """Keeps the events of a paused process until it resumes; pauses may overlap."""

    def __init__(self) -> None:
        self._pause_count = 0
        self._backlog: list[tuple[Callable[..., None], tuple[Any, ...]]] | None = None

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused, so that its events are deferred."""
        return self._backlog is not None

    def pause(self) -> None:
        """Begin a pause."""
        self._pause_count += 1
        if self._backlog is None:
            self._backlog = []

    def end_pause(self) -> bool:
        """End one pause; return whether it was the last one, after which `deliver` is to be called."""
        self._pause_count -= 1
        return not self._pause_count

    def defer_if_paused(self, action: Callable[..., None], *args: Any) -> bool:
        """Defer a call of an action if the process is paused; return whether it was deferred."""
        if self._backlog is None:
            return False
        self._backlog.append((action, args))
        return True

    def deliver(self) -> None:
        """Resume the process, and make the calls that were deferred."""
        backlog, self._backlog = self._backlog or [], None
        for action, args in backlog:
            action(*args)

    def deferred_calls(self, action: Callable[..., None]) -> Iterator[tuple[Any, ...]]:
        """Yield the arguments of each deferred call of an action."""
        for deferred_action, args in self._backlog or ():
            if deferred_action == action:
                yield args
