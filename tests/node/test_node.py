"""The real node between stand-ins on loopback: the rules, and what each failure may not do."""

from __future__ import annotations

import math
import os
import select
import signal
import socket
import time
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import orjson
import pytest
from anyio.abc import TaskGroup
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.__main__ import cli
from larchlatch.node import session_watch
from larchlatch.node.clients import request_reader
from larchlatch.node.descriptor_budget import HEADROOM
from larchlatch.node.wire.lines import BadLine, Opening, Up, attempt_line, parse_opening, parse_upstream_line
from larchlatch.node.wire.stream import Ending, Lines
from larchlatch.policy.backoff import BACKOFF_US
from larchlatch.policy.balancer import Balancer
from larchlatch.policy.types import Answer, Session
from tests.support.clients import connect, open_session, read_to_end
from tests.support.configuration import endpoint_row, node_configuration
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node import EMPTY_CHANGE, start_node, start_node_with
from tests.support.node_process import node_process
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


def test_an_answer_that_comes_late_never_reaches_the_client() -> None:
    """The try was given up: its host must find the connection closed, and the client one answer alone."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("late UP r1").start(tasks)
        client = await open_session(await start_node_with(tasks, upstreams), wait_ms=300)
        lines = await read_to_end(client)
        assert len(lines) == 1 and lines[0].startswith(b"BUSY")
        await wait_until(lambda: upstreams.ended == 1)

    run_on_loopback(body)


def test_a_line_that_lay_unread_is_answered_in_its_clients_time() -> None:
    """A crowd keeps the loop busy: the client's time runs from when its line came, not from its reading."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("silent").start(tasks)
        port = await start_node_with(tasks, upstreams)
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(b"OPEN id1 k1 c=once,t=acme,d=1000\r\n")
            sent = time.monotonic()
            time.sleep(0.8)
            client.setblocking(False)
            await anyio.to_thread.run_sync(select.select, [client], [], [], 5)
            answer = client.recv(99)
        assert answer.startswith((b"ERR", b"BUSY"))
        assert time.monotonic() - sent < 1.5

    run_on_loopback(body)


def test_lines_pass_both_ways_and_ends_pass_on() -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        client = await open_session(await start_node_with(tasks, upstreams), ident="echo")
        assert await client.line() == b"UP echo\r\n"
        for text in (b"one\r\n", b"two, longer\r\n"):
            await client.send(text)
            assert await client.line() == text
        await client.finish(Ending.END)
        await wait_until(lambda: upstreams.ended == 1)
        line = upstreams.lines[0][1]
        assert line.startswith("OPEN echo k1 c=rerun,t=acme,d=") and line.endswith(",g=k1\r\n")
        assert 1000 < int(line.split("d=")[1].split(",")[0]) <= 2000

    run_on_loopback(body)


def test_a_link_on_a_silent_host_is_moved_between_two_lines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A vanished host resets nothing; half a line of it must not run into what the node says."""
    monkeypatch.setattr(session_watch, "SILENCE_LIMIT_US", 300_000)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP half").start(tasks)
        client = await open_session(await start_node_with(tasks, upstreams))
        assert await client.line() == b"UP half\r\n"
        await client.send(b"hello\r\n")
        assert await read_to_end(client) == [b"MOVE\r\n"]
        assert not client.tail
        await wait_until(lambda: upstreams.ended == 1)

    run_on_loopback(body)


def test_a_host_that_answers_no_link_is_told_of_before_its_links_are_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Only the module can take all its links away; a host that answers another link is not quiet."""
    told: list[int] = []
    monkeypatch.setattr(
        Balancer, "record_unresponsive", lambda balancer, now, upstream: told.append(upstream)
    )
    monkeypatch.setattr(session_watch, "SILENCE_LIMIT_US", 10**9)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP half", "UP echo", "UP half").start(tasks)
        port = await start_node_with(tasks, upstreams)
        clients = []
        for answer in (b"UP half\r\n", b"UP echo\r\n", b"UP half\r\n"):
            clients.append(await open_session(port))
            assert await clients[-1].line() == answer
        mute, sound, late = clients
        await mute.send(b"hello\r\n")
        for _ in range(10):
            await anyio.sleep(0.1)
            await sound.send(b"hello\r\n")
            assert await sound.line() == b"hello\r\n"
        assert not told
        await late.send(b"hello\r\n")
        await wait_until(lambda: 0 in told)

    run_on_loopback(body)


