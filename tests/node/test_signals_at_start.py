"""Signals that arrive while a node starts: the node waits for discovery, or for its predecessor."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import orjson
import pytest
from anyio.abc import TaskGroup

from larchlatch.node.wire.lines import MOVE, NO, PING
from tests.support.clients import connect, open_session, read_to_end
from tests.support.configuration import node_configuration
from tests.support.hot_restart import READY, RestartedNode
from tests.support.loopback import run_on_loopback, wait_until
from tests.support.node_process import NodeProcess, admin_address, call_admin_api, node_process
from tests.support.races import ScriptedUpstream
from tests.support.stand_ins import UpstreamStubs

LONGEST_DEADLINE_US = 1_500_000


async def with_waiting_node(
    tasks: TaskGroup, path: Path, check: Callable[[NodeProcess, Path], Awaitable[None]]
) -> None:
    """Run a check on a node that accepts clients and waits for its first list, as discovery is silent."""
    upstreams = await UpstreamStubs("UP echo").start(tasks)
    silent_discovery = await ScriptedUpstream().start(tasks, lambda upstream, session: anyio.sleep_forever())
    raw: dict[str, Any] = node_configuration(upstreams.addresses, silent_discovery.address[1])
    for traffic_class in raw["settings"]["tariffs"]:
        traffic_class["cut_off_us"] = LONGEST_DEADLINE_US
    raw["control"] = admin_address()
    file = path / "node.json"
    file.write_bytes(orjson.dumps(raw))
    async with node_process(file, "accepting_clients") as node:
        node.admin_address = raw["control"]
        await check(node, file)


@pytest.mark.parametrize("stop_signal", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_during_the_wait_for_discovery_counts_from_its_signal(
    stop_signal: signal.Signals, tmp_path: Path
) -> None:
    """Guards against clients that are cut off at SIGKILL, as the stop began up to 1 s late (review/8)."""

    async def check(node: NodeProcess, file: Path) -> None:
        front = await connect(node.port)
        await front.send(PING)
        clients = [await open_session(node.port, key=f"k{number}") for number in range(4)]
        for client in clients:
            assert await client.line() == b"UP echo\r\n"
        node.signal(stop_signal)
        await node.next_event("stopping")
        await node.next_event("serving")  # the wait for discovery ends only after the stop has begun
        assert await front.line() == NO, "a front would send further clients to a node that ends"
        assert (await call_admin_api(node.admin_address, READY))[0] == 503
        for client in clients:
            assert await read_to_end(client) == [MOVE]
        await node.next_event("stopped")
        assert await node.exit_code() == 0

    async def body(tasks: TaskGroup) -> None:
        await with_waiting_node(tasks, tmp_path, check)

    run_on_loopback(body)


def test_a_reload_and_a_status_during_the_wait_for_discovery_are_handled_at_once(tmp_path: Path) -> None:
    """Guards against a new address of discovery that is not followed while the old one is silent."""

    async def body(tasks: TaskGroup) -> None:
        new_discovery = await ScriptedUpstream().start(tasks, lambda upstream, session: anyio.sleep_forever())

        async def check(node: NodeProcess, file: Path) -> None:
            raw = orjson.loads(file.read_bytes())
            file.write_bytes(orjson.dumps({**raw, "discovery": new_discovery.named}))
            node.signal(signal.SIGHUP)
            await node.next_event("configuration_reloaded")
            node.signal(signal.SIGUSR1)
            assert (await node.next_event("upstream_status"))["upstream"] == "s-0"
            await node.next_event("serving")
            await wait_until(lambda: bool(new_discovery.lines))
            assert b"watch" not in new_discovery.lines[0], "the complete list has to be fetched"
            client = await open_session(node.port)
            assert await client.line() == b"UP echo\r\n"

        await with_waiting_node(tasks, tmp_path, check)

    run_on_loopback(body)


def test_a_new_process_that_is_stopped_before_it_serves_leaves_the_clients_to_its_predecessor(
    tmp_path: Path,
) -> None:
    """Guards against a new process that takes sessions over although it has been told to end."""

    async def body(tasks: TaskGroup) -> None:
        upstreams = await UpstreamStubs("UP echo").start(tasks)
        node = await RestartedNode(tasks, tmp_path).start(upstreams)
        async with node.node_process() as old:
            await node.start_clients(3)
            async with node_process(
                node.path / "node.json",
                "admin_api_listening",
                EDGE_CONTROL=admin_address(),
                TMPDIR=str(node.path),
                PYTHONUNBUFFERED="1",
            ) as new:
                await old.next_event("hot_restart_successor_starting")
                new.signal(signal.SIGTERM)
                await new.next_event("stopped_before_serving")
                await new.next_event("stopped")
                assert await new.exit_code() == 0
            await old.next_event("hot_restart_successor_lost")
            await node.start_client()
            assert (await call_admin_api(old.admin_address, READY))[0] == 200
            assert node.seen["UP"] == 4 and not node.seen["moved"] + node.seen["broken"]

    run_on_loopback(body)
