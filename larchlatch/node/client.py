"""A client's connection: its first line, its one final answer, its standing link."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from itertools import count
from typing import NamedTuple

import anyio
import structlog
from xxhash import xxh3_64_intdigest

from larchlatch.node.balancer_actor import BalancerActor
from larchlatch.node.clock import now_us, seconds_until
from larchlatch.node.descriptor_budget import DescriptorBudget, IdleConnection
from larchlatch.node.hot_restart.packets import SessionHandover
from larchlatch.node.lifecycle_state import LifecycleState
from larchlatch.node.messages import AttemptFinished, ClientLeft, SessionAdopted, SessionArrived
from larchlatch.node.metrics import Counters
from larchlatch.node.relay import Ended, Relay, Side
from larchlatch.node.session_record import Delivered, Failed, SessionRecord, Shed
from larchlatch.node.upstream_actor import StartAttempt
from larchlatch.node.wire import lines as say
from larchlatch.node.wire.listen import stream_of
from larchlatch.node.wire.stream import (
    LINGER_S,
    Ending,
    Lines,
    answer_at_once,
    overheard,
    see_off,
    waited_us,
)
from larchlatch.policy.types import Outcome, Session

FIRST_LINE_S = 2.5  # a client is owed a word 3 s after it has connected, whatever it sends or does not
PINGED_S = 10.0  # a front that has asked whether this node serves may ask again within this
MOVE_S = 0.5  # a client that does not read so long is cut off: it can't be told to move
BACK_US = 200_000  # a client that a drained node sheds comes back through a front that knows by then
LAG_US = 150_000  # the answer leaves so much before the cut-off: a node in a crowd took 0.1 s to pass one on
LAG_SHARE = 10  # but no more than a tenth of a short cut-off
MOST_EARLY = 65536  # bytes that are taken from a client before it has a host: nobody reads them until then
CROSSING_S = 0.1  # for the line of a client that connects while this node ends: it is under way, or none
SHORT_LINGER_S = 0.02  # for a client's end after its answer, where links want its descriptor
ENDING_S = 0.25  # for the end of a resting connection then: the process is granted a moment only

# Hands a standing link over to another process of this node; False where that went wrong, and the link is
# still here.
SendSession = Callable[[SessionRecord, Lines, Lines, Outcome], Awaitable[bool]]

log = structlog.get_logger()


def lag_us(wait_us: int) -> int:
    """What is kept back of a client's time for the way of its answer."""
    return min(LAG_US, wait_us // LAG_SHARE)


class Heard(NamedTuple):
    """What a client had said before anything was made of its connection."""

    data: bytes
    opening: say.Opening | say.BadLine | None  # where that is one whole line
    came_us: int


class Door:
    """What all clients' connections share."""

    def __init__(
        self,
        balancer_actor: BalancerActor,
        traffic_classes: list[str],
        tenants: list[str],
        longest_wait_us: int,
        descriptors: DescriptorBudget,
        counters: Counters,
        ready: anyio.Event,
        phase: LifecycleState,
    ) -> None:
        self.balancer_actor = balancer_actor
        self.traffic_classes = {name: place for place, name in enumerate(traffic_classes)}
        self.tenants = frozenset(tenants)
        self.longest_wait_us = longest_wait_us  # no link is held for longer, whatever its client says
        self.descriptors = descriptors
        self.counters = counters
        self.ready = ready  # set once the node can serve
        self.phase = phase
        self.numbers = count()
        self.idents: dict[str, SessionRecord] = {}  # the links in hand or standing here by their clients' ids
        self.standing: dict[int, SessionRecord] = {}
        self.in_hand = 0  # links taken that are not over
        self.connections = 0  # that are open here, whatever they wait for
        self.resting: dict[anyio.CancelScope, None] = {}  # ends the waiting of those without a line
        self.unheard = 0  # connections that have sent no whole line yet
        self._send_to_successor: SendSession | None = (
            None  # another process of this node, which goes on with links
        )
        self._reserved_ids: set[str] = set()  # ids of links that the process before this one has in hand

    def hand_sessions_to(self, send: SendSession | None) -> None:
        """Hand the sessions that are to leave to the successor; None: there is none any more."""
        self._send_to_successor = send

    def reserve_ids(self, session_ids: Iterable[str]) -> None:
        """Reject new sessions with these ids: the predecessor has sessions of these ids in hand."""
        self._reserved_ids.update(session_ids)

    def release_ids(self) -> None:
        """The predecessor has ended: its sessions' ids are free again."""
        self._reserved_ids.clear()

    def heard(self, sock: socket.socket) -> Heard | None:
        """What a connection just accepted has said, where this node is behind; None where it is not."""
        enough, waited = self.balancer_actor.shed_waiting_over_us, waited_us(sock)
        # All that is done for a link costs time that the others lack who have waited as long.
        if not 0 < enough < waited:
            return None
        data = overheard(sock)
        whole = data.endswith(b"\n") and data.count(b"\n") == 1 and data != say.PING
        return Heard(data, say.parse_opening(data) if whole else None, now_us() - waited)

    def turned_away(self, sock: socket.socket, heard: Heard) -> bool:
        """Whether a link has too little time left to be set up; it has had its final answer then."""
        opening = heard.opening
        if not isinstance(opening, say.Opening) or opening.goes_on:
            return False
        # No host has heard of it: a retry is harmless, whatever its tariff.
        if self.unfit(opening) is not None or self.deadline(opening, heard.came_us) > now_us() + (
            self.balancer_actor.shed_waiting_over_us
        ):
            return False
        self.counters.add("link shed unread")
        answer_at_once(sock, say.shed_line(BACK_US))
        return True

    async def seen_off(self, sock: socket.socket) -> None:
        """The rest of a connection that was turned away."""
        self.connections += 1
        try:
            await see_off(sock, self.linger_s)
        finally:
            self.connections -= 1
            self.descriptors.release()

    async def serve(self, sock: socket.socket, heard: Heard | None = None) -> None:
        """One connection, from its first line to its end; nothing that goes wrong leaves here."""
        client: Lines | None = None
        self.connections += 1
        try:
            client = Lines(await stream_of(sock))
            await self.served(client, heard)
        except Exception:
            self.counters.add("connection failed")
            log.exception("a client's connection failed")
            if client is not None and not client.spoken_to:
                await client.send(say.FAILED)
                await client.finish(Ending.END)
        finally:
            if client is not None:
                await client.close()
            else:
                sock.close()
            self.connections -= 1
            self.descriptors.release()

    async def served(self, client: Lines, heard: Heard | None) -> None:
        if heard is not None and heard.opening is not None:
            await self.opened(client, heard.opening, heard.came_us)
            return
        if heard is not None:
            client.feed(heard.data)
        line = await self.first_line(client)
        # In a crowd a line may lie unread for a tenth of a second, and the client's time runs from when it
        # came: counted from the reading, the answer would find that the client has given up.
        now = now_us() - client.waited_us()
        if line is None and self.phase.rejects_all:
            # A request that crosses this word has its answer with it: one that only finds the end is lost.
            self.counters.add("resting connection ended")
            await client.send(say.shed_line(BACK_US))
            await client.finish(Ending.END, ENDING_S)
        elif line is None:
            await self.refuse(client, "no line in time")
        elif line is Ending.TOO_LONG:
            await self.refuse(client, "line too long")
        elif not isinstance(line, Ending):
            await self.opened(client, say.parse_opening(line), now)

    async def opened(self, client: Lines, opening: say.Opening | say.BadLine, now: int) -> None:
        """A client's first line has been read."""
        if isinstance(opening, say.BadLine):
            await self.refuse(client, opening.why)
        elif (why := self.unfit(opening)) is not None:
            await self.refuse(client, why)
        elif client.ready and not opening.goes_on:
            await self.refuse(client, "more than one line")
        else:
            await self.taken(client, self.record(now, opening), now)

    def unfit(self, opening: say.Opening) -> str | None:
        """Why a link can't be served."""
        if opening.traffic_class not in self.traffic_classes:
            return "unknown tariff"
        if opening.tenant is not None and self.tenants and opening.tenant not in self.tenants:
            return "unknown tenant"
        # Hosts turn a doubled id away with an error: passed on, it would count as the host's failure.
        if opening.ident in self.idents or opening.ident in self._reserved_ids:
            return "id of an open link"
        return None

    async def first_line(self, client: Lines) -> bytes | Ending | None:
        """The line that says what the client wants; None where it says nothing in time."""
        began = anyio.current_time()
        with anyio.CancelScope(
            deadline=began + (CROSSING_S if self.phase.rejects_all else FIRST_LINE_S)
        ) as scope:
            self.resting[scope] = None
            idle = IdleConnection(scope.cancel, began)

            def begun() -> None:
                self.descriptors.record_received(idle, anyio.current_time())

            self.descriptors.add_idle(idle, began)
            self.unheard += 1
            client.begun = begun
            if client.tail:  # a piece of its line was there before anything was made of the connection
                begun()
            pinged = False
            try:
                while (line := await client.line()) == say.PING:
                    if not pinged:  # a front: whoever ends need not wait for it
                        pinged = True
                        self.unheard -= 1
                    self.descriptors.record_received(idle, anyio.current_time(), is_complete_line=True)
                    await self.ready.wait()
                    await client.send(say.PONG if self.phase.accepts_clients else say.NO)
                    scope.deadline = anyio.current_time() + PINGED_S
                return line
            finally:
                client.begun = None
                del self.resting[scope]
                self.unheard -= not pinged
                if not self.descriptors.remove_idle(idle):
                    self.counters.add("made room (half a line)" if idle.fragments else "made room (silent)")
        return None

    async def refuse(self, client: Lines, why: str) -> None:
        """An error at once, and the end."""
        self.counters.add(f"refused: {why}")
        log.debug("refused", why=why)
        await client.send(say.FAILED)
        await client.finish(Ending.END, self.linger_s)

    @property
    def linger_s(self) -> float:
        """How long a connection on which all has been said may wait for its client's end."""
        return SHORT_LINGER_S if self.descriptors.scarce else LINGER_S

    def dismiss(self) -> None:
        """This node ends: whoever rests here is told so, and who still comes is turned away."""
        if not self.phase.rejects_all:
            self.phase.rejects_all = True
            for scope in list(self.resting):
                scope.cancel()

    def wait_us(self, opening: say.Opening) -> int:
        """How long a client is held at the most, whatever it says."""
        return min(opening.wait_ms * 1000, self.longest_wait_us)

    def deadline(self, opening: say.Opening, now: int) -> int:
        """When a link that came at this time is to have its answer."""
        wait_us = self.wait_us(opening)
        deadline = now + wait_us - lag_us(wait_us)
        ends_in = self.phase.time_left_s(anyio.current_time())
        return deadline if ends_in is None else min(deadline, now_us() + int(ends_in * 1e6))

    def record(self, now: int, opening: say.Opening) -> SessionRecord:
        session = Session(
            number=next(self.numbers),
            traffic_class=self.traffic_classes[opening.traffic_class],
            key=xxh3_64_intdigest(opening.key.encode()),
            group=xxh3_64_intdigest(opening.group.encode()) if opening.group else None,
            deadline=self.deadline(opening, now),
            mid_flow=opening.mid_flow,
            load=opening.load,
        )
        return SessionRecord(session, opening)

    async def taken(self, client: Lines, record: SessionRecord, now: int) -> None:
        """A link from its arrival, then, to its end."""
        self.counters.add("link taken")
        log.debug(
            "taken",
            key=record.opening.key,
            group=record.opening.group,
            late_us=now_us() - now,
            wait_ms=record.opening.wait_ms,
            mid=record.opening.mid_flow,
        )
        record.client_hung_up = client.hung_up
        async with self.held(record):
            await self.settled(client, record)
            verdict = record.final_answer
            if isinstance(verdict, Delivered):
                await self.delivered(client, record, verdict)
            elif verdict is None:
                self.counters.add("link left early")
            else:
                shed = isinstance(verdict, Shed)
                self.counters.add("link shed" if shed else "link given up")
                await client.send(
                    say.shed_line(verdict.retry_after_us) if isinstance(verdict, Shed) else say.FAILED
                )
                await client.finish(Ending.END, self.linger_s)

    async def settled(self, client: Lines, record: SessionRecord) -> None:
        """Until a link has its final answer, or its client has left."""
        async with anyio.create_task_group() as tasks:
            # From the beginning: while the module's mailbox is full, its client may leave.
            tasks.start_soon(self.heed, client, record)
            by = record.session.deadline + lag_us(self.wait_us(record.opening)) // 2
            if not self.begun(record):
                tasks.start_soon(self.balancer_actor.mailbox.submit, SessionArrived(record))
            with anyio.move_on_after(seconds_until(by)) as time:
                await record.finished.wait()
            if time.cancelled_caught and not record.finished.is_set():
                # The decisions have not come to it in time. What no host has heard of can't have run.
                self.counters.add("link answered without a decision")
                record.set_final_answer(Failed() if record.session.attempt_count else Shed(BACK_US))
            tasks.cancel_scope.cancel()

    def begun(self, record: SessionRecord) -> bool:
        """Whether a link is on its way to its answer; False where the module's mailbox is full."""
        at = record.opening.standing_at
        if at is None and (self.phase.sheds_new_sessions(anyio.current_time()) or self.phase.rejects_all):
            record.set_final_answer(Shed(BACK_US))
        elif at is None:
            return self.balancer_actor.mailbox.offer(SessionArrived(record))
        else:
            number = self.balancer_actor.upstreams.number_of(at)
            if number is None or not self.balancer_actor.upstreams.actors[number].offer(
                StartAttempt(record, record.session.deadline)
            ):
                record.set_final_answer(Failed())
        return True

    @asynccontextmanager
    async def held(self, record: SessionRecord) -> AsyncIterator[None]:
        """A link is in hand as long as this lasts."""
        self.in_hand += 1
        self.idents[record.opening.ident] = record
        try:
            yield
        finally:
            self.in_hand -= 1
            await self.let_go(record)

    async def resume(self, told: SessionHandover, socks: list[socket.socket]) -> None:
        """A standing link that another process of this node hands over: both of its sides go on unbroken."""
        sides: list[Lines] = []
        try:
            for sock, early in zip(socks, (told.client_unread, told.upstream_unread), strict=True):
                sides.append(Lines(await stream_of(sock)))
                sides[-1].feed(early)
            client, upstream = sides
            opening = say.parse_opening(told.request_line)
            number = self.balancer_actor.upstreams.number_of(told.upstream)
            if (
                isinstance(opening, say.BadLine)
                or opening.traffic_class not in self.traffic_classes
                or number is None
            ):
                self.counters.add("link not understood")
                await client.send(say.MOVE)
                await client.finish(Ending.END)
                return
            record = self.record(now_us(), opening)
            record.session.load = told.load
            # Danger: nobody read its host while the link changed hands. Counted from the line, that pause is
            # the host's, and on a busy machine all hosts are quiet to a process that has just begun.
            record.awaiting_answer_since = now_us() if told.unanswered_since_us else 0
            verdict = Delivered(upstream, b"", number)
            record.set_final_answer(verdict)
            async with self.held(record):
                self._reserved_ids.discard(opening.ident)
                self.counters.add("link taken over")
                await self.balancer_actor.mailbox.post(SessionAdopted(record, number))
                await self.stands(client, record, verdict, Outcome(told.outcome_at_end))
        except Exception:
            self.counters.add("connection failed")
            log.exception("a link could not be taken over")
        finally:
            for side in sides:
                await side.close(reset=side is sides[-1])
            for sock in socks[len(sides) :]:
                sock.close()
            for _ in socks:
                self.descriptors.release()

    async def let_go(self, record: SessionRecord) -> None:
        """Nothing of a link outlives its client's connection."""
        record.client_gone = True
        self.forget(record)
        if record.attempt_scope is not None:
            record.attempt_scope.cancel()
        await self.balancer_actor.mailbox.post(ClientLeft(record))

    def forget(self, record: SessionRecord) -> None:
        """Its id may come again: where packets pass through, at this node too."""
        if self.idents.get(record.opening.ident) is record:
            del self.idents[record.opening.ident]

    async def heed(self, client: Lines, record: SessionRecord) -> None:
        """What a client does while it waits for its answer."""
        early: list[bytes] = []
        try:
            while sum(map(len, early)) < MOST_EARLY:
                some = await client.some()
                if some is Ending.END or some is Ending.RESET:
                    record.mark_client_gone()
                    return
                if isinstance(some, Ending) or not record.opening.goes_on:
                    # A client waits for its answer: what this one says besides no host could read.
                    self.counters.add("refused: more than one line")
                    record.set_final_answer(Failed())
                    return
                early += some  # sent before it came here: it goes to the host once there is one
        finally:
            client.ready = early + client.ready

    async def delivered(self, client: Lines, record: SessionRecord, verdict: Delivered) -> None:
        """Pass on the host's line, then all others."""
        self.counters.add("link delivered")
        try:
            await self.stands(client, record, verdict)
        finally:
            await verdict.connection.close(reset=True)
            self.descriptors.release()

    async def stands(
        self, client: Lines, record: SessionRecord, verdict: Delivered, last: Outcome = Outcome.RESET
    ) -> None:
        """Pass on all lines until it is over; last: what the end of the host's side would mean."""
        upstream_actor = self.balancer_actor.upstreams.actors[verdict.upstream]
        number = record.session.number
        upstream_actor.session_watch.sessions[number] = self.standing[number] = record
        upstream = verdict.connection
        ended = Ended(Side.CLIENT, Ending.RESET, Outcome.CANCELLED)
        try:
            if not verdict.line or await client.send(verdict.line):
                relay = Relay(record, client, upstream, upstream_actor, last)
                record.request_handover = relay.pass_on
                ended = await relay.run()
                if ended.side is Side.SUCCESSOR:
                    send = self._send_to_successor
                    if send is not None and await send(record, client, upstream, relay.last):
                        self.counters.add("link passed on")
                        return
                    ended = Ended(Side.NODE, Ending.END, Outcome.CANCELLED)
            del upstream_actor.session_watch.sessions[number]
            self.forget(record)
            self.counters.add(f"link ended by {ended.side.value} ({ended.how.value})")
            log.debug(
                "over",
                upstream=upstream_actor.name,
                key=record.opening.key,
                side=ended.side.name,
                how=ended.how.name,
            )
            if ended.side is not Side.CLIENT:
                await self.balancer_actor.mailbox.post(AttemptFinished(record, ended.outcome, True))
            if ended.side is Side.NODE:
                self.counters.add("link moved off a silent host" if record.upstream_silent else "link moved")
                with anyio.move_on_after(MOVE_S):
                    await client.send(say.MOVE)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.finish, ended.how)
                tasks.start_soon(upstream.finish, ended.how)
        finally:
            upstream_actor.session_watch.sessions.pop(number, None)
            del self.standing[number]
