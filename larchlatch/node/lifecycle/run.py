"""A node's life: start, serve, stop."""

from __future__ import annotations

import random
import signal
from pathlib import Path

import anyio
import structlog
from anyio import TASK_STATUS_IGNORED
from anyio.abc import TaskGroup, TaskStatus

from larchlatch.node.client import Door
from larchlatch.node.clock import now_us
from larchlatch.node.control import BACKLOG as DOOR_BACKLOG
from larchlatch.node.control import Control
from larchlatch.node.lifecycle.lag import Lag
from larchlatch.node.lifecycle.phase import Phase
from larchlatch.node.lifecycle.plan import Plan
from larchlatch.node.lifecycle.reread import reread
from larchlatch.node.lifecycle.stop import GRANTED_S, SPARE_S, Leaving
from larchlatch.node.listing import Listing
from larchlatch.node.memory.counters import Counters
from larchlatch.node.memory.room import Room
from larchlatch.node.module import Module
from larchlatch.node.wire.listen import Listener, NoAccept
from larchlatch.node.words import ListTold

BACKLOG = 4096  # connections that wait to be accepted: all clients of a node that has died, at once
FIRST_LIST_S = 1.0  # a node waits so long for the present list before it serves with the one it had
PAUSE_S = 0.02  # between two looks for room when descriptors have run out

# Each has its handler before the first link is taken: by default a process ends at them, its links with it.
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)

log = structlog.get_logger()


async def accept(listener: Listener, door: Door, room: Room, tasks: TaskGroup) -> None:
    while True:
        if not room.take():
            # Out of descriptors: who comes now waits in the backlog, which costs nothing.
            door.counters.add("accepting paused")
            while not room.take():
                await anyio.sleep(PAUSE_S)
        try:
            sock = await listener.accept()
        except NoAccept:
            room.give()
            door.counters.add("accept failed")
            await anyio.sleep(PAUSE_S)
            continue
        tasks.start_soon(door.serve, sock)
        await anyio.lowlevel.checkpoint()  # a crowd that waits must not keep those from work who are in


async def node(plan: Plan, path: Path, *, task_status: TaskStatus[int] = TASK_STATUS_IGNORED) -> None:
    """Serve by this plan, read from that file, until told to stop; says on which port once it can."""
    counters = Counters()
    room = Room(plan.sockets)
    chance = random.Random(plan.seed)
    module = Module(plan.terms, plan.zones, chance, plan.reach, room, counters)
    listing = Listing(plan.discovery, plan.known.revision, plan.pushed, counters, module.post, chance.uniform)
    module.listing = listing
    lag = Lag()
    ready = anyio.Event()
    phase = Phase(plan.longest_wait_us / 1e6 + GRANTED_S - SPARE_S, plan.passes_through)
    door = Door(module, plan.tariffs, plan.tenants, plan.longest_wait_us, room, counters, ready, phase)
    # The list held from before comes first: old as it may be, links can be placed by it at once.
    module.heard(now_us(), ListTold(plan.known, asked=False))
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        async with anyio.create_task_group() as tasks:
            leaving = Leaving(phase, door, counters, tasks)
            if plan.control is not None:
                # Before all else: operators are answered from the start, if only that it can't serve yet.
                operators = Listener.bound(plan.control, DOOR_BACKLOG)
                log.info("operators' door", listen=operators.address)
                tasks.start_soon(Control(phase, leaving.drain, counters).run, operators)
            tasks.start_soon(lag.run)
            tasks.start_soon(module.run)
            tasks.start_soon(listing.run)
            listener = Listener.bound(plan.listen, BACKLOG, shared=plan.control is not None)
            tasks.start_soon(accept, listener, door, room, tasks)
            with anyio.move_on_after(FIRST_LIST_S):
                await listing.fresh.wait()
            phase.ready = True
            ready.set()
            log.info("serving", node=plan.name, listen=listener.address, hosts=len(module.peers))
            task_status.started(listener.address[1])
            async for told in signals:
                if told == signal.SIGHUP:
                    plan = reread(plan, path, listing, counters)
                    continue
                log.info("counters", **counters.told(), lag_ms=lag.told_ms())
                if told != signal.SIGUSR1 and phase.stopped_at is None:
                    phase.stop(anyio.current_time())
                    tasks.start_soon(leaving.stop)
    log.info("stopped", **counters.told(), lag_ms=lag.told_ms())
