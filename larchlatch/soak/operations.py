"""What operators do to nodes during a soak: reloads, drains, hot restarts, and the removal of a node."""

from __future__ import annotations

import signal
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

import anyio

from larchlatch.soak.admin_calls import OK, READINESS, START_DRAIN, STOP_DRAIN, call_admin_api
from larchlatch.soak.soak_observer import SoakCheck

if TYPE_CHECKING:
    from random import Random

    from larchlatch.loadtest.node_fleet import NodeFleet
    from larchlatch.loadtest.node_process import NodeProcess
    from larchlatch.soak.soak_observer import SoakObserver

PAUSE_S = 1.0  # between two operations
DRAIN_S = 2.0
RELOAD_S = 0.5  # until a node has read its configuration
POLL_INTERVAL_S = 0.1
READY_POLLS = 200  # of a new process, until it is ready
END_TIMEOUT_S = 15.0  # for a process that was told to end
ADMIN_TRIES = 3  # an operator repeats a call that a misbehaving caller has displaced
INVALID_CONFIGURATION = b'{"name": '
EXIT_OK = 0
EXIT_BY_SIGTERM = -signal.SIGTERM  # of a process that has not begun to handle signals


class Operation(StrEnum):
    """An operation on one node; the values are keys of the result."""

    RELOAD = "reload"
    INVALID_RELOAD = "invalid_reload"
    DRAIN = "drain"
    HOT_RESTART = "hot_restart"
    ABORTED_HOT_RESTART = "aborted_hot_restart"


class Operator:
    """Plays all operations in drawn orders, one at a time, each on a drawn node.

    Attributes:
        counts: How often each operation was completed.
        busy_with: The node that is operated on now; None if there is none.
        lock: Held by each operation.

    """

    def __init__(self, rng: Random, fleet: NodeFleet, observer: SoakObserver, operated_count: int) -> None:
        """Create the operator, who operates on this number of nodes, the first of the fleet."""
        self.counts: Counter[Operation] = Counter()
        self.busy_with: NodeProcess | None = None
        self.lock = anyio.Lock()
        self._rng = rng
        self._fleet = fleet
        self._observer = observer
        self._operated_count = operated_count

    async def run(self, until: anyio.Event) -> None:
        """Play operations until the event is set; the last one is completed."""
        while not until.is_set():
            for operation in self._rng.sample(list(Operation), len(Operation)):
                number = self._rng.random()
                nodes = self._fleet.nodes[: self._operated_count]
                if until.is_set():
                    return
                await self._play(operation, nodes[int(number * len(nodes))])
                with anyio.move_on_after(PAUSE_S):
                    await until.wait()

    async def _play(self, operation: Operation, node: NodeProcess) -> None:
        async with self.lock:
            self.busy_with = node
            await self._perform(operation, node)
            self.counts[operation] += 1
            self.busy_with = None

    async def _perform(self, operation: Operation, node: NodeProcess) -> None:
        match operation:
            case Operation.RELOAD:
                await self._reload(node)
            case Operation.INVALID_RELOAD:
                await self._reload_invalid(node)
            case Operation.DRAIN:
                await self._drain(node)
            case Operation.HOT_RESTART:
                await self._hot_restart(node)
            case Operation.ABORTED_HOT_RESTART:
                await self._aborted_hot_restart(node)

    @staticmethod
    async def _reload(node: NodeProcess) -> None:
        node.send_signal(signal.SIGHUP)
        await anyio.sleep(RELOAD_S)

    async def _reload_invalid(self, node: NodeProcess) -> None:
        """Let the node read a file that is cut off, and then the valid one again."""
        path = self._fleet.configuration_file(node)
        valid = path.read_bytes()
        path.write_bytes(INVALID_CONFIGURATION)
        await self._reload(node)
        path.write_bytes(valid)
        await self._reload(node)

    async def _drain(self, node: NodeProcess) -> None:
        await self._order(node, START_DRAIN)
        await anyio.sleep(DRAIN_S)
        await self._order(node, STOP_DRAIN)

    async def _order(self, node: NodeProcess, call: str) -> None:
        for _ in range(ADMIN_TRIES):
            if await call_admin_api(node.admin_address, call) == OK:
                return
        self._report(node, f"{call} was not answered with {OK} in {ADMIN_TRIES} calls")

    async def _hot_restart(self, node: NodeProcess) -> None:
        admin_address = await self._fleet.start_successor(node)
        if not await self._wait_until_ready(admin_address):
            self._report(node, "the successor of a hot restart was not ready in time")
            await self._abort(node)
            return
        exit_code = None
        with anyio.move_on_after(END_TIMEOUT_S):
            exit_code = await self._fleet.complete_hot_restart(node, admin_address)
        if exit_code != EXIT_OK:
            self._report(node, f"the predecessor of a hot restart ended with {exit_code}")

    async def _aborted_hot_restart(self, node: NodeProcess) -> None:
        """End the successor when it serves, or at a drawn time after its start."""
        abort_when_ready = self._rng.random() < 0.5
        delay_s = self._rng.uniform(0, 1)
        admin_address = await self._fleet.start_successor(node)
        if abort_when_ready:
            await self._wait_until_ready(admin_address)
        else:
            await anyio.sleep(delay_s)
        await self._abort(node)

    async def _abort(self, node: NodeProcess) -> None:
        exit_code = None
        with anyio.move_on_after(END_TIMEOUT_S):
            exit_code = await node.abort_hot_restart()
        if exit_code not in (EXIT_OK, EXIT_BY_SIGTERM):
            self._report(node, f"the successor of an aborted hot restart ended with {exit_code}")

    @staticmethod
    async def _wait_until_ready(admin_address: str) -> bool:
        for _ in range(READY_POLLS):
            if await call_admin_api(admin_address, READINESS) == OK:
                return True
            await anyio.sleep(POLL_INTERVAL_S)
        return False

    def _report(self, node: NodeProcess, description: str) -> None:
        self._observer.report(SoakCheck.OPERATION_SUCCEEDS, f"node {node.number}: {description}")
