"""Leaving, for a drain or for good: links are moved bit by bit; setups are finished before the node ends."""

from __future__ import annotations

import anyio
import structlog
from anyio.abc import TaskGroup

from larchlatch.node.client import Door
from larchlatch.node.lifecycle.phase import Phase
from larchlatch.node.memory.counters import Counters

GRANTED_S = 0.7  # what PROTOCOL grants a node beyond the longest cut-off before it is ended
SPARE_S = 0.4  # all is over this long before that: a moved link takes a moment to close
STEP_S = 0.05  # between two rounds of moves

log = structlog.get_logger()


class Leaving:
    """One pace for a drain and a stop, whichever comes first and whichever ends."""

    def __init__(self, phase: Phase, door: Door, counters: Counters, tasks: TaskGroup) -> None:
        self.phase = phase
        self.door = door
        self.counters = counters
        self.tasks = tasks
        self.moving = False

    def drain(self) -> None:
        """The phase has been told of a drain: see that links leave."""
        if not self.moving:
            self.moving = True
            self.tasks.start_soon(self.move)

    async def stop(self) -> None:
        """Ends everything when nothing is in hand and the granted time is over."""
        log.info("stopping", links=len(self.door.standing))
        self.drain()
        # Until the time is up new links may come through a front that has not noticed.
        await anyio.sleep(self.phase.stop_s + SPARE_S)
        while self.door.in_hand > 0:
            await anyio.sleep(STEP_S)
        self.tasks.cancel_scope.cancel()

    async def move(self) -> None:
        while self.phase.leaving:
            # Where packets pass through none is due: links go on through other nodes.
            standing = [hand for hand in self.door.standing.values() if not hand.move.is_set()]
            due = standing[: self.phase.leave(anyio.current_time(), len(standing))]
            if due:
                self.counters.add("link sent away", len(due))
            for hand in due:
                hand.move.set()
            await anyio.sleep(STEP_S)
        self.moving = False
