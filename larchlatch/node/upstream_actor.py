"""The actor of one host: its setup tries, its probes, and what the links that stand there show of it."""

from __future__ import annotations

import socket
import statistics
from collections import deque
from typing import NamedTuple

import anyio
import structlog
from anyio.abc import TaskGroup

from larchlatch.config.upstream import UpstreamSettings
from larchlatch.node.clock import now_us, seconds_until
from larchlatch.node.descriptor_budget import DescriptorBudget
from larchlatch.node.messages import AttemptFinished, DelayNote, LoadNote, Post, Probed, Quiet, Stood
from larchlatch.node.metrics import Counters
from larchlatch.node.session_record import Delivered, Failed, SessionRecord
from larchlatch.node.wire import lines as say
from larchlatch.node.wire.stream import Ending, Lines, Unconnected, connect, dial, lines_of, written
from larchlatch.policy.types import Outcome

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


class StartAttempt(NamedTuple):
    """A setup try, given up at `until`."""

    record: SessionRecord
    until: int


class Probe(NamedTuple):
    """A look at the host."""


class UpstreamActor:
    def __init__(
        self,
        number: int,
        name: str,
        address: tuple[str, int],
        reach: UpstreamSettings,
        descriptors: DescriptorBudget,
        counters: Counters,
        post: Post,
    ) -> None:
        self.number = number
        self.name = name
        self.address = address
        self.reach = reach
        self.descriptors = descriptors
        self.counters = counters
        self.post = post
        self.open_to_new = True  # by what the list said last
        self.standing: dict[int, SessionRecord] = {}
        self.trying = 0  # setup tries under way
        self.delays: deque[tuple[int, int]] = deque(maxlen=256)  # when an answer came, what it took
        self.noted_at = 0
        self.told_slow = False
        self.heard_at = 0  # when a line last came back on a standing link
        self.looked_at = now_us()
        self.awake_at = 0  # when this node went on after it had been behind
        self.probing = False
        self.look: Lines | None = None  # the connection that probes go over
        self.sender, self.orders = anyio.create_memory_object_stream[StartAttempt | Probe](MAILBOX)

    def order(self, order: StartAttempt | Probe) -> bool:
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

    def carry_out(self, tasks: TaskGroup, order: StartAttempt | Probe) -> None:
        if isinstance(order, Probe):
            tasks.start_soon(self.probe)
        else:
            tasks.start_soon(self.attempt, order.record, order.until)

    # Setup tries.

    async def attempt(self, record: SessionRecord, until: int) -> None:
        """One setup try, and its outcome told."""
        outcome = Outcome.NOT_SENT
        began = now_us()
        if self.may_send(record, until):
            self.trying += 1
            with anyio.CancelScope() as scope:
                outcome = Outcome.CANCELLED
                record.attempt = scope
                try:
                    outcome = await self.tried(record, until)
                except Exception:
                    outcome = Outcome.ERROR  # how far it had come is not known: it may have run
                    log.exception("a setup try failed")
            record.attempt = None
            self.trying -= 1
        self.counters.add(f"try {outcome.name.lower()}")
        log.debug(
            "tried", upstream=self.name, key=record.opening.key, outcome=outcome.name, us=now_us() - began
        )
        if record.opening.standing_at is None:
            await self.post(AttemptFinished(record, outcome, record.verdict is not None))
        elif outcome is Outcome.ESTABLISHED:
            await self.post(Stood(record, self.number))
        else:
            record.settle(Failed())

    async def tried(self, record: SessionRecord, until: int) -> Outcome:
        # Without a descriptor nothing has left this node: the module may try again, whatever the tariff.
        if not await self.room_had(min(self.reach.connect_timeout_us / 1e6, seconds_until(until))):
            return Outcome.NOT_SENT
        upstream: Lines | None = None
        kept = False
        try:
            sock = await dial(self.address, min(self.reach.connect_timeout_us / 1e6, seconds_until(until)))
            if isinstance(sock, Unconnected):
                return Outcome.NOT_SENT if sock is Unconnected.NO_ROOM else Outcome.CONNECT_FAILED
            with anyio.move_on_after(seconds_until(until)):
                # What was true at the decision may not be by now: dialling took its time, and the loop.
                if not self.may_send(record, until):
                    sock.close()
                    return Outcome.NOT_SENT
                if not await self.said(sock, record, until):
                    return Outcome.CONNECT_FAILED
                upstream = await lines_of(sock)
                outcome = await self.asked(record, upstream)
                kept = outcome in (Outcome.ESTABLISHED, Outcome.COMPLETED)
                return outcome
            return Outcome.TIMED_OUT
        finally:
            # An answer that comes after this finds the connection closed: it can never reach the client.
            if not kept:
                if upstream is not None:
                    await upstream.close()
                self.descriptors.release()

    async def room_had(self, within_s: float) -> bool:
        """Whether there is room for one more connection."""
        # Who makes way takes a moment to go: given up at once, all of a link's attempts would pass in that.
        with anyio.move_on_after(within_s):
            while not self.descriptors.reserve(anyio.current_time()):
                await anyio.sleep(ROOM_S)
            return True
        return False

    def may_send(self, record: SessionRecord, until: int) -> bool:
        """Whether an attempt that was decided on may still go out."""
        now, why = now_us(), ""
        if record.abandoned():
            why = "client gone"
        elif record.opening.standing_at is None and not self.open_to_new:
            why = "host drains"
        elif now >= until:
            why = "too late"
        elif now + AHEAD_US >= record.session.repeat_until:
            why = "its repeat would be forgotten"
        if why:
            self.counters.add(f"attempt not begun: {why}")
        return not why

    async def said(self, sock: socket.socket, record: SessionRecord, until: int) -> bool:
        """Whether the link's line was written whole; if not, it can't have run."""
        whole = False
        try:
            whole = await written(sock, say.try_line(record.opening, until - now_us()))
        finally:
            if not whole:
                sock.close()
        return whole

    async def asked(self, record: SessionRecord, upstream: Lines) -> Outcome:
        """What the host answers to the link's line."""
        while True:
            line = await upstream.line()
            if line is Ending.TOO_LONG:
                return Outcome.ERROR
            if isinstance(line, Ending):
                return Outcome.RESET
            match say.parse_upstream_line(line):
                case say.Load(load):
                    await self.post(LoadNote(record, load))
                case say.Busy():
                    return Outcome.REJECTED
                case say.Moved():
                    return Outcome.CANCELLED
                case say.Up() | say.Bye() as said:
                    if not record.settle(Delivered(upstream, line, self.number)):
                        return Outcome.CANCELLED
                    return Outcome.ESTABLISHED if isinstance(said, say.Up) else Outcome.COMPLETED
                case _:
                    return Outcome.ERROR

    # What standing links show.

    def answered(self, record: SessionRecord) -> None:
        """A line has come back on a standing link."""
        now = self.heard_at = now_us()
        self.look_up(now)
        if record.asked_at:
            if record.asked_at >= self.awake_at:
                self.delays.append((now, now - record.asked_at))
            record.asked_at = 0

    def look_up(self, now: int) -> None:
        """Notice whether this node itself has been behind."""
        # Danger: a node that was stopped has not read what hosts answered meanwhile. It would call them all
        # quiet or slow, move their links and turn clients away: its own silence is no host's.
        if now > self.looked_at + BEHIND_US:
            self.awake_at = self.looked_at = now
            self.counters.add("host not judged: behind")

    def waits_since(self, record: SessionRecord) -> int:
        """From when on its host owes the answer that a link waits for."""
        return max(record.asked_at, self.awake_at)

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
            for record in self.standing.values():
                if record.stalled_at and now >= record.stalled_at + STALLED_US and not record.move.is_set():
                    self.counters.add("client does not read")
                    record.move.set()
            silent = {n for n, record in waiting.items() if now >= self.waits_since(record) + SILENT_US}
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
                    log.debug("quiet", upstream=self.name, us=now - oldest, sessions=len(self.standing))
                    await self.post(Quiet(self.number))
            if (
                self.reach.reports_delay
                and self.reach.strictest_message_objective_us
                and now >= self.noted_at + NOTE_US
            ):
                self.noted_at = now
                await self.note(now)

    async def note(self, now: int) -> None:
        """What a message takes here now: told once a second while it is long, and once when it is over."""
        if not self.standing:
            return
        took = [delay for at, delay in self.delays if at > now - NOTE_US]
        edge = self.reach.strictest_message_objective_us // NOTED_SHARE
        waits = [now - self.waits_since(h) for h in self.standing.values() if h.asked_at and not h.stalled_at]
        took += [wait for wait in waits if wait > edge]
        if not took:
            return
        delay = int(statistics.median(took))
        log.debug(
            "delay",
            upstream=self.name,
            us=delay,
            answers=len(took),
            waits=len(waits),
            sessions=len(self.standing),
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
        utilization, held = said if said is not None else (None, None)
        self.counters.add("probe answered" if answered else "probe failed")
        log.debug(
            "probed",
            upstream=self.name,
            answered=answered,
            utilization=utilization,
            held=held,
            us=now_us() - began,
        )
        await self.post(Probed(self.number, answered, utilization, held))

    async def probed(self) -> say.Pong | None:
        # The connection kept from the last probe may have died unseen: that says nothing of the host now.
        for fresh in (self.look is None, True):
            if self.look is None:
                made = await connect(self.address, self.reach.connect_timeout_us / 1e6)
                if isinstance(made, Unconnected):
                    return None
                self.look = made
                self.descriptors.lend(
                    1
                )  # beside links and clients: many hosts would use up what is kept back
            look = self.look
            said = await self.looked(look)
            if isinstance(said, say.Pong):
                return said
            self.look = None
            self.descriptors.lend(-1)
            await look.close()
            if fresh or not isinstance(said, Ending):
                break
        return None

    async def looked(self, look: Lines) -> say.Said | Ending | None:
        with anyio.move_on_after(PROBE_S):
            if not await look.send(say.STATS if self.reach.probes_report_load else say.PING):
                return Ending.RESET
            line = await look.line()
            return line if isinstance(line, Ending) else say.parse_upstream_line(line)
        return None
