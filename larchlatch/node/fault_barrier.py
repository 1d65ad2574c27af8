"""Logs and counts unexpected exceptions, and lets the node continue to run.

A node holds many sessions, so a fault in the code that serves one of them must not end the process. Expected
failures are handled by type where they occur; a barrier is only for programming errors.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from types import TracebackType

    from larchlatch.node.metrics import Counters

log = structlog.get_logger()


class FaultBarrier:
    """Context manager that stops an unexpected exception, logs its traceback and counts it.

    Cancellation and the exceptions that end the process propagate, as they don't derive from `Exception`.

    Attributes:
        caught: whether the block raised an exception that was stopped here.

    """

    __slots__ = ("_counter", "_counters", "_event", "_fields", "caught")

    def __init__(self, counters: Counters, *, counter: str, event: str, **fields: object) -> None:
        """Prepare a barrier.

        Args:
            counters: where the fault is counted.
            counter: the name of the counter.
            event: the name of the log event.
            fields: further fields of the log event.

        """
        self.caught = False
        self._counters = counters
        self._counter = counter
        self._event = event
        self._fields = fields

    def __enter__(self) -> FaultBarrier:
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        if not isinstance(error, Exception):
            return False
        self.caught = True
        self._counters.add(self._counter)
        log.error(self._event, exc_info=error, **self._fields)
        return True
