"""What crosses on the sockets: a client's leaving, a host's news, an end, in the instant of something else.

Each crossing is forced: what would have to come in between is made to come there.
"""

from __future__ import annotations

import gc
import os
import signal
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import orjson
import pytest
from anyio.abc import SocketStream, TaskGroup

from larchlatch.config.endpoints import EndpointList, parse_endpoint
from larchlatch.config.upstream import UpstreamSettings
from larchlatch.node import attempts as node_attempts
from larchlatch.node import runtime as node_run
from larchlatch.node.client_listener import ClientListener
from larchlatch.node.clients import request_reader
from larchlatch.node.clients.connections import ClientConnections
from larchlatch.node.clock import now_us
from larchlatch.node.descriptor_budget import HEADROOM, DescriptorBudget
from larchlatch.node.mailbox import Mailbox
from larchlatch.node.messages import AttemptFinished, EndpointsChanged, Message
from larchlatch.node.metrics import Counters
from larchlatch.node.session_record import Delivered, Failed, SessionRecord
from larchlatch.node.upstream_actor import UpstreamActor
from larchlatch.node.wire import lines as say
from larchlatch.node.wire import stream
from larchlatch.node.wire.stream import Unconnected
from larchlatch.policy.types import Outcome, Session
from tests.support.clients import open_session
from tests.support.configuration import endpoint_row, node_configuration
from tests.support.loopback import port_of, run_on_loopback, wait_until
from tests.support.node import start_node, start_node_with
from tests.support.node_process import admin_address, call_admin_api, node_process
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs

FLOOD = b"more and more\r\n" * 27_000  # more than is read at once, less than is read at all


@pytest.fixture
def doors(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[ClientConnections]]:
    """The doors of the nodes that a test starts in this process."""
    made: list[ClientConnections] = []

    class Kept(ClientConnections):
        def __init__(self, *given: Any) -> None:
            super().__init__(*given)
            made.append(self)

    monkeypatch.setattr(node_run, "ClientConnections", Kept)
    yield made


async def at_rest(door: ClientConnections) -> None:
    """Nothing is left of what went through it: no connection, id, attempt or descriptor."""
    module = door._balancer_actor
    await wait_until(
        lambda: (
            not (
                door.connection_count
                or door.sessions.open_count
                or door.requests.ids.records
                or door.sessions.established
                or module.records
            )
            and not (door.reader.waiting or door.reader.without_line)
            and all(
                not upstream_actor.attempts.in_flight and not upstream_actor.session_watch.sessions
                for upstream_actor in module.upstreams.actors.values()
            )
            and door.descriptors.free == door.descriptors.capacity - 1  # for the next one to be accepted
        )
    )


PATIENT_US = 15_000_000  # how long a client waits that must not be answered by its time alone
SOON_S = 8.0  # well before that, and long enough for any machine


def raw_client(port: int, said: bytes) -> socket.socket:
    client = socket.create_connection(("127.0.0.1", port))
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    client.sendall(said)
    return client


async def all_of(client: socket.socket, more: bytes = b"") -> bytes:
    """What a client that says more gets up to the end; a reset is an error."""

    def read() -> bytes:
        got = b""
        client.settimeout(10)
        client.sendall(more)
        while some := client.recv(65536):
            got += some
        client.close()
        return got

    return await anyio.to_thread.run_sync(read)


def line_of(ident: str, more: str = "", wait_ms: int = 2000) -> bytes:
    return f"OPEN {ident} k1 c=rerun,t=acme,d={wait_ms}{more}\r\n".encode()


# Closing over bytes that nobody has read.


