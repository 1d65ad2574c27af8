"""A client's connection: its first line, its one final answer, its standing link."""

from __future__ import annotations

from itertools import count

import anyio
import structlog
from anyio.abc import SocketStream
from xxhash import xxh3_64_intdigest

from larchlatch.links import Link, Outcome
from larchlatch.node.clock import now_us
from larchlatch.node.memory.counters import Counters
from larchlatch.node.memory.hand import Delivered, GivenUp, Hand, Shed
from larchlatch.node.memory.room import Room
from larchlatch.node.module import Module
from larchlatch.node.peer import Try
from larchlatch.node.relay import Ended, Relay, Side
from larchlatch.node.wire import lines as say
from larchlatch.node.wire.stream import Ending, Lines
from larchlatch.node.words import Arrived, Left, Tried

FIRST_LINE_S = 10.0  # a client that has not said what it wants by then is dropped
MOVE_S = 0.5  # a client that does not read so long is cut off: it can't be told to move
LAG_US = 150_000  # the answer leaves so much before the cut-off: a node in a crowd took 0.1 s to pass one on
LAG_SHARE = 10  # but no more than a tenth of a short cut-off

log = structlog.get_logger()


class Door:
    """What all clients' connections share."""

    def __init__(
        self,
        module: Module,
        tariffs: list[str],
        tenants: list[str],
        room: Room,
        counters: Counters,
        ready: anyio.Event,
    ) -> None:
        self.module = module
        self.tariffs = {name: place for place, name in enumerate(tariffs)}
        self.tenants = frozenset(tenants)
        self.room = room
        self.counters = counters
        self.ready = ready  # set once the node can serve
        self.numbers = count()
        self.standing: dict[int, Hand] = {}
        self.in_hand = 0  # links taken that are not over

    async def serve(self, stream: SocketStream) -> None:
        """One connection, from its first line to its end; nothing that goes wrong leaves here."""
        client = Lines(stream)
        try:
            await self.served(client)
        except Exception:
            self.counters.add("connection failed")
            log.exception("a client's connection failed")
            if not client.spoken_to:
                await client.send(say.FAILED)
                await client.finish(Ending.END)
        finally:
            await client.close()
            self.room.give()

    async def served(self, client: Lines) -> None:
        line: bytes | Ending = Ending.RESET
        with anyio.move_on_after(FIRST_LINE_S):
            line = await client.line()
        while line == say.PING:
            await self.ready.wait()
            await client.send(say.PONG)
            line = await client.line()
        # In a crowd a line may lie unread for a tenth of a second, and the client's time runs from when it
        # came: counted from the reading, the answer would find that the client has given up.
        now = now_us() - client.waited_us()
        if line is Ending.TOO_LONG:
            await self.refuse_line(client, "line too long")
        elif not isinstance(line, Ending):
            opening = say.opening_of(line)
            if isinstance(opening, say.BadLine):
                await self.refuse_line(client, opening.why)
            elif isinstance(opening, say.Ping):
                await client.send(say.PONG)
            elif opening.tariff not in self.tariffs:
                await self.refuse_line(client, f"unknown tariff {opening.tariff[:40]!r}")
            elif opening.tenant is not None and self.tenants and opening.tenant not in self.tenants:
                await self.refuse_line(client, f"unknown tenant {opening.tenant[:40]!r}")
            else:
                await self.taken(client, self.hand(now, opening), now)

    async def refuse_line(self, client: Lines, why: str) -> None:
        self.counters.add("line refused")
        log.debug("line refused", why=why)
        await client.send(say.FAILED)
        await client.finish(Ending.END)

    def hand(self, now: int, opening: say.Opening) -> Hand:
        wait_us = opening.wait_ms * 1000
        link = Link(
            number=next(self.numbers),
            tariff=self.tariffs[opening.tariff],
            key=xxh3_64_intdigest(opening.key.encode()),
            group=xxh3_64_intdigest(opening.group.encode()) if opening.group else None,
            cut_off=now + wait_us - min(LAG_US, wait_us // LAG_SHARE),
            mid_flow=opening.mid_flow,
            load=opening.load,
        )
        return Hand(link, opening)

    async def taken(self, client: Lines, hand: Hand, now: int) -> None:
        """A link from its arrival, then, to its end."""
        self.counters.add("link taken")
        log.debug("taken", key=hand.opening.key, late_us=now_us() - now, wait_ms=hand.opening.wait_ms)
        self.in_hand += 1
        at = hand.opening.standing_at
        if at is None:
            await self.module.post(Arrived(hand))
        else:
            number = self.module.numbers.get(at)
            if number is None or not self.module.peers[number].order(Try(hand, hand.link.cut_off)):
                hand.settle(GivenUp())
        try:
            early = await self.answer(client, hand)
            verdict = hand.verdict
            if isinstance(verdict, Delivered):
                await self.stands(client, hand, verdict)
            elif early is None:
                shed = isinstance(verdict, Shed)
                self.counters.add("link shed" if shed else "link given up")
                await client.send(say.shed_line(verdict.back_us) if isinstance(verdict, Shed) else say.FAILED)
                await client.finish(Ending.END)
            else:
                self.counters.add("link left early")
        finally:
            self.in_hand -= 1
            await self.let_go(hand)

    async def let_go(self, hand: Hand) -> None:
        """Nothing of a link outlives its client's connection."""
        hand.gone = True
        if hand.attempt is not None:
            hand.attempt.cancel()
        await self.module.post(Left(hand))

    async def answer(self, client: Lines, hand: Hand) -> Ending | None:
        """Wait for the final answer; how the client ended if it did not wait itself."""
        early: Ending | None = None
        async with anyio.create_task_group() as tasks:

            async def heed() -> None:
                nonlocal early
                some = await client.some()
                if isinstance(some, Ending):
                    early = some
                    tasks.cancel_scope.cancel()
                else:
                    client.ready = some + client.ready  # said too soon: it goes to the host once there is one

            tasks.start_soon(heed)
            await hand.settled.wait()
            tasks.cancel_scope.cancel()
        return None if hand.verdict is not None else early

    async def stands(self, client: Lines, hand: Hand, verdict: Delivered) -> None:
        """Pass on the host's line, then all others, until it is over."""
        self.counters.add("link delivered")
        peer = self.module.peers[verdict.peer]
        number = hand.link.number
        peer.standing[number] = self.standing[number] = hand
        host = verdict.host
        ended = Ended(Side.CLIENT, Ending.RESET, Outcome.CANCELLED)
        try:
            if await client.send(verdict.line):
                ended = await Relay(hand, client, host, peer).run()
            del peer.standing[number]
            self.counters.add(f"link ended by {ended.side.value} ({ended.how.value})")
            log.debug("over", host=peer.name, key=hand.opening.key, side=ended.side.name, how=ended.how.name)
            if ended.side is not Side.CLIENT:
                await self.module.post(Tried(hand, ended.outcome, True))
            if ended.side is Side.NODE:
                self.counters.add("link moved off a silent host" if hand.silent else "link moved")
                with anyio.move_on_after(MOVE_S):
                    await client.send(say.MOVE)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.finish, ended.how)
                tasks.start_soon(host.finish, ended.how)
        finally:
            peer.standing.pop(number, None)
            del self.standing[number]
            await host.close(reset=True)
            self.room.give()
