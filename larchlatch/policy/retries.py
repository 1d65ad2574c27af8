"""Decides which further attempts are safe, which attempts are cancelled, and a session's final answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from larchlatch.policy.types import UNKNOWN_PLACE, Answer, DedupScope, Fail, Idempotency, Shed

if TYPE_CHECKING:
    from random import Random

    from larchlatch.policy.types import DeploymentSettings, Session, TrafficClass
    from larchlatch.policy.upstream import Fleet, Upstream

RETRY_AFTER_US = 200_000  # shortest wait advised to a shed client; longer than a round of further attempts
MAX_WRITE_DELAY_US = 150_000  # longest time for which a node is held up between reading its clock and writing
MAX_TRANSIT_US = 20_000  # longest transit time of a request line to an upstream in another zone

SUPERSEDED_CHECK_US = 250_000  # time between two checks; short compared with latency objectives


@dataclass(eq=False)
class Retries:
    """Prevents a session from taking effect twice, and owns the list of attempts in flight.

    Attributes:
        settings: The deployment settings.
        fleet: All upstreams.
        random: The source of random draws.
        in_flight: The sessions with an attempt in flight by number, in the order of sending.
        established_sent_at: The latest time at which an attempt was sent that established its session, in
            microseconds.
        check_at: When the next check for superseded attempts is due, in microseconds.
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
        """Record that a session no longer has an attempt in flight."""
        self.in_flight.pop(session.number, None)

    def record_established(self, session: Session) -> None:
        """Record that the last attempt of a session has established it."""
        self.established_sent_at = max(self.established_sent_at, session.sent_at)

    def may_retry(self, now: int, session: Session, upstream: Upstream) -> bool:
        """Return whether an attempt at an upstream is safe: it can't make the session take effect twice."""
        traffic_class = self.settings.class_of(session)
        if session.maybe_executed_at < 0 or traffic_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if traffic_class.idempotency is Idempotency.NON_IDEMPOTENT or now >= session.repeat_until:
            return False
        first_upstream = self.fleet.upstreams[session.maybe_executed_upstream]
        return _share_dedup_scope(traffic_class.dedup_scope, upstream, first_upstream)

    def final_answer(self, now: int, session: Session, min_retry_after_us: int = RETRY_AFTER_US) -> Answer:
        """Return the one final answer of a session that will not be established.

        Args:
            now: The present time in microseconds.
            session: The session.
            min_retry_after_us: The shortest wait to advise if the session is shed, in microseconds.
        """
        if session.maybe_executed_at >= 0 and not self._is_retry_safe_anywhere(now, session):
            return Fail()
        retry_after_us = int(self.random.uniform(min_retry_after_us, 2 * min_retry_after_us))
        return Shed(min(self.settings.max_retry_after_us, retry_after_us))

    def superseded(self, now: int) -> list[int]:
        """Return the numbers of the sessions whose attempts are cancelled now, to be repeated elsewhere.

        An upstream that has lost an attempt never answers it, so the client would wait until its deadline.
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
        """Return whether an attempt is superseded and may be repeated.

        It is superseded if an attempt sent at least a latency objective later has already established its
        session. A dependency that all attempts share would have delayed that one as well. If it was sent
        less than that later, a queue may simply have answered in another order.

        Args:
            session: The session with the attempt in flight.
            lead_us: How much later the latest successful attempt was sent, in microseconds.
        """
        traffic_class = self.settings.class_of(session)
        return (
            traffic_class.idempotency is Idempotency.IDEMPOTENT
            and lead_us >= traffic_class.latency_objective_us
            and session.attempt_count < self.settings.max_attempts
        )

    def _is_retry_safe_anywhere(self, now: int, session: Session) -> bool:
        """Return whether the client may safely retry, whichever upstream its next request reaches."""
        traffic_class = self.settings.class_of(session)
        if _is_deduplicated_everywhere(traffic_class):
            return now < session.repeat_until
        return traffic_class.idempotency is Idempotency.IDEMPOTENT


def is_repeat_recognized(now: int, session: Session) -> bool:
    """Return whether upstreams recognize a repeat that is written next, whenever it arrives.

    To an upstream that no longer recognizes it, the repeat is a new request, which it would run again. True
    for a session without an attempt that may have run.

    Args:
        now: The present time in microseconds.
        session: The session.
    """
    return now + MAX_WRITE_DELAY_US + MAX_TRANSIT_US < session.repeat_until


def _is_deduplicated_everywhere(traffic_class: TrafficClass) -> bool:
    return traffic_class.idempotency is Idempotency.KEYED and traffic_class.dedup_scope is DedupScope.ALL


def _share_dedup_scope(scope: DedupScope, upstream: Upstream, other: Upstream) -> bool:
    """Return whether an upstream discards the repeat of an attempt that was sent to another one before.

    Upstreams of unknown zones or cells may be in different ones, so only the same upstream certainly does.
    """
    if upstream is other:
        return True
    match scope:
        case DedupScope.ALL:
            return True
        case DedupScope.ZONE:
            return upstream.zone == other.zone != UNKNOWN_PLACE
        case DedupScope.CELL:
            return upstream.cell == other.cell != UNKNOWN_PLACE
