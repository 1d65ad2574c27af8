"""A standing link: lines pass both ways until one side ends it, its host falls silent, or it is moved."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

import anyio

from larchlatch.links import Outcome
from larchlatch.node.clock import now_us
from larchlatch.node.memory.hand import Hand
from larchlatch.node.peer import Peer
from larchlatch.node.wire import lines as say
from larchlatch.node.wire.stream import Ending, Lines
from larchlatch.node.words import LoadNote


class Side(Enum):
    CLIENT = "client"
    HOST = "host"
    NODE = "node"


class Ended(NamedTuple):
    """Which side ended the link, in which way, and what the host had said of it last."""

    side: Side
    how: Ending
    outcome: Outcome


class Relay:
    def __init__(self, hand: Hand, client: Lines, host: Lines, peer: Peer) -> None:
        self.hand = hand
        self.client = client
        self.host = host
        self.peer = peer
        self.last: Outcome = Outcome.CUT  # what the end of the host's side means
        self.ended: Ended | None = None

    async def run(self) -> Ended:
        """Pass lines on until it ends; both sides are still open then, as far as they were."""
        async with anyio.create_task_group() as tasks:

            def end(side: Side, how: Ending, outcome: Outcome) -> None:
                if self.ended is None:
                    self.ended = Ended(side, how, outcome)
                tasks.cancel_scope.cancel()

            async def moved() -> None:
                await self.hand.move.wait()
                end(Side.NODE, Ending.END, Outcome.CUT if self.hand.silent else Outcome.CANCELLED)

            async def up() -> None:
                end(*await self.pass_up())

            async def down() -> None:
                end(*await self.pass_down())

            tasks.start_soon(moved)
            tasks.start_soon(up)
            tasks.start_soon(down)
        assert self.ended is not None
        return self.ended

    async def pass_up(self) -> Ended:
        """From the client to the host."""
        while True:
            some = await self.client.some()
            if isinstance(some, Ending):
                return Ended(Side.CLIENT, some, Outcome.CANCELLED)
            if not self.hand.asked_at:
                self.hand.asked_at = now_us()
            if not await self.host.send(b"".join(some)):
                return Ended(Side.HOST, Ending.RESET, self.last)

    async def pass_down(self) -> Ended:
        """From the host to the client."""
        while True:
            some = await self.host.some()
            if isinstance(some, Ending):
                return Ended(Side.HOST, some, self.last)
            for line in some:
                match say.said_by_host(line):
                    case say.Load(load):
                        await self.peer.post(LoadNote(self.hand, load))
                    case say.Bye():
                        self.last = Outcome.ENDED
                    case say.Moved():
                        self.last = Outcome.CANCELLED
                    case _:
                        self.peer.answered(self.hand)
            # While a client does not read, its host is not heard: that must not be taken for silence.
            self.hand.stalled = True
            sent = await self.client.send(b"".join(some))
            self.hand.stalled = False
            if not sent:
                return Ended(Side.CLIENT, Ending.RESET, Outcome.CANCELLED)
