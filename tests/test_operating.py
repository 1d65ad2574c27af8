"""The operators' door, the drain and the stop: what they may not hold up, lose or leave standing."""

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
from larchlatch.node import admin_api as control
from larchlatch.node import lifecycle_state as phases
from larchlatch.node.lifecycle_state import LifecycleState
from larchlatch.node.wire.stream import Ending, Lines
from tests.ground import (
    Discovery,
    Upstreams,
    answered,
    call,
    configuration,
    dial,
    door_address,
    on_loopback,
    opened,
    process,
)
from tests.test_node import NEWS, rest_of, serving

START, STOP, READY = "POST /ops/drain/start", "POST /ops/drain/stop", "GET /ops/readiness"


async def with_door(tasks: TaskGroup, upstreams: Upstreams, **changes: Any) -> tuple[int, str]:
    """A node with a door: the port for clients, and the door's address."""
    discovery = await Discovery([NEWS]).start(tasks)
    raw = configuration(upstreams.addresses, discovery.port, **changes)
    raw["control"] = door_address()
    return await serving(tasks, raw), raw["control"]


async def ping(port: int) -> bytes | Ending:
    front = await dial(port)
    await front.send(b"PING\r\n")
    said = await front.line()
    await front.close()
    return said


def test_the_door_answers_while_callers_finish_no_call() -> None:
    """Each unfinished call holds a descriptor and a task: the oldest makes way, nobody waits behind it."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await Upstreams("UP r1").start(tasks)
        _, door = await with_door(tasks, upstreams)
        host, _, port = door.rpartition(":")
        idle = [Lines(await anyio.connect_tcp(host, int(port))) for _ in range(3 * control.CALLERS)]
        for number, caller in enumerate(idle):
            if number % 2:
                await caller.send(b"GET /ops/readiness HTTP/1.1\r\nHo")
        with anyio.fail_after(control.CALL_S / 2):
            for _ in range(3):
                status, text = await call(door, READY)
                assert status == 200 and '"ready":true' in text
            # Turned out to the last but a few: the first ones' connections have ended.
            assert isinstance(await idle[0].line(), Ending)

    on_loopback(body)


@pytest.mark.parametrize(
    ("what", "more", "status", "says"),
    [
        ("GET /ops/nothing", "", 404, "no such call"),
        ("POST /ops/readiness", "", 405, "Allow: GET"),
        ("GET /ops/drain/start", "", 405, "Allow: POST"),
        ("GET /ops/readiness", "X: " + "y" * 2 * control.MOST_HEAD + "\r\n", 431, ""),
        (START, f"Content-Length: {control.MOST_BODY + 1}\r\n", 413, "too large"),
        (START, "Content-Length: many\r\n", 400, ""),
        ("GET /ops/readiness", "no header at all\r\n", 400, ""),
        ("\0\x16\x03", "", 400, ""),
    ],
)
def test_bad_calls_are_told_what_is_wrong_and_touch_nothing(
    what: str, more: str, status: int, says: str
) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await Upstreams("UP r1").start(tasks)
        port, door = await with_door(tasks, upstreams)
        got, text = await call(door, what, more)
        assert got == status and says.lower() in text.lower()
        assert await ping(port) == b"PONG\r\n"

    on_loopback(body)


def test_a_call_comes_cut_at_any_byte_and_one_without_an_end_is_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(control, "CALL_S", 0.3)
    text = f"{READY} HTTP/1.1\r\nHost: door\r\n\r\n".encode()

    async def body(tasks: TaskGroup) -> None:
        upstreams = await Upstreams("UP r1").start(tasks)
        _, door = await with_door(tasks, upstreams)
        host, _, port = door.rpartition(":")
        for cut in range(1, len(text), 3):
            caller = Lines(await anyio.connect_tcp(host, int(port)))
            await caller.send(text[:cut])
            await anyio.sleep(0.005)
            await caller.send(text[cut:])
            assert (await answered(caller))[0] == 200
        caller = Lines(await anyio.connect_tcp(host, int(port)))
        await caller.send(text[:-1])
        assert isinstance(await caller.line(), Ending)

    on_loopback(body)


def test_the_door_says_not_yet_until_the_node_can_serve(tmp_path: Path) -> None:
    """It listens before anything slow: here a list service that never answers."""

    async def body(tasks: TaskGroup) -> None:
        silent = await anyio.create_tcp_listener(local_host="127.0.0.1")
        raw = configuration([], int(silent.extra(anyio.abc.SocketAttribute.local_port)))
        raw["control"] = door_address()
        path = tmp_path / "node.json"
        path.write_bytes(orjson.dumps(raw))
        async with process(path, "admin_api_listening") as running:
            assert (await call(raw["control"], READY))[0] == 503
            await running.told("serving")
            assert (await call(raw["control"], READY))[0] == 200

    on_loopback(body)


def test_a_drain_sends_everybody_away_and_its_end_takes_clients_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Links that stand, that are being set up, and that come meanwhile; a node that drains stays up."""
    monkeypatch.setattr(phases, "DRAIN_S", 2.0)
    monkeypatch.setattr(phases, "NEW_SESSIONS_GRACE_S", 0.3)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await Upstreams(*["UP r1"] * 8, "late UP r2", "UP r3").start(tasks)
        port, door = await with_door(tasks, upstreams)
        standing = [await opened(port, key=f"k{n}") for n in range(8)]
        for client in standing:
            assert await client.line() == b"UP r1\r\n"
        setup = await opened(port)
        while len(upstreams.lines) < 9:
            await anyio.sleep(0.01)
        assert (await call(door, START))[0] == 200
        assert await ping(port) == b"NO\r\n"
        during = await opened(port)
        assert await during.line() == b"UP r3\r\n", "a front sends on for a moment: it is served"
        assert (await call(door, START))[0] == 200, "told twice"
        with anyio.fail_after(3.0):
            for client in (*standing, during):
                assert await rest_of(client) == [b"MOVE\r\n"]
            assert await rest_of(setup) == [b"UP r2\r\n", b"MOVE\r\n"]
        late = await rest_of(await opened(port))
        assert len(late) == 1 and late[0].startswith(b"BUSY "), "shed with advice: it would have to leave"
        assert (await call(door, READY))[0] == 200, "the process is well"
        assert (await call(door, STOP))[0] == 200
        assert await ping(port) == b"PONG\r\n"
        assert await (await opened(port)).line() == b"UP r3\r\n"

    on_loopback(body)


