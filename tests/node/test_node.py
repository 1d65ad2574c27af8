"""Tests of a complete node between clients and stub upstreams on loopback: answers, attempts and failures."""

from __future__ import annotations

import os
import select
import socket
import time

import anyio
import anyio.to_thread
import pytest
from anyio.abc import TaskGroup
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.node import session_watch
from larchlatch.node.clients import request_reader
from larchlatch.node.descriptor_budget import HEADROOM
from larchlatch.node.wire.stream import Ending
from larchlatch.policy.balancer import Balancer
from larchlatch.policy.types import Answer, Session
from tests.support.clients import connect, open_session, read_to_end
from tests.support.configuration import node_configuration
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node import EMPTY_CHANGE, start_node, start_node_with
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs

ANSWERS = ["UP r1", "BUSY", "ERR", "reset", "silent", "MOVE", "BUSY inflight=7,queue=2", "odd words"]
TRAFFIC_CLASSES = ["rerun", "ticket", "once"]


@settings(derandomize=True, max_examples=25, deadline=None)
@given(
    st.lists(st.sampled_from(ANSWERS), min_size=1, max_size=5), st.sampled_from(["rerun", "ticket", "once"])
)
def test_rules_hold_whatever_hosts_answer(answers: list[str], traffic_class: str) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs(*answers).start(tasks, 3)
        port = await start_node_with(tasks, upstreams)
        client = await open_session(port, wait_ms=500, traffic_class=traffic_class)
        first = await client.line()
        assert isinstance(first, bytes), "no final answer"
        word = first.split()[0]
        assert word in (b"UP", b"BUSY", b"ERR")
        assert upstreams.most_out <= 1, "two tries out at once"
        sent = len(upstreams.lines)
        may_have_run = [
            answer not in ("BUSY", "BUSY inflight=7,queue=2")
            for answer in (answers + answers[-1:] * sent)[: sent - (word == b"UP")]
        ]
        if traffic_class != "rerun" and any(may_have_run):
            ran = may_have_run.index(True)
            where = {upstream for upstream, _ in upstreams.lines[ran:]}
            assert len(where) == 1, "resent outside the group that remembers it"
            assert traffic_class != "once" or len(upstreams.lines) == ran + 1, (
                "a second run of an exclusive link"
            )
            assert word != b"BUSY", "shed though it may have run where others would not know"
        if word != b"UP":
            assert await client.line() is Ending.END, "something after the final answer"
            await anyio.sleep(0.05)
            assert len(upstreams.lines) == sent, "sent after the final answer"

    run_on_loopback(body)


def test_a_late_answer_never_reaches_the_client() -> None:
    """Guards against a second answer, when the upstream answers after the session has been shed."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("late UP r1").start(tasks)
        client = await open_session(await start_node_with(tasks, upstreams), wait_ms=300)
        lines = await read_to_end(client)
        assert len(lines) == 1 and lines[0].startswith(b"BUSY")
        await wait_until(lambda: upstreams.ended_connections == 1)

    run_on_loopback(body)


def test_a_request_that_waited_unread_is_answered_in_its_clients_time() -> None:
    """Guards against a wait that counts from when a busy event loop reads the request, not its arrival."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("silent").start(tasks)
        port = await start_node_with(tasks, upstreams)
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(b"OPEN id1 k1 c=once,t=acme,d=1000\r\n")
            sent_at = time.monotonic()
            time.sleep(0.8)
            client.setblocking(False)
            await anyio.to_thread.run_sync(select.select, [client], [], [], 5)
            answer = client.recv(99)
        assert answer.startswith((b"ERR", b"BUSY"))
        assert time.monotonic() - sent_at < 1.5

    run_on_loopback(body)


def test_lines_and_ends_are_passed_on_in_both_directions() -> None:
    """Guards against changed lines, lost connection ends, and an attempt line with a wrong wait."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        client = await open_session(await start_node_with(tasks, upstreams), ident="echo")
        assert await client.line() == b"UP echo\r\n"
        for text in (b"one\r\n", b"two, longer\r\n"):
            await client.send(text)
            assert await client.line() == text
        await client.finish(Ending.END)
        await wait_until(lambda: upstreams.ended_connections == 1)
        line = upstreams.lines[0][1]
        assert line.startswith("OPEN echo k1 c=rerun,t=acme,d=") and line.endswith(",g=k1\r\n")
        assert 1000 < int(line.split("d=")[1].split(",")[0]) <= 2000

    run_on_loopback(body)


def test_a_session_on_a_silent_upstream_migrates_between_two_lines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The session must not stay on an upstream that has vanished without a reset.

    The upstream has sent half a line, which must not reach the client before the node's MOVE.
    """
    monkeypatch.setattr(session_watch, "SILENCE_LIMIT_US", 300_000)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP half").start(tasks)
        client = await open_session(await start_node_with(tasks, upstreams))
        assert await client.line() == b"UP half\r\n"
        await client.send(b"hello\r\n")
        assert await read_to_end(client) == [b"MOVE\r\n"]
        assert not client.partial_line
        await wait_until(lambda: upstreams.ended_connections == 1)

    run_on_loopback(body)


