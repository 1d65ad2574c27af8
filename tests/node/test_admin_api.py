"""Tests of the admin API, and of how a drain and a stop release the sessions of a node."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Any

import anyio
import orjson
import pytest
from anyio.abc import TaskGroup
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.__main__ import cli
from larchlatch.node import admin_api, lifecycle_state
from larchlatch.node.lifecycle_state import LifecycleState
from larchlatch.node.wire.stream import Ending, LineConnection
from larchlatch.policy import admission
from tests.support.clients import connect, open_session, read_to_end
from tests.support.configuration import node_configuration
from tests.support.loopback import run_on_loopback
from tests.support.node import EMPTY_CHANGE, start_node
from tests.support.node_process import admin_address, call_admin_api, node_process, read_http_answer
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs

START, STOP, READY = "POST /ops/drain/start", "POST /ops/drain/stop", "GET /ops/readiness"


async def node_with_admin_api(tasks: TaskGroup, upstreams: UpstreamStubs, **changes: Any) -> tuple[int, str]:
    """Start a node with an admin API; return the port for clients and the address of the admin API."""
    discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
    raw = node_configuration(upstreams.addresses, discovery.port, **changes)
    raw["control"] = admin_address()
    return await start_node(tasks, raw), raw["control"]


async def ping(port: int) -> bytes | Ending:
    client = await connect(port)
    await client.send(b"PING\r\n")
    answer = await client.line()
    await client.close()
    return answer


def test_the_admin_api_answers_while_callers_finish_no_call() -> None:
    """Callers that finish no call would use up the places for callers, and operators would get no answer.

    So the oldest caller is evicted for a new one.
    """

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        _, admin_address = await node_with_admin_api(tasks, upstreams)
        host, _, port = admin_address.rpartition(":")
        unfinished = [
            LineConnection(await anyio.connect_tcp(host, int(port))) for _ in range(3 * admin_api.MAX_CALLERS)
        ]
        for number, caller in enumerate(unfinished):
            if number % 2:
                await caller.send(b"GET /ops/readiness HTTP/1.1\r\nHo")
        with anyio.fail_after(admin_api.CALL_TIMEOUT_S / 2):
            for _ in range(3):
                status, text = await call_admin_api(admin_address, READY)
                assert status == 200 and '"ready":true' in text
            # All but the last few callers were evicted, so the connection of the first one has ended.
            assert isinstance(await unfinished[0].line(), Ending)

    run_on_loopback(body)


@pytest.mark.parametrize(
    ("request_line", "more_headers", "status", "expected"),
    [
        ("GET /ops/nothing", "", 404, "no such call"),
        ("POST /ops/readiness", "", 405, "Allow: GET"),
        ("GET /ops/drain/start", "", 405, "Allow: POST"),
        ("GET /ops/readiness", "X: " + "y" * 2 * admin_api.MAX_HEAD_BYTES + "\r\n", 431, ""),
        (START, f"Content-Length: {admin_api.MAX_BODY_BYTES + 1}\r\n", 413, "too large"),
        (START, "Content-Length: many\r\n", 400, ""),
        ("GET /ops/readiness", "no header at all\r\n", 400, ""),
        ("\0\x16\x03", "", 400, ""),
    ],
)
def test_invalid_calls_are_rejected_with_a_reason_and_change_nothing(
    request_line: str, more_headers: str, status: int, expected: str
) -> None:
    """If a call with a wrong method or an invalid head were carried out, it could start a drain."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        port, admin_address = await node_with_admin_api(tasks, upstreams)
        received_status, text = await call_admin_api(admin_address, request_line, more_headers)
        assert received_status == status and expected.lower() in text.lower()
        assert await ping(port) == b"PONG\r\n"

    run_on_loopback(body)


