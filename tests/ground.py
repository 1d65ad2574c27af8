"""One node on made-up ground: drives a Balancer by hand and checks the four rules after every step."""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any

import anyio
import orjson
from anyio.abc import Process, SocketAttribute, SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from larchlatch.node.wire.stream import Ending, Lines
from larchlatch.policy.balancer import Balancer
from larchlatch.policy.types import (
    NEVER_RAN,
    Answer,
    DedupScope,
    DeploymentSettings,
    Endpoint,
    EndpointState,
    Fail,
    Forward,
    Hold,
    Idempotency,
    Nothing,
    Outcome,
    Session,
    Shed,
    TrafficClass,
)

SECOND = 1_000_000
TRAFFIC_CLASSES = tuple(
    TrafficClass(500_000, 50_000, idempotency, group, 1_500_000)
    for idempotency, group in (
        (Idempotency.IDEMPOTENT, DedupScope.ALL),
        (Idempotency.KEYED, DedupScope.ALL),
        (Idempotency.KEYED, DedupScope.ZONE),
        (Idempotency.KEYED, DedupScope.CELL),
        (Idempotency.NON_IDEMPOTENT, DedupScope.ALL),
    )
)
SETTINGS = DeploymentSettings(
    me=0,
    nodes=2,
    traffic_classes=TRAFFIC_CLASSES,
    uses_groups=True,
    weighted=True,
    polls_discovery=False,
    probes=False,
    can_cancel=False,
    probes_report_load=False,
    reports_delay=True,
    max_attempts=6,
    max_retry_after_us=1_500_000,
    poll_within_us=10 * SECOND,
    slow_start_min_share=0.2,
    slow_start_us=20 * SECOND,
    overload_multiple=3.0,
    overload_window_us=SECOND,
)


def line(
    number: int, state: EndpointState = EndpointState.READY, started_at: int = 0, size: float = 1.0
) -> Endpoint:
    return Endpoint(number, f"host-{number}", number % 2, number % 3, state, size, started_at)


def sent_to(answer: Answer) -> int:
    """Return the upstream that an answer forwards to, or a number below 0 for each other kind of answer."""
    if isinstance(answer, Forward):
        return answer.upstream
    return {Hold: -1, Shed: -2, Fail: -3, Nothing: -4}[type(answer)]


