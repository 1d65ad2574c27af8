"""The driver of the cluster service on UDP sockets: a fault ends neither its loops nor the node."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterable, Sequence
from pathlib import Path

import anyio
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
from tests.support.faults import raising_once
from tests.support.loopback import run_on_loopback, wait_until

NAMES = ("n0", "n1")


class RunningService:
    """A cluster service on loopback, with its counters."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.entries: dict[str, str] = {}  # of all nodes, in the form of the cluster file
        self.scope = anyio.CancelScope()
        path = folder / "cluster.toml"
        configuration = read_cluster_file(path)
        signer = own_signer(configuration, name, read_secret(folder / f"{name}.key"))
        self.counters = Counters()
        self.service = ClusterService(
            LocalNode(name, ("all",), path, configuration, signer),
            self.counters,
            random.Random(name),
            AcceptingBalancer(),
        )

    async def run(self) -> None:
        with self.scope:
            await self.service.run()

    def borrowed_from(self, lender: str) -> int:
        loans = self.service.state.quotas.accounts["all"].borrowed.values()
        return sum(loan.amount for loan in loans if loan.lender == lender)

    def sees(self, name: str) -> bool:
        return self.service.membership.members[name].state is MemberState.PRESENT

    def accepted(self) -> int:
        return self.counters.counts[ClusterCounter.RECORDS_ACCEPTED]


def free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


async def start_services(
    tasks: TaskGroup, folder: Path, names: Sequence[str] = NAMES, settings: str = ""
) -> list[RunningService]:
    """Start a service for each name, and wait until all hear each other."""
    entries = {
        name: f'[[nodes]]\nname = "{name}"\naddress = "127.0.0.1:{free_port()}"\n'
        f'key = "{create_secret(folder / f"{name}.key")}"\n'
        for name in names
    }
    write_cluster_file(folder, settings, entries.values())
    services = [RunningService(name, folder) for name in names]
    for running in services:
        running.entries = entries
        tasks.start_soon(running.run)
    await wait_until(
        lambda: all(running.sees(other) for running in services for other in names if other != running.name)
    )
    return services


def write_cluster_file(folder: Path, settings: str, entries: Iterable[str]) -> None:
    (folder / "cluster.toml").write_text(f"beat_ms = 50\n{settings}" + "".join(entries))


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
            setattr(exchange, method, raising_once(getattr(exchange, method)))
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


QUOTA = (
    'term_ms = 1000\nwindow_ms = 200\nbudgets = [{ name = "all", links_per_s = 600, tariffs = ["all"] }]\n'
)


def test_member_that_a_node_has_borrowed_from_is_removed_from_running_services(tmp_path: Path) -> None:
    """Guards against the end of a node, some heartbeats after the member that lent to it was removed."""

    async def body(tasks: TaskGroup) -> None:
        names = ("n0", "n1", "n2")
        services = await start_services(tasks, tmp_path, names, QUOTA)
        borrower, _, lender = services

        async def request_sessions() -> None:
            while True:
                for _ in range(20):
                    borrower.service.admit("all")
                await anyio.sleep(0.02)

        tasks.start_soon(request_sessions)
        await wait_until(lambda: borrower.borrowed_from("n2") > 0)
        lender.scope.cancel()
        entries = [entry for name, entry in borrower.entries.items() if name != "n2"]
        write_cluster_file(tmp_path, QUOTA, entries)
        for running in services[:2]:
            running.service.reload()
        await wait_until(lambda: borrower.borrowed_from("n2") == 0)
        heard = borrower.accepted()
        await wait_until(lambda: borrower.accepted() > heard + 5 and borrower.borrowed_from("n1") > 0)
        for running in services[:2]:
            counts = running.counters.counts
            assert counts[ClusterCounter.FILE_READ] == 1
            assert (
                not counts[ClusterCounter.HEARTBEAT_FAILED] and not counts[ClusterCounter.RECIPIENT_UNKNOWN]
            )

    run_on_loopback(body)
