"""How much of each budget the fleet has used of late, as a range in which the true value lies. No I/O.

Each origin counts up for itself; others keep what they have heard and when it was made (counters that only
grow: Shapiro et al. 2011). What nobody has told yet is bounded by the rights that its origin can have had.
Times are whole microseconds of Unix time.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from larchlatch.cluster.protocol.datagrams import Record
    from larchlatch.cluster.quota.settings import QuotaSettings

WINDOWS = 10  # the stretch that is told of: a cut of a few windows shows in it, and has left it soon after
THIN_US = 100_000  # samples of one origin are so far apart, which is enough for ten a window of a second


class Sample(NamedTuple):
    made_us: int
    life: int
    spent: tuple[int, ...]


class Range(NamedTuple):
    """Links admitted in the last windows; age: since when the origin heard of least has told nothing."""

    least: int
    most: int
    age_us: int


class Counts:
    def __init__(self, dealing: QuotaSettings, apart_us: int) -> None:
        """apart_us: wall clocks of nodes differ by no more."""
        self.apart_us = apart_us
        self.samples: dict[str, deque[Sample]] = {}
        self.follow(dealing)

    def follow(self, dealing: QuotaSettings) -> None:
        """What was told by another file counts other budgets."""
        self.dealing = dealing
        self.samples = {name: deque() for name in dealing.names}

    @property
    def span_us(self) -> int:
        return WINDOWS * self.dealing.loan_terms.window_us

    def heard(self, record: Record) -> None:
        """What an origin has told, this node itself included."""
        kept = self.samples.get(record.name)
        if kept is None or record.mark != self.dealing.digest:
            return
        sample = Sample(record.made_us, record.incarnation, tuple(share.spent for share in record.shares))
        # The newest always counts; the one before makes way where it is close to the one before it.
        alike = len(kept) > 1 and kept[-1].life == kept[-2].life == sample.life
        if alike and kept[-1].made_us < kept[-2].made_us + THIN_US:
            kept.pop()
        kept.append(sample)
        while len(kept) > 2 and kept[1].made_us < record.made_us - self.span_us - 2 * self.apart_us:
            kept.popleft()

    def told(self, wall: int) -> list[Range]:
        """Budget by budget, in the file's order."""
        return [self.range(place, wall) for place in range(len(self.dealing.quotas))]

    def range(self, place: int, wall: int) -> Range:
        start = wall - self.span_us
        least = most = 0
        unknown: dict[str, list[tuple[int, int]]] = {}
        for name, kept in self.samples.items():
            gaps = unknown[name] = []
            upto = start - self.apart_us  # of what is known without a gap
            before: Sample | None = None
            for sample in kept:
                if place >= len(sample.spent):
                    continue
                if before is not None and before.life == sample.life:
                    since, used = before.made_us, sample.spent[place] - before.spent[place]
                else:
                    # A life that is met for the first time tells all since it began, and nothing of before.
                    since, used = sample.life, sample.spent[place]
                    if since < start + self.apart_us:
                        since, used = sample.made_us, 0
                    gaps.append((upto, since + self.apart_us))
                if since - self.apart_us >= start:
                    least += used
                if sample.made_us + self.apart_us > start:
                    most += used
                upto = max(upto, sample.made_us - self.apart_us)
                before = sample
            gaps.append((upto, wall + self.apart_us))
        windows, limit = self.dealing.loan_terms.window_us, self.dealing.quotas[place].sessions
        end = wall + self.apart_us
        floors = {name: self.dealing.share(self.dealing.quotas[place], name).floor for name in unknown}
        while end > start - self.apart_us:
            # In one window those of whom nothing is known can have used all but the others' floors.
            known = [name for name in unknown if not meets(unknown[name], end - windows, end)]
            if len(known) < len(unknown):
                most += max(0, limit - sum(floors[name] for name in known))
            end -= windows
        oldest = min((gaps[-1][0] for gaps in unknown.values()), default=wall)
        return Range(least, min(most, limit * WINDOWS), wall - oldest)


def meets(gaps: Sequence[tuple[int, int]], first: int, last: int) -> bool:
    return any(begin < last and end > first for begin, end in gaps)
