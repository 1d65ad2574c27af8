"""A node's life: start, serve, stop."""

from __future__ import annotations

import errno
import random
import signal
from pathlib import Path

import anyio
import structlog
from anyio import TASK_STATUS_IGNORED
from anyio.abc import SocketAttribute, SocketListener, TaskGroup, TaskStatus

from larchlatch.node.client import Door
from larchlatch.node.clock import now_us
from larchlatch.node.lifecycle.plan import Plan
from larchlatch.node.lifecycle.reread import reread
from larchlatch.node.lifecycle.stop import stopped
from larchlatch.node.listing import Listing
from larchlatch.node.memory.counters import Counters
from larchlatch.node.memory.room import Room
from larchlatch.node.module import Module
from larchlatch.node.words import ListTold

BACKLOG = 4096  # connections that wait to be accepted: all clients of a node that has died, at once
FIRST_LIST_S = 1.0  # a node waits so long for the present list before it serves with the one it had
PAUSE_S = 0.02  # between two looks for room when descriptors have run out

# Errors of accepting that pass: no descriptor or memory now, or a client that has left already.
PASSING = (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED, errno.ENOBUFS, errno.ENOMEM)

# Each has its handler before the first link is taken: by default a process ends at them, its links with it.
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)

log = structlog.get_logger()


async def accept(listener: SocketListener, door: Door, room: Room, tasks: TaskGroup) -> None:
    while True:
        if not room.take():
            # Out of descriptors: who comes now waits in the backlog, which costs nothing.
            door.counters.add("accepting paused")
            while not room.take():
                await anyio.sleep(PAUSE_S)
        try:
            stream = await listener.accept()
        except OSError as error:
            room.give()
            if error.errno not in PASSING:
                raise
            door.counters.add("accept failed")
            await anyio.sleep(PAUSE_S)
            continue
        tasks.start_soon(door.serve, stream)


async def node(plan: Plan, path: Path, *, task_status: TaskStatus[int] = TASK_STATUS_IGNORED) -> None:
    """Serve by this plan, read from that file, until told to stop; says on which port once it can."""
    counters = Counters()
    room = Room(plan.sockets)
    chance = random.Random(plan.seed)
    module = Module(plan.terms, plan.zones, chance, plan.reach, room, counters)
    listing = Listing(plan.discovery, plan.known.revision, plan.pushed, counters, module.post, chance.uniform)
    module.listing = listing
    ready = anyio.Event()
    door = Door(module, plan.tariffs, plan.tenants, plan.longest_wait_us, room, counters, ready)
    # The list held from before comes first: old as it may be, links can be placed by it at once.
    module.heard(now_us(), ListTold(plan.known, asked=False))
    multi = await anyio.create_tcp_listener(
        local_host=plan.listen[0], local_port=plan.listen[1], backlog=BACKLOG
    )
    stopping = False
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(module.run)
            tasks.start_soon(listing.run)
            for listener in multi.listeners:
                assert isinstance(listener, SocketListener)
                tasks.start_soon(accept, listener, door, room, tasks)
            with anyio.move_on_after(FIRST_LIST_S):
                await listing.fresh.wait()
            ready.set()
            address = multi.listeners[0].extra(SocketAttribute.local_address)
            log.info("serving", node=plan.name, listen=address, hosts=len(module.peers))
            task_status.started(int(address[1]))
            async for told in signals:
                if told == signal.SIGHUP:
                    plan = reread(plan, path, listing, counters)
                    continue
                log.info("counters", **counters.told())
                if told != signal.SIGUSR1 and not stopping:
                    stopping = True
                    tasks.start_soon(stopped, plan, door, tasks.cancel_scope)
    log.info("stopped", **counters.told())
