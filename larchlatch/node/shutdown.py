"""Leaving, for a drain or for good: links are moved bit by bit; setups are finished before the node ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from larchlatch.node.client import Door
    from larchlatch.node.lifecycle_state import Phase
    from larchlatch.node.metrics import Counters
    from larchlatch.node.session_record import SessionRecord

GRANTED_S = 0.7  # what PROTOCOL grants a node beyond the longest cut-off before it is ended
SPARE_S = 0.4  # all is over this long before that: a moved link takes a moment to close
PASSING_S = 0.4  # for a link to come to a stop between two lines: well under the second that one may be held
STEP_S = 0.05  # between two rounds of moves
EARLY_S = 0.1  # before links have to have their answers, those who rest here are told to go
LAST_S = 0.4  # for the last words to them, and their ends: within EARLY_S and SPARE_S

log = structlog.get_logger()


class Leaving:
    """One pace for a drain and a stop, whichever comes first and whichever ends."""

    def __init__(self, phase: Phase, door: Door, counters: Counters, tasks: TaskGroup) -> None:
        self.phase = phase
        self.door = door
        self.counters = counters
        self.tasks = tasks
        self.moving = False
        self.shut: Callable[[], Awaitable[None]] | None = None  # closes the entrance

    def drain(self) -> None:
        """The phase has been told of a drain: see that links leave."""
        if not self.moving:
            self.moving = True
            self.tasks.start_soon(self.move)

    async def stop(self) -> None:
        """Ends everything when nothing is in hand and the granted time is over."""
        log.info("stopping", sessions=len(self.door.standing))
        self.drain()
        until = anyio.current_time() + self.phase.stop_s - EARLY_S
        # Until the time is up new links may come through a front that has not noticed, unless another process
        # takes them; those that have connected here get their answer here.
        while self.door.in_hand > 0 or (
            anyio.current_time() < until and not (self.phase.hands_over and not self.door.unheard)
        ):
            if anyio.current_time() >= until:
                self.door.dismiss()
            await anyio.sleep(STEP_S)
        # Cut off as it is, a connection whose line has just come would be reset: each gets a word first, also
        # those that the system has accepted for this node and that it has not taken yet.
        self.door.dismiss()
        # Where another process goes on, what waits to be accepted is its own.
        if self.shut is not None and not self.phase.hands_over:
            await self.shut()
        with anyio.move_on_after(LAST_S):
            while self.door.connections > 0:
                await anyio.sleep(STEP_S)
        self.tasks.cancel_scope.cancel()

    async def move(self) -> None:
        asked: dict[SessionRecord, float] = {}  # links that another process is to go on with, and since when
        while self.phase.leaving:
            now = anyio.current_time()
            standing = [
                h
                for h in self.door.standing.values()
                if not h.migration_requested.is_set() and h not in asked
            ]
            # Where packets pass through none is due: links go on through other nodes.
            for record in standing[: self.phase.leave(now, len(standing))]:
                if not self.phase.hands_over:
                    self.counters.add("link sent away")
                    record.migration_requested.set()
                elif record.request_handover is not None:
                    asked[record] = now
                    record.request_handover()
            # A side that does not read keeps its link from stopping between two lines: it has to be moved.
            for record in [record for record, at in asked.items() if now >= at + PASSING_S]:
                del asked[record]
                record.migration_requested.set()
            await anyio.sleep(STEP_S)
        self.moving = False