def test_a_call_split_at_any_byte_is_answered_and_an_incomplete_one_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A call may arrive in any two parts; one whose end is missing would hold its connection for ever."""
    monkeypatch.setattr(admin_api, "CALL_TIMEOUT_S", 0.3)
    text = f"{READY} HTTP/1.1\r\nHost: door\r\n\r\n".encode()

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        _, admin_address = await node_with_admin_api(tasks, upstreams)
        host, _, port = admin_address.rpartition(":")
        for cut in range(1, len(text), 3):
            caller = LineConnection(await anyio.connect_tcp(host, int(port)))
            await caller.send(text[:cut])
            await anyio.sleep(0.005)
            await caller.send(text[cut:])
            assert (await read_http_answer(caller))[0] == 200
        caller = LineConnection(await anyio.connect_tcp(host, int(port)))
        await caller.send(text[:-1])
        assert isinstance(await caller.line(), Ending)

    run_on_loopback(body)


def test_readiness_is_false_until_the_node_can_serve(tmp_path: Path) -> None:
    """A node that reported readiness too early would be sent clients that it can't serve.

    Here a discovery service that never answers delays the start. The admin API must answer meanwhile.
    """

    async def body(tasks: TaskGroup) -> None:
        silent = await anyio.create_tcp_listener(local_host="127.0.0.1")
        raw = node_configuration([], int(silent.extra(anyio.abc.SocketAttribute.local_port)))
        raw["control"] = admin_address()
        path = tmp_path / "node.json"
        path.write_bytes(orjson.dumps(raw))
        async with node_process(path, "admin_api_listening") as running:
            assert (await call_admin_api(raw["control"], READY))[0] == 503
            await running.next_event("serving")
            assert (await call_admin_api(raw["control"], READY))[0] == 200

    run_on_loopback(body)


def test_a_drain_moves_all_sessions_and_its_end_accepts_clients_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A drain that missed established, pending or new sessions would cut them off when the node stops.

    The drain itself does not stop the node, which accepts clients again after the end of the drain.
    """
    monkeypatch.setattr(lifecycle_state, "DRAIN_S", 2.0)
    monkeypatch.setattr(admission, "DRAIN_GRACE_S", 0.3)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs(*["UP r1"] * 8, "late UP r2", "UP r3").start(tasks)
        port, admin_address = await node_with_admin_api(tasks, upstreams)
        established = [await open_session(port, key=f"k{n}") for n in range(8)]
        for client in established:
            assert await client.line() == b"UP r1\r\n"
        pending = await open_session(port)
        while len(upstreams.lines) < 9:
            await anyio.sleep(0.01)
        assert (await call_admin_api(admin_address, START))[0] == 200
        assert await ping(port) == b"NO\r\n"
        new_during_drain = await open_session(port)
        assert await new_during_drain.line() == b"UP r3\r\n", (
            "new clients are still served shortly after the start of a drain"
        )
        assert (await call_admin_api(admin_address, START))[0] == 200, "a second call is accepted too"
        with anyio.fail_after(3.0):
            for client in (*established, new_during_drain):
                assert await read_to_end(client) == [b"MOVE\r\n"]
            assert await read_to_end(pending) == [b"UP r2\r\n", b"MOVE\r\n"]
        shed = await read_to_end(await open_session(port))
        assert len(shed) == 1 and shed[0].startswith(b"BUSY "), (
            "a session that would have to leave at once is shed with advice"
        )
        assert (await call_admin_api(admin_address, READY))[0] == 200, "a draining node is ready"
        assert (await call_admin_api(admin_address, STOP))[0] == 200
        assert await ping(port) == b"PONG\r\n"
        assert await (await open_session(port)).line() == b"UP r3\r\n"

    run_on_loopback(body)


def test_moves_of_a_drain_are_spread_and_end_with_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sessions that move all at once are a burst at other nodes, and after the drain they must not move."""
    monkeypatch.setattr(lifecycle_state, "DRAIN_S", 2.0)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        port, admin_address = await node_with_admin_api(tasks, upstreams)
        established = [await open_session(port, key=f"k{n}") for n in range(40)]
        moved = 0

        async def count_if_moved(client: LineConnection) -> None:
            nonlocal moved
            moved += await read_to_end(client) == [b"MOVE\r\n"]

        for client in established:
            assert await client.line() == b"UP r1\r\n"
            tasks.start_soon(count_if_moved, client)
        await call_admin_api(admin_address, START)
        while not moved:
            await anyio.sleep(0.01)
        await call_admin_api(admin_address, STOP)
        await anyio.sleep(0.2)
        moved_before = moved
        assert 0 < moved_before < 40, "some sessions are moved, but not all at once"
        await anyio.sleep(1.2)
        assert moved == moved_before, "sessions were moved after the end of the drain"

    run_on_loopback(body)


def test_a_client_that_reads_nothing_is_disconnected_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client that reads nothing gets no MOVE line, and could keep its session beyond the end of a drain."""
    monkeypatch.setattr(lifecycle_state, "DRAIN_S", 1.5)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP flood").start(tasks)
        port, admin_address = await node_with_admin_api(tasks, upstreams)
        client = await open_session(port)
        assert await client.line() == b"UP flood\r\n"
        await client.send(b"more\r\n")
        await anyio.sleep(0.3)  # the client reads no more, so the data of its upstream fills all buffers
        await call_admin_api(admin_address, START)
        with anyio.fail_after(3.0):
            while not upstreams.ended_connections:
                await anyio.sleep(0.01)

    run_on_loopback(body)