BAD = [
    b"",
    b"HELLO\r\n",
    b"OPEN id1 k1\r\n",
    b"OPEN id1 k1 c=rerun,t=acme\r\n",
    b"OPEN id1 k1 c=rerun,c=rerun,d=100\r\n",
    b"OPEN id1 k1 c=rerun,t=acme,d=soon\r\n",
    b"OPEN id1 k1 c=unknown,t=acme,d=100\r\n",
    b"OPEN id1 k1 c=rerun,t=nobody,d=100\r\n",
    b"OPEN id1 k1 c=rerun,t=acme,d=100,h=nan\r\n",
    b"OPEN \xff k1 c=rerun,t=acme,d=100\r\n",
    b"OPEN id1 " + b"k" * 5000 + b" c=rerun,t=acme,d=100\r\n",
    b"OPEN id1 k\x07 c=rerun,t=acme,d=100\r\n",
    b"OPEN id1 k1 c=rerun,t=acme,d=-5\r\n",
    b"OPEN id1 k1 c=rerun,t=acme,d=99999999999999999999\r\n",
    b"OPEN id1 k1 c=rerun,t=acme,d=100\r\nOPEN id2 k2 c=rerun,t=acme,d=100\r\n",
    b"x" * 9000,
    b"x" * 300_000,
]


def test_bad_lines_get_a_failure_and_touch_nothing_else() -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        port = await start_node_with(tasks, upstreams)
        standing = await open_session(port, ident="mine")
        assert await standing.line() == b"UP echo\r\n"
        before = len(os.listdir("/proc/self/fd"))
        for line in BAD:
            client = await connect(port)
            if line:
                await client.send(line)
                assert await read_to_end(client) == [b"ERR\r\n"], line[:60]
            await client.close()
        assert len(upstreams.lines) == 1
        await standing.send(b"still there\r\n")
        assert await standing.line() == b"still there\r\n"
        # Descriptors are the node's first limit: none may stay behind.
        await wait_until(lambda: len(os.listdir("/proc/self/fd")) <= before)

    run_on_loopback(body)


def test_the_id_of_an_open_link_reaches_no_host() -> None:
    """Hosts turn it away with an error: a few such clients would have all hosts rest that the node knows."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        port = await start_node_with(tasks, upstreams)
        first = await open_session(port, ident="mine")
        assert await first.line() == b"UP echo\r\n"
        assert await read_to_end(await open_session(port, ident="mine", key="other")) == [b"ERR\r\n"]
        assert len(upstreams.lines) == 1
        await first.finish(Ending.END)
        while await (await open_session(port, ident="mine")).line() != b"UP echo\r\n":
            await anyio.sleep(0.02)

    run_on_loopback(body)


def test_a_client_that_says_more_before_its_answer_gets_an_error() -> None:
    """What it says besides would be passed on, and no host could read it."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("silent").start(tasks)
        client = await open_session(await start_node_with(tasks, upstreams))
        await wait_until(lambda: len(upstreams.lines) == 1)
        await client.send(b"and now?\r\n")
        assert await read_to_end(client) == [b"ERR\r\n"]
        await wait_until(lambda: upstreams.ended == 1)

    run_on_loopback(body)


