"""The demand of a scenario: when clients arrive, and what each requests.

The emulator and the load test use the same clients, so that their results can be compared.
"""

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

# A client whose session was lost or migrated reconnects after a random time between these.
MIN_RECONNECT_US = 50_000
MAX_RECONNECT_US = 250_000


@dataclass(slots=True)
class Client:
    """A client of a scenario: what it requests, and its progress.

    Attributes:
        number: The client's number in the order of arrival, from 1.
        due: When the client arrives, in microseconds after the start of the scenario; the emulator replaces
            it by the time of its own clock, also whenever the client begins to request another session.
        life_us: How long the client wants to be served, in microseconds.
        load: Work that its established session causes, in microseconds of a core per second.
        work_us: Work of establishing its session, in microseconds of a core.
        key: The key by which the consistent-hash ring places its session.
        group: The number of its group, from 1.
        traffic_class: Index of its traffic class.
        zone: The number of its zone, from 0.
        ends_at: When the time for which it wants to be served is over.
        rejections: Consecutive rejections of its requests.
        sessions: How many sessions it has requested.
        done: Whether it will not return.

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
    """Yield all clients of a scenario in the order of their arrival, which is a Poisson process."""
    sessions = scenario.sessions
    arrivals, properties = streams.stream("arrivals"), streams.stream("clients")
    group_sizes = list(accumulate(1 / (rank + 1) ** sessions.group_skew for rank in range(sessions.groups)))
    now_s, number = 0.0, 0
    while True:
        now_s += arrivals.expovariate(sessions.rate)
        if now_s >= scenario.span_s:
            return
        number += 1
        # Each client takes the same number of draws, so that a changed setting affects only one property.
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
    """Return the index of the node that a client connects to.

    Args:
        draw: A uniformly distributed random number from 0 to 1.
        count: The number of nodes to choose from.
        imbalance: How strongly nodes of low index are preferred; 0 distributes clients uniformly.

    """
    return int(draw ** (1 + imbalance) * count) if imbalance else int(draw * count)
