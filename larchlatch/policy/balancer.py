"""The balancer of a node, which combines the deciding modules behind one interface.

The docstring of `larchlatch.policy` explains how to call it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.policy.backoff import LONGEST_NODE_BACKOFF_US, NODE_TRIAL_INTERVAL_US, Backoff
from larchlatch.policy.load import LoadEstimator, running_mean
from larchlatch.policy.migration import Migration
from larchlatch.policy.outcomes import OutcomeRecorder, ProbeRecorder
from larchlatch.policy.placement import Placement
from larchlatch.policy.probing import DiscoveryPolling, Probing
from larchlatch.policy.retention import Retention
from larchlatch.policy.retries import Retries
from larchlatch.policy.ring import UpstreamRing
from larchlatch.policy.selection import UpstreamSelector
from larchlatch.policy.slow_start import SlowStart
from larchlatch.policy.types import Answer, DueActions, Nothing, Outcome
from larchlatch.policy.upstream import Fleet

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from larchlatch.policy.types import (
        DeploymentSettings,
        Endpoint,
        ProbeResult,
        ReleasedUpstreams,
        Session,
        Token,
    )

CHECK_INTERVAL_US = 1_000_000  # longest time between two checks for due probes and migrations


class Balancer:
    """Creates the deciding components of a node and delegates each call to them.

    Attributes:
        settings: The deployment settings.
        random: The source of all random draws.
        fleet: The records of all upstreams.
        node_backoff: Spaces out the attempts of this node at all upstreams.
        ring: The consistent hash ring.
        slow_start: Limits the sessions that upstreams in slow start may take.
        load: Estimates the load of upstreams.
        retries: Decides which further attempts are safe, and gives final answers.
        probing: Decides when upstreams are probed.
        polling: Decides when the endpoint list is polled.
        selector: Chooses among the candidates of a session.
        migration: Decides which established sessions migrate.
        placement: Decides where a session goes.
        outcomes: Records the outcomes of attempts and sessions.
        probes: Records the results of probes.
        retention: Decides how long upstreams that are gone are remembered.
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
        self.retention = Retention(settings, fleet)

    def place(self, now: int, session: Session) -> Answer:
        """Return an upstream for a session, or that it is held, or its final answer."""
        if session.attempt_in_flight or session.established:
            return Nothing()
        self.outcomes.record_stable_sessions(now)
        return self.placement.place(now, session)

    def outcome(self, now: int, session: Session, outcome: Outcome, *, answered: bool = False) -> Answer:
        """Record how a session or its attempt ended, and return what to do next.

        Args:
            now: The present time in microseconds.
            session: The session.
            outcome: How its attempt, or the established session, ended.
            answered: Whether the client has the final answer already, so that nothing is left to decide.
        """
        if outcome is Outcome.ESTABLISHED:
            self.outcomes.record_established(now, session)
            return Nothing()
        self.outcomes.record_end(now, session, outcome)
        return Nothing() if answered else self.place(now, session)

    def due_actions(self, now: int) -> DueActions:
        """Return the actions that are due now, and the time until the next one is due."""
        fleet = self.fleet
        probes: list[int] = []
        migrations: list[int] = []
        superseded: list[int] = []
        # This method is called after every event. It checks all upstreams only if one may have an action due.
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

    def update_endpoints(
        self, now: int, endpoints: Iterable[Endpoint], *, whole: bool, from_discovery: bool
    ) -> None:
        """Apply an endpoint list, or changes to it.

        Args:
            now: The present time in microseconds.
            endpoints: The endpoints.
            whole: Whether this is the complete list, so that an upstream missing from it is gone.
            from_discovery: Whether the discovery service sent the list; otherwise it was stored earlier.
        """
        update = self.fleet.update(now, list(endpoints), whole=whole)
        self.node_backoff.longest_us = self._longest_node_backoff_us()
        if from_discovery:
            self.polling.answered()
        self.ring.update(update.named, update.gone)

    def release_gone(self, now: int, sessions: Iterable[Session]) -> ReleasedUpstreams:
        """Forget upstreams that are gone and no longer matter, and return which ones the node no longer uses.

        Args:
            now: The present time in microseconds.
            sessions: All sessions of this node that have no final answer yet or are established.
        """
        return self.retention.release(now, sessions)

    def discovery_failed(self, now: int) -> None:
        """Record that a poll of the endpoint list failed, or that the subscription to it was lost."""
        self.polling.failed(now)

    def record_probe(self, now: int, number: int, probe: ProbeResult) -> None:
        """Record the result of a probe of an upstream; ignore it if the upstream has been forgotten."""
        upstream = self.fleet.upstreams.get(number)
        if upstream is not None:
            self.probes.record(now, upstream, probe)

    def record_load(self, now: int, session: Session, load: float) -> None:
        """Record the present load of a session, in microseconds of work per second."""
        self.fleet.change_load(session, load)
        self.fleet.mean_session_load = running_mean(self.fleet.mean_session_load, load)

    def record_delay(self, now: int, session: Session, delay_us: int) -> None:
        """Record the present message latency at a session's upstream."""
        self.migration.record_delay(now, self.fleet.upstreams[session.upstream], delay_us)

    def record_unresponsive(self, now: int, number: int) -> None:
        """Record that an upstream has stopped answering messages on all of its sessions."""
        upstream = self.fleet.upstreams.get(number)
        if upstream is not None:
            self.migration.record_unresponsive(now, upstream)

    def record_token(self, now: int, issuer_until: int, token: Token | None = None) -> None:
        """Record until when a token issuer allots slow-start budgets, and a token if it issued one."""
        self.slow_start.record_token(now, issuer_until, token)

    def add_established(self, session: Session, number: int) -> None:
        """Add a session that was established before this process started.

        Its upstream need not have appeared in an endpoint list yet.
        """
        self.fleet.add_established(session, number)
        self.ring.record_established(session)

    def remove_session(self, session: Session) -> None:
        """Remove a session whose client is gone, or that another node or process has taken over."""
        self.retries.attempt_ended(session)
        self.fleet.remove(session)

    def release_slow_start_budget(self, *, released: bool) -> None:
        """Leave the slow-start budget of this node to another process of the node, or take it back.

        Args:
            released: Whether another process has the budget from now on.
        """
        self.slow_start.released = released

    def _longest_node_backoff_us(self) -> int:
        """Return the upper bound of this node's backoff, in microseconds.

        At this bound, all nodes together still send each upstream a session every `NODE_TRIAL_INTERVAL_US`.
        """
        upstream_count = self.fleet.ready_count or 1
        interval_us = NODE_TRIAL_INTERVAL_US * self.settings.nodes // upstream_count
        return max(LONGEST_NODE_BACKOFF_US, interval_us)
