"""The balancer actor's mailbox, into which other tasks put messages."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import anyio

from larchlatch.node import messages

if TYPE_CHECKING:
    from larchlatch.node.metrics import Counters

CAPACITY = 1024  # messages; while the mailbox is full, tasks that read from sockets wait


class MailboxCounter(StrEnum):
    """Names of the counters of the mailbox."""

    CLUSTER_MESSAGES_DROPPED = "cluster_messages_dropped"


class Mailbox:
    """A bounded queue of messages with one receiver. The cluster sends its events to it as well."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._sender, self._receiver = anyio.create_memory_object_stream[messages.Message](CAPACITY)

    async def post(self, message: messages.Message) -> None:
        """Send a message, waiting for room even if the caller is cancelled."""
        # Without the outcome of its attempt a session would never get a final answer.
        with anyio.CancelScope(shield=True):
            await self._sender.send(message)

    def offer(self, message: messages.Message) -> bool:
        """Send a message if there is room now; return whether there was."""
        try:
            self._sender.send_nowait(message)
        except anyio.WouldBlock:
            return False
        return True

    async def submit(self, message: messages.SessionArrived) -> None:
        """Send a new session, waiting for room; nothing is sent if the caller is cancelled meanwhile."""
        await self._sender.send(message)

    def advise_ejection(self, advice: messages.EjectionAdvised) -> None:
        """Send advice of the cluster; without room it is dropped, as the cluster repeats it."""
        self._offer_counted(advice)

    def receive_tokens(self, tokens: messages.SlowStartTokens) -> bool:
        """Send the token issuer's decision if there is room now; return whether there was."""
        return self._offer_counted(tokens)

    def _offer_counted(self, message: messages.Message) -> bool:
        accepted = self.offer(message)
        if not accepted:
            self._counters.add(MailboxCounter.CLUSTER_MESSAGES_DROPPED)
        return accepted

    async def receive(self) -> messages.Message:
        """Wait for the next message."""
        return await self._receiver.receive()

    def receive_buffered(self) -> messages.Message | None:
        """Return the next message if one is buffered, or None."""
        if not self._receiver.statistics().current_buffer_used:
            return None
        return self._receiver.receive_nowait()
