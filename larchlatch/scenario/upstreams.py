"""What a host can do: setups by a queue, standing links by their load. No I/O; time is handed in.

The load tool's stand-ins on sockets are the same hosts, on the machine's clock.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterator
from enum import Enum

from larchlatch.scenario.amounts import SECOND, us
from larchlatch.scenario.scenario import Cold, Day

QUEUE_US = 2 * SECOND  # a setup that would wait longer for its turn is refused
FAIR = 0.9  # load over capacity up to which messages are answered at once
STEEP = 8  # the power by which they are later above it
LATEST = 40.0  # times the wanted time that a message takes at the most
TOO_MUCH = 1.5  # load over capacity above which links are dropped
DROPPED = 0.3  # of the links that are too many, so many are dropped in one tick


class Condition(Enum):
    """What happens to those who call."""

    WELL = "well"
    DEAD = "dead"  # the machine is there, the process is not
    SILENT = "silent"  # nothing comes back
    ABSENT = "absent"  # there is no such host, not yet or no more


class Upstream:
    def __init__(self, number: int, zone: int, cell: int, size: float, cold: Cold) -> None:
        self.number = number
        self.zone = zone
        self.cell = cell
        self.size = size
        self.cold = cold
        self.condition = Condition.WELL
        self.draining = False
        self.started_at = 0  # 0: long ago
        self.life = 0  # counts starts: what an earlier process had in hand is void
        self.slowness = 1.0
        self.free_at: list[int] = [0] * max(1, round(size))  # when each of its cores is next free for a setup
        self.load = 0.0  # work a second of the links that stand there, in microseconds
        self.sessions: dict[int, float] = {}  # by their numbers
        self.groups: Counter[int] = Counter()
        self.sent: list[tuple[int, float]] = []  # load of what was sent to it while it was cold

    def start(self, now: int) -> None:
        """A new process: cold, with nothing in hand."""
        self.condition, self.draining = Condition.WELL, False
        self.started_at = max(1, now)
        self.stop()

    def stop(self) -> None:
        self.life += 1
        self.sessions.clear()
        self.groups.clear()
        self.sent.clear()
        self.load = 0.0
        self.free_at = [0] * len(self.free_at)

    def warmth(self, now: int) -> float:
        span = us(self.cold.warm_s)
        if not self.started_at or now >= self.started_at + span:
            return 1.0
        return self.cold.least + (1 - self.cold.least) * (now - self.started_at) / span

    def speed(self, now: int) -> float:
        """Of a core, against a core that is well."""
        return self.warmth(now) / self.slowness

    def capacity(self, now: int) -> float:
        """Work a second, in microseconds."""
        return self.size * self.speed(now) * SECOND

    def fullness(self, now: int) -> float:
        """The load asked of it over what it can do."""
        return self.load / self.capacity(now)

    def admit(self, now: int, work_us: float) -> int | None:
        """When a setup that has come now is done; None where it is refused."""
        begin = max(now, self.free_at[0])
        if self.draining or begin > now + QUEUE_US:
            return None
        end = begin + round(work_us / self.speed(now))
        heapq.heapreplace(self.free_at, end)
        return end

    def add(self, session: int, load: float, group: int, group_load: float) -> None:
        if session in self.sessions:
            return
        if group_load and not self.groups[group]:
            self.load += group_load
        self.groups[group] += 1
        self.sessions[session] = load
        self.load += load

    def remove(self, session: int, group: int, group_load: float) -> bool:
        load = self.sessions.pop(session, None)
        if load is None:
            return False
        self.groups[group] -= 1
        self.load -= load
        if not self.groups[group]:
            del self.groups[group]
            self.load -= group_load
        if not self.sessions:
            self.load = 0.0  # what rounding has left
        return True

    def message_objective_us(self, now: int, wanted_us: int) -> int:
        """What a message takes here."""
        over = max(1.0, self.fullness(now) / FAIR)
        return round(wanted_us / 10 * min(10 * LATEST, over**STEEP))

    def drops(self, now: int) -> int:
        """How many links it drops now, as it bears far too much."""
        over = self.fullness(now)
        if self.condition is not Condition.WELL or over <= TOO_MUCH:
            return 0
        return int(len(self.sessions) * DROPPED * (1 - TOO_MUCH / over)) + 1

    def pushed(self, now: int, load: float) -> bool:
        """Count what is sent to it; whether it is more than a cold host bears."""
        if self.warmth(now) >= 1.0:
            self.sent.clear()
            return False
        self.sent.append((now, load))
        since = now - us(self.cold.tip_s)
        self.sent = [(at, some) for at, some in self.sent if at > since]
        # The last one is what tips it: a single link is never too much.
        before = sum(some for _, some in self.sent[:-1])
        return before > self.cold.overload_multiple * self.capacity(now) * self.cold.tip_s


def upstreams_of(day: Day) -> Iterator[Upstream]:
    """The hosts of a day, those that come later among them."""
    number = 0
    for entry in day.upstreams:
        for place in range(entry.count):
            upstream = Upstream(number, number % day.zones, number % day.cells, entry.size, day.cold)
            if place >= entry.count - entry.late:
                upstream.condition = Condition.ABSENT
            yield upstream
            number += 1