def test_an_unresponsive_upstream_is_reported_before_its_sessions_migrate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An upstream that answers on any of its sessions must not be reported as unresponsive.

    The balancer migrates all sessions of an upstream that is reported, so the report has to come before the
    time after which each silent session migrates by itself.
    """
    reported: list[int] = []
    monkeypatch.setattr(
        Balancer, "record_unresponsive", lambda balancer, now, upstream: reported.append(upstream)
    )
    monkeypatch.setattr(session_watch, "SILENCE_LIMIT_US", 10**9)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP half", "UP echo", "UP half").start(tasks)
        port = await start_node_with(tasks, upstreams)
        clients = []
        for answer in (b"UP half\r\n", b"UP echo\r\n", b"UP half\r\n"):
            clients.append(await open_session(port))
            assert await clients[-1].line() == answer
        silent, responsive, silent_later = clients
        await silent.send(b"hello\r\n")
        for _ in range(10):
            await anyio.sleep(0.1)
            await responsive.send(b"hello\r\n")
            assert await responsive.line() == b"hello\r\n"
        assert not reported
        await silent_later.send(b"hello\r\n")
        await wait_until(lambda: 0 in reported)

    run_on_loopback(body)


def test_many_silent_clients_do_not_block_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients that only connect, or send half a line, must not use up the descriptors that sessions need."""
    monkeypatch.setattr(request_reader, "FIRST_LINE_S", 0.6)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        raw = node_configuration(upstreams.addresses, discovery.port)
        raw["limits"] = {"sockets": HEADROOM + 20}
        port = await start_node(tasks, raw)
        silent_clients = [await connect(port) for _ in range(100)]
        for client in silent_clients[::2]:
            await client.send(b"OPEN ")
        active_clients = [await open_session(port, ident=f"id{number}") for number in range(5)]
        for client in active_clients:
            assert await client.line() == b"UP echo\r\n"
        for client in silent_clients:
            assert await read_to_end(client) in ([b"ERR\r\n"], [])
        await active_clients[0].send(b"still there\r\n")
        assert await active_clients[0].line() == b"still there\r\n"

    run_on_loopback(body)


def test_a_fault_in_the_balancer_fails_one_session_only(monkeypatch: pytest.MonkeyPatch) -> None:
    """An exception in one decision must not end the node, which would end all established sessions."""
    original_place = Balancer.place

    def faulty_place(balancer: Balancer, now: int, session: Session) -> Answer:
        if session.traffic_class == 2:
            raise ValueError("injected fault")
        return original_place(balancer, now, session)

    monkeypatch.setattr(Balancer, "place", faulty_place)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        port = await start_node_with(tasks, upstreams)
        assert await read_to_end(await open_session(port, traffic_class="once")) == [b"ERR\r\n"]
        assert await (await open_session(port)).line() == b"UP echo\r\n"

    run_on_loopback(body)


def test_many_sessions_leave_no_descriptor_open_or_reserved() -> None:
    """Guards against descriptors that leak, or stay reserved, when sessions fail, end or are reset."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo", "BUSY", "ERR", "reset", "UP echo").start(tasks, 2)
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        raw = node_configuration(upstreams.addresses, discovery.port)
        raw["limits"] = {"sockets": HEADROOM + 70}
        port = await start_node(tasks, raw)
        before = len(os.listdir("/proc/self/fd"))

        async def run_session(number: int) -> None:
            client = await open_session(port, wait_ms=1000, key=f"k{number}")
            line = await client.line()
            assert isinstance(line, bytes) and (number < 100 or line == b"UP echo\r\n")
            if number % 2:
                await client.finish(Ending.END)
            else:
                await client.close(reset=True)

        for batch in range(4):
            async with anyio.create_task_group() as sessions:
                for number in range(30):
                    sessions.start_soon(run_session, 100 * batch + number)
        await wait_until(lambda: len(os.listdir("/proc/self/fd")) <= before)

    run_on_loopback(body)


def test_sessions_are_answered_when_descriptors_run_out() -> None:
    """An attempt without a descriptor has not run, so its session is shed and does not fail in any class."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        raw = node_configuration(upstreams.addresses, discovery.port)
        raw["limits"] = {"sockets": HEADROOM + 4}
        port = await start_node(tasks, raw)
        first = await open_session(port, traffic_class="once")
        assert await first.line() == b"UP echo\r\n"
        second = await open_session(port, traffic_class="once")
        assert (await read_to_end(second))[0].startswith(b"BUSY")
        third = await open_session(port, traffic_class="once")
        await first.close()
        assert await third.line() in (b"UP echo\r\n", b"BUSY\r\n")
        await third.close()
        while await (await open_session(port, traffic_class="once")).line() != b"UP echo\r\n":
            await anyio.sleep(0.02)

    run_on_loopback(body)


def test_a_failed_connection_is_distinguished_from_an_attempt_that_may_have_run() -> None:
    """An attempt that was refused has not run: even a non-idempotent session must be placed elsewhere."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        upstreams.addresses = ["127.0.0.1:1", *upstreams.addresses]
        port = await start_node_with(tasks, upstreams)
        for number in range(6):
            client = await open_session(port, traffic_class="once", key=f"k{number}")
            assert await client.line() == b"UP echo\r\n"

    run_on_loopback(body)