def test_moves_of_a_drain_are_spread_and_end_with_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(phases, "DRAIN_S", 2.0)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await Upstreams("UP r1").start(tasks)
        port, door = await with_door(tasks, upstreams)
        standing = [await opened(port, key=f"k{n}") for n in range(40)]
        moved = 0

        async def watched(client: Lines) -> None:
            nonlocal moved
            moved += await rest_of(client) == [b"MOVE\r\n"]

        for client in standing:
            assert await client.line() == b"UP r1\r\n"
            tasks.start_soon(watched, client)
        await call(door, START)
        while not moved:
            await anyio.sleep(0.01)
        await call(door, STOP)
        await anyio.sleep(0.2)
        went = moved
        assert 0 < went < 40, "all at once they are a crowd elsewhere"
        await anyio.sleep(1.2)
        assert moved == went, "moved though the drain was over"

    on_loopback(body)


def test_a_client_that_reads_nothing_is_cut_off_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(phases, "DRAIN_S", 1.5)

    async def body(tasks: TaskGroup) -> None:
        upstreams = await Upstreams("UP flood").start(tasks)
        port, door = await with_door(tasks, upstreams)
        client = await opened(port)
        assert await client.line() == b"UP flood\r\n"
        await client.send(b"more\r\n")
        await anyio.sleep(0.3)  # it reads no more: what its host sends fills all buffers
        await call(door, START)
        with anyio.fail_after(3.0):
            while not upstreams.ended:
                await anyio.sleep(0.01)

    on_loopback(body)


