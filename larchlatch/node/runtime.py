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
from larchlatch.node.mailbox import Mailbox
from larchlatch.node.messages import EndpointsChanged
from larchlatch.node.metrics import Counters
from larchlatch.node.reload import reread
from larchlatch.node.shutdown import GRANTED_S, SPARE_S, Leaving
from larchlatch.node.upstream_registry import UpstreamRegistry
from larchlatch.node.wire.listen import Listener, NoAccept
from larchlatch.policy.balancer import Balancer

if TYPE_CHECKING:
    from pathlib import Path

    from anyio.abc import TaskGroup, TaskStatus

    from larchlatch.config.node import Plan
    from larchlatch.node.ports import ClusterFactory

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
        while (sock := self.listener.accept_now()) is not None:
            self.descriptors.lend(1)  # the door gives it back; short or not, it can be answered now or never
            self.tasks.start_soon(self.door.serve, sock)
        self.listener.sock.close()

    async def accept(self) -> None:
        while True:
            if not self.descriptors.take(anyio.current_time()):
                # Out of descriptors: who comes now waits in the backlog, which costs nothing.
                self.door.counters.add("accepting paused")
                while not self.descriptors.take(anyio.current_time()):
                    await anyio.sleep(PAUSE_S)
            sock = None
            try:
                sock = await self.listener.accept()
            except NoAccept:
                self.door.counters.add("accept failed")
            finally:
                if sock is None:
                    self.descriptors.give()
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
    plan: Plan,
    path: Path,
    join: ClusterFactory | None = None,
    *,
    task_status: TaskStatus[int] = TASK_STATUS_IGNORED,
) -> None:
    """Serve by this plan, read from that file, until told to stop; says on which port once it can."""
    counters = Counters()
    descriptors = DescriptorBudget(plan.sockets)
    chance = random.Random(plan.seed)
    mailbox = Mailbox(counters)
    discovery = DiscoveryClient(
        plan.discovery, plan.known.revision, plan.pushed, counters, mailbox.post, chance.uniform
    )
    cluster = None if join is None else join(counters, random.Random(chance.getrandbits(64)), mailbox)
    balancer_actor = BalancerActor(
        Balancer(plan.settings, chance),
        plan.traffic_classes,
        mailbox,
        UpstreamRegistry(plan.zones, plan.reach, descriptors, counters, mailbox.post),
        counters,
        discovery=discovery,
        cluster=cluster,
    )
    lag = Lag()
    ready = anyio.Event()
    phase = Phase(plan.longest_wait_us / 1e6 + GRANTED_S - SPARE_S, plan.passes_through)
    door = Door(
        balancer_actor,
        plan.traffic_classes,
        plan.tenants,
        plan.longest_wait_us,
        descriptors,
        counters,
        ready,
        phase,
    )
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        async with anyio.create_task_group() as tasks:
            leaving = Leaving(phase, door, counters, tasks)
            if plan.control is not None:
                # Before all else: operators are answered from the start, if only that it can't serve yet.
                operators = Listener.bound(plan.control, DOOR_BACKLOG)
                log.info("operators' door", listen=operators.address)
                tasks.start_soon(AdminApi(phase, leaving.drain, counters).run, operators)
            tasks.start_soon(lag.run)
            if cluster is not None:
                tasks.start_soon(cluster.run)
            meeting = Meeting.of(plan)
            taking = None if meeting is None else await Taking.reached(plan, meeting, counters)
            # The list held from before comes first: old as it may be, links can be placed by it at once.
            held = plan.known
            if taking is not None and taking.members.revision >= held.revision:
                held = taking.members
            discovery.revision = held.revision
            balancer_actor.handle(now_us(), EndpointsChanged(held, from_discovery=False))
            tasks.start_soon(balancer_actor.run)
            tasks.start_soon(discovery.run)
            if taking is not None:
                listener = taking.listener
            else:
                listener = Listener.bound(plan.listen, BACKLOG, shared=plan.control is not None)
            entrance = Entrance(listener, door, descriptors, tasks)
            leaving.shut = entrance.shut
            tasks.start_soon(entrance.run)
            if taking is None:
                entrance.gate(True)
            with anyio.move_on_after(FIRST_LIST_S):
                await discovery.fresh.wait()
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
                upstreams=len(balancer_actor.upstreams.actors),
                passes_through=plan.passes_through,
            )
            task_status.started(listener.address[1])
            async for told in signals:
                if told == signal.SIGHUP:
                    plan = reread(plan, path, discovery, counters)
                    if cluster is not None:
                        cluster.reload()
                    continue
                log.info("counters", **counters.told(), lag_ms=lag.told_ms())
                if told == signal.SIGUSR1:
                    for row in balancer_actor.upstream_rows():
                        log.info("host", **row)
                    for row in cluster.member_rows() if cluster is not None else ():
                        log.info("member", **row)
                    for row in cluster.quota_rows() if cluster is not None else ():
                        log.info("budget", **row)
                    for row in cluster.role_rows() if cluster is not None else ():
                        log.info("duty", **row)
                if told != signal.SIGUSR1 and phase.stopped_at is None:
                    phase.stop(anyio.current_time())
                    if cluster is not None:
                        cluster.resign()
                    tasks.start_soon(leaving.stop)
    log.info("stopped", **counters.told(), lag_ms=lag.told_ms())
