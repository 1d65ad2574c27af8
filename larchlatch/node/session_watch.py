"""The watch on an upstream's established sessions: silence, delays of messages, and clients that stall."""

from __future__ import annotations

import statistics
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import anyio
import structlog

from larchlatch.node.clock import now_us
from larchlatch.node.messages import DelayObserved, Post, UpstreamUnresponsive

if TYPE_CHECKING:
    from larchlatch.config.upstream import UpstreamSettings
    from larchlatch.node.metrics import Counters
    from larchlatch.node.session_record import SessionRecord
    from larchlatch.node.upstream_target import UpstreamTarget

CHECK_INTERVAL_S = 0.25  # short against the silence that counts
# A check that comes so long after the last one shows that this node was stopped, or had no processor.
NODE_LAG_US = 500_000
REPORT_INTERVAL_US = 1_000_000  # delays are reported once a second
SILENCE_LIMIT_US = 1_500_000  # a session without an answer for so long migrates: sound ones get one at once
CLIENT_STALL_LIMIT_US = 10_000_000  # a client that reads nothing for so long is cut off: sound ones read
# No answer on any session for so long is reported at once: that is many round trips between zones.
UNRESPONSIVE_US = 500_000
DELAYS_KEPT = 256  # answers of the last second are looked at: more tell nothing new of their median
REPORTED_SHARE = 3  # delays over a third of the strictest objective are reported

# Counters.
CLIENT_NOT_READING = "client_not_reading"
DELAY_REPORTED = "delay_reported"
UPSTREAM_NOT_JUDGED_NODE_LAG = "upstream_not_judged_node_lag"
UPSTREAM_UNRESPONSIVE = "upstream_unresponsive"

log = structlog.get_logger()


class AnswerDelay(NamedTuple):
    """When a message was answered, and how long the answer took; both in microseconds."""

    at: int
    delay_us: int


class SessionWatch:
    """Watches the sessions that are established at one upstream.

    It reads no socket itself: the relay of each session tells it what comes back.

    Attributes:
        sessions: the established sessions by number; whoever relays a session adds and removes it.

    """

    def __init__(
        self,
        target: UpstreamTarget,
        settings: UpstreamSettings,
        counters: Counters,
        post: Post,
    ) -> None:
        self.sessions: dict[int, SessionRecord] = {}
        self._target = target
        self._settings = settings
        self._counters = counters
        self._post = post
        self._delays: deque[AnswerDelay] = deque(maxlen=DELAYS_KEPT)
        self._reported_at = 0
        self._reported_slow = False
        self._line_received_at = 0  # on any of the sessions
        self._checked_at = now_us()
        self._resumed_at = 0  # when this node went on after a lag of its own
        self._suspects: set[int] = set()  # sessions that were over the limit of silence at the last check

    def line_received(self, record: SessionRecord) -> None:
        """Note that the upstream has sent a line on a session."""
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
            await self._check(now_us())

    async def _check(self, now: int) -> None:
        self._notice_node_lag(now)
        self._checked_at = now
        waiting = {
            number: record
            for number, record in self.sessions.items()
            if record.awaiting_answer_since and not record.client_stalled_since and not record.upstream_silent
        }
        self._cut_off_stalled_clients(now)
        self._migrate_silent_sessions(now, waiting)
        if now >= self._reported_at + REPORT_INTERVAL_US or not self._reported_slow:
            await self._report_unresponsive(now, waiting)
        reports_delay = self._settings.reports_delay and self._settings.strictest_message_objective_us
        if reports_delay and now >= self._reported_at + REPORT_INTERVAL_US:
            self._reported_at = now
            await self._report_delay(now)

    def _notice_node_lag(self, now: int) -> None:
        # A node that was stopped has not read what upstreams answered meanwhile. It would take them all for
        # unresponsive or slow, migrate their sessions and shed clients: but the silence was its own.
        if now > self._checked_at + NODE_LAG_US:
            self._resumed_at = self._checked_at = now
            self._counters.add(UPSTREAM_NOT_JUDGED_NODE_LAG)

    def _waiting_since(self, record: SessionRecord) -> int:
        """Return since when the upstream owes a session its answer."""
        return max(record.awaiting_answer_since, self._resumed_at)

    def _cut_off_stalled_clients(self, now: int) -> None:
        # Such a client holds two descriptors and the memory of what waits for it.
        for record in self.sessions.values():
            stalled_since = record.client_stalled_since
            over_limit = stalled_since and now >= stalled_since + CLIENT_STALL_LIMIT_US
            if over_limit and not record.migration_requested.is_set():
                self._counters.add(CLIENT_NOT_READING)
                record.migration_requested.set()

    def _migrate_silent_sessions(self, now: int, waiting: dict[int, SessionRecord]) -> None:
        # An upstream that has vanished resets nothing: its sessions would stay open and silent for good. Each
        # has to be over the limit at two checks: after a lag of this node, answers lie here unread.
        silent = {
            number
            for number, record in waiting.items()
            if now >= self._waiting_since(record) + SILENCE_LIMIT_US
        }
        for number in silent & self._suspects:
            waiting[number].upstream_silent = True
            waiting[number].migration_requested.set()
        self._suspects = silent

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
        self._counters.add(UPSTREAM_UNRESPONSIVE)
        log.debug(
            "upstream_unresponsive",
            upstream=self._target.name,
            us=now - oldest,
            sessions=len(self.sessions),
        )
        await self._post(UpstreamUnresponsive(self._target.number))

    async def _report_delay(self, now: int) -> None:
        """Report what a message takes now: each second while that is long, and once when it is over."""
        if not self.sessions:
            return
        threshold_us = self._settings.strictest_message_objective_us // REPORTED_SHARE
        answers = [answer.delay_us for answer in self._delays if answer.at > now - REPORT_INTERVAL_US]
        waits = self._pending_waits(now)
        delays = answers + [wait for wait in waits if wait > threshold_us]
        if not delays:
            return
        delay_us = int(statistics.median(delays))
        log.debug(
            "delay_observed",
            upstream=self._target.name,
            us=delay_us,
            answers=len(delays),
            waits=len(waits),
            sessions=len(self.sessions),
        )
        if delay_us > threshold_us or self._reported_slow:
            self._reported_slow = delay_us > threshold_us
            self._counters.add(DELAY_REPORTED)
            await self._post(DelayObserved(next(iter(self.sessions.values())), delay_us))

    def _pending_waits(self, now: int) -> list[int]:
        """Return for how long each message has waited that has no answer yet, in microseconds."""
        return [
            now - self._waiting_since(record)
            for record in self.sessions.values()
            if record.awaiting_answer_since and not record.client_stalled_since
        ]
