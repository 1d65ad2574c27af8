"""Probes: health checks of one upstream, which may carry its load report."""

from __future__ import annotations

from enum import Enum, StrEnum
from typing import TYPE_CHECKING

import anyio
import structlog

from larchlatch.node.clock import now_us
from larchlatch.node.descriptor_budget import IdleProbeConnection
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
    NOT_SENT = "probe_not_sent"  # no descriptor was free for a new connection
    CONNECTION_EVICTED = "probe_connection_evicted"  # a descriptor was needed while none was free


class NotSent(Enum):
    """Why a probe was not sent, which says nothing about its upstream."""

    NO_DESCRIPTOR = "no descriptor"


class Prober:
    """Probes one upstream over a connection that it owns and keeps open between probes.

    Between two probes the descriptor budget may evict the connection. It is also closed when the upstream
    accepts no new sessions any more, or has another address.
    """

    def __init__(self, target: UpstreamTarget, context: UpstreamContext) -> None:
        self._target = target
        self._settings = context.settings
        self._descriptors = context.descriptors
        self._counters = context.counters
        self._post = context.post
        self._running = False
        self._connection: LineConnection | None = None  # that is open between two probes
        self._connected_to = target.address
        self._idle = IdleProbeConnection(self._evict)

    async def run(self) -> None:
        """Probe once and report the result; do nothing if a probe is in progress."""
        # Two concurrent probes would read from the same connection, which raises an exception. A probe of an
        # upstream that does not answer may last until the next one is ordered: its result counts for both.
        if self._running:
            self._counters.add(ProbeCounter.ALREADY_RUNNING)
            return
        started_at = now_us()
        report: wire.Pong | NotSent | None = None
        self._running = True
        try:
            with FaultBarrier(self._counters, counter=ProbeCounter.FAULT, event="probe_fault"):
                report = await self.query()
        finally:
            self._running = False
        if isinstance(report, NotSent):
            self._counters.add(ProbeCounter.NOT_SENT)
            log.debug("probe_not_sent", upstream=self._target.name, reason=report.value)
        else:
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

    async def query(self) -> wire.Pong | NotSent | None:
        """Send one probe, after connecting if necessary.

        Returns:
            The answer; None if no connection could be established or no valid answer came in time; the
            reason if the probe was not sent.

        """
        connection = self._take_connection()
        if connection is not None:
            answer = await self._exchange(connection)
            # The connection of an earlier probe may have ended at any time since, which says nothing about
            # the upstream's present state. So the probe is repeated over a new connection.
            if not isinstance(answer, Ending):
                return answer
        if not self._descriptors.reserve_for_probe():
            return NotSent.NO_DESCRIPTOR
        new_connection = await self._connect()
        if isinstance(new_connection, Unconnected):
            return NotSent.NO_DESCRIPTOR if new_connection is Unconnected.NO_DESCRIPTOR else None
        answer = await self._exchange(new_connection)
        return None if isinstance(answer, Ending) else answer

    def close_idle(self) -> None:
        """Close the connection if no probe uses it now."""
        connection = self._take_connection()
        if connection is not None:
            connection.abort()
            self._descriptors.release_probe()

    def _evict(self) -> None:
        self._counters.add(ProbeCounter.CONNECTION_EVICTED)
        self.close_idle()

    def _take_connection(self) -> LineConnection | None:
        """Return the idle connection, which is not evicted any more; None if there is none."""
        self._descriptors.remove_idle_probe(self._idle)
        connection, self._connection = self._connection, None
        return connection

    async def _connect(self) -> LineConnection | Unconnected:
        """Connect to the upstream; the reserved descriptor is released if that fails."""
        connected = False
        self._connected_to = self._target.address
        try:
            connection = await connect(self._connected_to, self._settings.connect_timeout_us / 1e6)
            connected = isinstance(connection, LineConnection)
            return connection
        finally:
            if not connected:
                self._descriptors.release_probe()

    async def _exchange(self, connection: LineConnection) -> wire.Pong | Ending | None:
        """Probe over a connection, and keep it open if a valid answer comes in time.

        Returns:
            The answer; how the connection ended, if it did; None if the answer is late or invalid.

        """
        answer: wire.UpstreamLine | Ending | None = None
        try:
            answer = await self._send_and_receive(connection)
        finally:
            if isinstance(answer, wire.Pong) and self._is_current():
                self._connection = connection
                self._descriptors.add_idle_probe(self._idle)
            else:
                await connection.close()
                self._descriptors.release_probe()
        return answer if isinstance(answer, wire.Pong | Ending) else None

    def _is_current(self) -> bool:
        """Return whether the connection can serve the next probe of this upstream."""
        return self._target.accepts_sessions and self._connected_to == self._target.address

    async def _send_and_receive(self, connection: LineConnection) -> wire.UpstreamLine | Ending | None:
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            request = wire.STATS if self._settings.probes_report_load else wire.PING
            if not await connection.send(request):
                return Ending.RESET
            line = await connection.line()
            return line if isinstance(line, Ending) else wire.parse_upstream_line(line)
        return None
