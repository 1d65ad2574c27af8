"""Callers of a node's sockets that misbehave at each step of their conversations."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

import anyio

from larchlatch.loadtest.streams import CONNECTION_ERRORS, close_writer
from larchlatch.soak.connection_faults import ConnectionFault, connect_and_reset, draw_plan, inflict

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path
    from random import Random

    from larchlatch.loadtest.background_tasks import BackgroundTasks
    from larchlatch.soak.connection_faults import FaultPlan

ANSWER_TIMEOUT_S = 3.0  # a caller that gets no answer leaves
MAX_DATAGRAM_BYTES = 1400


class Step(NamedTuple):
    """A step of a conversation with a node.

    Attributes:
        data: What the caller sends.
        awaits_answer: Whether it then waits for a line from the node.

    """

    data: bytes
    awaits_answer: bool


class FaultyCallers:
    """Callers of one TCP address of a node, one after the other at random intervals.

    Attributes:
        counts: How often each fault was inflicted.

    """

    def __init__(
        self,
        rng: Random,
        mean_interval_s: float,
        address: Callable[[], tuple[str, int]],
        conversation: Callable[[], list[Step]],
    ) -> None:
        """Create the callers.

        Args:
            rng: Source of all that is drawn.
            mean_interval_s: Mean time between two callers, in seconds.
            address: Returns the present address.
            conversation: Returns the steps of a caller's conversation.

        """
        self.counts: Counter[ConnectionFault] = Counter()
        self._rng = rng
        self._mean_interval_s = mean_interval_s
        self._address = address
        self._conversation = conversation

    async def run(self, tasks: BackgroundTasks) -> None:
        """Call until cancelled; `tasks` owns the calls."""
        while True:
            await anyio.sleep(self._rng.expovariate(1 / self._mean_interval_s))
            steps = self._conversation()
            plan = draw_plan(self._rng, len(steps))
            self.counts[plan.fault] += 1
            tasks.start(self._call, plan, steps)

    async def _call(self, plan: FaultPlan, steps: list[Step]) -> None:
        with suppress(*CONNECTION_ERRORS):
            if plan.fault is ConnectionFault.RESET and plan.step == 0:
                connect_and_reset(self._address())
                return
            reader, writer = await asyncio.open_connection(*self._address())
            try:
                with anyio.move_on_after(ANSWER_TIMEOUT_S):
                    await converse(steps[: plan.step], reader, writer)
                await inflict(plan, steps[plan.step].data, writer)
            finally:
                close_writer(writer)


async def converse(steps: list[Step], reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Play complete steps of a conversation."""
    for step in steps:
        writer.write(step.data)
        if step.awaits_answer:
            await reader.readline()


class FaultyRendezvousCallers:
    """Connections to the Unix socket of a node's hot restart that are not from a successor.

    Attributes:
        counts: How often each fault was inflicted.

    """

    def __init__(self, rng: Random, mean_interval_s: float, folder: Path) -> None:
        """Create the callers; `folder` has the socket files of all nodes."""
        self.counts: Counter[ConnectionFault] = Counter()
        self._rng = rng
        self._mean_interval_s = mean_interval_s
        self._folder = folder

    async def run(self, tasks: BackgroundTasks) -> None:
        """Call until cancelled; `tasks` owns the calls."""
        while True:
            await anyio.sleep(self._rng.expovariate(1 / self._mean_interval_s))
            plan = draw_plan(self._rng, 1)
            files = sorted(path for path in self._folder.iterdir() if path.is_socket())
            draw = self._rng.random()
            if files:
                self.counts[plan.fault] += 1
                tasks.start(self._call, plan, files[int(draw * len(files))])

    @staticmethod
    async def _call(plan: FaultPlan, path: Path) -> None:
        with suppress(*CONNECTION_ERRORS):
            _, writer = await asyncio.open_unix_connection(str(path))
            await inflict(plan, plan.junk, writer)


class JunkDatagrams:
    """Random bytes that are sent to the datagram address of a node.

    Attributes:
        sent: How many datagrams were sent.

    """

    def __init__(self, rng: Random, mean_interval_s: float, address: tuple[str, int]) -> None:
        self.sent = 0
        self._rng = rng
        self._mean_interval_s = mean_interval_s
        self._address = address

    async def run(self) -> None:
        """Send until cancelled."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            while True:
                await anyio.sleep(self._rng.expovariate(1 / self._mean_interval_s))
                with suppress(OSError):
                    sock.sendto(self._rng.randbytes(self._rng.randint(1, MAX_DATAGRAM_BYTES)), self._address)
                self.sent += 1
