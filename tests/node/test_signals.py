"""SIGTERM and SIGHUP on a node that runs as a process, and the command that checks a configuration."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import orjson
from anyio.abc import TaskGroup
from click.testing import CliRunner

from larchlatch.__main__ import cli
from larchlatch.node.wire.stream import LineConnection
from tests.support.clients import connect, open_session, read_to_end
from tests.support.configuration import endpoint_row, node_configuration
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node import EMPTY_CHANGE
from tests.support.node_process import node_process
from tests.support.stand_ins import DiscoveryStub, UpstreamStubs


def test_sigterm_migrates_established_sessions_gradually_and_ends_the_node(tmp_path: Path) -> None:
    """Guards against sessions that are migrated all at once, or closed without `MOVE`.

    The former would reconnect to the other nodes as one burst; the clients of the latter would lose them.
    """

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
            late_client = await open_session(running.port, key="late")
            assert await late_client.line() == b"UP echo\r\n"
            moved_at = []

            async def record_move(client: LineConnection) -> None:
                assert await read_to_end(client) == [b"MOVE\r\n"]
                moved_at.append(anyio.current_time())

            async with anyio.create_task_group() as readers:
                for client in [*clients, late_client]:
                    readers.start_soon(record_move, client)
            assert moved_at[-1] - moved_at[0] > 0.5, "all sessions were migrated at once"
            await front.close()
            assert (await running.next_event("stopped"))["sessions_established"] == 9
            assert await running.exit_code() == 0

    run_on_loopback(body)


def test_sighup_follows_a_new_discovery_address_and_rejects_a_wrong_file(tmp_path: Path) -> None:
    """Guards against a node that ends, and loses its sessions, on SIGHUP or when the file is invalid."""

    async def body(tasks: TaskGroup) -> None:
        old, new = await UpstreamStubs("UP echo").start(tasks), await UpstreamStubs("UP new").start(tasks)
        first = await DiscoveryStub([EMPTY_CHANGE]).start(tasks)
        # A complete list whose revision is lower than the one the node knows, without the first upstream.
        complete_list = {"revision": 1, "complete": True, "members": [endpoint_row(1, new.addresses[0])]}
        second = await DiscoveryStub([complete_list], []).start(tasks)
        path = tmp_path / "node.json"
        valid = node_configuration(old.addresses, first.port)
        path.write_bytes(orjson.dumps(valid))
        async with node_process(path) as running:
            established = await open_session(running.port)
            assert await established.line() == b"UP echo\r\n"
            path.write_bytes(orjson.dumps({**valid, "discovery": "nowhere"}))
            running.signal(signal.SIGHUP)
            assert "discovery" in (await running.next_event("configuration_rejected"))["reason"]
            path.write_bytes(orjson.dumps({**valid, "discovery": f"127.0.0.1:{second.port}"}))
            running.signal(signal.SIGHUP)
            await wait_until(lambda: len(second.request_lines) >= 2)
            assert "watch" not in second.request_lines[0] and "watch" in second.request_lines[1]
            while await (await open_session(running.port, key="k2")).line() != b"UP new\r\n":
                await anyio.sleep(0.02)
            await wait_until(lambda: first.ended_watches == 1)  # the watch at the old address ends
            await established.send(b"still there\r\n")
            assert await established.line() == b"still there\r\n"
            running.signal(signal.SIGINT)
            await running.next_event("stopping")

    run_on_loopback(body)


def test_check_names_the_wrong_key_of_a_configuration(tmp_path: Path) -> None:
    """Guards against an error text without the key at fault, by which operators find it in the file."""
    path = tmp_path / "node.json"

    def run_check(change: dict[str, Any]) -> tuple[int, str]:
        path.write_bytes(orjson.dumps({**node_configuration(["127.0.0.1:1"], 1), **change}))
        result = CliRunner().invoke(cli, ["check", "--config", str(path)])
        return result.exit_code, result.output

    assert run_check({}) == (0, "n0: valid; 1 known upstreams, 3 traffic classes, 2 zones\n")
    known_list = {"revision": 1, "complete": True, "members": [endpoint_row(0, "nowhere")]}
    for change, key in (
        ({"listen": "here"}, "listen"),
        ({"seed": "not hex"}, "seed"),
        ({"settings": {}}, "settings: caps"),
        ({"limits": {"sockets": "many"}}, "limits: sockets"),
        ({"known": known_list}, "known.members[0].host_port"),
    ):
        code, output = run_check(change)
        assert code == 2 and key in output and output.count("\n") == 1
    assert CliRunner().invoke(cli, ["check", "--config", str(tmp_path / "none")]).exit_code == 2