class Ground:
    """What the rules say of each session is kept here, apart from what the balancer believes."""

    def __init__(self, seed: int = 1, upstreams: int = 6, **deployment_settings: object) -> None:
        self.settings = replace(SETTINGS, **deployment_settings)  # type: ignore[arg-type]
        self.balancer = Balancer(self.settings, random.Random(seed))
        self.now = 100 * SECOND
        self.lines = {number: line(number) for number in range(upstreams)}
        self.sessions: dict[int, Session] = {}  # without a final answer yet
        self.held: dict[int, int] = {}
        self.out: dict[int, int] = {}  # an attempt out, and its upstream
        self.ends: dict[int, int] = {}
        self.sent: dict[int, list[tuple[int, int]]] = {}  # attempts that may have run: when, where
        self.up: set[int] = set()
        self.cold_sends: list[tuple[int, int]] = []
        self.count = 0
        self.balancer.update_endpoints(self.now, list(self.lines.values()), whole=True, asked=True)

    def relist(self, *lines: Endpoint) -> None:
        self.lines.update({entry.upstream: entry for entry in lines})
        self.balancer.update_endpoints(self.now, lines, whole=False, asked=True)

    def arrive(
        self, key: int | None = 1, traffic_class: int = 0, deadline: int = 2 * SECOND, load: float = 0.0
    ) -> Session:
        session = Session(self.count, traffic_class, key, key, self.now + deadline, load=load)
        self.count += 1
        self.sessions[session.number] = session
        self.sent[session.number] = []
        self.answer(session, self.balancer.place(self.now, session))
        return session

    def answer(self, session: Session, answer: Answer) -> None:
        number, ran = session.number, self.sent[session.number]
        traffic_class = TRAFFIC_CLASSES[session.traffic_class]
        self.held.pop(number, None)
        if isinstance(answer, Nothing):
            return
        assert number in self.sessions, "an answer after the final one"
        assert number not in self.out, "two attempts out at once"
        assert self.now <= session.deadline
        if isinstance(answer, Hold):
            assert self.now < answer.until <= session.deadline, "held past its deadline"
            self.held[number] = answer.until
        elif isinstance(answer, Shed | Fail):
            if isinstance(answer, Shed) and ran:
                assert traffic_class.idempotency is not Idempotency.NON_IDEMPOTENT, (
                    "shed though it may have run"
                )
                assert (
                    traffic_class.idempotency is Idempotency.IDEMPOTENT
                    or traffic_class.dedup_scope is DedupScope.ALL
                )
            del self.sessions[number]
        else:
            self.try_sent(session, answer, ran, traffic_class)

    def try_sent(
        self, session: Session, answer: Forward, ran: list[tuple[int, int]], traffic_class: TrafficClass
    ) -> None:
        entry = self.lines[answer.upstream]
        assert entry.state is EndpointState.READY, "sent to a draining or gone upstream"
        assert self.now < answer.give_up_at <= session.deadline
        if ran and traffic_class.idempotency is not Idempotency.IDEMPOTENT:
            assert traffic_class.idempotency is Idempotency.KEYED, "a second run of a non-idempotent session"
            assert self.now < ran[0][0] + traffic_class.dedup_window_us, "resent after its group forgot it"
            first = self.lines[ran[0][1]]
            assert traffic_class.dedup_scope is not DedupScope.ZONE or entry.zone == first.zone
            assert traffic_class.dedup_scope is not DedupScope.CELL or entry.cell == first.cell
        if entry.started_at and self.now < entry.started_at + self.settings.slow_start_us:
            self.cold_sends.append((self.now, answer.upstream))
            turn = (self.now - entry.started_at) // self.settings.overload_window_us
            in_turn = turn % self.settings.nodes == self.settings.me
            assert in_turn or self.settings.probes_report_load, (
                "sent to an upstream in slow start out of turn"
            )
        self.out[session.number], self.ends[session.number] = answer.upstream, answer.give_up_at
        session_sent = self.now
        self.sent[session.number] = [*ran, (session_sent, answer.upstream)]

    def end(self, session: Session, what: Outcome) -> None:
        number = session.number
        if number in self.out and what is not Outcome.ESTABLISHED:
            upstream = self.out.pop(number)
            if what in NEVER_RAN:
                self.sent[number] = [
                    t for t in self.sent[number] if t[1] != upstream or t is not self.sent[number][-1]
                ]
        done = number not in self.sessions or number in self.up or what is Outcome.COMPLETED
        if what is Outcome.ESTABLISHED:
            self.up.add(number)
        elif done:
            self.sessions.pop(number, None)
        self.answer(session, self.balancer.outcome(self.now, session, what, answered=done))
        if what is Outcome.ESTABLISHED:
            self.out.pop(number, None)

    def run(self, span: int) -> None:
        """Let time pass: held sessions are asked for again, attempts that have had their time end as
        silent."""
        stop = self.now + span
        while True:
            due = [(at, n) for n, at in self.held.items()] + [(self.ends[n], n) for n in self.out]
            at, number = min(due, default=(stop + 1, -1))
            if at > stop:
                break
            self.now = max(self.now, at)
            if number in self.held:
                self.answer(self.sessions[number], self.balancer.place(self.now, self.sessions[number]))
            else:
                self.end(self.sessions[number], Outcome.TIMED_OUT)
        self.now = stop
        self.balancer.wait(self.now)
        late = [n for n, session in self.sessions.items() if n not in self.up and self.now > session.deadline]
        assert not late, "a session without its final answer at its deadline"


# Stand-ins on loopback, for the real node.

IDENTS = count(1)  # ids of clients are new with every connection
MANY_S = 20.0  # a test that takes so long hangs; nothing is judged by a few milliseconds


