"""Probes: health checks of one upstream, which may carry its load report."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog

from larchlatch.node.clock import now_us
from larchlatch.node.messages import Post, ProbeFinished
from larchlatch.node.wire import lines as wire
from larchlatch.node.wire.dialing import Unconnected, connect
from larchlatch.node.wire.stream import Ending, Lines

if TYPE_CHECKING:
    from larchlatch.config.upstream import UpstreamSettings
    from larchlatch.node.descriptor_budget import DescriptorBudget
    from larchlatch.node.metrics import Counters
    from larchlatch.node.upstream_target import UpstreamTarget

ANSWER_TIMEOUT_S = 0.4  # an answer takes a round trip; by then the next probe is nearly due

# Counters.
PROBE_ALREADY_RUNNING = "probe_already_running"
PROBE_ANSWERED = "probe_answered"
PROBE_FAILED = "probe_failed"

log = structlog.get_logger()


class Prober:
    """Probes one upstream over a connection that it keeps from probe to probe, and owns."""

    def __init__(
        self,
        target: UpstreamTarget,
        settings: UpstreamSettings,
        descriptors: DescriptorBudget,
        counters: Counters,
        post: Post,
    ) -> None:
        self._target = target
        self._settings = settings
        self._descriptors = descriptors
        self._counters = counters
        self._post = post
        self._running = False
        self._connection: Lines | None = None

    async def run(self) -> None:
        """Probe once and report the result; do nothing while a probe is under way."""
        # Two at once would read from the one connection, which would end the node. An upstream that does not
        # answer holds a probe for longer than others may want the next one: its result serves both.
        if self._running:
            self._counters.add(PROBE_ALREADY_RUNNING)
            return
        started_at = now_us()
        self._running = True
        try:
            report = await self.query()
        finally:
            self._running = False
        await self._finish(report, us=now_us() - started_at)

    async def _finish(self, report: wire.Pong | None, *, us: int) -> None:
        answered = report is not None
        utilization, session_count = report if report is not None else (None, None)
        self._counters.add(PROBE_ANSWERED if answered else PROBE_FAILED)
        log.debug(
            "probe_finished",
            upstream=self._target.name,
            answered=answered,
            utilization=utilization,
            session_count=session_count,
            us=us,
        )
        await self._post(ProbeFinished(self._target.number, answered, utilization, session_count))

    async def query(self) -> wire.Pong | None:
        """Send one probe, connecting if need be; return the answer, or None if there is none."""
        if self._connection is not None:
            answer = await self._exchange(self._connection)
            # A connection kept from the last probe may have died unseen: that says nothing of the upstream
            # now, so a new one is tried.
            if not isinstance(answer, Ending):
                return answer
        connection = await self._connect()
        if connection is None:
            return None
        answer = await self._exchange(connection)
        return None if isinstance(answer, Ending) else answer

    async def _connect(self) -> Lines | None:
        connection = await connect(self._target.address, self._settings.connect_timeout_us / 1e6)
        if isinstance(connection, Unconnected):
            return None
        self._connection = connection
        # Charged beside sessions and clients: many upstreams would use up the reserve.
        self._descriptors.lend(1)
        return connection

    async def _exchange(self, connection: Lines) -> wire.Pong | Ending | None:
        """Probe over a connection, and give it up if the answer is not a report.

        Returns:
            The report; how the connection ended, if it did; None if the answer is late or not understood.

        """
        answer = await self._send_and_receive(connection)
        if isinstance(answer, wire.Pong):
            return answer
        self._connection = None
        self._descriptors.lend(-1)
        await connection.close()
        return answer if isinstance(answer, Ending) else None

    async def _send_and_receive(self, connection: Lines) -> wire.UpstreamLine | Ending | None:
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            request = wire.STATS if self._settings.probes_report_load else wire.PING
            if not await connection.send(request):
                return Ending.RESET
            line = await connection.line()
            return line if isinstance(line, Ending) else wire.parse_upstream_line(line)
        return None
