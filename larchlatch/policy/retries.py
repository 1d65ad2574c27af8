"""Which further attempts are harmless, the final answer, and attempts that later ones have superseded."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from larchlatch.policy.types import Answer, DedupScope, Fail, Idempotency, Shed

if TYPE_CHECKING:
    from random import Random

    from larchlatch.policy.types import DeploymentSettings, Session, TrafficClass
    from larchlatch.policy.upstream import Fleet, Upstream

RETRY_AFTER_US = 200_000  # least wait advised to a shed client: longer than a round of further attempts
SUPERSEDED_CHECK_US = 250_000  # between two checks for superseded attempts: short against latency objectives


@dataclass(eq=False)
class Retries:
    """Keeps the effect of a session from happening twice; owns the attempts in flight.

    Attributes:
        settings: The deployment settings.
        fleet: All upstreams.
        random: The source of random draws.
        in_flight: The sessions with an attempt in flight by number, in the order of sending.
        established_sent_at: When the latest attempt was sent that has established its session.
        check_at: When to look for superseded attempts again, in microseconds.
    """

    settings: DeploymentSettings
    fleet: Fleet
    random: Random
    in_flight: dict[int, Session] = field(default_factory=dict)
    established_sent_at: int = 0
    check_at: int = 0

    def attempt_sent(self, session: Session) -> None:
        """Record that an attempt of a session is in flight."""
        self.in_flight[session.number] = session

    def attempt_ended(self, session: Session) -> None:
        """Record that a session has no attempt in flight any more."""
        self.in_flight.pop(session.number, None)

    def record_established(self, session: Session) -> None:
        """Record that the last attempt of a session has established it."""
        self.established_sent_at = max(self.established_sent_at, session.sent_at)

    def may_retry(self, now: int, session: Session, upstream: Upstream) -> bool:
        """Return whether an attempt at an upstream can't make the session's effect happen twice."""
        traffic_class = self.settings.class_of(session)
        if session.maybe_executed_at < 0 or traffic_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if traffic_class.idempotency is Idempotency.NON_IDEMPOTENT or now >= session.repeat_until:
            return False
        first_upstream = self.fleet.upstreams[session.maybe_executed_upstream]
        return _share_dedup_scope(traffic_class.dedup_scope, upstream, first_upstream)

    def final_answer(self, now: int, session: Session, least_wait_us: int = RETRY_AFTER_US) -> Answer:
        """Return the one final answer of a session that will not be established.

        Args:
            now: The present time in microseconds.
            session: The session.
            least_wait_us: The least wait advised to its client if it is shed, in microseconds.
        """
        if session.maybe_executed_at >= 0 and not self._is_harmless_anywhere(now, session):
            return Fail()
        retry_after_us = int(self.random.uniform(least_wait_us, 2 * least_wait_us))
        return Shed(min(self.settings.max_retry_after_us, retry_after_us))

    def superseded(self, now: int) -> list[int]:
        """Return the sessions whose attempts are cancelled now, to be sent to another upstream.

        An upstream that has lost an attempt never answers it. Its client would wait until the deadline.
        """
        if now < self.check_at:
            return []
        self.check_at = now + SUPERSEDED_CHECK_US
        superseded = self._superseded_sessions()
        for session in superseded:
            self.attempt_ended(session)
            self.fleet.upstreams[session.upstream].backoff.record(now, session.sent_at, succeeded=False)
        return [session.number for session in superseded]

    def _superseded_sessions(self) -> list[Session]:
        superseded = []
        for session in self.in_flight.values():
            lead_us = self.established_sent_at - session.sent_at
            if lead_us <= 0:
                break
            if self._is_superseded(session, lead_us):
                superseded.append(session)
        return superseded

    def _is_superseded(self, session: Session, lead_us: int) -> bool:
        """Return whether an attempt sent at least a latency objective later has established its session.

        What all attempts depend on would delay that one as well. By less than the objective, a queue may
        answer in another order.
        """
        traffic_class = self.settings.class_of(session)
        return (
            traffic_class.idempotency is Idempotency.IDEMPOTENT
            and lead_us >= traffic_class.latency_objective_us
            and session.attempt_count < self.settings.max_attempts
        )

    def _is_harmless_anywhere(self, now: int, session: Session) -> bool:
        """Return whether a second run cannot count twice, whatever upstream the client's next try reaches."""
        traffic_class = self.settings.class_of(session)
        if _is_deduplicated_everywhere(traffic_class):
            return now < session.repeat_until
        return traffic_class.idempotency is Idempotency.IDEMPOTENT


def _is_deduplicated_everywhere(traffic_class: TrafficClass) -> bool:
    return traffic_class.idempotency is Idempotency.KEYED and traffic_class.dedup_scope is DedupScope.ALL


def _share_dedup_scope(scope: DedupScope, upstream: Upstream, other: Upstream) -> bool:
    """Return whether an upstream discards the repeat of an attempt that another one may have run."""
    match scope:
        case DedupScope.ALL:
            return True
        case DedupScope.ZONE:
            return upstream.zone == other.zone
        case DedupScope.CELL:
            return upstream.cell == other.cell