def configuration(upstreams: list[str], discovery: int, **changes: Any) -> dict[str, Any]:
    """A node's configuration for upstreams at these addresses."""
    traffic_class = {"expected_time_us": 500_000, "cut_off_us": 3_000_000, "repeat_window_us": 5_000_000}
    settings: dict[str, Any] = {
        "areas": ["a", "b"],
        "caps": {"dial_timeout_us": 250_000, "most_setup_tries": 6, "probes": False},
        "discovery": "pushed",
        "domain": {"groups": True, "message_aim_us": [50_000] * 3, "mode": "proxy", "tells_delay": True},
        "me": 0,
        "peers_total": 2,
        "rules": {
            "ask_within_us": 10 * SECOND,
            "cold_from": 0.2,
            "cold_us": 20 * SECOND,
            "tip_multiple": 3.0,
            "tip_after_us": SECOND,
        },
        "tariffs": [
            {**traffic_class, "name": "rerun", "effect": "idempotent"},
            {**traffic_class, "name": "ticket", "effect": "deduplicated", "group": "cell"},
            {**traffic_class, "name": "once", "effect": "at_most_once"},
        ],
        "telemetry": {"via": "none", "fields": []},
        "tenants": [{"name": "acme"}],
        "weights": "nominal",
    }
    for name, value in changes.items():
        settings[name] = {**settings[name], **value} if isinstance(value, dict) else value
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "5eed",
        "limits": {"sockets": 1024},
        "known": {
            "revision": 1,
            "complete": True,
            "members": [member(n, at) for n, at in enumerate(upstreams)],
        },
        "settings": settings,
    }


def member(number: int, address: str, phase: str = "in_service") -> dict[str, Any]:
    return {
        "id": f"s-{number}",
        "host_port": address,
        "locality": "ab"[number % 2],
        "cell": number,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 0,
    }


class Upstreams:
    """Upstreams on loopback that answer the attempts in their order as told, and watch the second rule."""

    def __init__(self, *answers: str) -> None:
        self.answers = list(answers)  # the last one goes on for all further attempts
        self.lines: list[tuple[int, str]] = []  # upstream and line of each attempt
        self.out = 0
        self.most_out = 0
        self.ended = 0  # connections that the node has ended
        self.addresses: list[str] = []

    async def start(self, tasks: TaskGroup, number: int = 1) -> Upstreams:
        for upstream in range(number):
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            self.addresses.append(f"127.0.0.1:{port_of(listener)}")
            tasks.start_soon(listener.serve, partial(self.serve, upstream))
        return self

    async def serve(self, upstream: int, stream: SocketStream) -> None:
        session = Lines(stream)
        line = await session.line()
        if isinstance(line, Ending):
            return
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        self.lines.append((upstream, line.decode()))
        self.out += 1
        self.most_out = max(self.most_out, self.out)
        if answer == "reset":
            self.out -= 1
            await session.close(reset=True)
            return
        if answer.startswith("late "):
            await anyio.sleep(0.6)
            answer = answer.removeprefix("late ")
        standing = answer.startswith("UP")
        self.out -= standing
        if answer != "silent":
            await session.send(answer.encode() if answer.endswith("…") else f"{answer}\r\n".encode())
        while not isinstance(got := await session.line(), Ending):
            if answer == "UP echo":
                await session.send(got)
            elif answer == "UP slow echo":
                await anyio.sleep(0.15)
                await session.send(got)
            elif answer == "UP half":
                await session.send(b"half a li")
            elif answer == "UP flood":  # more than any buffer between holds
                while await session.send(b"x" * 4000 + b"\r\n"):
                    pass
        self.out -= not standing
        self.ended += 1
        await session.close()


