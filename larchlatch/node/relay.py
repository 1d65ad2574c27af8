"""A standing link: lines pass both ways until one side ends it, its host falls silent, or it is moved."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from enum import Enum
from typing import NamedTuple

import anyio

from larchlatch.node.clock import now_us
from larchlatch.node.messages import LoadReported
from larchlatch.node.session_record import SessionRecord
from larchlatch.node.upstream_actor import UpstreamActor
from larchlatch.node.wire import lines as say
from larchlatch.node.wire.stream import Ending, Lines
from larchlatch.policy.types import Outcome


class Side(Enum):
    CLIENT = "client"
    UPSTREAM = "host"
    NODE = "node"
    SUCCESSOR = "successor"  # another process of this node goes on with it


class Ended(NamedTuple):
    """Which side ended the link, in which way, and what the host had said of it last."""

    side: Side
    how: Ending
    outcome: Outcome


class Relay:
    def __init__(
        self,
        record: SessionRecord,
        client: Lines,
        upstream: Lines,
        upstream_actor: UpstreamActor,
        last: Outcome,
    ) -> None:
        self.record = record
        self.client = client
        self.upstream = upstream
        self.upstream_actor = upstream_actor
        self.last = last  # what the end of the host's side means
        self.ended: Ended | None = None
        self.reading: dict[Side, anyio.CancelScope] = {}
        self.passing = False  # both directions are to stop at the end of a line
        self.stopped: set[Side] = set()

    async def run(self) -> Ended:
        """Pass lines on until it ends; both sides are still open then, as far as they were."""
        async with anyio.create_task_group() as tasks:

            def end(side: Side, how: Ending, outcome: Outcome) -> None:
                if self.ended is None:
                    self.ended = Ended(side, how, outcome)
                tasks.cancel_scope.cancel()

            async def moved() -> None:
                await self.record.migration_requested.wait()
                end(
                    Side.NODE, Ending.END, Outcome.RESET if self.record.upstream_silent else Outcome.CANCELLED
                )

            async def one(side: Side, direction: Callable[[], Awaitable[Ended | None]]) -> None:
                ended = await direction()
                if ended is not None:
                    end(*ended)
                    return
                self.stopped.add(side)
                if len(self.stopped) == 2:
                    end(Side.SUCCESSOR, Ending.END, Outcome.CANCELLED)

            tasks.start_soon(moved)
            tasks.start_soon(one, Side.CLIENT, self.pass_up)
            tasks.start_soon(one, Side.UPSTREAM, self.pass_down)
        assert self.ended is not None
        return self.ended

    def pass_on(self) -> None:
        """Stop between two lines, so that another process can go on."""
        # Only the waiting is broken off: a line that has been read is sent before its direction stops.
        self.passing = True
        for scope in self.reading.values():
            scope.cancel()

    async def next(self, side: Side, lines: Lines) -> list[bytes] | Ending | None:
        """The next lines of a side; None where another process is to read them."""
        if self.passing:
            return None
        with anyio.CancelScope() as self.reading[side]:
            return await lines.some()
        return None

    async def pass_up(self) -> Ended | None:
        """From the client to the host."""
        while (some := await self.next(Side.CLIENT, self.client)) is not None:
            if isinstance(some, Ending):
                return Ended(Side.CLIENT, some, Outcome.CANCELLED)
            if not self.record.awaiting_answer_since:
                self.record.awaiting_answer_since = now_us()
            if not await self.upstream.send(b"".join(some)):
                return Ended(Side.UPSTREAM, Ending.RESET, self.last)
        return None

    async def pass_down(self) -> Ended | None:
        """From the host to the client."""
        while (some := await self.next(Side.UPSTREAM, self.upstream)) is not None:
            if isinstance(some, Ending):
                return Ended(Side.UPSTREAM, some, self.last)
            for line in some:
                match say.parse_upstream_line(line):
                    case say.Load(load):
                        await self.upstream_actor.post(LoadReported(self.record, load))
                    case say.Bye():
                        self.last = Outcome.COMPLETED
                    case say.Moved():
                        self.last = Outcome.CANCELLED
                    case _:
                        self.upstream_actor.session_watch.line_received(self.record)
            # While a client does not read, its host is not heard: that must not be taken for silence.
            self.record.client_stalled_since = now_us()
            sent = await self.client.send(b"".join(some))
            self.record.client_stalled_since = 0
            if not sent:
                return Ended(Side.CLIENT, Ending.RESET, Outcome.CANCELLED)
        return None
