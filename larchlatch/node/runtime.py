"""A node's life: start, serve, stop."""

from __future__ import annotations

import random
import signal
from typing import TYPE_CHECKING

import anyio
import structlog
from anyio import TASK_STATUS_IGNORED

from larchlatch.node.admin_api import BACKLOG as DOOR_BACKLOG
from larchlatch.node.admin_api import AdminApi
from larchlatch.node.balancer_actor import BalancerActor
from larchlatch.node.client import Door
from larchlatch.node.clock import now_us
from larchlatch.node.descriptor_budget import DescriptorBudget
from larchlatch.node.discovery import DiscoveryClient
from larchlatch.node.event_loop_lag import Lag
from larchlatch.node.hot_restart.handover import Giving, Meeting, Taking
from larchlatch.node.lifecycle_state import Phase
from larchlatch.node.messages import ListTold
from larchlatch.node.metrics import Counters
from larchlatch.node.reload import reload_configuration
from larchlatch.node.shutdown import GRANTED_S, SPARE_S, Leaving
from larchlatch.node.wire.listen import AcceptError, Listener

if TYPE_CHECKING:
    from pathlib import Path

    from anyio.abc import TaskGroup, TaskStatus

    from larchlatch.config.node import NodeConfiguration
    from larchlatch.node.ports import Join

BACKLOG = 4096  # connections that wait to be accepted: all clients of a node that has died, at once
FIRST_LIST_S = 1.0  # a node waits so long for the present list before it serves with the one it had
PAUSE_S = 0.02  # between two looks for room when descriptors have run out

# Each has its handler before the first link is taken: by default a process ends at them, its links with it.
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)

log = structlog.get_logger()


class Entrance:
    """Takes in clients while its gate is open."""

    def __init__(
        self, listener: Listener, door: Door, descriptors: DescriptorBudget, tasks: TaskGroup
    ) -> None:
        self.listener = listener
        self.door = door
        self.descriptors = descriptors
        self.tasks = tasks
        self.wide = anyio.Event()
        self.scope = anyio.CancelScope()
        self.idle = anyio.Event()  # nothing is being accepted
        self.idle.set()

    def gate(self, wide: bool) -> None:
        if wide:
            self.wide.set()
        else:
            self.wide = anyio.Event()
            self.scope.cancel()

    async def run(self) -> None:
        while True:
            await self.wide.wait()
            self.idle = anyio.Event()
            with anyio.CancelScope() as self.scope:
                await self.accept()
            self.idle.set()

    async def shut(self) -> None:
        """Take what the system has accepted for this node, and no more: whoever comes later is refused."""
        self.gate(False)
        # Danger: closed while the loop still waits on it, it would go on accepting, for nobody.
        await self.idle.wait()
        while (sock := self.listener.accept_nowait()) is not None:
            self.descriptors.lend(1)  # the door gives it back; short or not, it can be answered now or never
            self.tasks.start_soon(self.door.serve, sock)
        self.listener.sock.close()

    async def accept(self) -> None:
        while True:
            if not self.descriptors.reserve(anyio.current_time()):
                # Out of descriptors: who comes now waits in the backlog, which costs nothing.
                self.door.counters.add("accepting paused")
                while not self.descriptors.reserve(anyio.current_time()):
                    await anyio.sleep(PAUSE_S)
            sock = None
            try:
                sock = await self.listener.accept()
            except AcceptError:
                self.door.counters.add("accept failed")
            finally:
                if sock is None:
                    self.descriptors.release()
            if sock is None:
                await anyio.sleep(PAUSE_S)
                continue
            heard = self.door.heard(sock)
            if heard is not None and self.door.turned_away(sock, heard):
                self.tasks.start_soon(self.door.seen_off, sock)
            else:
                self.tasks.start_soon(self.door.serve, sock, heard)
            await anyio.lowlevel.checkpoint()  # a crowd that waits must not keep those from work who are in


