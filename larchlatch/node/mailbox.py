"""The balancer actor's mailbox: the address by which others reach it, made before they and the actor are."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from larchlatch.node.messages import Advised, Message, Paced

if TYPE_CHECKING:
    from larchlatch.node.messages import Arrived
    from larchlatch.node.metrics import Counters

CAPACITY = 1024  # messages: when it is full, those wait who read from sockets

ADVICE_DROPPED = "advice_dropped"


class Mailbox:
    """A bounded queue of messages with one reader; to the cluster it is the node's `Hearing`."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._sender, self._receiver = anyio.create_memory_object_stream[Message](CAPACITY)

    async def post(self, message: Message) -> None:
        """Add a message, waiting for space also where the caller is cancelled.

        An attempt's outcome that was lost on the way would leave its session without a final answer.
        """
        with anyio.CancelScope(shield=True):
            await self._sender.send(message)

    def offer(self, message: Message) -> bool:
        """Add a message if there is space; return whether there was."""
        try:
            self._sender.send_nowait(message)
        except anyio.WouldBlock:
            return False
        return True

    async def submit(self, message: Arrived) -> None:
        """Add a new session, waiting for space; cancellation takes it back."""
        await self._sender.send(message)

    async def receive(self) -> Message:
        """Wait for the next message."""
        return await self._receiver.receive()

    def receive_buffered(self) -> Message | None:
        """Return the next message that lies in the buffer; None where there is none."""
        if not self._receiver.statistics().current_buffer_used:
            return None
        return self._receiver.receive_nowait()

    def advise(self, looks: list[str], failed: list[tuple[str, int]]) -> None:
        """Pass on what other nodes say of upstreams; dropped where there is no space, as it is said again."""
        if not self.offer(Advised(looks, failed)):
            self._counters.add(ADVICE_DROPPED)

    def pace(self, until: int, upstream: str, session: int, at: int) -> bool:
        """Pass on what the cluster's token issuer says; return whether there was space for it."""
        if self.offer(Paced(until, upstream, session, at)):
            return True
        self._counters.add(ADVICE_DROPPED)
        return False
