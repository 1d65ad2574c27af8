"""Races of an attempt with events that end it or change its conditions. Each test forces its race."""

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

# Events between the decision on an attempt and the sending of its request.


def drain_upstream(harness: ActorHarness, record: SessionRecord) -> None:
    harness.upstream_actor.target.accepts_sessions = False


def end_deduplication_window(harness: ActorHarness, record: SessionRecord) -> None:
    record.session.repeat_until = now_us()


def disconnect_client(harness: ActorHarness, record: SessionRecord) -> None:
    record.mark_client_gone()


def set_final_answer(harness: ActorHarness, record: SessionRecord) -> None:
    record.set_final_answer(Failed())


@pytest.mark.parametrize(
    "change", [drain_upstream, end_deduplication_window, disconnect_client, set_final_answer]
)
def test_nothing_is_sent_if_a_condition_fails_while_connecting(
    change: Callable[[ActorHarness, SessionRecord], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A check before connecting alone would miss that the attempt must not be sent any more."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        harness, record = ActorHarness(upstreams.addresses[0]), make_record()

        async def dial_and_change(address: tuple[str, int], within_s: float) -> socket.socket | Unconnected:
            connection = await dialing.dial(address, within_s)
            change(harness, record)
            return connection

        monkeypatch.setattr(node_attempts, "dial", dial_and_change)
        assert await harness.attempt(record) is Outcome.NOT_SENT
        assert not upstreams.lines and harness.descriptors.free == harness.descriptors.capacity

    run_on_loopback(body)


def test_nothing_is_sent_on_a_connection_established_after_the_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt sent after its timeout could run although the balancer has given it up."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        harness = ActorHarness(upstreams.addresses[0])
        timed_out_at = now_us() + 30_000

        async def dial_too_late(address: tuple[str, int], within_s: float) -> socket.socket | Unconnected:
            connection = await dialing.dial(address, within_s)
            await wait_until(lambda: now_us() > timed_out_at)
            return connection

        monkeypatch.setattr(node_attempts, "dial", dial_too_late)
        assert await harness.attempt(make_record(), 20_000) is Outcome.NOT_SENT
        assert not upstreams.lines and harness.descriptors.free == harness.descriptors.capacity

    run_on_loopback(body)


def test_a_request_line_not_written_completely_is_a_failed_connection() -> None:
    """Only a request that was written completely may have run.

    If the upstream resets the connection before the last byte, the attempt may be repeated in any traffic
    class. A reset after the last byte must not count as a failed connection, or the request could run twice.
    """

    async def body(tasks: TaskGroup) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            connection = await dialing.dial(server.getsockname()[:2], 1.0)
            assert isinstance(connection, socket.socket)
            upstream, _ = server.accept()
        with connection, upstream:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            results: list[bool] = []

            async def write() -> None:
                results.append(await dialing.send_all(connection, b"x" * 10_000_000))

            tasks.start_soon(write)
            await anyio.wait_readable(upstream)
            assert not results
            upstream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            upstream.close()
            await wait_until(lambda: bool(results))
            assert results == [False]
        upstreams = await UpstreamStubs("reset").start(tasks)
        assert await ActorHarness(upstreams.addresses[0]).attempt(make_record()) is Outcome.RESET

    run_on_loopback(body)


def open_descriptor_count() -> int:
    gc.collect()  # closes sockets of objects that other tests have left unreferenced
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("cancelled", [False, True])
def test_connecting_leaves_no_descriptor_open(cancelled: bool) -> None:
    """Guards against a leaked socket if connecting times out, or is cancelled during or right after it."""

    async def body(tasks: TaskGroup) -> None:
        with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
            address = server.getsockname()[:2]
            backlog_fillers = [socket.socket() for _ in range(4)]
            for sock in backlog_fillers:
                sock.setblocking(False)
                sock.connect_ex(address)
            before = open_descriptor_count()
            if cancelled:
                with anyio.move_on_after(0.05):
                    await dialing.dial(address, 1000.0)
            else:
                assert await dialing.dial(address, 0.05) is Unconnected.CONNECT_FAILED
            assert open_descriptor_count() == before
            for sock in backlog_fillers:
                sock.close()
        with socket.create_server(("127.0.0.1", 0)) as server, anyio.CancelScope() as scope:
            before = open_descriptor_count()
            scope.cancel()
            await dialing.dial(server.getsockname()[:2], 1.0)
        assert open_descriptor_count() == before - 1

    run_on_loopback(body)


def test_an_established_connection_is_used_although_the_event_loop_lagged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an attempt that fails although the upstream has accepted its connection in time.

    The event loop lags, and runs again only after the timeout.
    """

    async def never_writable(sock: socket.socket) -> None:
        await anyio.sleep_forever()

    monkeypatch.setattr(anyio, "wait_writable", never_writable)

    async def body(tasks: TaskGroup) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            connection = await dialing.dial(server.getsockname()[:2], 0.05)
            assert isinstance(connection, socket.socket)
            connection.close()

    run_on_loopback(body)


def test_an_unknown_name_and_a_refusal_give_no_connection() -> None:
    """Guards against an OSError that `dial` raises where it should return CONNECT_FAILED."""

    async def body(tasks: TaskGroup) -> None:
        assert await dialing.dial(("127.0.0.1", 1), 1.0) is Unconnected.CONNECT_FAILED
        assert await dialing.dial(("no.such.name.invalid", 1), 5.0) is Unconnected.CONNECT_FAILED

    run_on_loopback(body)


# Answers that arrive while the attempt ends.


@pytest.mark.parametrize(
    ("chunks", "expected"),
    [
        ([b"UP r1\r\nUP r2\r\n"], Outcome.ESTABLISHED),  # a second answer is relayed like any line
        ([b"BUSY\r\nUP r2\r\n"], Outcome.REJECTED),
        ([b"ERR\r\n", b"UP r2\r\n"], Outcome.ERROR),
        ([b"UP r", b"1\r\n"], Outcome.ESTABLISHED),
        ([b"x" * 6000], Outcome.ERROR),
        ([b"LOAD 1\r\n", b"LOAD 2\r\n", b"BYE\r\n"], Outcome.COMPLETED),
    ],
)
def test_an_attempt_has_one_outcome_whatever_lines_follow(chunks: list[bytes], expected: Outcome) -> None:
    """Guards against a second outcome or an open connection if more lines follow or a line comes in parts."""

    async def body(tasks: TaskGroup) -> None:
        async def answer(upstream: ScriptedUpstream, session: SocketStream) -> None:
            for chunk in chunks:
                await session.send(chunk)

        upstream = await ScriptedUpstream().start(tasks, answer)
        harness, record = ActorHarness(upstream.named), make_record()
        await harness.upstream_actor.attempts.run(record, now_us() + 5_000_000)
        (finished,) = [message for message in harness.messages if isinstance(message, AttemptFinished)]
        assert finished.outcome is expected
        if isinstance(record.final_answer, Delivered):
            assert record.final_answer.line in (b"UP r1\r\n", b"BYE\r\n")
            await record.final_answer.connection.close()
            harness.descriptors.release()
        await wait_until(lambda: upstream.ended_connections == 1)
        assert (
            harness.descriptors.free == harness.descriptors.capacity
            and harness.upstream_actor.attempts.in_flight == 0
        )

    run_on_loopback(body)


@pytest.mark.parametrize("remaining", [b"1\r\n", None])
def test_an_answer_completed_after_the_deadline_does_not_count(remaining: bytes | None) -> None:
    """Guards against a client that gets an answer, or a part of it, after its attempt has timed out.

    The first part of the upstream's line arrives in time, the rest too late or never.
    """

    async def body(tasks: TaskGroup) -> None:
        timed_out = anyio.Event()

        async def answer(upstream: ScriptedUpstream, session: SocketStream) -> None:
            await session.send(b"UP r")
            await timed_out.wait()
            if remaining is not None:
                await session.send(remaining)

        upstream = await ScriptedUpstream().start(tasks, answer)
        harness, record = ActorHarness(upstream.named), make_record()
        assert await harness.attempt(record, 100_000) is Outcome.TIMED_OUT
        timed_out.set()
        assert record.final_answer is None
        await wait_until(lambda: upstream.ended_connections == 1)
        assert harness.descriptors.free == harness.descriptors.capacity

    run_on_loopback(body)


def test_an_answer_during_cancellation_is_delivered_or_its_connection_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two outcomes or a leaked descriptor if an attempt is cancelled just after its answer."""

    async def body(tasks: TaskGroup) -> None:
        async def answer(upstream: ScriptedUpstream, session: SocketStream) -> None:
            await session.send(b"UP r1\r\n")

        upstream = await ScriptedUpstream().start(tasks, answer)
        harness, record = ActorHarness(upstream.named), make_record("rerun")
        original_line = stream.LineConnection.line

        async def line_then_cancel(lines: stream.LineConnection) -> Any:
            result = await original_line(lines)
            assert record.attempt_scope is not None
            record.attempt_scope.cancel()
            return result

        monkeypatch.setattr(stream.LineConnection, "line", line_then_cancel)
        outcome = await harness.attempt(record)
        assert (outcome is Outcome.ESTABLISHED) == isinstance(record.final_answer, Delivered)
        if isinstance(record.final_answer, Delivered):
            await record.final_answer.connection.close()
            harness.descriptors.release()
        await wait_until(lambda: upstream.ended_connections == 1)
        assert harness.descriptors.free == harness.descriptors.capacity

    run_on_loopback(body)


def test_a_second_line_cancels_the_attempt_and_none_follows(
    client_connections: list[ClientConnections],
) -> None:
    """A client that sends a second line before its answer is rejected; its attempt must not continue."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("silent", "UP r1").start(tasks, 3)
        port = await start_node_with(tasks, upstreams)
        client = connect_raw(port, request_line("a"))
        await wait_until(lambda: len(upstreams.lines) == 1)
        client.sendall(b"and now?\r\n")
        assert await send_and_read_all(client) == b"ERR\r\n"
        await wait_until(lambda: upstreams.ended_connections == 1)
        await wait_until_idle(client_connections[0])
        assert len(upstreams.lines) == 1 and upstreams.most_out == 1

    run_on_loopback(body)
