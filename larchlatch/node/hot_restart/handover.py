"""An upgrade: one process of a node hands what it has to the next, over a Unix socket that only they know."""

from __future__ import annotations

import os
import socket
import struct
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import structlog
from anyio.abc import TaskGroup, UNIXSocketStream
from xxhash import xxh3_64_hexdigest

from larchlatch.errors import InvalidInputError
from larchlatch.node.clock import BASE_US
from larchlatch.node.descriptor_budget import RESERVE, DescriptorBudget
from larchlatch.node.hot_restart.packets import Ceded, Channel, Hello, Packet, Serving, Standing, Welcome
from larchlatch.node.wire import lines as say
from larchlatch.node.wire.listen import Listener

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.config.endpoints import EndpointList
    from larchlatch.config.node import Plan
    from larchlatch.node.balancer_actor import BalancerActor
    from larchlatch.node.client import Door
    from larchlatch.node.lifecycle_state import Phase
    from larchlatch.node.metrics import Counters
    from larchlatch.node.session_record import SessionRecord
    from larchlatch.node.wire.stream import Lines
    from larchlatch.policy.types import Outcome

FIRST_WORD_S = 2.0  # for an answer of the other process, whose loop may lag; then each goes on alone
START_S = 30.0  # for a new process until it serves: what it is lent meanwhile comes back then
LONGEST_PATH = 100  # bytes of a Unix socket's path, which the system holds to 107

log = structlog.get_logger()


class Meeting:
    """Where the processes of one node find each other."""

    def __init__(self, folder: Path, plan: Plan) -> None:
        host, port = plan.listen
        self.name = f"larchlatch-{xxh3_64_hexdigest(f'{plan.name} {host}:{port}'.encode())}.sock"
        self.folder = folder

    @classmethod
    def of(cls, plan: Plan) -> Meeting | None:
        """None where an upgrade is not provided for: there is no door to say that the new one serves."""
        folder = os.environ.get("TMPDIR")
        return cls(Path(folder), plan) if folder and plan.control is not None else None

    def used(self, use: Callable[[str], None]) -> None:
        """Do something with the path, however long the folder's own is."""
        path = str(self.folder / self.name)
        if len(path.encode()) <= LONGEST_PATH:
            use(path)
            return
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            use(f"/proc/self/fd/{folder}/{self.name}")
        finally:
            os.close(folder)

    def listen(self) -> socket.socket | None:
        """Be found here by the next process."""
        sock = unix_socket()
        if sock is None:
            return None
        try:
            with suppress(FileNotFoundError):
                (self.folder / self.name).unlink()  # of a process that is gone, or that this one follows
            self.used(sock.bind)
            sock.listen(1)
            sock.setblocking(False)
        except OSError as error:
            sock.close()
            log.warning("no upgrade without a break from here", why=str(error))
            return None
        return sock

    def connect(self) -> socket.socket | None:
        """The process that serves now; None where there is none."""
        sock = unix_socket()
        if sock is None:
            return None
        try:
            self.used(sock.connect)
            sock.setblocking(False)
        except OSError:
            sock.close()
            return None
        return sock


def unix_socket() -> socket.socket | None:
    """None where the platform has none: a node must start and serve there all the same."""
    try:
        return socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    except OSError as error:
        log.warning("no upgrade without a break from here", why=str(error))
        return None


def same_user(sock: socket.socket) -> bool:
    _, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(uid == os.getuid())


async def message(channel: Channel, within_s: float) -> tuple[Packet, list[socket.socket]] | None:
    """The other process's next word; None where there is none in time, or none that can be understood."""
    try:
        with anyio.move_on_after(within_s):
            return await channel.receive()
    except InvalidInputError as error:
        log.warning("the other process is not understood", why=str(error))
    return None


