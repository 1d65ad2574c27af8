"""What was spent of a shared budget: judged from outside, by when links came and were first seen. No I/O.

It knows nothing of how nodes decide. A link was admitted at some time between the two; a stretch as long as
the window is over the budget for certain only by links that came and were seen within it.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator

from larchlatch.scenario.amounts import us
from larchlatch.scenario.scenario import Day

TICK_US = 1_000_000  # use is reckoned second by second


class Spending:
    def __init__(self, sessions_per_s: float, window_us: int) -> None:
        self.limit = int(sessions_per_s * window_us / 1e6)
        self.window_us = window_us
        self.came: dict[str, int] = {}  # links that were asked for and not seen yet
        self.demand: list[int] = []
        self.admitted: list[tuple[int, int]] = []  # when each came, and when it was seen
        self.outside = 0
        self.ranges = 0

    # What is so.

    def asked(self, now: int, ident: str) -> None:
        """A client asks for a link."""
        self.came[ident] = now
        self.demand.append(now)

    def seen(self, now: int, ident: str) -> None:
        """It has been admitted: for the first time a host sees it, or the node itself says so."""
        came = self.came.pop(ident, None)
        if came is not None:
            self.admitted.append((came, now))

    def told(self, now: int, least: int, most: int, span_us: int) -> None:
        """A node tells how much was admitted in the stretch that ends now."""
        surely = sum(now - span_us < came and seen <= now for came, seen in self.admitted)
        maybe = sum(now - span_us <= seen and came <= now for came, seen in self.admitted)
        # Of those that nobody has seen some may have been admitted, and have come to no host yet.
        maybe += sum(now - span_us <= came <= now for came in self.came.values())
        self.ranges += 1
        self.outside += not (least <= maybe and surely <= most)

    # What it comes to.

    def over(self) -> int:
        """The most by which any stretch as long as the window was over the budget."""
        came, seen = sorted(c for c, _ in self.admitted), sorted(s for _, s in self.admitted)
        # Of those seen by the end of a stretch, all that came before it are none of its own.
        sums = (bisect_right(seen, c + self.window_us) - place for place, c in enumerate(came))
        return max(0, max(sums, default=0) - self.limit)

    def used(self) -> float:
        """Of what could have been used second by second, how much was."""
        could = admitted = 0
        seen = sorted(came for came, _ in self.admitted)
        for first in self.seconds():
            wanted = between(self.demand, first)
            could += min(wanted, self.limit * TICK_US // self.window_us)
            admitted += between(seen, first)
        return admitted / could if could else 1.0

    def seconds(self) -> Iterator[int]:
        """Whole seconds in which there was demand all the time."""
        return iter(range(self.demand[0], self.demand[-1], TICK_US) if self.demand else ())

    def row(self) -> dict[str, float | int]:
        return {
            "over_budget": self.over(),
            "budget_used": round(self.used(), 4),
            "outside": self.outside,
        }


def between(times: list[int], first: int) -> int:
    """How many of these, in their order, are in the second that begins then."""
    return bisect_left(times, first + TICK_US) - bisect_left(times, first)


def spending_of(day: Day) -> Spending | None:
    """The judge of a day that has a shared budget."""
    cluster = day.cluster
    return Spending(cluster.sessions_per_s, us(cluster.window_s)) if cluster.sessions_per_s else None
