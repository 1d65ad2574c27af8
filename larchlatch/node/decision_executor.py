"""Carries out the decisions of the balancer: attempts, holds, final answers, probes and migrations."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import structlog

from larchlatch.node.session_record import Failed, Shed
from larchlatch.node.upstream_actor import StartAttempt, StartProbe
from larchlatch.policy import types

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from larchlatch.node.held_sessions import HeldSessions
    from larchlatch.node.metrics import Counters
    from larchlatch.node.other_nodes import ClusterAdapter
    from larchlatch.node.session_record import SessionRecord
    from larchlatch.node.upstream_registry import UpstreamRegistry

log = structlog.get_logger()


class DecisionCounter(StrEnum):
    """Names of the counters of decisions that were carried out."""

    ATTEMPTS_SENT = "attempts_sent"
    MIGRATIONS_DUE = "migrations_due"
    SUPERSEDED_ATTEMPTS_CANCELLED = "superseded_attempts_cancelled"


class DecisionExecutor:
    """Turns decisions into orders to upstream actors and into final answers, and waits for neither."""

    def __init__(
        self,
        records: dict[int, SessionRecord],
        held: HeldSessions,
        upstreams: UpstreamRegistry,
        cluster: ClusterAdapter,
        counters: Counters,
    ) -> None:
        """Prepare to carry decisions out.

        Args:
            records: the sessions in flight or established, by number; one that is shed or fails is removed.
            held: the queue of sessions that wait to be placed again.
            upstreams: the upstreams that this node knows, whose actors receive orders.
            cluster: the cluster, from which slow-start tokens are requested.
            counters: where decisions are counted.

        """
        self._records = records
        self._held = held
        self._upstreams = upstreams
        self._cluster = cluster
        self._counters = counters

    def carry_out(
        self, record: SessionRecord, answer: types.Answer, report_not_sent: Callable[[], types.Answer]
    ) -> None:
        """Carry out the balancer's decision on a session.

        Args:
            record: the session.
            answer: the balancer's decision.
            report_not_sent: tells the balancer that the attempt was not sent, and returns its next decision.

        """
        while isinstance(answer, types.Forward) and not self._offer_attempt(record, answer):
            answer = report_not_sent()
        match answer:
            case types.Forward():
                self._counters.add(DecisionCounter.ATTEMPTS_SENT)
            case types.Hold(until, token_candidates):
                self._held.add(record.session.number, retry_at=until)
                self._cluster.request_token(record.session.number, token_candidates)
            case types.Shed(retry_after_us):
                self._finish(record, Shed(retry_after_us))
            case types.Fail():
                self._finish(record, Failed())

    def start_probes(self, upstreams: Iterable[int]) -> list[int]:
        """Order a probe of each upstream; return the upstreams whose actors' mailboxes are full."""
        actor = self._upstreams.actor
        return [upstream for upstream in upstreams if not actor(upstream).offer(StartProbe())]

    def migrate(self, session_numbers: Iterable[int]) -> None:
        """Request the migration of established sessions, by their numbers."""
        for number in session_numbers:
            self._counters.add(DecisionCounter.MIGRATIONS_DUE)
            record = self._records.get(number)
            if record is not None:
                log.debug("migration_requested", key=record.opening.key)
                record.migration_requested.set()

    def cancel_superseded(self, session_numbers: Iterable[int]) -> None:
        """Cancel the attempts of these sessions, as attempts sent much later have been established."""
        for number in session_numbers:
            record = self._records.get(number)
            if record is not None and record.attempt_scope is not None:
                self._counters.add(DecisionCounter.SUPERSEDED_ATTEMPTS_CANCELLED)
                record.attempt_scope.cancel()

    def _offer_attempt(self, record: SessionRecord, answer: types.Forward) -> bool:
        return self._upstreams.actor(answer.upstream).offer(StartAttempt(record, answer.give_up_at))

    def _finish(self, record: SessionRecord, answer: Shed | Failed) -> None:
        del self._records[record.session.number]
        record.set_final_answer(answer)
