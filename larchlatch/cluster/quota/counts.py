"""Estimates how many sessions the cluster admitted recently, by a lower and an upper bound. No I/O.

Each node reports its own count in its records; other nodes keep samples of it (grow-only counters: Shapiro et
al. 2011). Two samples of one process cover the time between them. Admissions outside these times are bounded
by what the quota allows their nodes. Times are whole microseconds of Unix time.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.quota.loan_terms import USAGE_WINDOWS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from larchlatch.cluster.protocol.messages import NodeRecord
    from larchlatch.cluster.quota.settings import Quota, QuotaSettings

SAMPLE_INTERVAL_US = 100_000  # least time between two stored samples of one origin


class Sample(NamedTuple):
    """The admission counts in one record of a node, the origin.

    Attributes:
        created_us: time at which the record was created.
        incarnation: the origin's incarnation, which differs from that of its earlier processes.
        admitted: sessions admitted since the process started, for each quota; empty if the record has no such
            counts, as another process of the node may admit sessions.

    """

    created_us: int
    incarnation: int
    admitted: tuple[int, ...]

    def continues(self, previous: Sample) -> bool:
        """Return whether this sample and an earlier one are of one process, and both have counts or none."""
        return previous.incarnation == self.incarnation and len(previous.admitted) == len(self.admitted)


class UsageRange(NamedTuple):
    """Bounds on the sessions that the cluster admitted in the last `USAGE_WINDOWS` windows.

    Attributes:
        least: sessions that were certainly admitted.
        most: sessions that can have been admitted at most.
        age_us: time since the oldest of the nodes' last reports, plus the clock difference.

    """

    least: int
    most: int
    age_us: int


class Gap(NamedTuple):
    """A time interval that no record of an origin covers."""

    begin_us: int
    end_us: int


class OriginUsage(NamedTuple):
    """One origin's use of one quota in the last `USAGE_WINDOWS` windows, by its records.

    Attributes:
        least: sessions that were certainly admitted in these windows.
        most: reported sessions that may have been admitted in these windows.
        gaps: the intervals that no record covers, in order; the last one reaches to the present.

    """

    least: int
    most: int
    gaps: list[Gap]


class ClusterUsage:
    """Stores samples of the counts of all nodes, including this one, and calculates the usage from them.

    Attributes:
        clock_difference_us: greatest difference of two nodes' wall clocks.

    """

    def __init__(self, quota_settings: QuotaSettings, *, clock_difference_us: int) -> None:
        """Start without samples, for the quotas of one cluster file."""
        self.clock_difference_us = clock_difference_us
        self._former_settings: list[QuotaSettings] = []  # of files that other nodes may have used lately
        self._begin_file(quota_settings)

    def set_quotas(self, quota_settings: QuotaSettings) -> None:
        """Use the quotas of another cluster file; samples of the former quotas are dropped."""
        self._former_settings.append(self._quota_settings)
        self._begin_file(quota_settings)

    def _begin_file(self, quota_settings: QuotaSettings) -> None:
        self._quota_settings = quota_settings
        self._samples: dict[str, deque[Sample]] = {name: deque() for name in quota_settings.names}
        # Creation time of each node's first record with the digest of this file.
        self._file_used_since: dict[str, int] = {}

    @property
    def span_us(self) -> int:
        """Return the length of the interval that usage ranges cover, in microseconds."""
        return USAGE_WINDOWS * self._quota_settings.loan_terms.window_us

    def receive(self, record: NodeRecord) -> None:
        """Add a sample from a node's record, which may be this node's own."""
        samples = self._samples.get(record.name)
        if samples is None:
            return
        if record.config_digest != self._quota_settings.digest:
            self._file_used_since.pop(record.name, None)
            return
        self._file_used_since.setdefault(record.name, record.created_us)
        admitted = tuple(share.spent for share in record.quota_reports)
        _append_thinned(samples, Sample(record.created_us, record.incarnation, admitted))
        oldest_us = record.created_us - self.span_us - 2 * self.clock_difference_us
        while len(samples) > 2 and samples[1].created_us < oldest_us:
            samples.popleft()

    def ranges(self, wall_us: int) -> list[UsageRange]:
        """Return the usage range of each quota, in the order of the cluster file."""
        if self._former_files_end_us(wall_us) < wall_us - self.span_us - self.clock_difference_us:
            self._former_settings.clear()
        return [self._range(index, wall_us) for index in range(len(self._quota_settings.quotas))]

    def _range(self, quota_index: int, wall_us: int) -> UsageRange:
        usages = {
            name: self._origin_usage(samples, quota_index, wall_us) for name, samples in self._samples.items()
        }
        gaps = {name: usage.gaps for name, usage in usages.items()}
        least = sum(usage.least for usage in usages.values())
        reported = sum(usage.most for usage in usages.values())
        most = reported + self._most_unreported(gaps, quota_index, wall_us)
        reported_until_us = min((origin_gaps[-1].begin_us for origin_gaps in gaps.values()), default=wall_us)
        # All settings are given here, as the range may include the time in which a former file was used.
        most_allowed = self._most_allowed(
            [self._quota_settings, *self._former_settings], quota_index, self.span_us
        )
        return UsageRange(least, min(most, most_allowed), wall_us - reported_until_us)

    def _origin_usage(self, samples: Iterable[Sample], quota_index: int, wall_us: int) -> OriginUsage:
        """Return the usage by one origin, summed over each pair of consecutive samples.

        The first sample of a process covers no time. The predecessor in a hot restart, which admitted
        sessions until the process took over, may not have reported the last of them.
        """
        start_us = wall_us - self.span_us
        difference_us = self.clock_difference_us
        least = most = 0
        gaps: list[Gap] = []
        known_until_us = start_us - difference_us
        previous: Sample | None = None
        for sample in samples:
            if quota_index >= len(sample.admitted):
                previous = None
                continue
            if previous is not None and sample.continues(previous):
                admitted = sample.admitted[quota_index] - previous.admitted[quota_index]
                least += admitted if previous.created_us - difference_us >= start_us else 0
                most += admitted if sample.created_us + difference_us > start_us else 0
            else:
                gaps.append(Gap(known_until_us, sample.created_us + difference_us))
            known_until_us = max(known_until_us, sample.created_us - difference_us)
            previous = sample
        gaps.append(Gap(known_until_us, wall_us + difference_us))
        return OriginUsage(least, most, gaps)

    def _most_unreported(self, gaps: Mapping[str, Sequence[Gap]], quota_index: int, wall_us: int) -> int:
        """Return the number of sessions that can have been admitted in the gaps.

        In each window, the origins with a gap may have used the whole quota except for the floors of the
        origins without a gap, which are never lent.
        """
        window_us = self._quota_settings.loan_terms.window_us
        former_end_us = self._former_files_end_us(wall_us)
        earliest_us = wall_us - self.span_us - self.clock_difference_us
        end_us = wall_us + self.clock_difference_us
        most = 0
        while end_us > earliest_us:
            begin_us = end_us - window_us
            reported_origins = [name for name in gaps if not overlaps_gap(gaps[name], begin_us, end_us)]
            if len(reported_origins) < len(gaps):
                former = self._former_settings if begin_us < former_end_us else []
                most += self._most_allowed(
                    [self._quota_settings, *former], quota_index, window_us, reported_origins
                )
            end_us -= window_us
        return most

    def _former_files_end_us(self, wall_us: int) -> int:
        """Return the time until which a node may have used a former cluster file."""
        if len(self._file_used_since) < len(self._samples):
            return wall_us + self.clock_difference_us
        return max(self._file_used_since.values(), default=wall_us) + self.clock_difference_us

    def _most_allowed(
        self,
        settings: Iterable[QuotaSettings],
        quota_index: int,
        duration_us: int,
        reported_origins: Sequence[str] = (),
    ) -> int:
        """Return how many sessions any of the files allows within a time, without some origins' floors.

        A file never allows more than the one before it until all nodes use it.
        """
        name = self._quota_settings.quotas[quota_index].name
        return max(
            max(0, quota.sessions - _sum_of_floors(one, quota, reported_origins))
            * -(-duration_us // one.loan_terms.window_us)
            for one in settings
            for quota in one.quotas
            if quota.name == name
        )


def overlaps_gap(gaps: Sequence[Gap], begin_us: int, end_us: int) -> bool:
    """Return whether any of the gaps overlaps the interval from `begin_us` to `end_us`."""
    return any(gap.begin_us < end_us and gap.end_us > begin_us for gap in gaps)


def _sum_of_floors(settings: QuotaSettings, quota: Quota, names: Iterable[str]) -> int:
    return sum(settings.share(quota, name).floor for name in names if name in settings.names)


def _append_thinned(samples: deque[Sample], sample: Sample) -> None:
    """Append a sample; drop the one before it if that is too close in time to its own predecessor."""
    if (
        len(samples) > 1
        and samples[-1].continues(samples[-2])
        and sample.continues(samples[-1])
        and samples[-1].created_us < samples[-2].created_us + SAMPLE_INTERVAL_US
    ):
        samples.pop()
    samples.append(sample)