class Discovery:
    """A list service on loopback: each watch is answered with its next story, and then breaks off."""

    def __init__(self, *stories: list[dict[str, Any]] | None) -> None:
        self.stories = list(stories)  # None: nonsense; the last watch stays open
        self.port = 0
        self.asked: list[str] = []
        self.left = 0  # watches that the node has ended

    async def start(self, tasks: TaskGroup) -> Discovery:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = port_of(listener)
        tasks.start_soon(listener.serve, self.serve)
        return self

    async def serve(self, stream: SocketStream) -> None:
        async with stream:
            asked = (await stream.receive()).split(b"\r\n")[0].decode()
            self.asked.append(asked)
            await stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if self.stories:
                story = self.stories.pop(0)
                told = [b"{nonsense\n"] if story is None else [orjson.dumps(entry) + b"\n" for entry in story]
                for line in told:
                    await stream.send(b"%x\r\n%s\r\n" % (len(line), line))
            if "watch" not in asked:
                await stream.send(b"0\r\n\r\n")
            elif not self.stories:
                with suppress(anyio.BrokenResourceError):
                    while True:
                        await stream.send(b"1\r\n\n\r\n")
                        await anyio.sleep(0.1)
                self.left += 1


class Running:
    """A node in a process of its own, and what it logs."""

    def __init__(self, process: Process) -> None:
        assert process.stdout is not None
        self.process = process
        self.log = BufferedByteReceiveStream(process.stdout)
        self.port = 0
        self.door = ""  # where its operators call

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    async def told(self, event: str) -> dict[str, Any]:
        """The next line of the log that tells of this."""
        while True:
            told: dict[str, Any] = orjson.loads(await self.log.receive_until(b"\n", 65536))
            if told["event"] == event:
                return told

    async def ended(self) -> int:
        return await self.process.wait()


@asynccontextmanager
async def process(
    path: Path, event: str = "serving", more: Sequence[str] = (), **env: str
) -> AsyncIterator[Running]:
    """A node by this configuration that has logged this event; more: further arguments."""
    command = [sys.executable, "-B", "-m", "larchlatch", "serve", *more]
    made = await anyio.open_process(
        command, env={**os.environ, "EDGE_CONFIG": str(path), **env}, stderr=subprocess.STDOUT
    )
    try:
        running = Running(made)
        running.port = (await running.told(event))["listen"][1]
        yield running
    finally:
        if made.returncode is None:
            made.kill()
        await made.aclose()


DOORS = count(1)  # an address of its own for each node's door, which no other program takes


def door_address() -> str:
    return f"127.77.{os.getpid() % 250 + 1}.{next(DOORS)}:9600"


async def call(address: str, what: str, more: str = "") -> tuple[int, str]:
    """One call at an operators' door: its status, and all of its answer."""
    host, _, port = address.rpartition(":")
    caller = Lines(await anyio.connect_tcp(host, int(port)))
    await caller.send(f"{what} HTTP/1.1\r\nHost: door\r\n{more}\r\n".encode())
    return await answered(caller)


async def answered(caller: Lines) -> tuple[int, str]:
    text = ""
    while not isinstance(some := await caller.some(), Ending):
        text += b"".join(some).decode()
    await caller.close()
    return int(text.split()[1]) if text else 0, text


def port_of(listener: Any) -> int:
    return int(listener.extra(SocketAttribute.local_port))


async def dial(port: int) -> Lines:
    return Lines(await anyio.connect_tcp("127.0.0.1", port))


async def opened(
    port: int, wait_ms: int = 2000, traffic_class: str = "rerun", key: str = "k1", ident: str = ""
) -> Lines:
    """A client that has sent its first line."""
    client = await dial(port)
    await client.send(
        f"OPEN {ident or f'id{next(IDENTS)}'} {key} c={traffic_class},t=acme,d={wait_ms},g={key}\r\n".encode()
    )
    return client


async def until(holds: Callable[[], bool]) -> None:
    while not holds():
        await anyio.sleep(0.01)


def on_loopback(test: Callable[[TaskGroup], Awaitable[None]]) -> None:
    """Run a test's body with a task group for its node and stand-ins, which end with it."""

    async def run() -> None:
        with anyio.fail_after(MANY_S):
            async with anyio.create_task_group() as tasks:
                await test(tasks)
                tasks.cancel_scope.cancel()

    anyio.run(run, backend_options={"use_uvloop": True})
