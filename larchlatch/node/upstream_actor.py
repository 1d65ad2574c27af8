"""The actor of one upstream: makes attempts and probes on order, and watches the established sessions."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio

from larchlatch.node.attempts import Attempts
from larchlatch.node.probes import Prober
from larchlatch.node.session_watch import SessionWatch

if TYPE_CHECKING:
    from larchlatch.node.session_record import SessionRecord
    from larchlatch.node.upstream_context import UpstreamContext, UpstreamTarget

MAILBOX_CAPACITY = 4096  # orders; all clients of a node may be placed on one upstream at once


class StartAttempt(NamedTuple):
    """Order: make one attempt for a session.

    Attributes:
        record: the session.
        give_up_at: when the attempt times out, in microseconds of the node's clock.

    """

    record: SessionRecord
    give_up_at: int


class StartProbe(NamedTuple):
    """Order: probe the upstream once."""


Order = StartAttempt | StartProbe


class UpstreamActor:
    """Carries out orders for one upstream, each in a separate task.

    Attributes:
        target: the upstream's name, address and readiness.
        attempts: makes the attempts, and owns their sockets.
        prober: makes the probes, and owns the connection that they use.
        session_watch: watches the established sessions, whose sockets belong to their relays.
        post: sends a message to the balancer actor.

    """

    def __init__(self, target: UpstreamTarget, context: UpstreamContext) -> None:
        self.target = target
        self.attempts = Attempts(target, context)
        self.prober = Prober(target, context)
        self.session_watch = SessionWatch(target, context)
        self.post = context.post
        self._unfinished_count = 0  # orders that were offered and are not carried out yet
        self._stopped = False
        self._run_scope: anyio.CancelScope | None = None
        self._sender, self._orders = anyio.create_memory_object_stream[Order](MAILBOX_CAPACITY)

    @property
    def name(self) -> str:
        """The upstream's name in the endpoint list."""
        return self.target.name

    def update_target(self, address: tuple[str, int], *, accepts_sessions: bool) -> None:
        """Take over the upstream's address and readiness from the endpoint list."""
        if address != self.target.address or not accepts_sessions:
            self.prober.close_idle()
        self.target.address = address
        self.target.accepts_sessions = accepts_sessions

    def refuse_sessions(self) -> None:
        """Start no more attempts for new sessions, as the upstream is no longer in the endpoint list."""
        self.target.accepts_sessions = False
        self.prober.close_idle()

    def offer(self, order: Order) -> bool:
        """Put an order into the mailbox without waiting; return False if the mailbox is full."""
        try:
            self._sender.send_nowait(order)
        except anyio.WouldBlock:
            return False
        self._unfinished_count += 1
        return True

    @property
    def is_idle(self) -> bool:
        """Whether no order is waiting or carried out, and no session is established at the upstream."""
        return not self._unfinished_count and not self.session_watch.sessions

    def stop(self) -> None:
        """End the actor, which gets no further order, and close its connection for probes."""
        self._stopped = True
        self.prober.close_idle()
        if self._run_scope is None:
            self._close_mailbox()
        else:
            self._run_scope.cancel()

    async def run(self) -> None:
        """Watch the established sessions and carry out orders, until cancelled or stopped."""
        if self._stopped:
            return
        try:
            with anyio.CancelScope() as self._run_scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.session_watch.run)
                    async for order in self._orders:
                        tasks.start_soon(self._carry_out, order)
        finally:
            self._close_mailbox()

    async def _carry_out(self, order: Order) -> None:
        try:
            if isinstance(order, StartProbe):
                await self.prober.run()
            else:
                await self.attempts.run(order.record, order.give_up_at)
        finally:
            self._unfinished_count -= 1

    def _close_mailbox(self) -> None:
        self._sender.close()
        self._orders.close()
