"""Plays a day on sockets: open loop, so that a client's latency runs from when it was due."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from collections.abc import Callable, Sequence
from contextlib import suppress
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

import orjson

from larchlatch.invariants.single_leader import holders_of
from larchlatch.invariants.slow_start_safety import Warming
from larchlatch.invariants.tally import Tally, histogram
from larchlatch.loadtest.board import Board
from larchlatch.loadtest.bounds import MOST_NODES
from larchlatch.loadtest.company import Company
from larchlatch.loadtest.sites import SOCKETS_US, Directory, Site, Watch
from larchlatch.node.clock import now_us
from larchlatch.policy.types import EndpointState, Idempotency
from larchlatch.scenario.amounts import SECOND, us
from larchlatch.scenario.chance import Chance
from larchlatch.scenario.clients import RETURN_US, Client, demand, front_of
from larchlatch.scenario.faults import AnyFault, Cut, strike
from larchlatch.scenario.paths import Manner
from larchlatch.scenario.scenario import Day
from larchlatch.scenario.upstreams import Condition, upstreams_of

START_S = 20.0  # for all nodes to serve
LATE_US = 50_000  # clients that this tool has started so late, at the 99th percentile, make a result void
TELL_S = 1.0
STEP_S = 0.02  # between two looks at its own lag
MORE_S = 0.2  # for something after the final answer to come
END_S = 2.0  # for what is in hand at the end
EFFECTS = {
    Idempotency.IDEMPOTENT: "idempotent",
    Idempotency.KEYED: "deduplicated",
    Idempotency.NON_IDEMPOTENT: "at_most_once",
}


def settings_for(day: Day, me: int) -> dict[str, Any]:
    """What a node's configuration says of this day."""
    sessions, cold = day.sessions, day.cold
    return {
        "areas": [f"z{zone}" for zone in range(day.zones)],
        "caps": {
            "dial_timeout_us": us(day.network.dial_ms / 1e3),
            "most_setup_tries": 6,
            "probes": day.network.probes,
            "cancel": True,
            "retry_after": True,
            "max_retry_after_us": us(sessions.wait_ms / 2e3),
        },
        "discovery": "pushed",
        "domain": {
            "groups": True,
            "message_aim_us": [us(sessions.message_ms / 1e3)] * len(sessions.effects),
            "mode": "proxy",
            "tells_delay": True,
        },
        "me": me,
        "peers_total": day.nodes.count,
        "rules": {
            "ask_within_us": 10 * SECOND,
            "cold_from": cold.least,
            "cold_us": us(cold.warm_s),
            "tip_multiple": cold.overload_multiple,
            "tip_after_us": us(cold.tip_s),
        },
        "tariffs": [
            {
                "name": f"t{place}",
                "expected_time_us": us(sessions.expected_ms / 1e3),
                "cut_off_us": us(sessions.wait_ms / 1e3),
                "effect": EFFECTS[Idempotency(effect)],
                "repeat_window_us": us(sessions.memory_s),
            }
            for place, effect in enumerate(sessions.effects)
        ],
        "telemetry": {"via": "probe", "fields": ["inflight", "x0"]},
        "weights": "nominal",
    }


TURNS = 15  # days of one process, one after the other or at once, whose nodes have addresses of their own
DAYS = count()


class Place:
    """One node: its address, and the process that serves there now."""

    def __init__(self, number: int, address: str, port: int) -> None:
        self.number = number
        self.address = address
        self.port = port
        self.process: asyncio.subprocess.Process | None = None
        self.front = True
        self.gone = False  # for good
        self.starts = 0
        self.down = False  # its process: killed or stopped by a fault of the day, and not back yet
        self.stops = 0  # by faults, that are on
        self.breaks = 0  # how often that was: a link there may go without an answer

    def answers_since(self, breaks: int) -> bool:
        """Whether it has run all the time since it had been killed or stopped so often: it owes an answer."""
        return self.breaks == breaks and not self.down


