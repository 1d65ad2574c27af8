"""An attempt ends, or its conditions change, in the instant of something else. Each crossing is forced."""

from __future__ import annotations

import gc
import os
import socket
from collections.abc import Callable
from typing import Any

import anyio
import anyio.to_thread
import pytest
from anyio.abc import SocketStream, TaskGroup

from larchlatch.node import attempts as node_attempts
from larchlatch.node.clients.connections import ClientConnections
from larchlatch.node.clock import now_us
from larchlatch.node.messages import AttemptFinished
from larchlatch.node.session_record import Delivered, Failed, SessionRecord
from larchlatch.node.wire import dialing, stream
from larchlatch.node.wire.dialing import Unconnected
from larchlatch.policy.types import Outcome
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node import start_node_with
from tests.support.races import (
    ActorHarness,
    ScriptedUpstream,
    connect_raw,
    make_record,
    request_line,
    send_and_read_all,
    wait_until_idle,
)
from tests.support.stand_ins import UpstreamStubs

# An attempt, between its decision and its sending.


def drains(alone: ActorHarness, record: SessionRecord) -> None:
    alone.upstream_actor.target.accepts_sessions = False


def forgets(alone: ActorHarness, record: SessionRecord) -> None:
    record.session.repeat_until = now_us()


def leaves(alone: ActorHarness, record: SessionRecord) -> None:
    record.mark_client_gone()


def is_answered(alone: ActorHarness, record: SessionRecord) -> None:
    record.set_final_answer(Failed())


