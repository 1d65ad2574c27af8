"""The actor of one host: its setup tries, its probes, and what the links that stand there show of it."""

from __future__ import annotations

import socket
import statistics
from collections import deque
from typing import NamedTuple

import anyio
import structlog
from anyio.abc import TaskGroup

from larchlatch.links import Outcome
from larchlatch.node.clock import now_us, seconds_until
from larchlatch.node.memory.counters import Counters
from larchlatch.node.memory.hand import Delivered, GivenUp, Hand
from larchlatch.node.memory.room import Room
from larchlatch.node.wire import lines as say
from larchlatch.node.wire.stream import Ending, Lines, Unconnected, connect, dial, lines_of, written
from larchlatch.node.words import DelayNote, LoadNote, Post, Probed, Quiet, Stood, Tried

MAILBOX = 4096  # orders: a crowd of all clients of a node at one host
BEAT_S = 0.25  # between two looks at what waits for an answer: short against the silence that counts
BEHIND_US = 500_000  # a look that comes so long after the last: this node was stopped, or had no processor
NOTE_US = 1_000_000  # delay notes come once a second
SILENT_US = 1_500_000  # a link without an answer for so long is given up: sound ones are answered at once
STALLED_US = 10_000_000  # a client that reads nothing for so long is cut off: sound ones read at once
QUIET_US = 500_000  # no answer to any link for so long is told at once: many round trips between zones
AHEAD_US = 20_000  # a line is on its way to another zone for less than this
ROOM_S = 0.005  # between two looks for a descriptor, where all are held
PROBE_S = 0.4  # a probe's answer takes a round trip; by then the next one is nearly due
NOTED_SHARE = 3  # messages that take over a third of the strictest wanted time are told of

log = structlog.get_logger()


class Try(NamedTuple):
    """A setup try, given up at `until`."""

    hand: Hand
    until: int


class Probe(NamedTuple):
    """A look at the host."""


class Reach(NamedTuple):
    """What the node's settings say of how hosts are reached and watched."""

    dial_us: int
    probe_tells_load: bool
    tells_delay: bool
    strictest_us: int  # the shortest time within which a message is wanted; 0 where unknown


