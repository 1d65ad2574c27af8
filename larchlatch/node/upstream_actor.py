"""The actor of one upstream: it carries out orders for attempts and probes, and watches sessions there."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio

from larchlatch.node.attempts import Attempts
from larchlatch.node.probes import Prober
from larchlatch.node.session_watch import SessionWatch
from larchlatch.node.upstream_target import UpstreamTarget

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from larchlatch.config.upstream import UpstreamSettings
    from larchlatch.node.descriptor_budget import DescriptorBudget
    from larchlatch.node.messages import Post
    from larchlatch.node.metrics import Counters
    from larchlatch.node.session_record import SessionRecord

MAILBOX_CAPACITY = 4096  # orders: all clients of a node may come to one upstream at once


class StartAttempt(NamedTuple):
    """Order: make one attempt for a session, which times out at `give_up_at` of the node's clock."""

    record: SessionRecord
    give_up_at: int


class StartProbe(NamedTuple):
    """Order: probe the upstream once."""


Order = StartAttempt | StartProbe


class UpstreamActor:
    """Takes orders for one upstream; each runs in a task of its own.

    Attributes:
        target: the upstream's name and address.
        attempts: the attempts, which own their sockets.
        prober: the probes, which own theirs.
        session_watch: the established sessions; their relays own the sockets.
        post: sends a message to the balancer actor.

    """

    def __init__(
        self,
        number: int,
        name: str,
        address: tuple[str, int],
        settings: UpstreamSettings,
        descriptors: DescriptorBudget,
        counters: Counters,
        post: Post,
    ) -> None:
        self.target = UpstreamTarget(number, name, address)
        self.attempts = Attempts(self.target, settings, descriptors, counters, post)
        self.prober = Prober(self.target, settings, descriptors, counters, post)
        self.session_watch = SessionWatch(self.target, settings, counters, post)
        self.post = post
        self._sender, self._orders = anyio.create_memory_object_stream[Order](MAILBOX_CAPACITY)

    @property
    def name(self) -> str:
        """The upstream's name in the endpoint list."""
        return self.target.name

    def follow(self, address: tuple[str, int], *, accepts_sessions: bool) -> None:
        """Take over what the endpoint list says of the upstream."""
        self.target.address = address
        self.target.accepts_sessions = accepts_sessions

    def refuse_sessions(self) -> None:
        """Begin no new attempts: the endpoint list no longer has the upstream."""
        self.target.accepts_sessions = False

    def offer(self, order: Order) -> bool:
        """Put an order into the mailbox; return False if it is full, as the balancer actor never waits."""
        try:
            self._sender.send_nowait(order)
        except anyio.WouldBlock:
            return False
        return True

    async def run(self) -> None:
        """Watch the sessions and carry out orders until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.session_watch.run)
            async for order in self._orders:
                self._start(tasks, order)

    def _start(self, tasks: TaskGroup, order: Order) -> None:
        if isinstance(order, StartProbe):
            tasks.start_soon(self.prober.run)
        else:
            tasks.start_soon(self.attempts.run, order.record, order.give_up_at)
