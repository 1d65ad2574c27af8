"""The mailbox of the balancer actor: a bounded queue into which other tasks put messages."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import anyio

from larchlatch.node import messages

if TYPE_CHECKING:
    from larchlatch.node.metrics import Counters

CAPACITY = 1024  # messages; tasks that read from sockets wait while the mailbox is full


class MailboxCounter(StrEnum):
    """Names of the counters of the mailbox."""

    CLUSTER_MESSAGES_DROPPED = "cluster_messages_dropped"


class Mailbox:
    """A bounded queue of messages with one receiver; the cluster puts messages in through `ClusterEvents`."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._sender, self._receiver = anyio.create_memory_object_stream[messages.Message](CAPACITY)

    async def post(self, message: messages.Message) -> None:
        """Send a message, and wait until there is room for it even if the caller is cancelled."""
        # If the outcome of its attempt were lost, a session would never get a final answer.
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
        """Send a new session, and wait until there is room; nothing is sent if the caller is cancelled."""
        await self._sender.send(message)

    def advise_ejection(self, advice: messages.EjectionAdvised) -> None:
        """Put ejection advice into the mailbox; drop it if there is no room, as the cluster repeats it."""
        self._offer_counted(advice)

    def receive_tokens(self, tokens: messages.SlowStartTokens) -> bool:
        """Put the token issuer's decision into the mailbox if there is room; return whether there was."""
        return self._offer_counted(tokens)

    def _offer_counted(self, message: messages.Message) -> bool:
        accepted = self.offer(message)
        if not accepted:
            self._counters.add(MailboxCounter.CLUSTER_MESSAGES_DROPPED)
        return accepted

    async def receive(self) -> messages.Message:
        """Wait for the next message and return it."""
        return await self._receiver.receive()

    def receive_buffered(self) -> messages.Message | None:
        """Return the next message if one is buffered, or None."""
        if not self._receiver.statistics().current_buffer_used:
            return None
        return self._receiver.receive_nowait()