class Giving:
    """The side of the process that serves now: it waits for one that follows it."""

    def __init__(
        self, plan: Plan, meeting: Meeting, phase: Phase, door: Door, listener: Listener, counters: Counters
    ) -> None:
        self.plan = plan
        self.meeting = meeting
        self.phase = phase
        self.door = door
        self.listener = listener
        self.counters = counters
        self.channel: Channel | None = None
        self.turn = anyio.Lock()  # for each link that is handed over
        self.gate: Callable[[bool], None] = lambda wide: None  # opened and closed for new clients

    async def run(self) -> None:
        while (sock := self.meeting.listen()) is not None:
            with sock:
                await anyio.wait_readable(sock)
                made, _ = sock.accept()
            made.setblocking(False)
            if not same_user(made):
                made.close()
                continue
            self.channel = Channel(await UNIXSocketStream.from_socket(made))
            # The new one needs descriptors to start with, though it has taken nothing yet.
            self.door.descriptors.lend(RESERVE)
            try:
                await self.converse(self.channel)
            finally:
                self.door.descriptors.lend(-RESERVE)
                await self.channel.close()
            self.counters.add("upgrade broken off")
            log.warning("the process that was to follow is gone")

    async def converse(self, channel: Channel) -> None:
        """Until the other side ends; then this process goes on as before."""
        match await message(channel, FIRST_WORD_S):
            case Hello(name, listen), _ if (name, listen) == hello(self.plan):
                pass
            case _:
                return
        log.info("another process of this node starts")
        if not await channel.send(
            Welcome(self.door.balancer_actor.endpoint_list()), [self.listener.sock.fileno()]
        ):
            return
        match await message(channel, START_S):
            case Serving(), _:
                pass
            case _:
                return
        self.phase.ceded = True
        self.gate(False)
        self.door.successor = self.pass_on
        descriptors = self.door.descriptors
        # One descriptor more for each link that may yet need its host; all others are the new one's.
        more = min(max(0, descriptors.free), self.door.in_hand - len(self.door.standing) + self.door.unheard)
        lent = descriptors.free - more
        descriptors.lend(lent)
        ceded = Ceded(
            self.door.balancer_actor.hand_over(),
            list(self.door.idents),
            RESERVE + descriptors.held + more,
            None if self.phase.drained_at is None else anyio.current_time() - self.phase.drained_at,
            BASE_US,
        )
        self.counters.add("ceded")
        log.info("another process of this node serves", sessions=len(self.door.standing))
        try:
            if await channel.send(ceded):
                await channel.receive()  # nothing more is said: it ends
        finally:
            self.door.successor = None
            self.phase.ceded = False
            self.door.balancer_actor.resume()
            descriptors.lend(-lent)
            self.gate(True)

    async def pass_on(self, record: SessionRecord, client: Lines, upstream: Lines, last: Outcome) -> bool:
        """Hand a standing link over with both of its connections."""
        # One at a time: each has four descriptors here until it is gone, with both processes at their limit.
        async with self.turn:
            return await self.handed_over(record, client, upstream, last)

    async def handed_over(self, record: SessionRecord, client: Lines, upstream: Lines, last: Outcome) -> bool:
        fds: list[tuple[Lines, int, bytes]] = []
        try:
            for lines in (client, upstream):
                out = lines.hand_out()
                if out is None:
                    break
                fds.append((lines, *out))
            else:
                told = Standing(
                    say.first_line(record.opening),
                    self.door.balancer_actor.upstreams.actors[record.session.upstream].name,
                    record.session.load,
                    record.awaiting_answer_since,
                    int(last),
                    fds[0][2],
                    fds[1][2],
                )
                if self.channel is not None and await self.channel.send(told, [fd for _, fd, _ in fds]):
                    return True
            # It stays here, to be moved: neither side is to notice but by that.
            for lines, fd, early in fds:
                await lines.take_back(os.dup(fd), early)
            return False
        finally:
            for _, fd, _ in fds:
                os.close(fd)


def hello(plan: Plan) -> tuple[str, str]:
    return plan.name, f"{plan.listen[0]}:{plan.listen[1]}"


class Taking:
    """The side of the new process."""

    def __init__(
        self, channel: Channel, members: EndpointList, listener: Listener, counters: Counters
    ) -> None:
        self.channel = channel
        self.members = members
        self.listener = listener
        self.counters = counters
        self.holds = 0

    @classmethod
    async def reached(cls, plan: Plan, meeting: Meeting, counters: Counters) -> Taking | None:
        """The process that serves now, if there is one that can be understood."""
        sock = meeting.connect()
        if sock is None:
            return None
        channel = Channel(await UNIXSocketStream.from_socket(sock))
        await channel.send(Hello(*hello(plan)))
        match await message(channel, FIRST_WORD_S):
            case Welcome(members), [shared] if shared.getsockname()[:2] == plan.listen:
                return cls(channel, members, Listener(shared), counters)
            case _:
                counters.add("upgrade on its own")
                log.warning("the process that serves now hands nothing over")
                await channel.close()
                return None

    async def ceded(
        self, descriptors: DescriptorBudget, phase: Phase, balancer_actor: BalancerActor, door: Door
    ) -> None:
        """Say that this process serves, and take over what the other one knows."""
        await self.channel.send(Serving())
        match await message(self.channel, FIRST_WORD_S):
            case Ceded() as ceded, _:
                pass
            case _:
                self.counters.add("upgrade on its own")
                return
        self.holds = ceded.holds
        descriptors.lend(ceded.holds)
        door.elsewhere.update(ceded.idents)
        if ceded.drained_s is not None:
            # Its operator has ended no drain: it goes on, and its links' time runs from its beginning.
            phase.drain(anyio.current_time() - ceded.drained_s)
        balancer_actor.restore(ceded.learned, BASE_US - ceded.clock_us)

    async def run(self, door: Door, tasks: TaskGroup) -> None:
        """Take over links until the other process has ended."""
        taken = 0
        while True:
            try:
                came = await self.channel.receive()
            except InvalidInputError as error:
                log.warning("the other process is not understood", why=str(error))
                break
            if came is None:
                break
            told, socks = came
            if isinstance(told, Standing) and len(socks) == 2:
                taken += 2
                tasks.start_soon(door.resume, told, socks)
        await self.channel.close()
        door.elsewhere.clear()
        door.descriptors.lend(taken - self.holds)  # the links' own are given back as they end
        log.info("the process before this one has ended", sessions=taken // 2)
