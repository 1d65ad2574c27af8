"""Quota safety: all nodes together admit no more sessions in a window than the quota allows. No I/O."""

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

USAGE_INTERVAL_US = 1_000_000  # of the intervals by which usage is calculated


class Admission(NamedTuple):
    """A session was admitted at some time between the two."""

    requested_at: int
    seen_at: int


class QuotaSafety:
    """Checks that no window holds more admissions than the quota, and that nodes report usage correctly.

    An admission certainly lies within a window if its session was requested and seen within it.

    Attributes:
        limit: The number of sessions allowed in a window.
        requests: When sessions were requested.
        admissions: The admitted sessions.
        reports: The number of usage reports.
        wrong_reports: The number of those that cannot be true.

    """

    def __init__(self, sessions_per_s: float, window_us: int) -> None:
        self.limit = int(sessions_per_s * window_us / 1e6)
        self.requests: list[int] = []
        self.admissions: list[Admission] = []
        self.reports = 0
        self.wrong_reports = 0
        self._window_us = window_us
        self._pending: dict[str, int] = {}  # requests whose session was not seen yet

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
        # A session that was not seen may have been admitted, too.
        possibly += sum(begin <= requested <= end for requested in self._pending.values())
        self.reports += 1
        self.wrong_reports += not (report.least <= possibly and certainly <= report.most)

    def excess(self) -> int:
        """Return the largest number of sessions by which a window certainly exceeds the quota."""
        requested = sorted(admission.requested_at for admission in self.admissions)
        seen = sorted(admission.seen_at for admission in self.admissions)
        # Of the sessions seen by a window's end, those requested before its begin don't lie within it.
        sums = (
            bisect_right(seen, begin + self._window_us) - earlier for earlier, begin in enumerate(requested)
        )
        return max(0, max(sums, default=0) - self.limit)

    def used_share(self) -> float:
        """Return the share of the usable quota that was used, calculated by intervals."""
        usable = admitted = 0
        requested = sorted(admission.requested_at for admission in self.admissions)
        for begin in self._intervals():
            wanted = _count_in_interval(self.requests, begin)
            usable += min(wanted, self.limit * USAGE_INTERVAL_US // self._window_us)
            admitted += _count_in_interval(requested, begin)
        return admitted / usable if usable else 1.0

    def _intervals(self) -> range:
        """Return the begins of whole intervals between the first and the last request."""
        if not self.requests:
            return range(0)
        return range(self.requests[0], self.requests[-1], USAGE_INTERVAL_US)

    def verdict(self) -> Verdict:
        """Return the number of sessions beyond the quota plus the number of wrong reports."""
        return Verdict("quota_safety", self.excess() + self.wrong_reports)

    def figures(self, now: int) -> Figures:
        """Return excess, used share and wrong reports."""
        return {
            "over_budget": self.excess(),
            "budget_used": round(self.used_share(), 4),
            "outside": self.wrong_reports,
        }


def _count_in_interval(times: Sequence[int], begin: int) -> int:
    """Return how many of these sorted times lie in the interval that begins then."""
    return bisect_left(times, begin + USAGE_INTERVAL_US) - bisect_left(times, begin)