class LoadTest:
    def __init__(self, day: Day, address: str = "127.0.0.1") -> None:
        self.day = day
        self.address = address
        self.turn = next(DAYS)
        self.chance = Chance(day.seed)
        self.clients = list(demand(day, self.chance))
        self.watch = Watch()
        self.warming = self.watch.warming = Warming(day)
        by_key = {f"k{client.key}": client for client in self.clients}
        self.sites = [Site(upstream, day, by_key, self.watch) for upstream in upstreams_of(day)]
        delays = self.chance.stream("list")
        low, high = day.listing.soon_ms / 1e3, day.listing.late_ms / 1e3
        self.directory = Directory(day, lambda: delays.uniform(low, high))
        self.places: list[Place] = []
        self.folder = Path()
        self.tally = Tally()
        self.lag = histogram()  # how late this tool itself was
        self.started_late = histogram()  # clients by when they were due
        self.began = 0.0
        self.idents = 0
        self.writers: dict[int, asyncio.StreamWriter] = {}  # of standing links, by client
        self.tasks: set[asyncio.Task[None]] = set()
        self.company: Company | None = None
        self.ways: Board | None = None  # between nodes and hosts
        self.severed: list[int] = []  # zones that are cut off from the others now

    # The whole of it.

    async def play(self) -> dict[str, Any]:
        with tempfile.TemporaryDirectory() as folder:
            self.folder = Path(folder)
            try:
                await self.start()
                await self.run()
                if self.company is not None:
                    self.company.read()
            finally:
                for task in self.tasks:
                    task.cancel()
                await asyncio.gather(*self.tasks, return_exceptions=True)
                for place in self.places:
                    await self.end(place)
                for board in (self.company, self.ways):
                    if board is not None:
                        await board.close()
        late = self.started_late.get_value_at_percentile(99)
        self.tally.counts["tries"] = sum(site.attempts for site in self.sites)
        self.tally.counts["probes"] = sum(site.probes for site in self.sites)
        return {
            **self.tally.row(),
            **self.warming.row(now_us()),
            **(self.company.row() if self.company is not None else {}),
            "broken": dict(self.watch.broken),
            "late_p99_ms": late / 1000,
            "lag_p99_ms": self.lag.get_value_at_percentile(99) / 1000,
            "void": bool(late > LATE_US),
        }

    async def start(self) -> None:
        for site in self.sites:
            await site.listen(self.address)
            if site.upstream.condition is Condition.ABSENT:
                assert site.server is not None
                site.server.close()
            else:
                self.directory.members[site.upstream.number] = Directory.member(site, EndpointState.READY)
            self.spawn(site.tick())
        await self.directory.listen(self.address)
        for number in range(self.day.nodes.count):
            address = own_address(self.turn, number)
            place = Place(number, address, await free_port(address))
            self.places.append(place)
        if any(isinstance(fault, Cut) for fault in self.day.faults):
            await self.between()
        if self.day.cluster.on:
            nodes = [(place.address, await free_udp_port(place.address)) for place in self.places]
            self.company = Company(self.day, self.address, self.folder, nodes, self.reach)
            self.watch.spending = self.company.spending
            await self.company.open()
            self.spawn(self.company.follow())
            self.spawn(self.ask())
        async with asyncio.timeout(START_S):
            await asyncio.gather(*(self.launch(place, self.known(place)) for place in self.places))

    def known(self, place: Place) -> dict[str, Any]:
        return self.directory.known(place.number % self.day.zones)

    async def between(self) -> None:
        """Relays between nodes and hosts, on a day that cuts them apart."""
        self.ways = Board("larchlatch.loadtest.ways")
        first = {
            "address": self.address,
            "zones": self.day.zones,
            "ports": [site.port for site in self.sites],
            "host_zones": [site.upstream.zone for site in self.sites],
        }
        self.directory.ways = await self.ways.open(first)
        for site in self.sites:
            if site.upstream.condition is Condition.ABSENT:
                await self.ways.ask({"shut": site.upstream.number})

    def reach(self, zone: int, upstream: int) -> bool:
        """Whether nothing lies between a zone's nodes and a host."""
        far = self.sites[upstream].upstream.zone
        return zone == far or not {zone, far} & set(self.severed)

    def spawn(self, what: Any) -> None:
        task = asyncio.ensure_future(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def launch(self, place: Place, known: dict[str, Any]) -> None:
        """Start a node's process; returns when it serves."""
        place.starts += 1
        raw = {
            "name": f"n{place.number}",
            "listen": f"{place.address}:{place.port}",
            "discovery": f"{self.address}:{self.directory.ports[place.number % self.day.zones]}",
            "seed": f"{self.chance.stream(f'node {place.number} start {place.starts}').getrandbits(64):x}",
            "limits": {"sockets": 8192},
            "known": known,
            "settings": settings_for(self.day, place.number),
        }
        path = self.folder / f"n{place.number}.json"
        path.write_bytes(orjson.dumps(raw))
        if self.company is not None:
            self.company.starts(place.number)
        place.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.company.module if self.company is not None else "larchlatch",
            "serve",
            "--config",
            str(path),
            *(self.company.arguments(place.number) if self.company is not None else ()),
            stdout=(self.folder / f"n{place.number}.log").open("ab"),
            stderr=asyncio.subprocess.STDOUT,
            env={
                **os.environ,
                "EDGE_CONTROL": "",
                "TMPDIR": str(self.folder),
                **(self.company.environment(place.number) if self.company is not None else {}),
            },
        )
        while True:
            if place.process.returncode is not None:
                raise RuntimeError(f"node {place.number} ended: {self.log_of(place)}")
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(place.address, place.port)
                writer.write(b"PING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer == b"PONG\r\n":
                    if self.company is not None:
                        self.company.runs(place.number, True)
                    return
            await asyncio.sleep(0.02)

    def log_of(self, place: Place) -> str:
        lines = (self.folder / f"n{place.number}.log").read_text().splitlines()
        return lines[-1] if lines else "without a word"

    async def end(self, place: Place) -> None:
        if place.process is not None and place.process.returncode is None:
            with suppress(ProcessLookupError):
                place.process.send_signal(signal.SIGKILL)
            await place.process.wait()

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self.began + at_s - self.now_s()))

    async def run(self) -> None:
        self.began = self.now_s()
        self.spawn(self.watched())
        self.spawn(self.warms())
        for place, fault in enumerate(self.day.faults):
            self.spawn(self.befall(place, fault))
        for client in self.clients:
            await self.until(client.due / SECOND)
            late = self.now_s() - self.began - client.due / SECOND
            self.started_late.record_value(max(1, round(late * SECOND)))
            self.spawn(self.lives(client))
        await self.until(self.day.span_s)
        # Whoever still waits for an answer gets it; standing links end with the day.
        await asyncio.sleep(min(END_S, self.day.sessions.wait_ms / 1e3))

    async def warms(self) -> None:
        looked_at = now_us()
        while True:
            await asyncio.sleep(TELL_S)
            now = now_us()
            self.warming.look(now, [site.upstream for site in self.sites], now - looked_at)
            looked_at = now

    async def watched(self) -> None:
        while True:
            due = self.now_s() + STEP_S
            await asyncio.sleep(STEP_S)
            self.lag.record_value(max(1, round((self.now_s() - due) * SECOND)))

    async def ask(self) -> None:
        """Have each node tell, once a second, what it takes the fleet's use of a budget to be."""
        assert self.company is not None
        while self.watch.spending is not None:
            await asyncio.sleep(TELL_S)
            for place in self.places:
                if self.company.running[place.number] and place.process is not None:
                    with suppress(ProcessLookupError):
                        place.process.send_signal(signal.SIGUSR1)

    # Clients.

    def front(self, client: Client) -> Place | None:
        there = [place for place in self.places if place.front]
        near = [place for place in there if place.number % self.day.zones == client.zone] or there
        if not near:
            return None
        draw = self.chance.draw("front", client.number, client.sessions)
        return near[front_of(draw, len(near), self.day.sessions.uneven)]

    def over(self, client: Client) -> bool:
        now = self.now_s() - self.began
        return now >= self.day.span_s or now >= (client.due + client.life_us) / SECOND

    async def lives(self, client: Client) -> None:
        """A client from its coming to its end."""
        self.tally.counts["clients"] += 1
        end = min(self.day.span_s, (client.due + client.life_us) / SECOND)
        self.tally.wanted_us += end * SECOND - client.due
        due = client.due / SECOND
        while not self.over(client):
            client.sessions += 1
            how, back_us = await self.session(client, due)
            if how == "stood":
                client.rejections = 0
                low, high = RETURN_US
                draw = self.chance.draw("return", client.number, client.sessions)
                await asyncio.sleep((low + (high - low) * draw) / SECOND)
                due = self.now_s() - self.began
                continue
            client.rejections += 1
            if client.rejections > self.day.sessions.retries:
                self.tally.counts["abandoned"] += 1
                return
            mean = self.day.sessions.back_ms / 1e3
            own = mean * 2 * self.chance.draw("back", client.number, client.sessions)
            await asyncio.sleep(back_us / SECOND if back_us else own)

    async def session(self, client: Client, due_s: float) -> tuple[str, int]:
        """One link: whether it stood, and when to come back."""
        place = self.front(client)
        if place is None:
            return "refused", 0
        # Danger: a process takes connections for some milliseconds after it was killed, and one that was had
        # just before is read of here just after. Such a link is owed nothing: none of the program's is lost.
        breaks = place.breaks
        try:
            reader, writer = await asyncio.open_connection(place.address, place.port)
        except OSError:
            self.tally.counts["no node there"] += 1
            return "refused", 0
        self.idents += 1
        self.tally.counts["links"] += 1
        ident, wait_ms = f"id{self.idents}", round(self.day.sessions.wait_ms)
        values = f"c=t{client.traffic_class},d={wait_ms},g=g{client.group},h={client.load}"
        text = f"OPEN {ident} k{client.key} {values}"
        began = now_us()
        try:
            if self.watch.spending is not None:
                self.watch.spending.asked(began, ident)
            writer.write(f"{text}\r\n".encode())
            answer = await self.answered(reader, began)
            word = answer.split()[0] if answer.split() else b""
            if word == b"UP":
                now = self.now_s() - self.began
                self.tally.stood(round((now - due_s) * SECOND))
                await self.stands(client, place, reader, writer)
                return "stood", 0
            # The one final answer, and nothing after it; no answer is right only where the node has died.
            if word and await self.more(reader):
                self.watch.breaks("lost", f"link {ident}: node {place.number} went on after {answer!r}")
            elif not word:
                self.unanswered(place, breaks, ident, began, "no answer by its cut-off")
            if word == b"BUSY":
                self.tally.counts["shed"] += 1
                rest = answer.split()[1:]
                return "refused", int(rest[0]) * 1000 if rest else 0
            self.tally.counts["given_up" if word else "ended unanswered"] += 1
        except OSError as error:
            self.unanswered(place, breaks, ident, began, type(error).__name__)
            self.tally.counts["ended unanswered"] += 1
        finally:
            writer.close()
        return "refused", 0

    def unanswered(self, place: Place, breaks: int, ident: str, began: int, how: str) -> None:
        """A link has had no answer: its node is to blame where it has run all the time."""
        if place.answers_since(breaks):
            after_ms = (now_us() - began) // 1000
            self.watch.breaks("lost", f"link {ident}: node {place.number}: {how}, after {after_ms} ms")

    async def answered(self, reader: asyncio.StreamReader, began: int) -> bytes:
        """The one final answer; none in time is a link lost."""
        limit = self.day.sessions.wait_ms / 1e3
        try:
            async with asyncio.timeout(limit + SOCKETS_US / SECOND + LATE_US / SECOND):
                return await reader.readline()
        except TimeoutError:
            return b""

    async def more(self, reader: asyncio.StreamReader) -> bool:
        """Whether something follows the final answer."""
        with suppress(TimeoutError, OSError):
            async with asyncio.timeout(MORE_S):
                return bool(await reader.read(1))
        return False

    async def stands(
        self, client: Client, place: Place, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Say something at every beat until the client has had enough, or the link ends."""
        began, breaks = self.now_s(), place.breaks
        end = self.began + min(self.day.span_s, (client.due + client.life_us) / SECOND)
        self.writers[client.number] = writer
        beat = asyncio.ensure_future(self.beats(writer))
        try:
            async with asyncio.timeout_at(end):
                while (line := await reader.readline()) and line != b"MOVE\r\n":
                    pass
                how = "moved" if line else "dropped"
        except TimeoutError:
            how = "finished"
        except OSError:
            how = "dropped"
        finally:
            beat.cancel()
            left = self.writers.pop(client.number, None) is None
            self.tally.served_us += (min(self.now_s(), end) - began) * SECOND
        if how == "dropped":
            how = "lost by the client" if left else "lost with a node" if place.breaks > breaks else how
        self.tally.counts[how] += 1

    async def beats(self, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while True:
                await asyncio.sleep(self.day.sessions.beat_s)
                writer.write(b"still here\r\n")

    # What goes wrong.

    async def befall(self, number: int, fault: AnyFault) -> None:
        await self.until(fault.at_s)
        strike(self, fault, self.chance.stream(f"fault {number}"))

    def later(self, after_s: float, what: Callable[..., None], *args: object) -> None:
        async def then() -> None:
            await asyncio.sleep(after_s)
            what(*args)

        self.spawn(then())

    def well(self) -> list[Site]:
        return [s for s in self.sites if s.upstream.condition is Condition.WELL and not s.upstream.draining]

    def absent(self) -> list[Site]:
        return [s for s in self.sites if s.upstream.condition is Condition.ABSENT and not s.upstream.life]

    def alive(self) -> list[Place]:
        return [place for place in self.places if place.front]

    def holding(self) -> list[Place]:
        held = self.company.tenures.values() if self.company is not None else ()
        return [self.places[number] for number in holders_of(held)]

    def slow(self, site: Site, factor: float) -> None:
        site.upstream.slowness *= factor

    def vanish(self, site: Site) -> None:
        self.lost(site)
        site.upstream.condition = Condition.SILENT

    def crash(self, site: Site) -> None:
        self.lost(site)
        self.shut(site)
        site.crash()

    def shut(self, site: Site) -> None:
        if self.ways is not None:
            self.spawn(self.ways.ask({"shut": site.upstream.number}))

    def lost(self, site: Site) -> None:
        if self.company is not None:
            self.company.avoidance.gone(now_us(), site.upstream.number)

    def rise(self, site: Site) -> None:
        if self.company is not None:
            self.company.avoidance.back(now_us(), site.upstream.number)

        async def risen() -> None:
            await site.rise()
            if self.ways is not None:
                await self.ways.ask({"open": site.upstream.number})
            await self.directory.change(site, EndpointState.READY)

        self.spawn(risen())

    def drain(self, site: Site) -> None:
        site.upstream.draining = True
        self.spawn(self.directory.change(site, EndpointState.DRAINING))

    def depart(self, site: Site) -> None:
        self.shut(site)
        site.crash()
        site.upstream.condition = Condition.ABSENT
        self.spawn(self.directory.change(site, EndpointState.GONE))

    def sever(self, zone: int) -> None:
        assert self.ways is not None
        self.severed.append(zone)
        self.spawn(self.ways.ask({"sever": zone}))

    def mend(self, zone: int) -> None:
        assert self.ways is not None
        self.severed.remove(zone)
        self.spawn(self.ways.ask({"mend": zone}))

    def store(self, factor: float) -> None:
        for site in self.sites:
            site.slowness *= factor

    def scatter(self, share: float, chance: Random) -> None:
        standing = list(self.writers)
        for client in chance.sample(standing, round(len(standing) * share)):
            self.writers.pop(client).transport.abort()

    def deafen(self, for_s: float) -> None:
        self.directory.deaf_until = now_us() / SECOND + for_s

    def of_zone(self, zone: int) -> list[Place]:
        return [place for place in self.places if place.number % self.day.zones == zone]

    def part(self, nodes: Sequence[Place], oneway: bool) -> None:
        if self.company is not None:
            self.spawn(self.company.part([place.number for place in nodes], oneway))

    def join(self, nodes: Sequence[Place], oneway: bool) -> None:
        if self.company is not None:
            self.spawn(self.company.join([place.number for place in nodes], oneway))

    def treat(self, manner: Manner) -> None:
        if self.company is not None:
            self.spawn(self.company.treat(manner))

    def stall(self, place: Place) -> None:
        place.stops += 1
        self.send(place, signal.SIGSTOP)

    def wake(self, place: Place) -> None:
        place.stops = max(0, place.stops - 1)
        if not place.stops:
            self.send(place, signal.SIGCONT)

    def send(self, place: Place, what: signal.Signals) -> None:
        """Stop a node's process, or let it go on."""
        if place.process is None or place.process.returncode is not None or not place.front:
            return  # killed meanwhile
        place.process.send_signal(what)
        place.breaks += 1
        place.down = what is signal.SIGSTOP
        if self.company is not None:
            self.company.runs(place.number, what is signal.SIGCONT)

    def skew(self, place: Place, share: float) -> None:
        self.order(place, skew=share)

    def lie(self, place: Place, about: str) -> None:
        self.order(place, about=about)

    def end_for_good(self, place: Place) -> None:
        place.gone = True
        self.kill(place)

    def refile(self, gone: Sequence[Place], after_s: Callable[[], float]) -> None:
        assert self.company is not None
        self.company.expelled |= {place.number for place in gone}
        for place in self.places:
            if not place.gone:
                self.later(after_s(), self.reread, place)

    def reread(self, place: Place) -> None:
        assert self.company is not None
        self.company.write(place.number)
        if self.company.running[place.number] and place.process is not None:  # else read as it starts
            place.process.send_signal(signal.SIGHUP)

    def order(self, place: Place, **changes: float | str) -> None:
        if self.company is not None and place.process is not None and place.process.returncode is None:
            self.company.order(place.number, place.process, **changes)

    def kill(self, place: Place) -> None:
        self.spawn(self.killed(place))

    async def killed(self, place: Place) -> None:
        known = self.known(place)
        place.breaks += 1
        place.down = True
        place.stops = 0
        if self.company is not None:
            self.company.runs(place.number, False)
        await self.end(place)
        nodes = self.day.nodes
        await asyncio.sleep(min(nodes.noticed_s, nodes.back_s))
        place.front = False
        if place.gone:
            return
        await asyncio.sleep(max(0.0, nodes.back_s - nodes.noticed_s))
        await self.launch(place, known)
        place.breaks += 1
        place.down = False
        place.front = True


def own_address(turn: int, number: int) -> str:
    """A node's own on loopback; turn: of its day, of those that this process plays."""
    # Danger: a port that is free on the address of all else may be a relay's by the time the node wants it,
    # and the node would be heard by nobody.
    place = os.getpid() % 60_000
    return f"127.{20 + place // 250 % 200}.{1 + place % 250}.{turn % TURNS * MOST_NODES + number + 1}"


async def free_udp_port(address: str) -> int:
    """A port for datagrams that nobody has now."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=(address, 0))
    port: int = transport.get_extra_info("sockname")[1]
    transport.close()
    return port


async def free_port(address: str) -> int:
    """A port that nobody listens on now."""
    server = await asyncio.start_server(lambda reader, writer: None, address, 0)
    port: int = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


def played(day: Day, address: str) -> tuple[dict[str, Any], list[str]]:
    """Its row, and in words what broke rules."""
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        load_test = LoadTest(day, address)
        return runner.run(load_test.play()), load_test.watch.words
