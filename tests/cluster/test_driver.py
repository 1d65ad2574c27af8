"""The driver of the cluster service on UDP sockets: a fault ends neither its loops nor the node."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from anyio.abc import TaskGroup
from structlog.testing import capture_logs

from larchlatch.cluster.cluster_file import read_cluster_file
from larchlatch.cluster.counters import ClusterCounter
from larchlatch.cluster.exchange.results import HeartbeatResult, OutgoingDatagram
from larchlatch.cluster.keys import create_secret, own_signer, read_secret
from larchlatch.cluster.local_node import LocalNode
from larchlatch.cluster.membership.member import MemberState
from larchlatch.cluster.service import ClusterService
from larchlatch.node.metrics import Counters
from tests.support.cluster import AcceptingBalancer
from tests.support.loopback import run_on_loopback, wait_until

NAMES = ("n0", "n1")


class RunningService:
    """A cluster service on loopback, with its counters."""

    def __init__(self, name: str, folder: Path) -> None:
        path = folder / "cluster.toml"
        configuration = read_cluster_file(path)
        signer = own_signer(configuration, name, read_secret(folder / f"{name}.key"))
        self.counters = Counters()
        self.service = ClusterService(
            LocalNode(name, (), path, configuration, signer),
            self.counters,
            random.Random(name),
            AcceptingBalancer(),
        )

    def sees(self, name: str) -> bool:
        return self.service.membership.members[name].state is MemberState.PRESENT

    def accepted(self) -> int:
        return self.counters.counts[ClusterCounter.RECORDS_ACCEPTED]


def free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


async def start_services(tasks: TaskGroup, folder: Path) -> list[RunningService]:
    """Start a service for each name, and wait until each hears the other."""
    entries = [
        f'[[nodes]]\nname = "{name}"\naddress = "127.0.0.1:{free_port()}"\n'
        f'key = "{create_secret(folder / f"{name}.key")}"\n'
        for name in NAMES
    ]
    (folder / "cluster.toml").write_text("beat_ms = 50\n" + "".join(entries))
    services = [RunningService(name, folder) for name in NAMES]
    for running in services:
        tasks.start_soon(running.service.run)
    await wait_until(lambda: services[0].sees("n1") and services[1].sees("n0"))
    return services


def failing_once(call: Callable[..., Any]) -> Callable[..., Any]:
    """Return a function that raises when it is called first, and then calls the given one."""
    failed = False

    def fail_or_call(*args: Any, **named: Any) -> Any:
        nonlocal failed
        if not failed:
            failed = True
            raise KeyError("from the test")
        return call(*args, **named)

    return fail_or_call


@pytest.mark.parametrize(
    ("method", "counter"),
    [("receive", ClusterCounter.DATAGRAM_FAILED), ("heartbeat", ClusterCounter.HEARTBEAT_FAILED)],
)
def test_fault_in_a_loop_is_logged_and_counted_and_the_loop_goes_on(
    method: str, counter: ClusterCounter, tmp_path: Path
) -> None:
    """Guards against a node that ends because of one datagram or heartbeat that it can't handle."""

    async def body(tasks: TaskGroup) -> None:
        first, second = await start_services(tasks, tmp_path)
        exchange = first.service.exchange
        with capture_logs() as events:
            setattr(exchange, method, failing_once(getattr(exchange, method)))
            await wait_until(lambda: first.counters.counts[counter] == 1)
        assert [event["event"] for event in events if event["log_level"] == "error"] == [counter.value]
        heard_by = {running: running.accepted() for running in (first, second)}
        await wait_until(lambda: all(running.accepted() > heard_by[running] + 3 for running in heard_by))
        assert first.counters.counts[counter] == 1

    run_on_loopback(body)


def test_datagram_to_a_node_that_is_no_member_is_left_out_and_counted(tmp_path: Path) -> None:
    """Guards against one unknown recipient that keeps the other datagrams from being sent."""

    async def body(tasks: TaskGroup) -> None:
        first, second = await start_services(tasks, tmp_path)
        exchange = first.service.exchange
        compose = exchange.heartbeat

        def compose_with_unknown(**named: int) -> HeartbeatResult:
            result = compose(**named)
            return result._replace(datagrams=[OutgoingDatagram("n9", b"x"), *result.datagrams])

        exchange.heartbeat = compose_with_unknown  # type: ignore[method-assign]
        unknown = first.counters.counts
        await wait_until(lambda: unknown[ClusterCounter.RECIPIENT_UNKNOWN] >= 2)
        heard = second.accepted()
        await wait_until(lambda: second.accepted() > heard + 2)
        assert not first.counters.counts[ClusterCounter.HEARTBEAT_FAILED]

    run_on_loopback(body)
