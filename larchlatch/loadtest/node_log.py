"""Reads selected events from the logs of nodes while the nodes write them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import orjson

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Sequence
    from pathlib import Path


class LoggedEvent(NamedTuple):
    """One line of a node's log.

    Attributes:
        node: The node's number.
        fields: The line's fields, including `event`, the name of the event.

    """

    node: int
    fields: dict[str, Any]


class NodeLogReader:
    """Reads new lines of the nodes' logs, and keeps those of certain events."""

    def __init__(self, logs: Sequence[Path], events: Collection[str]) -> None:
        self._logs = logs
        self._events = [b'"%s"' % event.encode() for event in events]
        self._offsets = [0] * len(logs)  # how many bytes of each log have been read

    def read(self) -> Iterator[LoggedEvent]:
        """Yield the events that have been logged since the last call."""
        for node, log in enumerate(self._logs):
            for line in self._new_lines(node, log):
                if any(event in line for event in self._events):
                    yield LoggedEvent(node, orjson.loads(line))

    def _new_lines(self, node: int, log: Path) -> list[bytes]:
        """Return the complete lines of a log that have not been read."""
        try:
            with log.open("rb") as file:
                file.seek(self._offsets[node])
                text = file.read()
        except FileNotFoundError:
            return []  # the node has not been started yet
        complete, _, _ = text.rpartition(b"\n")
        if not complete:
            return []
        self._offsets[node] += len(complete) + 1
        return complete.splitlines()
