"""A hot restart of one node of a cluster: the range of admitted sessions that another node logs."""

from __future__ import annotations

import signal
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from larchlatch.cluster.keys import create_secret
from larchlatch.node.clock import now_us
from tests.support.hot_restart import READY, RestartedNode
from tests.support.loopback import run_on_loopback
from tests.support.node_process import NodeProcess, admin_address, call_admin_api
from tests.support.stand_ins import UpstreamStubs

WINDOW_MS = 250
SPAN_US = 10 * WINDOW_MS * 1000
QUOTA_PER_S = 100
REQUEST_INTERVAL_S = 0.02
OBSERVED_S = 4.0  # longer than the span of a range, so that the successor alone has admitted all of it


async def nodes_of_one_cluster(path: Path, tasks: TaskGroup) -> list[RestartedNode]:
    """Return two nodes of one cluster, which are not running yet."""
    nodes, entries = [], []
    for number, name in enumerate(("n0", "n1")):
        folder = path / name
        folder.mkdir()
        upstreams = await UpstreamStubs("UP echo").start(tasks, 3)
        nodes.append(await RestartedNode(tasks, folder).start(upstreams, me=number))
        nodes[-1].raw["name"] = name
        nodes[-1].write()
        key = create_secret(folder / "node.key")
        entries.append(f'[[nodes]]\nname = "{name}"\naddress = "{admin_address()}"\nkey = "{key}"\n')
        nodes[-1].arguments = [
            "--cluster",
            str(path / "cluster.toml"),
            "--cluster-key",
            str(folder / "node.key"),
        ]
    (path / "cluster.toml").write_text(
        f'window_ms = {WINDOW_MS}\nclocks_ms = 20\nfloor = 1.0\n[[budgets]]\nname = "all"\n'
        f'links_per_s = {QUOTA_PER_S}\ntariffs = ["once"]\n' + "".join(entries)
    )
    return nodes


def test_range_at_another_node_contains_what_the_successor_admits(tmp_path: Path) -> None:
    """The predecessor, which admits nothing any more, goes on sending records with its last count."""
    admitted_at_us: list[int] = []  # when each session was requested that was admitted
    too_low: list[tuple[int, int]] = []

    async def session(node: RestartedNode) -> None:
        requested_at = now_us()
        client = await node.open_session()
        answer = await client.line()
        if isinstance(answer, bytes) and answer.startswith(b"UP"):
            admitted_at_us.append(requested_at)
        await client.close()

    async def send_requests(node: RestartedNode, tasks: TaskGroup) -> None:
        while True:
            tasks.start_soon(session, node)
            await anyio.sleep(REQUEST_INTERVAL_S)

    async def observe(other: NodeProcess) -> None:
        # Sessions that were requested half a second later than the range begins are certainly part of it.
        certainly_since = now_us() - SPAN_US + 500_000
        certain = sum(at > certainly_since for at in admitted_at_us)
        other.signal(signal.SIGUSR1)
        most = (await other.next_event("quota_status"))["fleet_most"]
        if certain > most:
            too_low.append((certain, most))

    async def body(tasks: TaskGroup) -> None:
        node, other_node = await nodes_of_one_cluster(tmp_path, tasks)
        async with other_node.node_process() as other, node.node_process() as first:
            await anyio.sleep(2 * SPAN_US / 1e6)  # until nothing before the nodes' start counts any more
            tasks.start_soon(send_requests, node, tasks)
            async with node.node_process() as second:
                assert (await call_admin_api(second.admin_address, READY))[0] == 200
                ends_at = anyio.current_time() + OBSERVED_S
                while anyio.current_time() < ends_at:
                    await observe(other)
                    await anyio.sleep(0.2)
                first.signal(signal.SIGTERM)
                assert await first.exit_code() == 0
                await observe(other)
                tasks.cancel_scope.cancel()

    run_on_loopback(body)
    assert len(admitted_at_us) > 100
    assert not too_low
