"""Decides how long this node keeps what it knows of an upstream that is gone.

An upstream is unused once it is gone and no session refers to it. Its record is kept for as long as it may
still matter for the rules: for repeats of keyed sessions, for the budgets of upstreams in slow start, which
derive from the capacity of other upstreams, and for its own budget if it returns.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from larchlatch.policy.types import Idempotency, ReleasedUpstreams

if TYPE_CHECKING:
    from collections.abc import Iterable

    from larchlatch.policy.types import DeploymentSettings, Session
    from larchlatch.policy.upstream import Fleet, Upstream

CHECK_INTERVAL_US = 1_000_000  # time between two searches for upstreams that are no longer used
MIN_RETENTION_US = 10_000_000  # longer than an upstream is missing that returns as it was

NONE_RELEASED = ReleasedUpstreams([], [])


@dataclass(eq=False)
class Retention:
    """Finds upstreams that are no longer used, and forgets them when their time is over.

    Attributes:
        settings: The deployment settings.
        fleet: All upstreams.
        check_at: When to search for such upstreams again, in microseconds.
    """

    settings: DeploymentSettings
    fleet: Fleet
    check_at: int = 0

    def release(self, now: int, sessions: Iterable[Session]) -> ReleasedUpstreams:
        """Forget the upstreams whose time is over, and return which ones the node no longer uses.

        Args:
            now: The present time in microseconds.
            sessions: All sessions of this node that have no final answer yet or are established.
        """
        if now < self.check_at or not self.fleet.gone:
            return NONE_RELEASED
        self.check_at = now + CHECK_INTERVAL_US
        referenced = _referenced_upstreams(sessions)
        unused = [
            upstream
            for upstream in self.fleet.gone.values()
            if not upstream.sessions and upstream.number not in referenced
        ]
        forgotten = [upstream for upstream in unused if now >= upstream.gone_since + self.retention_us]
        for upstream in forgotten:
            self.fleet.forget(upstream)
        return ReleasedUpstreams(_numbers(unused), _numbers(forgotten))

    @property
    def retention_us(self) -> int:
        """Return how long the record of an unused upstream is kept after it is gone, in microseconds."""
        dedup_windows_us = [
            traffic_class.dedup_window_us
            for traffic_class in self.settings.traffic_classes
            if traffic_class.idempotency is Idempotency.KEYED
        ]
        slow_start_us = max(self.settings.slow_start_us, self.settings.overload_window_us)
        return max(MIN_RETENTION_US, slow_start_us, *dedup_windows_us)


def _referenced_upstreams(sessions: Iterable[Session]) -> set[int]:
    return {number for session in sessions for number in (session.upstream, session.maybe_executed_upstream)}


def _numbers(upstreams: Iterable[Upstream]) -> list[int]:
    return [upstream.number for upstream in upstreams]
