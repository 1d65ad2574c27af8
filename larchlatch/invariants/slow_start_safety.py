"""Checks slow-start safety: nodes do not overload an upstream that warms up with new sessions.

This module does no I/O.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import sqrt
from typing import TYPE_CHECKING

from larchlatch.invariants.checker import Figures, Verdict
from larchlatch.invariants.observations import Observation, SessionArrived, UpstreamsSampled
from larchlatch.scenario.amounts import us

if TYPE_CHECKING:
    from collections.abc import Sequence

    from larchlatch.scenario.scenario import SlowStart
    from larchlatch.scenario.upstreams import SimulatedUpstream

# An upstream carries its full share once its load per core is at least this fraction of the mean load per
# core of warm upstreams.
FULL_SHARE = 0.9


@dataclass(slots=True)
class WarmUp:
    """The warm-up of an upstream after one of its starts.

    Attributes:
        started_at: When the upstream started.
        full_share_at: When it first carried its full share of the load; None before that.
        recent_arrivals: Time and weight of each session that arrived within the last overload window.

    """

    started_at: int
    full_share_at: int | None = None
    recent_arrivals: deque[tuple[int, float]] = field(default_factory=deque)


class SlowStartSafety:
    """Checks that an upstream that warms up gets no more sessions in a window than the scenario allows.

    A session of mean load has weight 1. Nodes limit the mean number of sessions, so a random excess of three
    standard deviations is allowed.

    Attributes:
        violations: The number of sessions whose arrival made a window exceed its allowed number of sessions.
        mean_load_us: The mean work of a session, in microseconds per second.

    """

    def __init__(self, slow_start: SlowStart, mean_load_us: float) -> None:
        self.violations = 0
        self.mean_load_us = mean_load_us
        self._window_us = us(slow_start.overload_window_s)
        self._warm_up_us = us(slow_start.duration_s)
        self._overload_multiple = slow_start.overload_multiple
        self._warm_ups: dict[tuple[int, int], WarmUp] = {}
        self._sent = 0.0
        self._allowed = 0.0

    def observe(self, observation: Observation) -> None:
        """Record an observation."""
        match observation:
            case SessionArrived():
                self._check_arrival(observation)
            case UpstreamsSampled():
                self._sample(observation)

    def _warm_up(self, upstream: SimulatedUpstream) -> WarmUp:
        key = (upstream.number, upstream.started_at)
        return self._warm_ups.setdefault(key, WarmUp(upstream.started_at))

    def _is_warm(self, now: int, upstream: SimulatedUpstream) -> bool:
        return not upstream.started_at or now >= upstream.started_at + self._warm_up_us

    def _allowed_now(self, now: int, upstream: SimulatedUpstream) -> float:
        """Return how many sessions of mean load may arrive at an upstream in a window that ends now."""
        sessions_at_capacity = upstream.capacity(now) / self.mean_load_us if self.mean_load_us else 0.0
        if not self._warm_up_us:
            return 0.0
        return self._overload_multiple * sessions_at_capacity * self._window_us / self._warm_up_us

    def _check_arrival(self, arrival: SessionArrived) -> None:
        now, upstream = arrival.now, arrival.upstream
        if self._is_warm(now, upstream) or not self.mean_load_us:
            return
        weight = arrival.load / self.mean_load_us
        recent = self._warm_up(upstream).recent_arrivals
        while recent and recent[0][0] <= now - self._window_us:
            recent.popleft()
        recent.append((now, weight))
        self._sent += weight
        allowed = self._allowed_now(now, upstream)
        self.violations += sum(sent for _, sent in recent) > allowed + 3 * sqrt(allowed) + 3

    def _sample(self, sample: UpstreamsSampled) -> None:
        now = sample.now
        ready = [upstream for upstream in sample.upstreams if upstream.is_ready]
        mean_load = self._mean_load_of_warm(now, ready)
        for upstream in ready:
            if not upstream.started_at:
                continue
            warm_up = self._warm_up(upstream)
            carries_full_share = mean_load and upstream.load >= FULL_SHARE * mean_load * upstream.size
            if warm_up.full_share_at is None and carries_full_share:
                warm_up.full_share_at = now
            if not self._is_warm(now, upstream) and self._window_us:
                self._allowed += self._allowed_now(now, upstream) * sample.interval_us / self._window_us

    def _mean_load_of_warm(self, now: int, upstreams: Sequence[SimulatedUpstream]) -> float:
        """Return the mean load per core of those upstreams that are warm."""
        warmed_up = [upstream for upstream in upstreams if self._is_warm(now, upstream)]
        size = sum(upstream.size for upstream in warmed_up)
        return sum(upstream.load for upstream in warmed_up) / size if size else 0.0

    def verdict(self) -> Verdict:
        """Return how many sessions made a window exceed its allowed number of sessions when they arrived."""
        return Verdict("slow_start_safety", self.violations)

    def figures(self, now: int) -> Figures:
        """Return the mean and longest time to a full share of the load, violations and the used share.

        For an upstream that never carried its full share, the time up to the end of the scenario counts.
        """
        times_us = [
            (warm_up.full_share_at or now) - warm_up.started_at for warm_up in self._warm_ups.values()
        ]
        return {
            "bears_s": round(sum(times_us) / len(times_us) / 1e6, 3) if times_us else None,
            "bears_most_s": max(times_us) / 1e6 if times_us else None,
            "cold_over": self.violations,
            "cold_used": round(self._sent / self._allowed, 4) if self._allowed else None,
        }
