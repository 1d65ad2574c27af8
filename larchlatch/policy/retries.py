"""What further attempts are harmless, the final answer, and attempts that later ones have superseded."""

from dataclasses import dataclass, field
from random import Random

from larchlatch.policy.types import Answer, DedupScope, DeploymentSettings, Fail, Idempotency, Session, Shed
from larchlatch.policy.upstream import Fleet, Upstream

RETRY_AFTER_US = 200_000  # the least wait advised to a shed client: longer than one round of further attempts
SUPERSEDED_CHECK_US = 250_000  # between two checks for superseded attempts: short against latency objectives


@dataclass(eq=False)
class Retries:
    """Keeps effects from happening twice; owns the attempts in flight, in the order of their sending."""

    settings: DeploymentSettings
    fleet: Fleet
    random: Random
    in_flight: dict[int, Session] = field(default_factory=dict)
    established_sent_at: int = 0  # when the latest attempt was sent that has established its session
    check_at: int = 0

    def may_retry(self, now: int, session: Session, upstream: Upstream) -> bool:
        """Return whether an attempt at an upstream cannot make the session's effect happen twice."""
        traffic_class = self.settings.class_of(session)
        if session.maybe_executed_at < 0 or traffic_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        # An earlier attempt may have run: a second run elsewhere, or after its scope forgets, counts twice.
        if traffic_class.idempotency is Idempotency.NON_IDEMPOTENT or now >= session.repeat_until:
            return False
        first = self.fleet.upstreams[session.maybe_executed_upstream]
        if traffic_class.dedup_scope is DedupScope.ZONE:
            return upstream.zone == first.zone
        return traffic_class.dedup_scope is DedupScope.ALL or upstream.cell == first.cell

    def final_answer(self, now: int, session: Session, least_wait_us: int = RETRY_AFTER_US) -> Answer:
        """Return the one final answer of a session that will not be established."""
        traffic_class = self.settings.class_of(session)
        harmless = traffic_class.idempotency is Idempotency.IDEMPOTENT
        if traffic_class.idempotency is Idempotency.KEYED and traffic_class.dedup_scope is DedupScope.ALL:
            harmless = now < session.repeat_until
        # Shed says that trying again is harmless: never of a session whose second run would count twice.
        if session.maybe_executed_at >= 0 and not harmless:
            return Fail()
        retry_after_us = int(self.random.uniform(least_wait_us, 2 * least_wait_us))
        return Shed(min(self.settings.max_retry_after_us, retry_after_us))

    def superseded(self, now: int) -> list[int]:
        """Return sessions to be hedged elsewhere: one sent an objective after theirs is established."""
        # What all depend on would hold those up too; an upstream that has lost an attempt never answers it.
        # By less than an objective a queue may hand attempts over in another order.
        if now < self.check_at:
            return []
        self.check_at = now + SUPERSEDED_CHECK_US
        superseded = []
        for session in self.in_flight.values():
            traffic_class = self.settings.class_of(session)
            lead_us = self.established_sent_at - session.sent_at
            if lead_us <= 0:
                break
            repeatable = traffic_class.idempotency is Idempotency.IDEMPOTENT
            overtaken = repeatable and lead_us >= traffic_class.latency_objective_us
            if overtaken and session.attempt_count < self.settings.max_attempts:
                superseded.append(session)
        for session in superseded:
            del self.in_flight[session.number]
            self.fleet.upstreams[session.upstream].backoff.record(now, session.sent_at, succeeded=False)
        return [session.number for session in superseded]
