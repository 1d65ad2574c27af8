"""The demand of a scenario: which clients arrive when, and what they want. Both players use the same."""

from __future__ import annotations

from bisect import bisect
from dataclasses import dataclass
from itertools import accumulate
from typing import TYPE_CHECKING

from larchlatch.scenario.amounts import us

if TYPE_CHECKING:
    from collections.abc import Iterator

    from larchlatch.scenario.random_streams import RandomStreams
    from larchlatch.scenario.scenario import Scenario

# A client whose session broke or was migrated is back after a time between these.
MIN_RECONNECT_US = 50_000
MAX_RECONNECT_US = 250_000


@dataclass(slots=True)
class Client:
    """A client and how far it has come.

    Attributes:
        number: Counts clients from 1.
        due: When it arrives, in microseconds after the start; the emulator sets it to its clock's time, and
            anew whenever the client wants a session again.
        life_us: How long it wants to be served, in microseconds.
        load: Work a second that its session costs, in microseconds.
        work_us: Work of establishing its session, in microseconds.
        key: Its key on the ring.
        group: Its group.
        traffic_class: Index of its traffic class.
        zone: Its zone.
        ends_at: When it has been served for as long as it wanted.
        rejections: Rejections in a row.
        sessions: How many sessions it has asked for.
        done: Whether it has left for good.

    """

    number: int
    due: int
    life_us: int
    load: float
    work_us: float
    key: int
    group: int
    traffic_class: int
    zone: int
    ends_at: int = 0
    rejections: int = 0
    sessions: int = 0
    done: bool = False


def client_arrivals(scenario: Scenario, streams: RandomStreams) -> Iterator[Client]:
    """Yield all clients in the order of their arrival."""
    sessions = scenario.sessions
    arrivals, properties = streams.stream("arrivals"), streams.stream("clients")
    group_sizes = list(accumulate(1 / (rank + 1) ** sessions.group_skew for rank in range(sessions.groups)))
    now_s, number = 0.0, 0
    while True:
        now_s += arrivals.expovariate(sessions.rate)
        if now_s >= scenario.span_s:
            return
        number += 1
        # Each client takes the same number of draws: a changed setting changes no other property.
        life, load, work = (properties.expovariate(1.0) for _ in range(3))
        group = bisect(group_sizes, properties.random() * group_sizes[-1])
        traffic_class, zone = properties.random(), properties.random()
        yield Client(
            number=number,
            due=us(now_s),
            life_us=us(life * sessions.lifetime_s),
            load=load * sessions.load_ms * 1000,
            work_us=work * sessions.setup_ms * 1000,
            key=number,
            group=min(group, sessions.groups - 1) + 1,
            traffic_class=int(traffic_class * len(sessions.idempotencies)),
            zone=int(zone * scenario.zones),
        )


def entry_node_index(draw: float, count: int, imbalance: float) -> int:
    """Return the index of the node that a client is sent to.

    Args:
        draw: A number from 0 to 1, drawn evenly.
        count: How many nodes there are to choose from.
        imbalance: How unevenly clients fall on them; 0 is evenly.

    """
    return int(draw ** (1 + imbalance) * count) if imbalance else int(draw * count)
