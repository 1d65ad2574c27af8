"""Inspects the processes of nodes from outside: whether they live, answer, and release what they used."""

from __future__ import annotations

from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from larchlatch.soak.admin_calls import OK, READINESS, call_admin_api
from larchlatch.soak.operations import END_TIMEOUT_S, EXIT_OK
from larchlatch.soak.soak_observer import SoakCheck

if TYPE_CHECKING:
    from larchlatch.loadtest.node_fleet import NodeFleet
    from larchlatch.loadtest.node_process import NodeProcess
    from larchlatch.soak.operations import Operator
    from larchlatch.soak.soak_observer import SoakObserver

WATCH_INTERVAL_S = 0.5
MAX_MEMORY_MB = 66.0  # of one process with 1,000 sessions, by docs/operating.md
IDLE_TIMEOUT_S = 10.0  # for an idle node to release its descriptors
SAMPLE_INTERVAL_S = 0.1
KB_PER_MB = 1024


class NodeInspector:
    """Watches the processes of all nodes, and inspects them when there are no clients.

    Attributes:
        ended: Set when a process has ended that was not told to.
        idle_descriptors: Number of descriptors of each node's process after its start, by the node's number.
        last_descriptors: Number of descriptors of each node's process at the end.
        memory_mb: Resident memory of each node's process at the end.

    """

    def __init__(
        self, fleet: NodeFleet, operator: Operator, observer: SoakObserver, upstream_count: int
    ) -> None:
        self.ended = anyio.Event()
        self.idle_descriptors: dict[int, int] = {}
        self.last_descriptors: dict[int, int] = {}
        self.memory_mb: dict[int, float] = {}
        self._fleet = fleet
        self._operator = operator
        self._observer = observer
        self._probe_connections = upstream_count  # a node keeps one to each upstream

    def _nodes(self) -> list[NodeProcess]:
        return [node for node in self._fleet.nodes if not node.removed]

    async def measure_idle(self) -> None:
        """Count the descriptors of each process before there are clients."""
        await anyio.sleep(WATCH_INTERVAL_S)
        self.idle_descriptors = {node.number: descriptor_count(node.pid) for node in self._nodes()}

    async def watch(self) -> None:
        """Check that all processes live and answer, until cancelled or until one has ended."""
        while not self.ended.is_set():
            await anyio.sleep(WATCH_INTERVAL_S)
            for node in self._nodes():
                await self._check(node)

    async def _check(self, node: NodeProcess) -> None:
        if not node.running:
            self._observer.report(SoakCheck.PROCESS_LIVES, f"node {node.number}: its process has ended")
            self.ended.set()
            return
        address = node.admin_address
        if self._operator.busy_with is not node and await call_admin_api(address, READINESS) != OK:
            self._report_unready(node, address)

    def _report_unready(self, node: NodeProcess, called: str) -> None:
        if node.removed or not node.running or called != node.admin_address:
            return  # it was removed, has ended or was replaced meanwhile
        self._observer.report(
            SoakCheck.ADMIN_ANSWERS, f"node {node.number}: its admin API did not answer that it is ready"
        )

    async def inspect_idle(self) -> None:
        """Check what each process holds after all clients have left."""
        for node in self._nodes():
            if node.running:
                await self._check_descriptors(node)
                self._check_memory(node)

    async def stop_nodes(self) -> None:
        """Stop all processes, and check that they end gracefully."""
        for node in self._nodes():
            if node.running:
                await self._check_stop(node)

    async def _check_descriptors(self, node: NodeProcess) -> None:
        allowed = self.idle_descriptors[node.number] + self._probe_connections
        count = descriptor_count(node.pid)
        with anyio.move_on_after(IDLE_TIMEOUT_S):
            while count > allowed:
                await anyio.sleep(SAMPLE_INTERVAL_S)
                count = min(count, descriptor_count(node.pid))
        self.last_descriptors[node.number] = count
        if count > allowed:
            self._observer.report(
                SoakCheck.DESCRIPTORS_RELEASED,
                f"node {node.number}: {count} descriptors without clients, {allowed} are allowed; "
                f"now: {describe_descriptors(node.pid)}",
            )

    def _check_memory(self, node: NodeProcess) -> None:
        used_mb = resident_memory_mb(node.pid)
        self.memory_mb[node.number] = used_mb
        if used_mb > MAX_MEMORY_MB:
            self._observer.report(
                SoakCheck.MEMORY_BOUNDED, f"node {node.number}: {used_mb:.1f} MB without clients"
            )

    async def _check_stop(self, node: NodeProcess) -> None:
        exit_code = None
        with anyio.move_on_after(END_TIMEOUT_S):
            exit_code = await node.shut_down()
        if exit_code != EXIT_OK:
            self._observer.report(
                SoakCheck.OPERATION_SUCCEEDS, f"node {node.number}: ended with {exit_code} after SIGTERM"
            )


def descriptor_count(pid: int) -> int:
    """Return the number of file descriptors of a process; 0 if it has ended."""
    try:
        return len(list(Path(f"/proc/{pid}/fd").iterdir()))
    except OSError:
        return 0


def describe_descriptors(pid: int) -> str:
    """Return what the file descriptors of a process are, with the number of each kind."""
    kinds: Counter[str] = Counter()
    with suppress(OSError):
        for entry in Path(f"/proc/{pid}/fd").iterdir():
            with suppress(OSError):
                kinds[entry.readlink().name.partition(":")[0]] += 1
    return ", ".join(f"{count} {kind}" for kind, count in sorted(kinds.items()))


def resident_memory_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0
