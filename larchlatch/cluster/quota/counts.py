"""How many sessions the fleet admitted of late by each quota, as a range that holds the true value. No I/O.

Each node counts up for itself; others keep what they have received and when it was made (counters that only
grow: Shapiro et al. 2011). What no record has told yet is bounded by what its origin can have been allowed.
Times are whole microseconds of Unix time.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from larchlatch.cluster.protocol.messages import NodeRecord
    from larchlatch.cluster.quota.settings import QuotaSettings

# The stretch that ranges cover: a cut of a few windows shows in it, and has left it soon after.
WINDOWS = 10
# Samples of one origin are so far apart, which is enough for ten in a window of a second.
SAMPLE_INTERVAL_US = 100_000


class Sample(NamedTuple):
    """What one record told.

    Attributes:
        made_us: when it was made.
        incarnation: the start of its origin's life.
        admitted: sessions admitted since that start, quota by quota.

    """

    made_us: int
    incarnation: int
    admitted: tuple[int, ...]


class UsageRange(NamedTuple):
    """Sessions that the fleet admitted in the last windows.

    Attributes:
        least: what is known for sure.
        most: the same and all that can have been admitted besides.
        age_us: for how long the origin that is known of least has told nothing.

    """

    least: int
    most: int
    age_us: int


class Gap(NamedTuple):
    """A stretch of which an origin has told nothing."""

    begin_us: int
    end_us: int


class OriginUsage(NamedTuple):
    """What one origin's records say of one quota in the last windows.

    Attributes:
        least: sessions that were admitted surely within them.
        most: sessions that were told of and can have been admitted within them.
        gaps: the stretches without word, in order; the last one reaches to the present.

    """

    least: int
    most: int
    gaps: list[Gap]


class FleetCounts:
    """Samples of what each node's records tell of its quotas, its own included.

    Attributes:
        clock_difference_us: wall clocks of nodes differ by no more.

    """

    def __init__(self, quota_settings: QuotaSettings, *, clock_difference_us: int) -> None:
        """Start without samples, for the quotas of one cluster file."""
        self.clock_difference_us = clock_difference_us
        self.set_quotas(quota_settings)

    def set_quotas(self, quota_settings: QuotaSettings) -> None:
        """Follow another cluster file: what was told by the one before counts other quotas."""
        self._quota_settings = quota_settings
        self._samples: dict[str, deque[Sample]] = {name: deque() for name in quota_settings.names}

    @property
    def span_us(self) -> int:
        """Return the length of the stretch that ranges cover."""
        return WINDOWS * self._quota_settings.loan_terms.window_us

    def receive(self, record: NodeRecord) -> None:
        """Keep what a node's record tells, this node's own included."""
        samples = self._samples.get(record.name)
        if samples is None or record.config_digest != self._quota_settings.digest:
            return
        admitted = tuple(share.spent for share in record.quota_reports)
        _append_thinned(samples, Sample(record.created_us, record.incarnation, admitted))
        oldest_us = record.created_us - self.span_us - 2 * self.clock_difference_us
        while len(samples) > 2 and samples[1].made_us < oldest_us:
            samples.popleft()

    def ranges(self, wall_us: int) -> list[UsageRange]:
        """Return the range of each quota, in the file's order."""
        return [self._range(index, wall_us) for index in range(len(self._quota_settings.quotas))]

    def _range(self, quota_index: int, wall_us: int) -> UsageRange:
        usages = {
            name: self._origin_usage(samples, quota_index, wall_us) for name, samples in self._samples.items()
        }
        gaps = {name: usage.gaps for name, usage in usages.items()}
        least = sum(usage.least for usage in usages.values())
        reported = sum(usage.most for usage in usages.values())
        most = reported + self._most_untold(gaps, quota_index, wall_us)
        reported_until_us = min((own[-1].begin_us for own in gaps.values()), default=wall_us)
        limit = self._quota_settings.quotas[quota_index].sessions
        return UsageRange(least, min(most, limit * WINDOWS), wall_us - reported_until_us)

    def _origin_usage(self, samples: Iterable[Sample], quota_index: int, wall_us: int) -> OriginUsage:
        """Add up what lies between each two samples of one origin."""
        start_us = wall_us - self.span_us
        difference_us = self.clock_difference_us
        least = most = 0
        gaps: list[Gap] = []
        known_until_us = start_us - difference_us
        previous: Sample | None = None
        for sample in samples:
            if quota_index >= len(sample.admitted):
                continue
            if previous is not None and previous.incarnation == sample.incarnation:
                since_us = previous.made_us
                admitted = sample.admitted[quota_index] - previous.admitted[quota_index]
            else:
                since_us, admitted = self._first_of_life(sample, quota_index, start_us)
                gaps.append(Gap(known_until_us, since_us + difference_us))
            if since_us - difference_us >= start_us:
                least += admitted
            if sample.made_us + difference_us > start_us:
                most += admitted
            known_until_us = max(known_until_us, sample.made_us - difference_us)
            previous = sample
        gaps.append(Gap(known_until_us, wall_us + difference_us))
        return OriginUsage(least, most, gaps)

    def _first_of_life(self, sample: Sample, quota_index: int, start_us: int) -> tuple[int, int]:
        """Return since when a life's first sample tells, and how many sessions.

        It tells of all since that life began, and of nothing before; of a life that began before the last
        windows, it only tells where counting starts.
        """
        if sample.incarnation < start_us + self.clock_difference_us:
            return sample.made_us, 0
        return sample.incarnation, sample.admitted[quota_index]

    def _most_untold(self, gaps: Mapping[str, Sequence[Gap]], quota_index: int, wall_us: int) -> int:
        """Return how many sessions can have been admitted in the gaps.

        In one window, the origins of which nothing is known can have used all but the others' floors.
        """
        quota = self._quota_settings.quotas[quota_index]
        window_us = self._quota_settings.loan_terms.window_us
        floors = {name: self._quota_settings.share(quota, name).floor for name in gaps}
        earliest_us = wall_us - self.span_us - self.clock_difference_us
        end_us = wall_us + self.clock_difference_us
        most = 0
        while end_us > earliest_us:
            known = [name for name in gaps if not overlaps_gap(gaps[name], end_us - window_us, end_us)]
            if len(known) < len(gaps):
                most += max(0, quota.sessions - sum(floors[name] for name in known))
            end_us -= window_us
        return most


def overlaps_gap(gaps: Sequence[Gap], begin_us: int, end_us: int) -> bool:
    """Return whether any of the gaps lies partly within this stretch."""
    return any(gap.begin_us < end_us and gap.end_us > begin_us for gap in gaps)


def _append_thinned(samples: deque[Sample], sample: Sample) -> None:
    """Append the newest sample; the one before makes way where it is close to the one before it."""
    same_life = len(samples) > 1 and samples[-1].incarnation == samples[-2].incarnation == sample.incarnation
    if same_life and samples[-1].made_us < samples[-2].made_us + SAMPLE_INTERVAL_US:
        samples.pop()
    samples.append(sample)
