"""Watches the established sessions of an upstream for its silence, delayed messages and stalled clients."""

from __future__ import annotations

import statistics
from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import anyio
import structlog

from larchlatch.node.clock import now_us
from larchlatch.node.fault_barrier import FaultBarrier
from larchlatch.node.messages import DelayObserved, UpstreamUnresponsive

if TYPE_CHECKING:
    from larchlatch.node.session_record import SessionRecord
    from larchlatch.node.upstream_context import UpstreamContext, UpstreamTarget

CHECK_INTERVAL_S = 0.25  # short compared with the limits below
REPORT_INTERVAL_US = 1_000_000  # between two reports on the same upstream

# Limits: how long a state may last before the node acts as described.
UNRESPONSIVE_US = 500_000  # many round trips; an upstream that answers on no session for so long is reported
SILENCE_LIMIT_US = 1_500_000  # a session without an answer migrates; healthy upstreams answer at once
CLIENT_STALL_LIMIT_US = 10_000_000  # a client that does not read is disconnected
NODE_LAG_US = 500_000  # a longer time between two checks: this node was suspended or had no CPU time

# Delays.
DELAYS_KEPT = 256  # the last answers of one upstream, enough for a median over the report interval
REPORT_THRESHOLD_DIVISOR = 3  # a delay of more than one third of the strictest message objective is reported

log = structlog.get_logger()


class SessionWatchCounter(StrEnum):
    """Names of the counters of watches on sessions."""

    CHECK_FAILED = "session_check_failed"
    CLIENT_NOT_READING = "client_not_reading"
    DELAY_REPORTED = "delay_reported"
    NOT_JUDGED_NODE_LAG = "upstream_not_judged_node_lag"
    UNRESPONSIVE = "upstream_unresponsive"


class AnswerDelay(NamedTuple):
    """When a message was answered, and how long the answer took; both in microseconds."""

    at: int
    delay_us: int


