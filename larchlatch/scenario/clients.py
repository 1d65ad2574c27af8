"""The demand of a day: who comes when, for how long, with what. The same for the emulator and for sockets."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import accumulate

from larchlatch.scenario.amounts import us
from larchlatch.scenario.chance import Chance
from larchlatch.scenario.scenario import Day

RETURN_US = (50_000, 250_000)  # a client whose link broke or was moved is back between these


@dataclass(slots=True)
class Client:
    """One client of the day: what it brings along, and how far it has come."""

    number: int
    due: int  # when it comes for the first time
    life_us: int
    load: float  # work a second, in microseconds
    work_us: float  # of a setup
    key: int
    group: int
    traffic_class: int
    zone: int
    ends_at: int = 0  # when it has had what it came for
    rejections: int = 0  # refusals since it last had its link
    sessions: int = 0  # ids that it has used
    done: bool = False


def demand(day: Day, chance: Chance) -> Iterator[Client]:
    """All clients in the order in which they come."""
    sessions = day.sessions
    arrivals, kinds = chance.stream("arrivals"), chance.stream("clients")
    sizes = list(accumulate(1 / (place + 1) ** sessions.skew for place in range(sessions.groups)))
    now, end, number = 0.0, day.span_s, 0
    while True:
        now += arrivals.expovariate(sessions.rate)
        if now >= end:
            return
        number += 1
        # Each draws as often as every other, so that one changed figure leaves the others' chance alone.
        life, load, work = (kinds.expovariate(1.0) for _ in range(3))
        group = bisect(sizes, kinds.random() * sizes[-1])
        traffic_class, zone = kinds.random(), kinds.random()
        yield Client(
            number,
            us(now),
            us(life * sessions.life_s),
            load * sessions.load_ms * 1000,
            work * sessions.setup_ms * 1000,
            key=number,
            group=min(group, sessions.groups - 1) + 1,
            traffic_class=int(traffic_class * len(sessions.effects)),
            zone=int(zone * day.zones),
        )


def front_of(draw: float, count: int, uneven: float) -> int:
    """To which of so many nodes a client is sent; draw: evenly drawn from 0 to 1."""
    return int(draw ** (1 + uneven) * count) if uneven else int(draw * count)
