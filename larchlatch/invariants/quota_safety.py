"""Checks quota safety: all nodes together admit no more sessions in a window than the quota allows.

This module does no I/O.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.invariants.checker import Figures, Verdict
from larchlatch.invariants.observations import (
    Observation,
    QuotaUsageReported,
    SessionAdmitted,
    SessionRequested,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

USAGE_INTERVAL_US = 1_000_000  # the length of the intervals for which quota usage is calculated


class Admission(NamedTuple):
    """An admitted session; the node admitted it at some time between `requested_at` and `seen_at`."""

    requested_at: int
    seen_at: int


class QuotaSafety:
    """Checks that no window contains more admissions than the quota, and that nodes report usage correctly.

    An admission is certain to lie within a window if its session was requested and seen within the window.

    Attributes:
        limit: The number of sessions that the quota allows in a window.
        requests: The times at which sessions were requested, in microseconds.
        admissions: The admitted sessions.
        reports: The number of usage reports.
        wrong_reports: The number of usage reports whose bounds cannot be true.

    """

    def __init__(self, sessions_per_s: float, window_us: int) -> None:
        self.limit = int(sessions_per_s * window_us / 1e6)
        self.requests: list[int] = []
        self.admissions: list[Admission] = []
        self.reports = 0
        self.wrong_reports = 0
        self._window_us = window_us
        self._pending: dict[str, int] = {}  # by session: request times without an observed admission

    def observe(self, observation: Observation) -> None:
        """Record an observation."""
        match observation:
            case SessionRequested():
                self._pending[observation.session] = observation.now
                self.requests.append(observation.now)
            case SessionAdmitted():
                requested_at = self._pending.pop(observation.session, None)
                if requested_at is not None:
                    self.admissions.append(Admission(requested_at, observation.now))
            case QuotaUsageReported():
                self._check_report(observation)

    def _check_report(self, report: QuotaUsageReported) -> None:
        end, begin = report.now, report.now - report.span_us
        certainly = sum(begin < requested and seen <= end for requested, seen in self.admissions)
        possibly = sum(begin <= seen and requested <= end for requested, seen in self.admissions)
        # A session may have been admitted since its request, even if no admission was observed yet.
        possibly += sum(begin <= requested <= end for requested in self._pending.values())
        self.reports += 1
        self.wrong_reports += not (report.least <= possibly and certainly <= report.most)

    def excess(self) -> int:
        """Return the largest number of sessions by which a window is certain to exceed the quota."""
        requested = sorted(admission.requested_at for admission in self.admissions)
        seen = sorted(admission.seen_at for admission in self.admissions)
        # Of the sessions seen before a window ends, those requested before it begins don't count for it.
        counts = (
            bisect_right(seen, begin + self._window_us) - requested_before
            for requested_before, begin in enumerate(requested)
        )
        return max(0, max(counts, default=0) - self.limit)

    def used_share(self) -> float:
        """Return the admissions as a share of the requests that the quota allowed, summed over intervals."""
        usable = admitted = 0
        requested = sorted(admission.requested_at for admission in self.admissions)
        for begin in self._intervals():
            wanted = _count_in_interval(self.requests, begin)
            usable += min(wanted, self.limit * USAGE_INTERVAL_US // self._window_us)
            admitted += _count_in_interval(requested, begin)
        return admitted / usable if usable else 1.0

    def _intervals(self) -> range:
        """Return the start times of the intervals between the first and the last request."""
        if not self.requests:
            return range(0)
        return range(self.requests[0], self.requests[-1], USAGE_INTERVAL_US)

    def verdict(self) -> Verdict:
        """Return the number of sessions that exceed the quota plus the number of wrong reports."""
        return Verdict("quota_safety", self.excess() + self.wrong_reports)

    def figures(self, now: int) -> Figures:
        """Return the excess of sessions, the used share of the quota and the number of wrong reports."""
        return {
            "over_budget": self.excess(),
            "budget_used": round(self.used_share(), 4),
            "outside": self.wrong_reports,
        }


def _count_in_interval(times: Sequence[int], begin: int) -> int:
    """Return how many of these sorted times lie in the interval that starts at `begin`."""
    return bisect_left(times, begin + USAGE_INTERVAL_US) - bisect_left(times, begin)
