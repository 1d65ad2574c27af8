"""Updates upstream records and the node's backoff by the outcomes of attempts, sessions and probes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from larchlatch.policy.backoff import BACKOFF_US, RESET_BACKOFF_US, RESET_TRIAL_INTERVAL_US
from larchlatch.policy.load import running_mean
from larchlatch.policy.types import NEVER_RAN, Outcome

if TYPE_CHECKING:
    from larchlatch.policy.backoff import Backoff
    from larchlatch.policy.load import LoadEstimator
    from larchlatch.policy.migration import Migration
    from larchlatch.policy.retries import Retries
    from larchlatch.policy.ring import UpstreamRing
    from larchlatch.policy.slow_start import SlowStart
    from larchlatch.policy.types import DeploymentSettings, ProbeResult, Session
    from larchlatch.policy.upstream import Fleet, Upstream

# Outcomes that are recorded in the node's backoff, as they show the state of what all attempts depend on. A
# failed connection shows only the state of one upstream or of its network.
RECORDED_FOR_NODE = frozenset(
    {Outcome.COMPLETED, Outcome.REJECTED, Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET}
)
# Outcomes that tell nothing about the upstream.
IGNORED_FOR_UPSTREAM = frozenset({Outcome.NOT_SENT, Outcome.CANCELLED})

STABLE_AFTER_US = 1_000_000  # an established session is a success after this time: overload resets it sooner


@dataclass(eq=False)
class OutcomeRecorder:
    """Records how attempts and sessions end, and owns the list of recently established sessions.

    Attributes:
        settings: The deployment settings.
        fleet: All upstreams.
        node_backoff: Spaces out the attempts of this node at all upstreams.
        ring: Counts established sessions by affinity key.
        load: Penalizes upstreams that reset sessions.
        retries: Keeps the attempts in flight.
        recently_established: Established sessions that do not count as successes yet, oldest first.
        mean_setup_us: Running mean of the time from sending an attempt to its establishment.
    """

    settings: DeploymentSettings
    fleet: Fleet
    node_backoff: Backoff
    ring: UpstreamRing
    load: LoadEstimator
    retries: Retries
    recently_established: deque[Session] = field(default_factory=deque)
    mean_setup_us: float = 0.0

    def record_established(self, now: int, session: Session) -> None:
        """Record that the attempt in flight has established its session."""
        upstream = self.fleet.upstreams[session.upstream]
        self.retries.attempt_ended(session)
        self.retries.record_established(session)
        self.mean_setup_us = running_mean(self.mean_setup_us, now - session.sent_at)
        session.attempt_established(now)
        upstream.unreachable = False
        self.recently_established.append(session)
        self.ring.record_established(session)

    def record_end(self, now: int, session: Session, outcome: Outcome) -> None:
        """Record the outcome that ended an attempt or an established session."""
        upstream = self.fleet.upstreams[session.upstream]
        self.retries.attempt_ended(session)
        self.fleet.schedule_check_now(now)
        upstream.remove(session)
        self._record_for_upstream(now, session, upstream, outcome)
        if outcome in RECORDED_FOR_NODE and not _is_stable(now, session):
            succeeded = outcome is Outcome.COMPLETED
            self.node_backoff.record(now, session.sent_at, succeeded=succeeded)
        session.attempt_ended()
        if outcome not in NEVER_RAN:
            session.attempt_may_have_run(self.settings.class_of(session))

    def record_stable_sessions(self, now: int) -> None:
        """Record the sessions that have stayed established for `STABLE_AFTER_US` in the backoffs.

        Establishment alone is not a success, as an overloaded upstream establishes sessions and soon resets
        them.
        """
        while (
            self.recently_established and now >= self.recently_established[0].established_at + STABLE_AFTER_US
        ):
            session = self.recently_established.popleft()
            if session.established:
                self._record_stable_session(now, session)

    def _record_stable_session(self, now: int, session: Session) -> None:
        upstream = self.fleet.upstreams.get(session.upstream)
        if upstream is None:
            # Its client has left since, and its upstream has been forgotten before the next placement.
            return
        succeeded = now >= upstream.slow_until
        upstream.backoff.record(now, session.established_at, succeeded=succeeded)
        self.node_backoff.record(now, session.established_at, succeeded=succeeded)

    def _record_for_upstream(self, now: int, session: Session, upstream: Upstream, outcome: Outcome) -> None:
        backoff = upstream.backoff
        if outcome is Outcome.RESET:
            self.load.penalize(now, upstream)
            longest_us = self._longest_reset_backoff_us(upstream)
            backoff.escalate(now, session.sent_at, least_us=RESET_BACKOFF_US, longest_us=longest_us)
        elif outcome is Outcome.REJECTED:
            backoff.escalate(now, session.sent_at, least_us=BACKOFF_US, longest_us=backoff.longest_us)
        elif not session.established and outcome not in IGNORED_FOR_UPSTREAM:
            upstream.unreachable = outcome is Outcome.CONNECT_FAILED
            backoff.record(now, session.sent_at, succeeded=outcome is Outcome.COMPLETED)

    def _longest_reset_backoff_us(self, upstream: Upstream) -> int:
        """Return the upper bound of an upstream's backoff after resets, in microseconds.

        It grows with the number of nodes, as each of them sends the upstream attempts after its own backoff.
        """
        return max(upstream.backoff.longest_us, RESET_TRIAL_INTERVAL_US * self.settings.nodes)


@dataclass(eq=False)
class ProbeRecorder:
    """Records the results of probes in upstream records, and has no state of its own.

    Attributes:
        fleet: All upstreams.
        slow_start: Derives capacities from load reports.
        migration: Marks upstreams slow whose load reports show overload.
    """

    fleet: Fleet
    slow_start: SlowStart
    migration: Migration

    def record(self, now: int, upstream: Upstream, probe: ProbeResult) -> None:
        """Record the result of a probe of an upstream."""
        upstream.unreachable = not probe.answered
        if upstream.unreachable and now < upstream.unresponsive_until:
            self.fleet.schedule_check_now(now)
        if not probe.answered or upstream.backoff.delay_us:
            upstream.backoff.record(now, upstream.probed_at, succeeded=probe.answered)
        if probe.utilization is not None:
            upstream.load_reported(now, probe.utilization)
            self.slow_start.record_capacity(now, upstream, probe.sessions or 0.0)
            self.migration.check_report(now, upstream)


def _is_stable(now: int, session: Session) -> bool:
    """Return whether a session was established so long ago that its end tells nothing about new sessions."""
    return session.established and now >= session.established_at + STABLE_AFTER_US
