"""Who held a duty, and whose orders were carried out: judged from outside. No I/O.

It knows nothing of how nodes decide. An order of a lease with a lower number than one of which an order has
been carried out anywhere says that two were taken for holders.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from larchlatch.scenario.scenario import Day


class Tenures:
    def __init__(self, electors: Sequence[int], now: int) -> None:
        """electors: the numbers of the nodes that elect."""
        self.electors = electors
        self.highest = 0  # lease of which an order was carried out
        self.orders = 0
        self.two_holders = 0
        self.running: list[bool] = []
        self.claims: list[int] = []  # nodes that have said that they hold it, and not that it ended
        self.could_since: int | None = None  # since when nobody has held it who could be elected
        self.unheld_us: list[int] = []
        self.able = False
        self.changes = 0
        self.now = now

    def carried_out(self, lease: int) -> None:
        self.orders += 1
        self.two_holders += lease < self.highest
        self.highest = max(self.highest, lease)

    def is_so(self, now: int, running: Sequence[bool], stops: Callable[[int, int], bool]) -> None:
        """Which nodes run, and between which of them nothing goes."""
        up = [node for node in self.electors if running[node]]
        heard = [
            sum(one == other or not (stops(one, other) or stops(other, one)) for other in up) for one in up
        ]
        self.able = max(heard, default=0) > len(self.electors) // 2
        self.running = list(running)
        self.look(now)

    def held(self, now: int, node: int, holds: bool) -> None:
        """A node says that it holds the duty from now on, or no longer."""
        if holds:
            self.changes += self.claims[-1:] != [node]
            self.claims = [*(other for other in self.claims if other != node), node]
        else:
            self.claims = [other for other in self.claims if other != node]
        self.look(now)

    @property
    def holder(self) -> int | None:
        """Whoever has said last that it holds the duty, and runs: stopped for a moment, it does so again."""
        return next((node for node in reversed(self.claims) if self.running[node]), None)

    def look(self, now: int) -> None:
        waits = self.able and self.holder is None
        if waits and self.could_since is None:
            self.could_since = now
        elif not waits and self.could_since is not None:
            self.unheld_us.append(now - self.could_since)
            self.could_since = None

    def row(self, now: int) -> dict[str, float | int]:
        """The longest time without a holder while a majority of the electors could hear each other."""
        waits = [now - self.could_since] if self.could_since is not None else []
        return {
            "two_holders": self.two_holders,
            "unheld_s": max([*self.unheld_us, *waits], default=0) / 1e6,
            "duty_changes": self.changes,
            "orders": self.orders,
        }


def tenures_of(day: Day, now: int) -> dict[str, Tenures]:
    """The judges of a day's duties."""
    cluster = day.cluster
    duties = ("allotter",) * cluster.allot + ("pacer",) * cluster.pace
    return {duty: Tenures(range(cluster.electors), now) for duty in duties}


def holders_of(tenures: Iterable[Tenures]) -> list[int]:
    """Nodes that hold any duty."""
    return sorted({judge.holder for judge in tenures if judge.holder is not None})


def row_of(tenures: Mapping[str, Tenures], now: int) -> dict[str, float | int]:
    """Of all duties: the longest time without a holder, all else added up."""
    rows = [judge.row(now) for judge in tenures.values()]
    return {key: (max if key == "unheld_s" else sum)(row[key] for row in rows) for key in (rows or [{}])[0]}