class SessionWatch:
    """Watches the sessions that are established at one upstream.

    It reads no socket: the relay of each session reports the lines that the upstream sends.

    Attributes:
        sessions: the established sessions by number; the session handler adds and removes them.

    """

    def __init__(self, target: UpstreamTarget, context: UpstreamContext) -> None:
        self.sessions: dict[int, SessionRecord] = {}
        self._target = target
        self._settings = context.settings
        self._counters = context.counters
        self._post = context.post
        self._delays: deque[AnswerDelay] = deque(maxlen=DELAYS_KEPT)
        self._reported_at = 0
        self._reported_slow = False
        self._line_received_at = 0  # when the upstream last sent a line on any session
        self._checked_at = now_us()
        self._resumed_at = 0  # when this node last resumed after a suspension
        self._silent_at_last_check: set[int] = set()  # sessions over the silence limit then

    def line_received(self, record: SessionRecord) -> None:
        """Record that the upstream has sent a line on a session."""
        now = now_us()
        self._line_received_at = now
        self._notice_node_lag(now)
        if not record.awaiting_answer_since:
            return
        if record.awaiting_answer_since >= self._resumed_at:
            self._delays.append(AnswerDelay(now, now - record.awaiting_answer_since))
        record.awaiting_answer_since = 0

    async def run(self) -> None:
        """Check the sessions at each interval, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            with FaultBarrier(
                self._counters, counter=SessionWatchCounter.CHECK_FAILED, event="session_check_failed"
            ):
                await self._check(now_us())

    async def _check(self, now: int) -> None:
        self._notice_node_lag(now)
        self._checked_at = now
        waiting = {
            number: record
            for number, record in self.sessions.items()
            if record.awaiting_answer_since and not record.client_stalled_since and not record.upstream_silent
        }
        self._disconnect_stalled_clients(now)
        self._migrate_silent_sessions(now, waiting)
        if now >= self._reported_at + REPORT_INTERVAL_US or not self._reported_slow:
            await self._report_unresponsive(now, waiting)
        reports_delay = self._settings.reports_delay and self._settings.strictest_message_objective_us
        if reports_delay and now >= self._reported_at + REPORT_INTERVAL_US:
            self._reported_at = now
            await self._report_delay(now)

    def _notice_node_lag(self, now: int) -> None:
        # A node that was suspended has not read the answers that arrived meanwhile. Without this check it
        # would treat all upstreams as unresponsive or slow, migrate their sessions and shed clients.
        if now > self._checked_at + NODE_LAG_US:
            self._resumed_at = self._checked_at = now
            self._counters.add(SessionWatchCounter.NOT_JUDGED_NODE_LAG)

    def _waiting_since(self, record: SessionRecord) -> int:
        """Return since when a session waits for its upstream, or when this node resumed if that is later."""
        return max(record.awaiting_answer_since, self._resumed_at)

    def _disconnect_stalled_clients(self, now: int) -> None:
        # A stalled client occupies two descriptors, and memory for the data that waits to be sent to it.
        for record in self.sessions.values():
            stalled_since = record.client_stalled_since
            over_limit = stalled_since and now >= stalled_since + CLIENT_STALL_LIMIT_US
            if over_limit and not record.migration_requested.is_set():
                self._counters.add(SessionWatchCounter.CLIENT_NOT_READING)
                record.migration_requested.set()

    def _migrate_silent_sessions(self, now: int, waiting: dict[int, SessionRecord]) -> None:
        # If an upstream's machine fails, its connections are not reset: the sessions would stay open and
        # silent forever. A session has to exceed the limit at two checks in a row, because answers may still
        # be unread after this node was suspended.
        silent = {
            number
            for number, record in waiting.items()
            if now >= self._waiting_since(record) + SILENCE_LIMIT_US
        }
        for number in silent & self._silent_at_last_check:
            waiting[number].upstream_silent = True
            waiting[number].migration_requested.set()
        self._silent_at_last_check = silent

    async def _report_unresponsive(self, now: int, waiting: dict[int, SessionRecord]) -> None:
        unanswered_since = [
            self._waiting_since(record)
            for record in waiting.values()
            if record.awaiting_answer_since > self._line_received_at
        ]
        oldest = min(unanswered_since, default=now)
        if now < oldest + UNRESPONSIVE_US:
            return
        self._reported_at = now
        self._reported_slow = True
        self._counters.add(SessionWatchCounter.UNRESPONSIVE)
        log.debug(
            "upstream_unresponsive",
            upstream=self._target.name,
            silent_us=now - oldest,
            sessions=len(self.sessions),
        )
        await self._post(UpstreamUnresponsive(self._target.number))

    async def _report_delay(self, now: int) -> None:
        """Report the median message delay: at each interval while it is too long, and once afterwards."""
        if not self.sessions:
            return
        threshold_us = self._settings.strictest_message_objective_us // REPORT_THRESHOLD_DIVISOR
        answers = [answer.delay_us for answer in self._delays if answer.at > now - REPORT_INTERVAL_US]
        waits = self._pending_waits(now)
        delays = answers + [wait for wait in waits if wait > threshold_us]
        if not delays:
            return
        delay_us = int(statistics.median(delays))
        log.debug(
            "delay_observed",
            upstream=self._target.name,
            delay_us=delay_us,
            answers=len(delays),
            waits=len(waits),
            sessions=len(self.sessions),
        )
        if delay_us > threshold_us or self._reported_slow:
            self._reported_slow = delay_us > threshold_us
            self._counters.add(SessionWatchCounter.DELAY_REPORTED)
            await self._post(DelayObserved(next(iter(self.sessions.values())), delay_us))

    def _pending_waits(self, now: int) -> list[int]:
        """Return for how long each message without an answer has waited, in microseconds."""
        return [
            now - self._waiting_since(record)
            for record in self.sessions.values()
            if record.awaiting_answer_since and not record.client_stalled_since
        ]