@pytest.mark.parametrize("meanwhile", [drains, forgets, leaves, is_answered])
def test_nothing_is_sent_if_a_condition_fails_while_connecting(
    meanwhile: Callable[[ActorHarness, SessionRecord], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        alone, record = ActorHarness(upstreams.addresses[0]), make_record()

        async def dialled(address: tuple[str, int], within_s: float) -> socket.socket | Unconnected:
            made = await dialing.dial(address, within_s)
            meanwhile(alone, record)
            return made

        monkeypatch.setattr(node_attempts, "dial", dialled)
        assert await alone.attempt(record) is Outcome.NOT_SENT
        assert not upstreams.lines and alone.descriptors.free == alone.descriptors.capacity

    run_on_loopback(body)


def test_nothing_is_sent_on_a_connection_established_after_the_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        alone = ActorHarness(upstreams.addresses[0])
        late = now_us() + 30_000

        async def dialled(address: tuple[str, int], within_s: float) -> socket.socket | Unconnected:
            made = await dialing.dial(address, within_s)
            await wait_until(lambda: now_us() > late)
            return made

        monkeypatch.setattr(node_attempts, "dial", dialled)
        assert await alone.attempt(make_record(), 20_000) is Outcome.NOT_SENT
        assert not upstreams.lines and alone.descriptors.free == alone.descriptors.capacity

    run_on_loopback(body)


def test_a_request_line_not_written_completely_is_a_failed_connection() -> None:
    """Reset before its last byte: the attempt may go out again, whatever its class. Later it may have run."""

    async def body(tasks: TaskGroup) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            made = await dialing.dial(server.getsockname()[:2], 1.0)
            assert isinstance(made, socket.socket)
            upstream, _ = server.accept()
        with made, upstream:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            ended: list[bool] = []

            async def write() -> None:
                ended.append(await dialing.send_all(made, b"x" * 10_000_000))

            tasks.start_soon(write)
            await anyio.wait_readable(upstream)
            assert not ended
            upstream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            upstream.close()
            await wait_until(lambda: bool(ended))
            assert ended == [False]
        upstreams = await UpstreamStubs("reset").start(tasks)
        assert await ActorHarness(upstreams.addresses[0]).attempt(make_record()) is Outcome.RESET

    run_on_loopback(body)


def descriptors() -> int:
    gc.collect()  # what other tests have left
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("broken_off", [False, True])
def test_connecting_leaves_no_descriptor_open(broken_off: bool) -> None:
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
                    await dialing.dial(address, 1000.0)
            else:
                assert await dialing.dial(address, 0.05) is Unconnected.CONNECT_FAILED
            assert descriptors() == before
            for sock in filler:
                sock.close()
        with socket.create_server(("127.0.0.1", 0)) as server, anyio.CancelScope() as scope:
            before = descriptors()
            scope.cancel()
            await dialing.dial(server.getsockname()[:2], 1.0)
        assert descriptors() == before - 1

    run_on_loopback(body)


def test_an_established_connection_is_used_although_the_event_loop_lagged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time is over when the loop comes to look: a host that answered is not one that did not."""

    async def never(sock: socket.socket) -> None:
        await anyio.sleep_forever()

    monkeypatch.setattr(anyio, "wait_writable", never)

    async def body(tasks: TaskGroup) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            made = await dialing.dial(server.getsockname()[:2], 0.05)
            assert isinstance(made, socket.socket)
            made.close()

    run_on_loopback(body)


def test_an_unknown_name_and_a_refusal_give_no_connection() -> None:
    async def body(tasks: TaskGroup) -> None:
        assert await dialing.dial(("127.0.0.1", 1), 1.0) is Unconnected.CONNECT_FAILED
        assert await dialing.dial(("no.such.name.invalid", 1), 5.0) is Unconnected.CONNECT_FAILED

    run_on_loopback(body)


# Answers that cross with the end of an attempt.


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
def test_an_attempt_has_one_outcome_whatever_lines_follow(said: list[bytes], comes: Outcome) -> None:
    async def body(tasks: TaskGroup) -> None:
        async def answer(upstream: ScriptedUpstream, session: SocketStream) -> None:
            for part in said:
                await session.send(part)

        upstream = await ScriptedUpstream().start(tasks, answer)
        alone, record = ActorHarness(upstream.named), make_record()
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
def test_an_answer_completed_after_the_deadline_does_not_count(rest: bytes | None) -> None:
    """The first piece in time, the second not, or never: whoever gets it, the client does not."""

    async def body(tasks: TaskGroup) -> None:
        given_up = anyio.Event()

        async def answer(upstream: ScriptedUpstream, session: SocketStream) -> None:
            await session.send(b"UP r")
            await given_up.wait()
            if rest is not None:
                await session.send(rest)

        upstream = await ScriptedUpstream().start(tasks, answer)
        alone, record = ActorHarness(upstream.named), make_record()
        assert await alone.attempt(record, 100_000) is Outcome.TIMED_OUT
        given_up.set()
        assert record.final_answer is None
        await wait_until(lambda: upstream.ended == 1)
        assert alone.descriptors.free == alone.descriptors.capacity

    run_on_loopback(body)


def test_an_answer_during_cancellation_is_delivered_or_leaves_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It lies read in this process when the attempt is broken off: one outcome, nothing left open."""

    async def body(tasks: TaskGroup) -> None:
        async def answer(upstream: ScriptedUpstream, session: SocketStream) -> None:
            await session.send(b"UP r1\r\n")

        upstream = await ScriptedUpstream().start(tasks, answer)
        alone, record = ActorHarness(upstream.named), make_record("rerun")
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


def test_a_second_line_cancels_the_attempt_and_none_follows(
    client_connections: list[ClientConnections],
) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("silent", "UP r1").start(tasks, 3)
        port = await start_node_with(tasks, upstreams)
        client = connect_raw(port, request_line("a"))
        await wait_until(lambda: len(upstreams.lines) == 1)
        client.sendall(b"and now?\r\n")
        assert await send_and_read_all(client) == b"ERR\r\n"
        await wait_until(lambda: upstreams.ended == 1)
        await wait_until_idle(client_connections[0])
        assert len(upstreams.lines) == 1 and upstreams.most_out == 1

    run_on_loopback(body)
