"""Stopping: setups are finished, standing links moved bit by bit, and only then it ends."""

from __future__ import annotations

import anyio
import structlog

from larchlatch.node.client import Door
from larchlatch.node.lifecycle.plan import Plan

GRANTED_S = 0.7  # what PROTOCOL grants a node beyond the longest cut-off before it is ended
SPARE_S = 0.4  # all is over this long before that: a moved link takes a moment to close
STEP_S = 0.05  # between two rounds of moves

log = structlog.get_logger()


async def stopped(plan: Plan, door: Door, scope: anyio.CancelScope) -> None:
    log.info("stopping", links=len(door.standing))
    began = anyio.current_time()
    span = plan.longest_wait_us / 1e6 + GRANTED_S - SPARE_S
    share = 0.0
    while True:
        passed = anyio.current_time() - began
        if not plan.passes_through:
            # All at once they would come back as one crowd at the other nodes: spread evenly, the last
            # ones go when the time is up.
            standing = [hand for hand in door.standing.values() if not hand.move.is_set()]
            share += len(standing) * STEP_S / max(STEP_S, span - passed)
            for hand in standing[: int(share)]:
                hand.move.set()
            share -= int(share)
        # Where packets pass through, links go on through other nodes: cutting them here would gain nothing.
        # And until the time is up new ones may come through a front that has not noticed.
        if passed >= span + SPARE_S and door.in_hand == 0:
            break
        await anyio.sleep(STEP_S)
    scope.cancel()