@pytest.mark.parametrize("first", [b"nonsense\r\n", b"OPEN a\r\n", b"x" * 5000, b"OPEN half"])
def test_an_answer_arrives_though_bytes_follow_that_nobody_reads(
    first: bytes, doors: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    """They come between the reading of the line and its answer."""
    monkeypatch.setattr(request_reader, "FIRST_LINE_S", 0.2)
    clients: list[socket.socket] = []
    real = stream.Lines.send

    async def send(lines: stream.Lines, data: bytes) -> bool:
        clients[0].sendall(b"more and more\r\n" * 100)
        return await real(lines, data)

    monkeypatch.setattr(stream.Lines, "send", send)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("silent").start(tasks)
        port = await start_node_with(tasks, upstreams)
        clients.append(raw_client(port, first))
        assert await all_of(clients[0]) == b"ERR\r\n"
        await at_rest(doors[0])

    run_on_loopback(body)


def test_a_link_turned_away_unread_gets_its_answer_whole() -> None:
    async def body(tasks: TaskGroup) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            client = raw_client(server.getsockname()[1], line_of("a"))
            node, _ = server.accept()
        assert node.recv(100) == line_of("a")
        node.setblocking(False)
        stream.send_last_line(node, b"BUSY 7\r\n")
        tasks.start_soon(stream.discard_and_close, node, 1.0)
        assert await all_of(client, FLOOD) == b"BUSY 7\r\n"
        await wait_until(lambda: node.fileno() < 0)

    run_on_loopback(body)


# Clients that leave.


def test_a_client_whose_end_lies_behind_other_bytes_is_gone(doors: list[ClientConnections]) -> None:
    """It goes on from elsewhere, says more, and leaves while its link waits for a place."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        rows = [endpoint_row(0, upstreams.addresses[0])]
        discovery = await DiscoveryStub([]).start(tasks)
        raw = node_configuration(upstreams.addresses, discovery.port)
        raw["known"]["members"][0]["phase"] = "terminating"
        raw["settings"]["tariffs"][0]["cut_off_us"] = PATIENT_US
        port = await start_node(tasks, raw)
        client = raw_client(port, line_of("a", ",mid=1", PATIENT_US // 1000))
        await wait_until(lambda: doors[0].sessions.open_count == 1)
        client.sendall(b"one\r\n")
        client.sendall(b"two\r\n")
        client.close()
        with anyio.fail_after(SOON_S):
            await at_rest(doors[0])
        doors[0]._balancer_actor.handle(now_us(), EndpointsChanged(say_members(rows), True))
        assert await (await open_session(port)).line() == b"UP r1\r\n"
        assert len(upstreams.lines) == 1, "an attempt for a client that had left"

    run_on_loopback(body)


def say_members(rows: list[dict[str, Any]]) -> Any:
    return EndpointList(9, False, [parse_endpoint(row, "row") for row in rows])


@pytest.mark.parametrize("behind", [b"", b"unread\r\n" * 100])
def test_no_attempt_goes_out_for_a_client_that_left_since_the_decision(
    behind: bytes, doors: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its end lies in this machine when the connection to the host comes up; nobody has read it yet."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        port = await start_node_with(tasks, upstreams)
        clients: list[socket.socket] = []

        async def dialled(address: tuple[str, int], within_s: float) -> socket.socket | Unconnected:
            made = await stream.dial(address, within_s)
            if clients:
                clients[0].sendall(behind)
                clients.pop().close()
            return made

        monkeypatch.setattr(node_attempts, "dial", dialled)
        clients.append(raw_client(port, line_of("a", ",mid=1")))
        await wait_until(lambda: not clients)
        await at_rest(doors[0])
        assert not upstreams.lines
        assert doors[0].counters.counts["attempt_not_begun_client_gone"] == 1

    run_on_loopback(body)


def test_a_client_that_leaves_before_the_decisions_come_to_it_costs_no_attempt(
    doors: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    gate = anyio.Event()
    real = Mailbox.submit

    async def submit(mailbox: Mailbox, word: Any) -> None:
        await gate.wait()  # as long as its mailbox is full
        await real(mailbox, word)

    monkeypatch.setattr(Mailbox, "offer", lambda mailbox, word: False)
    monkeypatch.setattr(Mailbox, "submit", submit)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        discovery = await DiscoveryStub([]).start(tasks)
        raw = node_configuration(upstreams.addresses, discovery.port)
        raw["settings"]["tariffs"][0]["cut_off_us"] = PATIENT_US
        port = await start_node(tasks, raw)
        client = raw_client(port, line_of("a", wait_ms=PATIENT_US // 1000))
        await wait_until(lambda: doors[0].sessions.open_count == 1)
        client.close()
        with anyio.fail_after(SOON_S):
            await wait_until(lambda: doors[0].sessions.open_count == 0)
        gate.set()
        await at_rest(doors[0])
        assert not upstreams.lines

    run_on_loopback(body)


def test_a_link_that_the_decisions_never_come_to_is_answered_in_time(
    doors: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def submit(mailbox: Mailbox, word: Any) -> None:
        await anyio.sleep_forever()

    monkeypatch.setattr(Mailbox, "offer", lambda mailbox, word: False)
    monkeypatch.setattr(Mailbox, "submit", submit)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        port = await start_node_with(tasks, upstreams)
        began = anyio.current_time()
        assert (await all_of(raw_client(port, line_of("a", wait_ms=1000)))).startswith(b"BUSY ")
        assert anyio.current_time() < began + 1.0
        assert not upstreams.lines
        await at_rest(doors[0])

    run_on_loopback(body)


# An attempt, between its decision and its sending.


class Alone:
    """A host's actor without a node."""

    def __init__(self, address: str) -> None:
        name, _, port = address.rpartition(":")
        self.words: list[Message] = []
        self.descriptors = DescriptorBudget(1024)
        self.counters = Counters()
        reach = UpstreamSettings(250_000, False, False, 0)
        self.upstream_actor = UpstreamActor(
            0, "s-0", (name, int(port)), reach, self.descriptors, self.counters, self.post
        )

    async def post(self, word: Message) -> None:
        self.words.append(word)

    async def attempt(self, record: SessionRecord, within_us: int = 1_000_000) -> Outcome:
        await self.upstream_actor.attempts.run(record, now_us() + within_us)
        (word,) = self.words
        assert isinstance(word, AttemptFinished)
        assert self.upstream_actor.attempts.in_flight == 0 and record.attempt_scope is None
        return word.outcome


def hand_of(traffic_class: str = "once") -> SessionRecord:
    opening = say.parse_opening(f"OPEN a k1 c={traffic_class},d=1000\r\n".encode())
    assert isinstance(opening, say.Opening)
    return SessionRecord(Session(0, 0, 1, None, now_us() + 1_000_000), opening)


def drains(alone: Alone, record: SessionRecord) -> None:
    alone.upstream_actor.target.accepts_sessions = False


def forgets(alone: Alone, record: SessionRecord) -> None:
    record.session.repeat_until = now_us()


def leaves(alone: Alone, record: SessionRecord) -> None:
    record.mark_client_gone()


def is_answered(alone: Alone, record: SessionRecord) -> None:
    record.set_final_answer(Failed())


@pytest.mark.parametrize("meanwhile", [drains, forgets, leaves, is_answered])
def test_nothing_is_sent_that_became_wrong_while_the_connection_came_up(
    meanwhile: Callable[[Alone, SessionRecord], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        alone, record = Alone(upstreams.addresses[0]), hand_of()

        async def dialled(address: tuple[str, int], within_s: float) -> socket.socket | Unconnected:
            made = await stream.dial(address, within_s)
            meanwhile(alone, record)
            return made

        monkeypatch.setattr(node_attempts, "dial", dialled)
        assert await alone.attempt(record) is Outcome.NOT_SENT
        assert not upstreams.lines and alone.descriptors.free == alone.descriptors.capacity

    run_on_loopback(body)


def test_a_connection_that_comes_up_after_the_attempts_time_carries_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        alone = Alone(upstreams.addresses[0])
        late = now_us() + 30_000

        async def dialled(address: tuple[str, int], within_s: float) -> socket.socket | Unconnected:
            made = await stream.dial(address, within_s)
            await wait_until(lambda: now_us() > late)
            return made

        monkeypatch.setattr(node_attempts, "dial", dialled)
        assert await alone.attempt(hand_of(), 20_000) is Outcome.NOT_SENT
        assert not upstreams.lines and alone.descriptors.free == alone.descriptors.capacity

    run_on_loopback(body)


def test_a_line_that_the_system_did_not_take_whole_can_not_have_run() -> None:
    """Reset before its last byte: the attempt may go out again, whatever its class. Later it may have run."""

    async def body(tasks: TaskGroup) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            made = await stream.dial(server.getsockname()[:2], 1.0)
            assert isinstance(made, socket.socket)
            upstream, _ = server.accept()
        with made, upstream:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            ended: list[bool] = []

            async def write() -> None:
                ended.append(await stream.written(made, b"x" * 10_000_000))

            tasks.start_soon(write)
            await anyio.wait_readable(upstream)
            assert not ended
            upstream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            upstream.close()
            await wait_until(lambda: bool(ended))
            assert ended == [False]
        upstreams = await UpstreamStubs("reset").start(tasks)
        assert await Alone(upstreams.addresses[0]).attempt(hand_of()) is Outcome.RESET

    run_on_loopback(body)


def descriptors() -> int:
    gc.collect()  # what other tests have left
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("broken_off", [False, True])
def test_dialling_leaves_no_descriptor_behind(broken_off: bool) -> None:
    """Given up by time, and broken off from outside, in the middle and in the instant it comes up."""

    async def body(tasks: TaskGroup) -> None:
        with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
            address = server.getsockname()[:2]
            filler = [socket.socket() for _ in range(4)]
            for sock in filler:
                sock.setblocking(False)
                sock.connect_ex(address)
            before = descriptors()
            if broken_off:
                with anyio.move_on_after(0.05):
                    await stream.dial(address, 1000.0)
            else:
                assert await stream.dial(address, 0.05) is Unconnected.CONNECT_FAILED
            assert descriptors() == before
            for sock in filler:
                sock.close()
        with socket.create_server(("127.0.0.1", 0)) as server, anyio.CancelScope() as scope:
            before = descriptors()
            scope.cancel()
            await stream.dial(server.getsockname()[:2], 1.0)
        assert descriptors() == before - 1

    run_on_loopback(body)


def test_a_connection_that_is_up_is_had_though_this_nodes_loop_was_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time is over when the loop comes to look: a host that answered is not one that did not."""

    async def never(sock: socket.socket) -> None:
        await anyio.sleep_forever()

    monkeypatch.setattr(anyio, "wait_writable", never)

    async def body(tasks: TaskGroup) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            made = await stream.dial(server.getsockname()[:2], 0.05)
            assert isinstance(made, socket.socket)
            made.close()

    run_on_loopback(body)


def test_an_unknown_name_and_a_refusal_are_no_connection() -> None:
    async def body(tasks: TaskGroup) -> None:
        assert await stream.dial(("127.0.0.1", 1), 1.0) is Unconnected.CONNECT_FAILED
        assert await stream.dial(("no.such.name.invalid", 1), 5.0) is Unconnected.CONNECT_FAILED

    run_on_loopback(body)


# The end of a node.


def short_lived(upstreams: UpstreamStubs, discovery: int, **changes: Any) -> dict[str, Any]:
    """A configuration whose node is granted little time after SIGTERM."""
    raw = node_configuration(upstreams.addresses, discovery, **changes)
    for traffic_class in raw["settings"]["tariffs"]:
        traffic_class["cut_off_us"] = 400_000
    return raw


@pytest.mark.parametrize("mode", ["proxy", "pass"])
def test_whoever_rests_when_a_node_ends_gets_a_word_and_no_reset(mode: str, tmp_path: Path) -> None:
    """One says nothing at all, one half a line; a link waits for its host's answer, and gets it."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("late UP r1").start(tasks)
        discovery = await DiscoveryStub([]).start(tasks)
        path = tmp_path / "node.json"
        raw = short_lived(upstreams, discovery.port, domain={"mode": mode})
        raw["settings"]["tariffs"][0]["cut_off_us"] = 2_000_000
        path.write_bytes(orjson.dumps(raw))
        async with node_process(path) as node:
            resting = [raw_client(node.port, said) for said in (b"", b"OPEN half")]
            waiting = await open_session(node.port)
            await wait_until(lambda: len(upstreams.lines) == 1)
            for _ in range(2):  # the second changes nothing
                node.signal(signal.SIGTERM)
            assert await waiting.line() == b"UP r1\r\n"
            await waiting.close()
            for client in resting:
                assert (await all_of(client)).startswith(b"BUSY ")
            assert await node.ended() == 0

    run_on_loopback(body)


@pytest.mark.parametrize("crossing", ["start", "SIGHUP"])
def test_a_stop_in_the_middle_of_something_else_ends_the_node_as_ever(crossing: str, tmp_path: Path) -> None:
    """Told to end while it waits for its first list, and in one breath with a new configuration."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("late UP r1").start(tasks)
        silent = await Scripted().start(tasks, lambda upstream, session: anyio.sleep_forever())
        path = tmp_path / "node.json"
        raw = short_lived(upstreams, silent.address[1])
        raw["settings"]["tariffs"][0]["cut_off_us"] = 2_000_000
        raw["control"] = admin_address()
        path.write_bytes(orjson.dumps(raw))
        event = "admin_api_listening" if crossing == "start" else "serving"
        async with node_process(path, event) as node:
            if crossing == "start":
                node.signal(signal.SIGTERM)
                assert (await node.next_event("serving"))["upstreams"] == 1
            else:
                waiting = await open_session(node.port)
                await wait_until(lambda: len(upstreams.lines) == 1)
                for told in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                    node.signal(told)
                assert await waiting.line() == b"UP r1\r\n"
                await waiting.close()
            await node.next_event("stopping")
            await node.next_event("stopped")
            assert await node.ended() == 0

    run_on_loopback(body)


def test_a_host_that_resets_a_standing_link_long_after_resets_its_client(
    doors: list[ClientConnections],
) -> None:
    async def body(tasks: TaskGroup) -> None:
        stood = anyio.Event()

        async def answer(upstream: Scripted, session: SocketStream) -> None:
            await session.send(b"UP r1\r\n")
            await stood.wait()
            await stream.Lines(session).close(reset=True)

        upstream = await Scripted().start(tasks, answer)
        discovery = await DiscoveryStub([]).start(tasks)
        port = await start_node(tasks, node_configuration([upstream.named], discovery.port))
        client = await open_session(port)
        assert await client.line() == b"UP r1\r\n"
        stood.set()
        assert await client.line() is stream.Ending.RESET
        await at_rest(doors[0])
        assert len(upstream.lines) == 1

    run_on_loopback(body)


def test_what_waits_to_be_accepted_at_the_end_is_answered_and_what_comes_later_refused(
    doors: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The system has accepted them, and holds their requests, when the node shuts its entrance."""
    listeners: list[ClientListener] = []

    class Kept(ClientListener):
        def __init__(self, *given: Any) -> None:
            super().__init__(*given)
            listeners.append(self)

    monkeypatch.setattr(node_run, "ClientListener", Kept)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        port = await start_node_with(tasks, upstreams)
        (listener,) = listeners
        listener.pause()
        await listener.idle.wait()
        wait = [raw_client(port, said) for said in [line_of(f"id{n}") for n in range(50)] + [b"", b"half"]]
        assert doors[0].connection_count == 0
        doors[0].reject_all()
        await listener.close()
        with pytest.raises(ConnectionRefusedError):
            raw_client(port, b"")
        for client in wait:
            assert (await all_of(client)).startswith(b"BUSY ")
        assert not upstreams.lines

    run_on_loopback(body)


def test_a_node_that_ends_turns_away_what_the_system_accepted_for_it(
    doors: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(request_reader, "FIRST_LINE_S", 1000.0)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        port = await start_node_with(tasks, upstreams)
        rests = raw_client(port, b"")
        await wait_until(lambda: doors[0].reader.without_line == 1)
        doors[0].reject_all()
        came = [raw_client(port, said) for said in (line_of("a"), b"", b"half a li")]
        for client in (rests, *came):
            assert (await all_of(client)).startswith(b"BUSY ")
        assert not upstreams.lines
        await at_rest(doors[0])

    run_on_loopback(body)


def test_links_at_the_end_are_answered_before_it(doors: list[ClientConnections]) -> None:
    """However long a client would wait: what is still out when the process is killed has no answer."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("silent").start(tasks)
        port = await start_node_with(tasks, upstreams)
        phase = doors[0]._lifecycle
        phase.start_stop(anyio.current_time())
        phase.stop_duration_s = 0.3
        began = anyio.current_time()
        assert await all_of(raw_client(port, line_of("a", wait_ms=3000)))
        assert anyio.current_time() < began + 2.0
        await at_rest(doors[0])

    run_on_loopback(body)


# Answers that cross with the end of an attempt.


class Scripted:
    """A host that does as told with each connection's first line, step by step."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.address = ("", 0)
        self.ended = 0

    async def start(
        self, tasks: TaskGroup, answer: Callable[[Scripted, SocketStream], Awaitable[None]]
    ) -> Scripted:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.address = ("127.0.0.1", port_of(listener))

        async def serve(session: SocketStream) -> None:
            with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
                async with session:
                    self.lines.append(await session.receive())
                    await answer(self, session)
                    while True:
                        await session.receive()
            self.ended += 1

        tasks.start_soon(listener.serve, serve)
        return self

    @property
    def named(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"


@pytest.mark.parametrize(
    ("said", "comes"),
    [
        ([b"UP r1\r\nUP r2\r\n"], Outcome.ESTABLISHED),  # a second answer is the link's by then, as any line
        ([b"BUSY\r\nUP r2\r\n"], Outcome.REJECTED),
        ([b"ERR\r\n", b"UP r2\r\n"], Outcome.ERROR),
        ([b"UP r", b"1\r\n"], Outcome.ESTABLISHED),
        ([b"x" * 6000], Outcome.ERROR),
        ([b"LOAD 1\r\n", b"LOAD 2\r\n", b"BYE\r\n"], Outcome.COMPLETED),
    ],
)
def test_an_attempt_has_one_outcome_whatever_else_is_said(said: list[bytes], comes: Outcome) -> None:
    async def body(tasks: TaskGroup) -> None:
        async def answer(upstream: Scripted, session: SocketStream) -> None:
            for part in said:
                await session.send(part)

        upstream = await Scripted().start(tasks, answer)
        alone, record = Alone(upstream.named), hand_of()
        await alone.upstream_actor.attempts.run(record, now_us() + 5_000_000)
        (told,) = [word for word in alone.words if isinstance(word, AttemptFinished)]
        assert told.outcome is comes
        if isinstance(record.final_answer, Delivered):
            assert record.final_answer.line in (b"UP r1\r\n", b"BYE\r\n")
            await record.final_answer.connection.close()
            alone.descriptors.release()
        await wait_until(lambda: upstream.ended == 1)
        assert (
            alone.descriptors.free == alone.descriptors.capacity
            and alone.upstream_actor.attempts.in_flight == 0
        )

    run_on_loopback(body)


@pytest.mark.parametrize("rest", [b"1\r\n", None])
def test_an_answer_in_two_pieces_round_its_deadline_is_none(rest: bytes | None) -> None:
    """The first piece in time, the second not, or never: whoever gets it, the client does not."""

    async def body(tasks: TaskGroup) -> None:
        given_up = anyio.Event()

        async def answer(upstream: Scripted, session: SocketStream) -> None:
            await session.send(b"UP r")
            await given_up.wait()
            if rest is not None:
                await session.send(rest)

        upstream = await Scripted().start(tasks, answer)
        alone, record = Alone(upstream.named), hand_of()
        assert await alone.attempt(record, 100_000) is Outcome.TIMED_OUT
        given_up.set()
        assert record.final_answer is None
        await wait_until(lambda: upstream.ended == 1)
        assert alone.descriptors.free == alone.descriptors.capacity

    run_on_loopback(body)


def test_an_answer_that_comes_as_its_attempt_is_withdrawn_is_taken_or_leaves_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It lies read in this process when the attempt is broken off: one outcome, nothing left open."""

    async def body(tasks: TaskGroup) -> None:
        async def answer(upstream: Scripted, session: SocketStream) -> None:
            await session.send(b"UP r1\r\n")

        upstream = await Scripted().start(tasks, answer)
        alone, record = Alone(upstream.named), hand_of("rerun")
        real = stream.Lines.line

        async def line(lines: stream.Lines) -> Any:
            got = await real(lines)
            assert record.attempt_scope is not None
            record.attempt_scope.cancel()
            return got

        monkeypatch.setattr(stream.Lines, "line", line)
        outcome = await alone.attempt(record)
        assert (outcome is Outcome.ESTABLISHED) == isinstance(record.final_answer, Delivered)
        if isinstance(record.final_answer, Delivered):
            await record.final_answer.connection.close()
            alone.descriptors.release()
        await wait_until(lambda: upstream.ended == 1)
        assert alone.descriptors.free == alone.descriptors.capacity

    run_on_loopback(body)


def test_a_second_line_ends_the_attempt_that_is_out_and_none_follows(doors: list[ClientConnections]) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("silent", "UP r1").start(tasks, 3)
        port = await start_node_with(tasks, upstreams)
        client = raw_client(port, line_of("a"))
        await wait_until(lambda: len(upstreams.lines) == 1)
        client.sendall(b"and now?\r\n")
        assert await all_of(client) == b"ERR\r\n"
        await wait_until(lambda: upstreams.ended == 1)
        await at_rest(doors[0])
        assert len(upstreams.lines) == 1 and upstreams.most_out == 1

    run_on_loopback(body)


# Many at once.


def test_idle_clients_that_hold_all_descriptors_keep_neither_discovery_nor_operators_out(
    doors: list[ClientConnections], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Discovery is down while they come; when it is back its news are heard, and a sound client is served."""
    monkeypatch.setattr(node_run, "FIRST_LIST_WAIT_S", 0.1)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks, 2)
        closed = socket.create_server(("127.0.0.1", 0))
        port = closed.getsockname()[1]
        closed.close()
        raw = node_configuration(upstreams.addresses[:1], port)
        raw["limits"] = {"sockets": HEADROOM + 24}
        raw["control"] = admin_address()
        at = await start_node(tasks, raw)
        idle = [raw_client(at, b"") for _ in range(60)]
        await wait_until(lambda: doors[0].counters.counts["idle_connection_evicted_silent"] > 0)
        assert (await call_admin_api(raw["control"], "GET /ops/readiness"))[0] == 200
        rows = [
            endpoint_row(0, upstreams.addresses[0], "terminating"),
            endpoint_row(1, upstreams.addresses[1]),
        ]
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port, reuse_port=True)

        async def serve(session: SocketStream) -> None:
            async with session:
                await session.receive()
                told = orjson.dumps({"revision": 5, "complete": True, "members": rows}) + b"\n"
                await session.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                await session.send(b"%x\r\n%s\r\n" % (len(told), told))
                await anyio.sleep_forever()

        tasks.start_soon(listener.serve, serve)
        await wait_until(lambda: doors[0].counters.counts["endpoint_list_full"] == 1)
        for _ in range(5):
            assert await (await open_session(at)).line() == b"UP r1\r\n"
        assert {upstream for upstream, _ in upstreams.lines} == {1}
        for client in idle:
            client.close()

    run_on_loopback(body)


def test_a_herd_that_starts_at_once_is_ready_in_time(tmp_path: Path) -> None:
    """Thirty processes on the cores there are, before a list that is out of reach."""

    async def body(tasks: TaskGroup) -> None:
        path = tmp_path / "node.json"
        path.write_bytes(orjson.dumps(node_configuration(["127.0.0.1:1"], 1)))
        began = anyio.current_time()
        ready: list[float] = []

        async def start() -> None:
            async with node_process(path):
                ready.append(anyio.current_time() - began)

        async with anyio.create_task_group() as herd:
            for _ in range(30):
                herd.start_soon(start)
        assert sorted(ready)[26] < 10.0

    run_on_loopback(body)
