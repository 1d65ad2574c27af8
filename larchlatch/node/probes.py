"""Probes: health checks of one upstream, which may carry its load report."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
import structlog

from larchlatch.node.clock import now_us
from larchlatch.node.fault_barrier import FaultBarrier
from larchlatch.node.messages import ProbeFinished
from larchlatch.node.wire import lines as wire
from larchlatch.node.wire.dialing import Unconnected, connect
from larchlatch.node.wire.stream import Ending, LineConnection

if TYPE_CHECKING:
    from larchlatch.node.upstream_context import UpstreamContext, UpstreamTarget

ANSWER_TIMEOUT_S = 0.4  # an answer takes one round trip; this is shorter than the time between two probes

log = structlog.get_logger()


class ProbeCounter(StrEnum):
    """Names of the counters of probes."""

    ALREADY_RUNNING = "probe_already_running"
    ANSWERED = "probe_answered"
    FAILED = "probe_failed"
    FAULT = "probe_fault"  # a fault of the node while it probed; the probe counts as failed too


class Prober:
    """Probes one upstream over a connection that it owns and keeps open between probes."""

    def __init__(self, target: UpstreamTarget, context: UpstreamContext) -> None:
        self._target = target
        self._settings = context.settings
        self._descriptors = context.descriptors
        self._counters = context.counters
        self._post = context.post
        self._running = False
        self._connection: LineConnection | None = None

    async def run(self) -> None:
        """Probe once and report the result; do nothing if a probe is in progress."""
        # Two concurrent probes would read from the same connection, which raises an exception. A probe of an
        # upstream that does not answer may last until the next one is ordered: its result counts for both.
        if self._running:
            self._counters.add(ProbeCounter.ALREADY_RUNNING)
            return
        started_at = now_us()
        report: wire.Pong | None = None
        self._running = True
        try:
            with FaultBarrier(self._counters, counter=ProbeCounter.FAULT, event="probe_fault"):
                report = await self.query()
        finally:
            self._running = False
        await self._finish(report, duration_us=now_us() - started_at)

    async def _finish(self, report: wire.Pong | None, *, duration_us: int) -> None:
        answered = report is not None
        utilization, session_count = report if report is not None else (None, None)
        self._counters.add(ProbeCounter.ANSWERED if answered else ProbeCounter.FAILED)
        log.debug(
            "probe_finished",
            upstream=self._target.name,
            answered=answered,
            utilization=utilization,
            session_count=session_count,
            duration_us=duration_us,
        )
        await self._post(ProbeFinished(self._target.number, answered, utilization, session_count))

    async def query(self) -> wire.Pong | None:
        """Send one probe, after connecting if necessary; return the answer, or None if none came in time."""
        if self._connection is not None:
            answer = await self._exchange(self._connection)
            # The connection of an earlier probe may have ended at any time since, which says nothing about
            # the upstream's present state. So the probe is repeated over a new connection.
            if not isinstance(answer, Ending):
                return answer
        connection = await self._connect()
        if connection is None:
            return None
        answer = await self._exchange(connection)
        return None if isinstance(answer, Ending) else answer

    async def _connect(self) -> LineConnection | None:
        connection = await connect(self._target.address, self._settings.connect_timeout_us / 1e6)
        if isinstance(connection, Unconnected):
            return None
        self._connection = connection
        # The descriptor comes from the budget: probe connections to many upstreams would exceed HEADROOM.
        self._descriptors.reduce_capacity(1)
        self._descriptors.probe_connections += 1
        return connection

    async def _exchange(self, connection: LineConnection) -> wire.Pong | Ending | None:
        """Probe over a connection, and close it unless a valid answer comes in time.

        Returns:
            The answer; how the connection ended, if it did; None if the answer is late or invalid.

        """
        answer = await self._send_and_receive(connection)
        if isinstance(answer, wire.Pong):
            return answer
        self._connection = None
        self._descriptors.reduce_capacity(-1)
        self._descriptors.probe_connections -= 1
        await connection.close()
        return answer if isinstance(answer, Ending) else None

    async def _send_and_receive(self, connection: LineConnection) -> wire.UpstreamLine | Ending | None:
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            request = wire.STATS if self._settings.probes_report_load else wire.PING
            if not await connection.send(request):
                return Ending.RESET
            line = await connection.line()
            return line if isinstance(line, Ending) else wire.parse_upstream_line(line)
        return None