async def node(
    plan: NodeConfiguration,
    path: Path,
    join: Join | None = None,
    *,
    task_status: TaskStatus[int] = TASK_STATUS_IGNORED,
) -> None:
    """Serve by this plan, read from that file, until told to stop; says on which port once it can."""
    counters = Counters()
    descriptors = DescriptorBudget(plan.descriptor_limit)
    chance = random.Random(plan.seed)
    balancer_actor = BalancerActor(
        plan.settings,
        plan.zones,
        plan.traffic_class_names,
        chance,
        plan.upstream_settings,
        descriptors,
        counters,
    )
    discovery = DiscoveryClient(
        plan.discovery_address,
        revision=plan.known_endpoints.revision,
        pushed=plan.discovery_pushes_changes,
        counters=counters,
        post=balancer_actor.post,
        uniform=chance.uniform,
    )
    balancer_actor.discovery = discovery
    lag = Lag()
    ready = anyio.Event()
    phase = Phase(plan.max_deadline_us / 1e6 + GRANTED_S - SPARE_S, plan.passes_through)
    door = Door(
        balancer_actor,
        plan.traffic_class_names,
        plan.tenants,
        plan.max_deadline_us,
        descriptors,
        counters,
        ready,
        phase,
    )
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        async with anyio.create_task_group() as tasks:
            leaving = Leaving(phase, door, counters, tasks)
            if plan.admin_address is not None:
                # Before all else: operators are answered from the start, if only that it can't serve yet.
                operators = Listener.bind(plan.admin_address, DOOR_BACKLOG)
                log.info("operators' door", listen=operators.address)
                tasks.start_soon(AdminApi(phase, leaving.drain, counters).run, operators)
            tasks.start_soon(lag.run)
            company = None
            if join is not None:
                company = join(counters, random.Random(chance.getrandbits(64)), balancer_actor)
                balancer_actor.fellows = company
                tasks.start_soon(company.run)
            meeting = Meeting.of(plan)
            taking = None if meeting is None else await Taking.reached(plan, meeting, counters)
            # The list held from before comes first: old as it may be, links can be placed by it at once.
            held = plan.known_endpoints
            if taking is not None and taking.members.revision >= held.revision:
                held = taking.members
            discovery.revision = held.revision
            balancer_actor.heard(now_us(), ListTold(held, asked=False))
            tasks.start_soon(balancer_actor.run)
            tasks.start_soon(discovery.run)
            if taking is not None:
                listener = taking.listener
            else:
                listener = Listener.bind(plan.listen_address, BACKLOG, shared=plan.admin_address is not None)
            entrance = Entrance(listener, door, descriptors, tasks)
            leaving.shut = entrance.shut
            tasks.start_soon(entrance.run)
            if taking is None:
                entrance.gate(True)
            with anyio.move_on_after(FIRST_LIST_S):
                await discovery.first_update.wait()
            if taking is not None:
                # The other process goes on taking what is new up to now, with a loop that is warm.
                await taking.ceded(descriptors, phase, balancer_actor, door)
                tasks.start_soon(taking.run, door, tasks)
                entrance.gate(True)
                if phase.draining:
                    leaving.drain()
            if meeting is not None:
                giving = Giving(plan, meeting, phase, door, listener, counters)
                giving.gate = entrance.gate
                tasks.start_soon(giving.run)
            phase.ready = True
            ready.set()
            log.info(
                "serving",
                node=plan.name,
                listen=listener.address,
                upstreams=len(balancer_actor.upstream_actors),
                passes_through=plan.passes_through,
            )
            task_status.started(listener.address[1])
            async for told in signals:
                if told == signal.SIGHUP:
                    plan = reload_configuration(plan, path, discovery, counters)
                    if company is not None:
                        company.reread()
                    continue
                log.info("counters", **counters.snapshot(), lag_ms=lag.told_ms())
                if told == signal.SIGUSR1:
                    for row in balancer_actor.told():
                        log.info("host", **row)
                    for row in company.told() if company is not None else ():
                        log.info("member", **row)
                    for row in company.shares() if company is not None else ():
                        log.info("budget", **row)
                    for row in company.tasks() if company is not None else ():
                        log.info("duty", **row)
                if told != signal.SIGUSR1 and phase.stopped_at is None:
                    phase.stop(anyio.current_time())
                    if company is not None:
                        company.retire()
                    tasks.start_soon(leaving.stop)
    log.info("stopped", **counters.snapshot(), lag_ms=lag.told_ms())
