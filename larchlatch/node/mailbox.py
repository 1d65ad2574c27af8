"""The balancer actor's mailbox, and how others put messages into it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from larchlatch.node import messages

if TYPE_CHECKING:
    from larchlatch.node.metrics import Counters

CAPACITY = 1024  # messages: when it is full, tasks that read from sockets wait
CLUSTER_MESSAGES_DROPPED = "cluster_messages_dropped"


class Mailbox:
    """A bounded queue of messages with one receiver; it is what the cluster posts its events to."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._sender, self._receiver = anyio.create_memory_object_stream[messages.Message](CAPACITY)

    async def post(self, message: messages.Message) -> None:
        """Send a message, waiting for room even if the caller is cancelled."""
        # An outcome lost on the way would leave its session without a final answer.
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
        """Send a new session, waiting for room; a caller that is cancelled takes it back."""
        await self._sender.send(message)

    def advise_ejection(self, advice: messages.EjectionAdvised) -> None:
        """Send advice of the cluster, or drop it if there is no room: the cluster repeats it."""
        self._offer_counted(advice)

    def receive_tokens(self, tokens: messages.SlowStartTokens) -> bool:
        """Send the token issuer's decision if there is room now; return whether there was."""
        return self._offer_counted(tokens)

    def _offer_counted(self, message: messages.Message) -> bool:
        taken = self.offer(message)
        if not taken:
            self._counters.add(CLUSTER_MESSAGES_DROPPED)
        return taken

    async def receive(self) -> messages.Message:
        """Wait for the next message."""
        return await self._receiver.receive()

    def receive_buffered(self) -> messages.Message | None:
        """Return the next message that lies in the buffer, or None."""
        if not self._receiver.statistics().current_buffer_used:
            return None
        return self._receiver.receive_nowait()
