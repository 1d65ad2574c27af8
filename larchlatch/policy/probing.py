"""Decides when upstreams are probed and when the endpoint list is polled."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.policy.load import NEARLY_FULL, REPORT_CURRENT_US
from larchlatch.policy.types import NO_END

if TYPE_CHECKING:
    from random import Random

    from larchlatch.policy.types import DeploymentSettings, Session
    from larchlatch.policy.upstream import Fleet, Upstream

# Times between two probes of an upstream with own sessions, if only load reports show that it is full.
WATCH_INTERVAL_US = 5_000_000
RELIEF_INTERVAL_US = 1_000_000  # while sessions migrate off the upstream, or if its report is doubtful

# A load report is doubtful if this node has sent the upstream many sessions since.
DOUBTFUL_GROWTH = 4  # additional own sessions that make a report doubtful; fewer are random variation
DOUBTFUL_CURRENT_US = 500_000  # how long a doubtful report counts as current

# Polls of the endpoint list.
FIRST_POLL_PAUSE_US = 1_000_000  # upper bound of the pause after the first failure; each failure doubles it
POLL_TIMEOUT_US = 10_000_000


@dataclass(eq=False)
class Probing:
    """Decides when upstreams are probed, and owns the fields on probes in upstream records.

    Attributes:
        settings: The deployment settings.
        fleet: All upstreams.
    """

    settings: DeploymentSettings
    fleet: Fleet

    @property
    def allowed(self) -> bool:
        """Whether the settings allow probes; elsewhere upstreams answer them as an error."""
        return self.settings.probes

    def request(self, now: int, session: Session, upstreams: list[Upstream]) -> bool:
        """Request probes of those upstreams whose load is not known well enough to place a new session.

        Returns:
            Whether any probe was requested, so that the session has to wait for it.
        """
        if not self.settings.probes_report_load or session.mid_flow or session.attempt_count:
            return False
        outdated = [other for other in upstreams if now >= other.probed_at + _current_us(other)]
        for upstream in outdated:
            upstream.probe_requested = True
            self.fleet.schedule_check_now(now)
        return bool(outdated)

    def due(self, now: int) -> list[int]:
        """Return the numbers of the upstreams to be probed now, and record these probes as sent."""
        if not self.allowed:
            return []
        due = []
        for upstream in self.fleet.ready:
            interval_us = self._interval_us(upstream)
            if interval_us is None:
                continue
            if now >= upstream.probed_at + interval_us:
                upstream.probe_sent(now)
                due.append(upstream.number)
            self.fleet.schedule_check_by(upstream.probed_at + interval_us)
        return due

    def _interval_us(self, upstream: Upstream) -> int | None:
        """Return the time between two probes of an upstream in microseconds; None if it is not probed."""
        if upstream.probe_requested:
            return _current_us(upstream)
        if upstream.backoff.delay_us:
            return REPORT_CURRENT_US
        if upstream.sessions and self._only_probes_show_load:
            is_relieved = upstream.slow_until > upstream.utilization_at
            return RELIEF_INTERVAL_US if is_relieved or _is_doubtful(upstream) else WATCH_INTERVAL_US
        return None

    @property
    def _only_probes_show_load(self) -> bool:
        return self.settings.probes_report_load and not self.settings.reports_delay


def _current_us(upstream: Upstream) -> int:
    """Return how long a load report of an upstream counts as current, in microseconds."""
    return DOUBTFUL_CURRENT_US if _is_doubtful(upstream) else REPORT_CURRENT_US


def _is_doubtful(upstream: Upstream) -> bool:
    """Return whether own sessions may have filled an upstream that had capacity at its last probe."""
    sessions = len(upstream.sessions)
    sessions_then = upstream.sessions_at_probe
    if sessions_then < DOUBTFUL_GROWTH:
        # With so few sessions, the reported utilization does not show how much of it a session causes.
        return sessions >= 2 * DOUBTFUL_GROWTH
    has_grown = sessions >= sessions_then + DOUBTFUL_GROWTH
    return has_grown and upstream.utilization * sessions > NEARLY_FULL * sessions_then


class PollDecision(NamedTuple):
    """Whether the endpoint list is polled now.

    Attributes:
        poll_now: Whether to poll the list now.
        wait_us: The time until the next poll is due, in microseconds; `NO_END` if that is unknown.
    """

    poll_now: bool
    wait_us: int


POLL_NOW = PollDecision(poll_now=True, wait_us=NO_END)
NO_POLL = PollDecision(poll_now=False, wait_us=NO_END)


@dataclass(eq=False)
class DiscoveryPolling:
    """Decides when the endpoint list is polled, and owns the state of the poll and of the subscription.

    Attributes:
        settings: The deployment settings.
        random: The source of random draws.
        subscribed: Whether changes of the list are pushed to this node.
        in_flight: Whether a poll has been sent and is unanswered.
        poll_at: When the next poll is due, or the poll in flight was sent, in microseconds.
        longest_pause_us: The upper bound of the pause after the next failure, in microseconds.
    """

    settings: DeploymentSettings
    random: Random
    subscribed: bool = False
    in_flight: bool = False
    poll_at: int = 0
    longest_pause_us: int = FIRST_POLL_PAUSE_US

    def answered(self) -> None:
        """Record that the discovery service sent a list: the node is subscribed, and no poll is in flight."""
        self.subscribed = True
        self.in_flight = False
        self.longest_pause_us = FIRST_POLL_PAUSE_US

    def failed(self, now: int) -> None:
        """Record that a poll failed or the subscription was lost; polling resumes after a random pause."""
        self.subscribed = False
        self.in_flight = False
        self.poll_at = now + int(self.random.uniform(0, self.longest_pause_us))
        self.longest_pause_us = min(2 * self.settings.poll_within_us, 2 * self.longest_pause_us)

    def due(self, now: int) -> PollDecision:
        """Return whether to poll the endpoint list now; a poll that is due is recorded as sent."""
        if self.in_flight and now >= self.poll_at + POLL_TIMEOUT_US:
            self.in_flight = False
        if self.subscribed or self.in_flight or not self.settings.polls_discovery:
            return NO_POLL
        if now < self.poll_at:
            return PollDecision(poll_now=False, wait_us=self.poll_at - now)
        self.in_flight = True
        self.poll_at = now
        return POLL_NOW