@pytest.mark.parametrize("first", ["drain", "stop"])
def test_a_drain_and_a_stop_in_either_order_move_all_sessions_once(first: str, tmp_path: Path) -> None:
    """If a drain and a stop interfered, sessions could get two MOVE lines or none, or the node not exit."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP r1").start(tasks)
        discovery = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        raw = node_configuration(upstreams.addresses, discovery.port)
        raw["control"] = admin_address()
        path = tmp_path / "node.json"
        path.write_bytes(orjson.dumps(raw))
        async with node_process(path) as running:
            established = [await open_session(running.port, key=f"k{n}") for n in range(6)]
            for client in established:
                assert await client.line() == b"UP r1\r\n"
            if first == "drain":
                await call_admin_api(raw["control"], START)
                running.signal(signal.SIGHUP)
                running.signal(signal.SIGTERM)
            else:
                running.signal(signal.SIGTERM)
                await running.next_event("stopping")
                assert (await call_admin_api(raw["control"], START))[0] == 200
                assert (await call_admin_api(raw["control"], STOP))[0] == 200
            for client in established:
                assert await read_to_end(client) == [b"MOVE\r\n"]
            assert await running.exit_code() == 0

    run_on_loopback(body)


STEPS = st.tuples(st.sampled_from(["drain", "end", "stop", "look", "cede", "resume"]), st.floats(0.001, 1.0))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(STEPS, max_size=30), st.integers(0, 50), st.booleans())
def test_all_sessions_have_left_in_time_whatever_the_order_and_lag(
    steps: list[tuple[str, float]], established: int, passes: bool
) -> None:
    phase, now, drained_at = LifecycleState(3.3, sessions_outlive_node=passes), 100.0, None
    phase.ready = True
    for step, passed in steps:
        now += passed
        if step == "drain":
            drained_at = drained_at if phase.draining else now
            phase.start_drain(now)
        elif step == "end":
            phase.end_drain()
        elif step == "stop":
            phase.start_stop(now)
        elif step in ("cede", "resume"):  # another process serves, or has failed
            phase.successor_serves = step == "cede"
        due = phase.release_sessions(now, established)
        assert 0 <= due <= established
        established -= due
        assert phase.accepts_clients is not phase.draining
        if not phase.releasing_sessions or (passes and not phase.hands_over_sessions):
            assert due == 0, "sent away for nothing"
        elif (
            phase.hands_over_sessions
            and phase.stop_started_at is not None
            and now >= phase.stop_started_at + lifecycle_state.HANDOVER_S
        ):
            assert established == 0, "not handed over in time"
        elif passes:
            assert phase.hands_over_sessions
        elif (
            phase.draining
            and drained_at is not None
            and now >= drained_at + lifecycle_state.DRAIN_S - lifecycle_state.DISCONNECT_S
        ):
            assert established == 0, "held longer than a drain grants"
        elif phase.stop_started_at is not None and now >= phase.stop_started_at + 3.3:
            assert established == 0, "held longer than a stop grants"


def test_sessions_leave_evenly() -> None:
    """If a drain released many sessions in one step, the other nodes would have to accept them in a burst."""
    lifecycle = LifecycleState(3.3, sessions_outlive_node=False)
    lifecycle.start_drain(0.0)
    established, moved_per_step = 300, []
    for step in range(1, 61):
        due = lifecycle.release_sessions(step * 0.05, established)
        established -= due
        moved_per_step.append(due)
    assert established == 0 and max(moved_per_step) <= 6, (
        "the drain has to release all sessions, a few in each step"
    )


@pytest.mark.parametrize(
    ("control_address", "expected"),
    [
        ("nowhere", "configuration: control: not an address"),
        (9600, "configuration: control has the wrong type"),
        ("127.0.0.1:3000", "configuration: control: the address where clients are taken"),
    ],
)
def test_an_invalid_admin_api_address_is_named(control_address: Any, expected: str, tmp_path: Path) -> None:
    """If the error did not name the setting or variable in one line, operators could not find the mistake."""
    path = tmp_path / "node.json"
    raw = {**node_configuration([], 1), "listen": "127.0.0.1:3000", "control": control_address}
    path.write_bytes(orjson.dumps(raw))
    result = CliRunner().invoke(cli, ["check", "--config", str(path)])
    assert result.exit_code == 2 and expected in result.output and result.output.count("\n") == 1
    del raw["control"]
    path.write_bytes(orjson.dumps(raw))
    bad = CliRunner().invoke(cli, ["check", "--config", str(path)], env={"EDGE_CONTROL": "x"})
    assert bad.exit_code == 2 and "EDGE_CONTROL: not an address" in bad.output