@pytest.mark.parametrize("first", ["drain", "stop"])
def test_a_drain_and_a_stop_in_either_order_move_all_links_once(first: str, tmp_path: Path) -> None:
    async def body(tasks: TaskGroup) -> None:
        upstreams = await Upstreams("UP r1").start(tasks)
        discovery = await Discovery([NEWS]).start(tasks)
        raw = configuration(upstreams.addresses, discovery.port)
        raw["control"] = door_address()
        path = tmp_path / "node.json"
        path.write_bytes(orjson.dumps(raw))
        async with process(path) as running:
            standing = [await opened(running.port, key=f"k{n}") for n in range(6)]
            for client in standing:
                assert await client.line() == b"UP r1\r\n"
            if first == "drain":
                await call(raw["control"], START)
                running.signal(signal.SIGHUP)
                running.signal(signal.SIGTERM)
            else:
                running.signal(signal.SIGTERM)
                await running.told("stopping")
                assert (await call(raw["control"], START))[0] == 200
                assert (await call(raw["control"], STOP))[0] == 200
            for client in standing:
                assert await rest_of(client) == [b"MOVE\r\n"]
            assert await running.ended() == 0

    on_loopback(body)


STEPS = st.tuples(st.sampled_from(["drain", "end", "stop", "look", "cede", "resume"]), st.floats(0.001, 1.0))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(STEPS, max_size=30), st.integers(0, 50), st.booleans())
def test_whatever_order_and_lag_all_links_have_left_when_they_must(
    steps: list[tuple[str, float]], standing: int, passes: bool
) -> None:
    phase, now, began = LifecycleState(3.3, sessions_outlive_node=passes), 100.0, None
    phase.ready = True
    for step, passed in steps:
        now += passed
        if step == "drain":
            began = began if phase.draining else now
            phase.start_drain(now)
        elif step == "end":
            phase.end_drain()
        elif step == "stop":
            phase.start_stop(now)
        elif step in ("cede", "resume"):  # another process serves, or has failed
            phase.successor_serves = step == "cede"
        due = phase.release_sessions(now, standing)
        assert 0 <= due <= standing
        standing -= due
        assert phase.accepts_clients is not phase.draining
        if not phase.releasing_sessions or (passes and not phase.hands_over_sessions):
            assert due == 0, "sent away for nothing"
        elif (
            phase.hands_over_sessions
            and phase.stop_started_at is not None
            and now >= phase.stop_started_at + phases.HANDOVER_S
        ):
            assert standing == 0, "not handed over in time"
        elif passes:
            assert phase.hands_over_sessions
        elif phase.draining and began is not None and now >= began + phases.DRAIN_S - phases.DISCONNECT_S:
            assert standing == 0, "held longer than a drain grants"
        elif phase.stop_started_at is not None and now >= phase.stop_started_at + 3.3:
            assert standing == 0, "held longer than a stop grants"


def test_links_leave_evenly() -> None:
    phase = LifecycleState(3.3, sessions_outlive_node=False)
    phase.start_drain(0.0)
    standing, went = 300, []
    for step in range(1, 61):
        due = phase.release_sessions(step * 0.05, standing)
        standing -= due
        went.append(due)
    assert standing == 0 and max(went) <= 6, "a crowd at the other nodes"


@pytest.mark.parametrize(
    ("control_at", "says"),
    [
        ("nowhere", "configuration: control: not an address"),
        (9600, "configuration: control has the wrong type"),
        ("127.0.0.1:3000", "configuration: control: the address where clients are taken"),
    ],
)
def test_a_bad_address_of_the_door_is_named(control_at: Any, says: str, tmp_path: Path) -> None:
    path = tmp_path / "node.json"
    raw = {**configuration([], 1), "listen": "127.0.0.1:3000", "control": control_at}
    path.write_bytes(orjson.dumps(raw))
    result = CliRunner().invoke(cli, ["check", "--config", str(path)])
    assert result.exit_code == 2 and says in result.output and result.output.count("\n") == 1
    del raw["control"]
    path.write_bytes(orjson.dumps(raw))
    bad = CliRunner().invoke(cli, ["check", "--config", str(path)], env={"EDGE_CONTROL": "x"})
    assert bad.exit_code == 2 and "EDGE_CONTROL: not an address" in bad.output