def test_a_silent_crowd_does_not_shut_out_a_sound_client(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whoever only connects, or sends half a line, holds a descriptor that a link needs."""
    monkeypatch.setattr(request_reader, "FIRST_LINE_S", 0.6)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        raw = node_configuration(upstreams.addresses, discovery.port)
        raw["limits"] = {"sockets": HEADROOM + 20}
        port = await start_node(tasks, raw)
        crowd = [await connect(port) for _ in range(100)]
        for client in crowd[::2]:
            await client.send(b"OPEN ")
        sound = [await open_session(port, ident=f"id{number}") for number in range(5)]
        for client in sound:
            assert await client.line() == b"UP echo\r\n"
        for client in crowd:
            assert await read_to_end(client) in ([b"ERR\r\n"], [])
        await sound[0].send(b"still there\r\n")
        assert await sound[0].line() == b"still there\r\n"

    run_on_loopback(body)


def test_a_fault_in_the_decisions_costs_one_link_its_answer_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """A node that ended by it would take all standing links along."""
    place = Balancer.place

    def faulty(balancer: Balancer, now: int, session: Session) -> Answer:
        if session.traffic_class == 2:
            raise ValueError("made up")
        return place(balancer, now, session)

    monkeypatch.setattr(Balancer, "place", faulty)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        port = await start_node_with(tasks, upstreams)
        assert await read_to_end(await open_session(port, traffic_class="once")) == [b"ERR\r\n"]
        assert await (await open_session(port)).line() == b"UP echo\r\n"

    run_on_loopback(body)


def test_many_links_leave_no_descriptor_and_no_room_lost() -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo", "BUSY", "ERR", "reset", "UP echo").start(tasks, 2)
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        raw = node_configuration(upstreams.addresses, discovery.port)
        raw["limits"] = {"sockets": HEADROOM + 70}
        port = await start_node(tasks, raw)
        before = len(os.listdir("/proc/self/fd"))

        async def visit(number: int) -> None:
            client = await open_session(port, wait_ms=1000, key=f"k{number}")
            line = await client.line()
            assert isinstance(line, bytes) and (number < 100 or line == b"UP echo\r\n")
            if number % 2:
                await client.finish(Ending.END)
            else:
                await client.close(reset=True)

        for crowd in range(4):
            async with anyio.create_task_group() as visits:
                for number in range(30):
                    visits.start_soon(visit, 100 * crowd + number)
        await wait_until(lambda: len(os.listdir("/proc/self/fd")) <= before)

    run_on_loopback(body)


def test_without_descriptors_links_are_told_and_none_is_lost() -> None:
    """A try that can't even be opened has not run: its link is told so at once, whatever its tariff."""

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


def test_a_refused_or_absent_host_is_told_apart_from_one_that_may_have_run_it() -> None:
    """Nobody listens there: proven not to have run, so even an exclusive link goes on to the next host."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        upstreams.addresses = ["127.0.0.1:1", *upstreams.addresses]
        port = await start_node_with(tasks, upstreams)
        for number in range(6):
            client = await open_session(port, traffic_class="once", key=f"k{number}")
            assert await client.line() == b"UP echo\r\n"

    run_on_loopback(body)


def test_the_list_is_followed_through_nonsense_and_a_watch_that_breaks_off() -> None:
    """A list that is not followed any more sends links to hosts that are gone."""

    async def body(tasks: TaskGroup) -> None:
        old, new = await UpstreamStubs("UP old").start(tasks), await UpstreamStubs("UP new").start(tasks)
        gone = endpoint_row(0, old.addresses[0], "terminated")
        discovery = await DiscoveryStub(
            [],
            None,
            [{"revision": 2, "complete": False, "members": [gone, endpoint_row(1, new.addresses[0])]}],
        ).start(tasks)
        port = await start_node(tasks, node_configuration(old.addresses, discovery.port))
        await wait_until(lambda: len(discovery.asked) >= 3)
        while await (await open_session(port)).line() != b"UP new\r\n":
            await anyio.sleep(0.02)

    run_on_loopback(body)


def test_a_jump_of_the_version_on_a_watch_asks_for_nothing_more() -> None:
    """A line holds all that changed since the one before: a whole list fetched for each jump by every node
    overbooks the list service, and while it waits its turn the drain behind it is not read."""

    async def body(tasks: TaskGroup) -> None:
        old, new = await UpstreamStubs("UP old").start(tasks), await UpstreamStubs("UP new").start(tasks)
        gone = endpoint_row(0, old.addresses[0], "terminated")
        discovery = await DiscoveryStub(
            [
                {"revision": 2, "complete": False, "members": []},
                {"revision": 5, "complete": False, "members": [endpoint_row(1, new.addresses[0])]},
                {"revision": 9, "complete": False, "members": [gone]},
            ]
        ).start(tasks)
        port = await start_node(tasks, node_configuration(old.addresses, discovery.port))
        while await (await open_session(port)).line() != b"UP new\r\n":
            await anyio.sleep(0.02)
        assert len(discovery.asked) == 1 and discovery.left == 0

    run_on_loopback(body)


def test_a_version_that_runs_back_is_made_up_for_by_the_whole_list() -> None:
    async def body(tasks: TaskGroup) -> None:
        old, new = await UpstreamStubs("UP old").start(tasks), await UpstreamStubs("UP new").start(tasks)
        discovery = await DiscoveryStub(
            [
                {"revision": 5, "complete": False, "members": []},
                {"revision": 2, "complete": False, "members": []},
            ],
            [{"revision": 2, "complete": True, "members": [endpoint_row(1, new.addresses[0])]}],
            [],
        ).start(tasks)
        port = await start_node(tasks, node_configuration(old.addresses, discovery.port))
        await wait_until(lambda: len(discovery.asked) >= 2)
        assert discovery.asked[1] == "GET /catalog/members HTTP/1.1"
        while await (await open_session(port)).line() != b"UP new\r\n":
            await anyio.sleep(0.02)

    run_on_loopback(body)


def test_a_host_replaced_under_a_new_id_at_its_address_takes_links_and_keeps_its_standing_ones() -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        gone, fresh = (
            endpoint_row(0, upstreams.addresses[0], "terminated"),
            endpoint_row(7, upstreams.addresses[0]),
        )
        replaced = {"revision": 3, "complete": False, "members": [gone, fresh]}
        discovery = await DiscoveryStub([EMPTY_CHANGE], [replaced], []).start(tasks)
        port = await start_node(tasks, node_configuration(upstreams.addresses, discovery.port))
        standing = await open_session(port, key="stands")
        assert await standing.line() == b"UP echo\r\n"
        await wait_until(lambda: len(discovery.asked) >= 3)
        later = await open_session(port, key="later")
        assert await later.line() == b"UP echo\r\n"
        await standing.send(b"still there\r\n")
        assert await standing.line() == b"still there\r\n"

    run_on_loopback(body)


def test_a_node_with_an_old_list_of_hosts_mostly_gone_serves_by_those_left() -> None:
    """Discovery tells nothing: each gone host costs a refused connection or two, not a link's whole time."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        upstreams.addresses = ["127.0.0.1:1"] * 9 + upstreams.addresses
        port = await start_node_with(tasks, upstreams)
        answers = []
        began = time.monotonic()
        for number in range(20):
            client = await open_session(port, key=f"k{number}")
            answers.append(await client.line())
        # Each gone host is tried once, and again when its rest is over, which doubles: a slow machine meets
        # more of them. Six such tries cost a link its answer.
        took_us = (time.monotonic() - began) * 1e6
        refused = sum(1 + int(math.log2(took_us / BACKOFF_US + 1)) for _ in upstreams.addresses[:-1])
        assert set(answers) <= {b"UP echo\r\n", b"BUSY\r\n"}
        assert answers.count(b"BUSY\r\n") <= refused // 6, (answers, took_us)
        assert upstreams.most_out == 1

    run_on_loopback(body)


def test_sigterm_moves_standing_links_bit_by_bit_and_ends(tmp_path: Path) -> None:
    """All at once they would come back as a crowd; cut off without a word they would be lost."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        path = tmp_path / "node.json"
        path.write_bytes(orjson.dumps(node_configuration(upstreams.addresses, discovery.port)))
        async with node_process(path) as running:
            front = await connect(running.port)
            await front.send(b"PING\r\n")
            assert await front.line() == b"PONG\r\n"
            clients = [await open_session(running.port, key=f"k{number}") for number in range(8)]
            for client in clients:
                assert await client.line() == b"UP echo\r\n"
            running.signal(signal.SIGTERM)
            late = await open_session(running.port, key="late")
            assert await late.line() == b"UP echo\r\n"
            moved = []

            async def wait_for(client: Lines) -> None:
                assert await read_to_end(client) == [b"MOVE\r\n"]
                moved.append(anyio.current_time())

            async with anyio.create_task_group() as waits:
                for client in [*clients, late]:
                    waits.start_soon(wait_for, client)
            assert moved[-1] - moved[0] > 0.5, "all at once"
            await front.close()
            assert (await running.next_event("stopped"))["sessions_established"] == 9
            assert await running.ended() == 0

    run_on_loopback(body)


def test_sighup_follows_a_new_list_service_and_refuses_a_faulty_file(tmp_path: Path) -> None:
    """By default a process ends at SIGHUP: its links would be lost, and a slip in a file as well."""

    async def body(tasks: TaskGroup) -> None:
        old, new = await UpstreamStubs("UP echo").start(tasks), await UpstreamStubs("UP new").start(tasks)
        first = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        # Its version is older than what the node has heard of, and it does not name the first host.
        whole = {"revision": 1, "complete": True, "members": [endpoint_row(1, new.addresses[0])]}
        second = await DiscoveryStub([whole], []).start(tasks)
        path = tmp_path / "node.json"
        good = node_configuration(old.addresses, first.port)
        path.write_bytes(orjson.dumps(good))
        async with node_process(path) as running:
            standing = await open_session(running.port)
            assert await standing.line() == b"UP echo\r\n"
            path.write_bytes(orjson.dumps({**good, "discovery": "nowhere"}))
            running.signal(signal.SIGHUP)
            assert "discovery" in (await running.next_event("configuration_rejected"))["reason"]
            path.write_bytes(orjson.dumps({**good, "discovery": f"127.0.0.1:{second.port}"}))
            running.signal(signal.SIGHUP)
            await wait_until(lambda: len(second.asked) >= 2)
            assert "watch" not in second.asked[0] and "watch" in second.asked[1]
            while await (await open_session(running.port, key="k2")).line() != b"UP new\r\n":
                await anyio.sleep(0.02)
            await wait_until(lambda: first.left == 1)  # the old watch ends
            await standing.send(b"still there\r\n")
            assert await standing.line() == b"still there\r\n"
            running.signal(signal.SIGINT)
            await running.next_event("stopping")

    run_on_loopback(body)


def test_the_configuration_is_checked_with_the_faulty_key_named(tmp_path: Path) -> None:
    path = tmp_path / "node.json"

    def checked(change: dict[str, Any]) -> tuple[int, str]:
        path.write_bytes(orjson.dumps({**node_configuration(["127.0.0.1:1"], 1), **change}))
        result = CliRunner().invoke(cli, ["check", "--config", str(path)])
        return result.exit_code, result.output

    assert checked({}) == (0, "n0: in order; 1 hosts known, 3 tariffs, 2 zones\n")
    known = {"revision": 1, "complete": True, "members": [endpoint_row(0, "nowhere")]}
    for change, key in (
        ({"listen": "here"}, "listen"),
        ({"seed": "not hex"}, "seed"),
        ({"settings": {}}, "settings: caps"),
        ({"limits": {"sockets": "many"}}, "limits: sockets"),
        ({"known": known}, "known.members[0].host_port"),
    ):
        code, told = checked(change)
        assert code == 2 and key in told and told.count("\n") == 1
    assert CliRunner().invoke(cli, ["check", "--config", str(tmp_path / "none")]).exit_code == 2


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=200), st.booleans())
def test_any_bytes_are_decoded_to_a_value(noise: bytes, opens: bool) -> None:
    line = (b"OPEN a b c=x,d=5," if opens else b"") + noise
    opening = parse_opening(line)
    if isinstance(opening, Opening):
        again = parse_opening(attempt_line(opening, 7_000))
        assert isinstance(again, Opening) and again.wait_ms == 7 and again.key == opening.key
    else:
        assert isinstance(opening, BadLine) or line.rstrip(b"\r\n") == b"PING"
    parse_upstream_line(noise)
    assert parse_upstream_line(b"UP receipt\r\n") == Up()
