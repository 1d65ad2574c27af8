"""Relays an established session: lines pass in both directions until the session ends at this node."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import anyio

from larchlatch.node.clock import now_us
from larchlatch.node.messages import LoadReported
from larchlatch.node.wire import lines
from larchlatch.node.wire.stream import Ending
from larchlatch.policy.types import Outcome

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from larchlatch.node.session_record import SessionRecord
    from larchlatch.node.upstream_actor import UpstreamActor
    from larchlatch.node.wire.stream import LineConnection


class Side(Enum):
    """Who ended a session at this node. The values are parts of counter names."""

    CLIENT = "client"
    UPSTREAM = "upstream"
    NODE = "node"
    SUCCESSOR = "successor"  # the session continues at the successor


class RelayEnd(NamedTuple):
    """How a session ended at this node.

    Attributes:
        side: who ended it.
        ending: how its connection was ended.
        outcome: the outcome that the balancer records.

    """

    side: Side
    ending: Ending
    outcome: Outcome


class Relay:
    """Passes lines between a client and its upstream. It does not close their connections.

    Attributes:
        outcome_at_end: the outcome that the balancer records if the upstream ends its connection.

    """

    def __init__(
        self,
        record: SessionRecord,
        upstream_actor: UpstreamActor,
        *,
        client: LineConnection,
        upstream: LineConnection,
        outcome_at_end: Outcome,
    ) -> None:
        self.outcome_at_end = outcome_at_end
        self._record = record
        self._client = client
        self._upstream = upstream
        self._upstream_actor = upstream_actor
        self._end: RelayEnd | None = None
        self._tasks = anyio.create_task_group()
        self._read_scopes: dict[Side, anyio.CancelScope] = {}
        self._stopping = False  # both directions have to stop at the end of a line
        self._stopped: set[Side] = set()

    async def run(self) -> RelayEnd:
        """Pass lines on until the session ends at this node; return how it ended."""
        async with self._tasks:
            self._tasks.start_soon(self._wait_for_migration)
            self._tasks.start_soon(self._run_direction, Side.CLIENT, self._relay_to_upstream)
            self._tasks.start_soon(self._run_direction, Side.UPSTREAM, self._relay_to_client)
        assert self._end is not None
        return self._end

    def stop_between_lines(self) -> None:
        """Stop both directions between two lines, so that the successor can continue."""
        # Only reading is cancelled: a line that has been read is sent before its direction stops.
        self._stopping = True
        for scope in self._read_scopes.values():
            scope.cancel()

    def _finish(self, end: RelayEnd) -> None:
        if self._end is None:
            self._end = end
        self._tasks.cancel_scope.cancel()

    async def _wait_for_migration(self) -> None:
        await self._record.migration_requested.wait()
        outcome = Outcome.RESET if self._record.upstream_silent else Outcome.CANCELLED
        self._finish(RelayEnd(Side.NODE, Ending.END, outcome))

    async def _run_direction(self, side: Side, relay: Callable[[], Awaitable[RelayEnd | None]]) -> None:
        end = await relay()
        if end is not None:
            self._finish(end)
            return
        self._stopped.add(side)
        if self._stopped == {Side.CLIENT, Side.UPSTREAM}:
            self._finish(RelayEnd(Side.SUCCESSOR, Ending.END, Outcome.CANCELLED))

    async def _next_lines(self, side: Side, source: LineConnection) -> list[bytes] | Ending | None:
        """Return the next lines of a side, or how it ended; None if the direction has to stop."""
        if self._stopping:
            return None
        with anyio.CancelScope() as self._read_scopes[side]:
            return await source.receive_lines()
        return None

    async def _relay_to_upstream(self) -> RelayEnd | None:
        while (received := await self._next_lines(Side.CLIENT, self._client)) is not None:
            if isinstance(received, Ending):
                return RelayEnd(Side.CLIENT, received, Outcome.CANCELLED)
            if not self._record.awaiting_answer_since:
                self._record.awaiting_answer_since = now_us()
            if not await self._upstream.send(b"".join(received)):
                return RelayEnd(Side.UPSTREAM, Ending.RESET, self.outcome_at_end)
        return None

    async def _relay_to_client(self) -> RelayEnd | None:
        while (received := await self._next_lines(Side.UPSTREAM, self._upstream)) is not None:
            if isinstance(received, Ending):
                return RelayEnd(Side.UPSTREAM, received, self.outcome_at_end)
            for line in received:
                await self._observe(line)
            # While a client does not read, its upstream is not read and must not count as silent.
            self._record.client_stalled_since = now_us()
            sent = await self._client.send(b"".join(received))
            self._record.client_stalled_since = 0
            if not sent:
                return RelayEnd(Side.CLIENT, Ending.RESET, Outcome.CANCELLED)
        return None

    async def _observe(self, line: bytes) -> None:
        """Record what a line from the upstream means for the session."""
        match lines.parse_upstream_line(line):
            case lines.Load(load):
                await self._upstream_actor.post(LoadReported(self._record, load))
            case lines.Bye():
                self.outcome_at_end = Outcome.COMPLETED
            case lines.Moved():
                self.outcome_at_end = Outcome.CANCELLED
            case _:
                self._upstream_actor.session_watch.line_received(self._record)
