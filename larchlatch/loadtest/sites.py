"""Stand-ins on loopback for hosts and for the list, with the emulator's own host behind each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from functools import partial
from typing import Any

import orjson

from larchlatch.invariants.quota_safety import Spending
from larchlatch.invariants.slow_start_safety import Warming
from larchlatch.node.clock import now_us
from larchlatch.node.wire.lines import PING, PONG, STATS, Opening, parse_opening
from larchlatch.policy.types import EndpointState, Idempotency
from larchlatch.scenario.amounts import SECOND, us
from larchlatch.scenario.clients import Client
from larchlatch.scenario.scenario import Day
from larchlatch.scenario.upstreams import Condition, Upstream

TICK_S = 1.0
MOST_TOLD = 20  # breaks of rules that are told in words; all are counted
GRACE_US = 500_000  # of the third rule, and 50 ms for the sockets
SOCKETS_US = 50_000
PHASES = {
    EndpointState.READY: "in_service",
    EndpointState.DRAINING: "terminating",
    EndpointState.GONE: "terminated",
}


class Watch:
    """The rules as clients and hosts see them, counted apart from what nodes say of themselves."""

    def __init__(self) -> None:
        self.broken = {"lost": 0, "twice": 0, "drain": 0, "cold": 0}
        self.words: list[str] = []  # what broke them
        self.out: set[str] = set()  # ids with a try out
        self.seen: set[str] = set()  # ids whose tries may have run
        self.spending: Spending | None = None
        self.warming: Warming | None = None

    def breaks(self, rule: str, what: str) -> None:
        self.broken[rule] += 1
        if len(self.words) < MOST_TOLD:
            self.words.append(f"{now_us() / 1e6:.3f} s: {rule}: {what}")

    def tried(self, ident: str, idempotency: Idempotency) -> None:
        if ident in self.out:
            self.breaks("twice", f"link {ident}: two tries out at once")
        elif ident in self.seen and idempotency is Idempotency.NON_IDEMPOTENT:
            self.breaks("twice", f"link {ident}: exclusive, and may have run")
        self.out.add(ident)
        self.seen.add(ident)
        if self.spending is not None:
            self.spending.seen(now_us(), ident)

    def ended(self, ident: str, never_ran: bool = False) -> None:
        self.out.discard(ident)
        if never_ran:
            self.seen.discard(ident)


class Site:
    """A host's address: what comes there is answered by the host that stands behind it."""

    def __init__(self, upstream: Upstream, day: Day, clients: dict[str, Client], watch: Watch) -> None:
        self.upstream = upstream
        self.day = day
        self.clients = clients
        self.watch = watch
        self.server: asyncio.Server | None = None
        self.port = 0
        self.address = "127.0.0.1"
        self.attempts = 0
        self.probes = 0
        self.open: dict[asyncio.StreamWriter, tuple[int, int]] = {}  # each with its link and group
        self.not_after: int | None = None  # the list has told every node by then to send nothing here
        self.numbers = 0
        self.slowness = 1.0  # of what all setups need
        self.idempotencies = [Idempotency(effect) for effect in day.sessions.effects]

    @property
    def store_us(self) -> int:
        return round(us(self.day.store_ms / 1e3) * self.slowness)

    async def listen(self, address: str) -> None:
        self.address = address
        self.server = await asyncio.start_server(self.serve, address, self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open[writer] = (0, 0)
        try:
            line = await reader.readline()
            while line in (PING, STATS):
                if self.upstream.condition is Condition.SILENT:
                    await asyncio.sleep(3600)
                self.probes += 1
                writer.write(PONG if line == PING else self.stats())
                line = await reader.readline()
            opening = parse_opening(line)
            if isinstance(opening, Opening):
                await self.opened(opening, reader, writer)
            elif line:
                writer.write(b"SYNTAX\r\n")
        except (OSError, ValueError, RuntimeError, EOFError, asyncio.CancelledError):
            pass  # the server's own task: nobody is told of its end
        finally:
            number, group = self.open.pop(writer, (0, 0))
            self.upstream.remove(number, group, self.day.sessions.group_ms * 1000)
            with suppress(OSError, RuntimeError):
                writer.close()

    def silent(self) -> bool:
        return self.upstream.condition is Condition.SILENT

    def stats(self) -> bytes:
        now = now_us()
        return (
            f"PONG x0={self.upstream.fullness(now):.4f},inflight={len(self.upstream.sessions)}\r\n".encode()
        )

    async def opened(
        self, opening: Opening, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        client, now, upstream = self.clients[opening.key], now_us(), self.upstream
        self.attempts += 1
        self.watch.tried(opening.ident, self.idempotencies[client.traffic_class])
        if self.not_after is not None and now > self.not_after + GRACE_US + SOCKETS_US:
            late = now - self.not_after
            self.watch.breaks("drain", f"link {opening.ident}: to host {upstream.number}, {late} us late")
        if self.watch.warming is not None:
            self.watch.warming.sent(now, upstream, client.load)
        if upstream.pushed(now, client.load):
            self.watch.breaks("cold", f"host {upstream.number}: more than it bears while it warms up")
        done = upstream.admit(now, client.work_us)
        if done is None:
            self.watch.ended(opening.ident, never_ran=True)
            writer.write(b"BUSY\r\n")
            return
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait([gone], timeout=(done + self.store_us - now_us()) / 1e6)
            life = upstream.life
            if self.silent():
                # It says nothing; but a try that its node has given up is out no longer, for the judge.
                await gone
                return
            if gone.done():
                return  # nobody waits any more
            self.watch.ended(opening.ident)
            self.numbers += 1
            self.open[writer] = (self.numbers, client.group)
            upstream.add(self.numbers, client.load, client.group, self.day.sessions.group_ms * 1000)
            writer.write(b"UP stands\r\n" + f"LOAD {client.load:.1f}\r\n".encode())
            first = await gone
            while first and (rest := await reader.readline()):
                if self.silent():
                    await asyncio.sleep(3600)
                if upstream.life != life:
                    return
                await asyncio.sleep(
                    upstream.message_objective_us(now_us(), us(self.day.sessions.message_ms / 1e3)) / 1e6
                )
                writer.write(first + rest)
                first = await reader.read(1)
        finally:
            gone.cancel()
            self.watch.ended(opening.ident)

    # What befalls it.

    def reset(self, writers: list[asyncio.StreamWriter]) -> None:
        for writer in writers:
            with suppress(OSError, RuntimeError):
                writer.transport.abort()

    def crash(self) -> None:
        self.upstream.condition = Condition.DEAD
        self.upstream.stop()
        if self.server is not None:
            self.server.close()
        self.reset(list(self.open))

    async def rise(self) -> None:
        self.reset(list(self.open))
        self.upstream.start(now_us())
        self.not_after = None
        if self.server is None or not self.server.is_serving():
            await self.listen(self.address)

    async def tick(self) -> None:
        """Drop links where there are far too many."""
        while True:
            await asyncio.sleep(TICK_S)
            many = self.upstream.drops(now_us())
            self.reset([writer for writer, (number, _) in self.open.items() if number][:many])


def number_of(upstream: str) -> int:
    """Of a stand-in host, by its name."""
    return int(upstream.removeprefix("h-"))


class Directory:
    """The list service: each node has a watch, and is told of changes after a delay of its own."""

    def __init__(self, day: Day, delay_s: Callable[[], float]) -> None:
        self.day = day
        self.delay_s = delay_s
        self.members: dict[int, dict[str, Any]] = {}
        self.changes: list[dict[str, Any]] = []  # one a revision
        self.changed = asyncio.Condition()
        self.deaf_until = 0.0
        self.ports: list[int] = []  # one for each zone of nodes: who asks there is told of its own ways
        self.ways: list[list[int]] = []  # ports by which a zone's nodes reach each host; none: its own

    def known(self, zone: int) -> dict[str, Any]:
        """The whole list, as nodes of that zone are told it."""
        members = self.seen_from(zone, self.members.values())
        return {"revision": len(self.changes), "complete": True, "members": members}

    def seen_from(self, zone: int, entries: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
        if not self.ways:
            return list(entries)
        return [{**entry, "host_port": self.way(zone, entry)} for entry in entries]

    def way(self, zone: int, entry: dict[str, Any]) -> str:
        upstream, _, _ = entry["host_port"].rpartition(":")
        return f"{upstream}:{self.ways[zone][number_of(entry['id'])]}"

    @staticmethod
    def member(site: Site, state: EndpointState) -> dict[str, Any]:
        upstream = site.upstream
        return {
            "id": f"h-{upstream.number}",
            "host_port": f"{site.address}:{site.port}",
            "locality": f"z{upstream.zone}",
            "cell": upstream.cell,
            "phase": PHASES[state],
            "size": upstream.size,
            "up_since_ms": upstream.started_at // 1000,
        }

    async def change(self, site: Site, state: EndpointState) -> None:
        entry = self.member(site, state)
        self.members[site.upstream.number] = entry
        if state is EndpointState.GONE:
            del self.members[site.upstream.number]
        self.changes.append(entry)
        if state is not EndpointState.READY:
            late = us(self.day.listing.late_ms / 1e3)
            site.not_after = max(now_us() + late, int(self.deaf_until * SECOND) + late)
        async with self.changed:
            self.changed.notify_all()

    async def listen(self, address: str) -> None:
        for zone in range(self.day.zones):
            server = await asyncio.start_server(partial(self.serve, zone), address, 0)
            self.ports.append(server.sockets[0].getsockname()[1])

    async def serve(self, zone: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        def chunk(data: bytes) -> None:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

        try:
            head = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0].decode()
            whole = orjson.dumps(self.known(zone)) + b"\n"
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if "watch=1" not in head:
                chunk(whole)
                writer.write(b"0\r\n\r\n")
                return
            told = int(head.partition("from=")[2].split("&")[0].split()[0])
            while True:
                if told > len(self.changes):
                    told = 0
                if told < len(self.changes):
                    upto = len(self.changes)
                    await asyncio.sleep(max(self.delay_s(), self.deaf_until - now_us() / SECOND))
                    members = self.seen_from(zone, self.changes[told:upto])
                    chunk(orjson.dumps({"revision": upto, "complete": False, "members": members}) + b"\n")
                    told = upto
                else:
                    with suppress(TimeoutError):
                        async with asyncio.timeout(1.0), self.changed:
                            await self.changed.wait()
                    if told == len(self.changes):
                        chunk(b"\n")
                await writer.drain()
        except (OSError, ValueError, RuntimeError, EOFError, asyncio.CancelledError):
            pass
        finally:
            with suppress(OSError, RuntimeError):
                writer.close()
