"""The balancer of a node: one object that its callers ask and report to. The package says how to call it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.policy.backoff import LONGEST_NODE_BACKOFF_US, NODE_TRIAL_INTERVAL_US, Backoff
from larchlatch.policy.load import LoadEstimator, running_mean
from larchlatch.policy.migration import Migration
from larchlatch.policy.outcomes import OutcomeRecorder, ProbeRecorder
from larchlatch.policy.placement import Placement
from larchlatch.policy.probing import DiscoveryPolling, Probing
from larchlatch.policy.retries import Retries
from larchlatch.policy.ring import UpstreamRing
from larchlatch.policy.selection import UpstreamSelector
from larchlatch.policy.slow_start import SlowStart
from larchlatch.policy.types import Answer, DueActions, Nothing, Outcome
from larchlatch.policy.upstream import Fleet

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from larchlatch.policy.types import DeploymentSettings, Endpoint, ProbeResult, Session, Token

CHECK_INTERVAL_US = 1_000_000  # upstreams are checked for what is due at least once in this


class Balancer:
    """Makes the deciding parts, and passes calls on to them.

    Attributes:
        settings: The deployment settings.
        random: The source of all random draws.
        fleet: What is known of upstreams.
        node_backoff: Spaces the attempts of this node at all upstreams.
        ring: The hash ring.
        slow_start: What upstreams in slow start may take.
        load: Load estimates.
        retries: Which attempts are harmless, and final answers.
        probing: When upstreams are probed.
        polling: When the endpoint list is polled.
        selector: The choice among candidates.
        migration: Which sessions migrate.
        placement: Where a session goes.
        outcomes: What outcomes mean.
        probes: What results of probes mean.
    """

    def __init__(self, settings: DeploymentSettings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.fleet = fleet = Fleet()
        self.node_backoff = Backoff.of_node()
        self.ring = UpstreamRing(settings, fleet, random)
        self.slow_start = SlowStart(settings, fleet, self.ring)
        self.load = LoadEstimator(settings, fleet, self.slow_start)
        self.retries = Retries(settings, fleet, random)
        self.probing = Probing(settings, fleet)
        self.polling = DiscoveryPolling(settings, random)
        self.selector = UpstreamSelector(fleet, self.ring, self.load, self.slow_start, random)
        self.migration = Migration(settings, fleet, self.selector, self.node_backoff, random)
        self.placement = Placement(
            settings, self.node_backoff, self.selector, self.slow_start, self.retries, self.probing, random
        )
        self.outcomes = OutcomeRecorder(
            settings, fleet, self.node_backoff, self.ring, self.load, self.retries
        )
        self.probes = ProbeRecorder(fleet, self.slow_start, self.migration)

    def place(self, now: int, session: Session) -> Answer:
        """Return an upstream for a session, or that it is held, or its final answer."""
        if session.attempt_in_flight or session.established:
            return Nothing()
        self.outcomes.credit_settled(now)
        return self.placement.place(now, session)

    def outcome(self, now: int, session: Session, outcome: Outcome, *, answered: bool = False) -> Answer:
        """Record how a session or its attempt ended, and return what to do next.

        Args:
            now: The present time in microseconds.
            session: The session.
            outcome: What became of its attempt, or of the established session.
            answered: Whether its client has its final answer, so that nothing is left to do.
        """
        if outcome is Outcome.ESTABLISHED:
            self.outcomes.record_established(now, session)
            return Nothing()
        self.outcomes.record_end(now, session, outcome)
        return Nothing() if answered else self.place(now, session)

    def wait(self, now: int) -> DueActions:
        """Return what falls due now, and how long until the next does."""
        fleet = self.fleet
        probes: list[int] = []
        migrations: list[int] = []
        superseded: list[int] = []
        # This is called after every event, and checks all upstreams only if one may have something due.
        if now >= fleet.next_check_at:
            fleet.next_check_at = now + CHECK_INTERVAL_US
            probes = self.probing.due(now)
            migrations = self.migration.due(now)
        wait_us = fleet.next_check_at - now
        if self.retries.in_flight and self.settings.can_cancel:
            superseded = self.retries.superseded(now)
            wait_us = min(wait_us, self.retries.check_at - now)
        poll = self.polling.due(now)
        return DueActions(
            wait_us=min(wait_us, poll.wait_us),
            probes=probes,
            poll_list=poll.poll_now,
            migrations=migrations,
            superseded=superseded,
            setup_us=int(self.outcomes.mean_setup_us),
        )

    def update_endpoints(self, now: int, endpoints: Iterable[Endpoint], *, whole: bool, asked: bool) -> None:
        """Take over an endpoint list, or the changes to it.

        Args:
            now: The present time in microseconds.
            endpoints: The endpoints.
            whole: Whether this is the complete list: an upstream that it lacks is gone.
            asked: Whether it answers a poll.
        """
        updated = self.fleet.update(list(endpoints), whole=whole)
        self.node_backoff.longest_us = self._longest_node_backoff_us()
        if asked:
            self.polling.answered()
        self.ring.update(updated)

    def discovery_failed(self, now: int) -> None:
        """Record that a poll failed, or that the subscription was lost."""
        self.polling.failed(now)

    def record_probe(self, now: int, number: int, probe: ProbeResult) -> None:
        """Record the result of a probe of an upstream."""
        self.probes.record(now, self.fleet.upstreams[number], probe)

    def record_load(self, now: int, session: Session, load: float) -> None:
        """Record a session's present load, in microseconds of work a second."""
        self.fleet.change_load(session, load)
        self.fleet.mean_session_load = running_mean(self.fleet.mean_session_load, load)

    def record_delay(self, now: int, session: Session, delay_us: int) -> None:
        """Record the present message latency at a session's upstream."""
        self.migration.record_delay(now, self.fleet.upstreams[session.upstream], delay_us)

    def record_unresponsive(self, now: int, number: int) -> None:
        """Record that an upstream has answered no message on any session for a while."""
        self.migration.record_unresponsive(now, self.fleet.upstreams[number])

    def record_token(self, now: int, issuer_until: int, token: Token | None = None) -> None:
        """Record until when a token issuer speaks for all nodes, and the token that it issues, if any."""
        self.slow_start.record_token(now, issuer_until, token)

    def add_established(self, session: Session, number: int) -> None:
        """Take over a session that was established before this node started.

        No endpoint list need have named its upstream yet.
        """
        self.fleet.add_established(session, number)
        self.ring.record_established(session)

    def remove_session(self, session: Session) -> None:
        """Forget a session whose client is gone, or that another node or process has taken over."""
        self.retries.attempt_ended(session)
        self.fleet.remove(session)

    def release_slow_start_budget(self, *, released: bool) -> None:
        """Leave the node's slow-start budget to another process of this node, or take it back."""
        self.slow_start.released = released

    def _longest_node_backoff_us(self) -> int:
        """Return the bound of the node's backoff, in which all nodes together try each upstream."""
        upstream_count = len(self.fleet.ready) or 1
        interval_us = NODE_TRIAL_INTERVAL_US * self.settings.nodes // upstream_count
        return max(LONGEST_NODE_BACKOFF_US, interval_us)