class Peer:
    def __init__(
        self,
        number: int,
        name: str,
        address: tuple[str, int],
        reach: Reach,
        room: Room,
        counters: Counters,
        post: Post,
    ) -> None:
        self.number = number
        self.name = name
        self.address = address
        self.reach = reach
        self.room = room
        self.counters = counters
        self.post = post
        self.open_to_new = True  # by what the list said last
        self.standing: dict[int, Hand] = {}
        self.trying = 0  # setup tries under way
        self.delays: deque[tuple[int, int]] = deque(maxlen=256)  # when an answer came, what it took
        self.noted_at = 0
        self.told_slow = False
        self.heard_at = 0  # when a line last came back on a standing link
        self.looked_at = now_us()
        self.awake_at = 0  # when this node went on after it had been behind
        self.probing = False
        self.look: Lines | None = None  # the connection that probes go over
        self.sender, self.orders = anyio.create_memory_object_stream[Try | Probe](MAILBOX)

    def order(self, order: Try | Probe) -> bool:
        """Put it into the mailbox; False where that is full: the module's actor never waits for a peer."""
        try:
            self.sender.send_nowait(order)
        except anyio.WouldBlock:
            return False
        return True

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.beat)
            async for order in self.orders:
                self.carry_out(tasks, order)

    def carry_out(self, tasks: TaskGroup, order: Try | Probe) -> None:
        if isinstance(order, Probe):
            tasks.start_soon(self.probe)
        else:
            tasks.start_soon(self.attempt, order.hand, order.until)

    # Setup tries.

    async def attempt(self, hand: Hand, until: int) -> None:
        """One setup try, and its outcome told."""
        outcome = Outcome.UNSENT
        began = now_us()
        if self.may_send(hand, until):
            self.trying += 1
            with anyio.CancelScope() as scope:
                outcome = Outcome.CANCELLED
                hand.attempt = scope
                try:
                    outcome = await self.tried(hand, until)
                except Exception:
                    outcome = Outcome.FAULT  # how far it had come is not known: it may have run
                    log.exception("a setup try failed")
            hand.attempt = None
            self.trying -= 1
        self.counters.add(f"try {outcome.name.lower()}")
        log.debug("tried", host=self.name, key=hand.opening.key, outcome=outcome.name, us=now_us() - began)
        if hand.opening.standing_at is None:
            await self.post(Tried(hand, outcome, hand.verdict is not None))
        elif outcome is Outcome.STANDS:
            await self.post(Stood(hand, self.number))
        else:
            hand.settle(GivenUp())

    async def tried(self, hand: Hand, until: int) -> Outcome:
        # Without a descriptor nothing has left this node: the module may try again, whatever the tariff.
        if not await self.room_had(min(self.reach.dial_us / 1e6, seconds_until(until))):
            return Outcome.UNSENT
        host: Lines | None = None
        kept = False
        try:
            sock = await dial(self.address, min(self.reach.dial_us / 1e6, seconds_until(until)))
            if isinstance(sock, Unconnected):
                return Outcome.UNSENT if sock is Unconnected.NO_ROOM else Outcome.UNREACHED
            with anyio.move_on_after(seconds_until(until)):
                # What was true at the decision may not be by now: dialling took its time, and the loop.
                if not self.may_send(hand, until):
                    sock.close()
                    return Outcome.UNSENT
                if not await self.said(sock, hand, until):
                    return Outcome.UNREACHED
                host = await lines_of(sock)
                outcome = await self.asked(hand, host)
                kept = outcome in (Outcome.STANDS, Outcome.ENDED)
                return outcome
            return Outcome.SILENT
        finally:
            # An answer that comes after this finds the connection closed: it can never reach the client.
            if not kept:
                if host is not None:
                    await host.close()
                self.room.give()

    async def room_had(self, within_s: float) -> bool:
        """Whether there is room for one more connection."""
        # Who makes way takes a moment to go: given up at once, all of a link's attempts would pass in that.
        with anyio.move_on_after(within_s):
            while not self.room.take(anyio.current_time()):
                await anyio.sleep(ROOM_S)
            return True
        return False

    def may_send(self, hand: Hand, until: int) -> bool:
        """Whether an attempt that was decided on may still go out."""
        now, why = now_us(), ""
        if hand.abandoned():
            why = "client gone"
        elif hand.opening.standing_at is None and not self.open_to_new:
            why = "host drains"
        elif now >= until:
            why = "too late"
        elif now + AHEAD_US >= hand.link.repeat_until:
            why = "its repeat would be forgotten"
        if why:
            self.counters.add(f"attempt not begun: {why}")
        return not why

    async def said(self, sock: socket.socket, hand: Hand, until: int) -> bool:
        """Whether the link's line was written whole; if not, it can't have run."""
        whole = False
        try:
            whole = await written(sock, say.try_line(hand.opening, until - now_us()))
        finally:
            if not whole:
                sock.close()
        return whole

    async def asked(self, hand: Hand, host: Lines) -> Outcome:
        """What the host answers to the link's line."""
        while True:
            line = await host.line()
            if line is Ending.TOO_LONG:
                return Outcome.FAULT
            if isinstance(line, Ending):
                return Outcome.CUT
            match say.said_by_host(line):
                case say.Load(load):
                    await self.post(LoadNote(hand, load))
                case say.Busy():
                    return Outcome.REFUSED
                case say.Moved():
                    return Outcome.CANCELLED
                case say.Up() | say.Bye() as said:
                    if not hand.settle(Delivered(host, line, self.number)):
                        return Outcome.CANCELLED
                    return Outcome.STANDS if isinstance(said, say.Up) else Outcome.ENDED
                case _:
                    return Outcome.FAULT

    # What standing links show.

    def answered(self, hand: Hand) -> None:
        """A line has come back on a standing link."""
        now = self.heard_at = now_us()
        self.look_up(now)
        if hand.asked_at:
            if hand.asked_at >= self.awake_at:
                self.delays.append((now, now - hand.asked_at))
            hand.asked_at = 0

    def look_up(self, now: int) -> None:
        """Notice whether this node itself has been behind."""
        # Danger: a node that was stopped has not read what hosts answered meanwhile. It would call them all
        # quiet or slow, move their links and turn clients away: its own silence is no host's.
        if now > self.looked_at + BEHIND_US:
            self.awake_at = self.looked_at = now
            self.counters.add("host not judged: behind")

    def waits_since(self, hand: Hand) -> int:
        """From when on its host owes the answer that a link waits for."""
        return max(hand.asked_at, self.awake_at)

    async def beat(self) -> None:
        suspects: set[int] = set()
        while True:
            await anyio.sleep(BEAT_S)
            now = now_us()
            self.look_up(now)
            self.looked_at = now
            waiting = {
                n: h for n, h in self.standing.items() if h.asked_at and not h.stalled_at and not h.silent
            }
            # It reads nothing, and holds two descriptors and what waits for it.
            for hand in self.standing.values():
                if hand.stalled_at and now >= hand.stalled_at + STALLED_US and not hand.move.is_set():
                    self.counters.add("client does not read")
                    hand.move.set()
            silent = {n for n, hand in waiting.items() if now >= self.waits_since(hand) + SILENT_US}
            # A host that has vanished resets nothing: its links would stay open and silent for good. Each is
            # looked at twice: after a lag of this node's own, answers lie here that have not been read yet.
            for number in silent & suspects:
                waiting[number].silent = True
                waiting[number].move.set()
            suspects = silent
            if now >= self.noted_at + NOTE_US or not self.told_slow:
                since = [self.waits_since(h) for h in waiting.values() if h.asked_at > self.heard_at]
                oldest = min(since, default=now)
                if now >= oldest + QUIET_US:
                    self.noted_at, self.told_slow = now, True
                    self.counters.add("host quiet")
                    log.debug("quiet", host=self.name, us=now - oldest, links=len(self.standing))
                    await self.post(Quiet(self.number))
            if self.reach.tells_delay and self.reach.strictest_us and now >= self.noted_at + NOTE_US:
                self.noted_at = now
                await self.note(now)

    async def note(self, now: int) -> None:
        """What a message takes here now: told once a second while it is long, and once when it is over."""
        if not self.standing:
            return
        took = [delay for at, delay in self.delays if at > now - NOTE_US]
        edge = self.reach.strictest_us // NOTED_SHARE
        waits = [now - self.waits_since(h) for h in self.standing.values() if h.asked_at and not h.stalled_at]
        took += [wait for wait in waits if wait > edge]
        if not took:
            return
        delay = int(statistics.median(took))
        log.debug(
            "delay", host=self.name, us=delay, answers=len(took), waits=len(waits), links=len(self.standing)
        )
        if delay > edge or self.told_slow:
            self.told_slow = delay > edge
            self.counters.add("delay note")
            await self.post(DelayNote(next(iter(self.standing.values())), delay))

    # Probes.

    async def probe(self) -> None:
        # Danger: two at once would read from the one connection that probes go over, which ends the node. A
        # host that says nothing holds a probe for longer than others may want the next: its end tells both.
        if self.probing:
            self.counters.add("probe under way already")
            return
        began, self.probing = now_us(), True
        try:
            said = await self.probed()
        finally:
            self.probing = False
        answered = said is not None
        x0, held = said if said is not None else (None, None)
        self.counters.add("probe answered" if answered else "probe failed")
        log.debug("probed", host=self.name, answered=answered, x0=x0, held=held, us=now_us() - began)
        await self.post(Probed(self.number, answered, x0, held))

    async def probed(self) -> say.Pong | None:
        # The connection kept from the last probe may have died unseen: that says nothing of the host now.
        for fresh in (self.look is None, True):
            if self.look is None:
                made = await connect(self.address, self.reach.dial_us / 1e6)
                if isinstance(made, Unconnected):
                    return None
                self.look = made
                self.room.lend(1)  # beside links and clients: many hosts would use up what is kept back
            look = self.look
            said = await self.looked(look)
            if isinstance(said, say.Pong):
                return said
            self.look = None
            self.room.lend(-1)
            await look.close()
            if fresh or not isinstance(said, Ending):
                break
        return None

    async def looked(self, look: Lines) -> say.Said | Ending | None:
        with anyio.move_on_after(PROBE_S):
            if not await look.send(say.STATS if self.reach.probe_tells_load else say.PING):
                return Ending.RESET
            line = await look.line()
            return line if isinstance(line, Ending) else say.said_by_host(line)
        return None
