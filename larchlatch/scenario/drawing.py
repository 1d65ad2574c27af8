"""Faults between nodes drawn from a day's seed, so that many days differ in what befalls them."""

from __future__ import annotations

from random import Random

import msgspec

from larchlatch.scenario.chance import Chance
from larchlatch.scenario.faults import AnyFault, Crash, Kill, Part, Stall
from larchlatch.scenario.scenario import Day

MARGIN_S = 8.0  # at both ends of a day: until all have begun, and until all is over
LONGEST_S = 8.0  # that a fault lasts
MOST_KILLED = 4  # at a time; and of all nodes fewer than half


def with_drawn(day: Day, count: int) -> Day:
    """The day with so many faults more."""
    chance = Chance(day.seed).stream("drawn")
    drawn = [one(day, chance) for _ in range(count)]
    return msgspec.structs.replace(day, faults=[*day.faults, *drawn])


def one(day: Day, chance: Random) -> AnyFault:
    last_s = max(MARGIN_S, day.span_s - MARGIN_S)
    at_s, for_s = chance.uniform(MARGIN_S, last_s), chance.uniform(0.5, LONGEST_S)
    some = chance.randint(1, max(1, min(MOST_KILLED, (day.nodes.count - 1) // 2)))
    kinds = ["stall", "kill", "crash"]
    if day.cluster.on:
        kinds += ["zone", "oneway"]
    if day.cluster.allot or day.cluster.pace:
        kinds.append("holder")
    match chance.choice(kinds):
        case "stall":
            return Stall(at_s, nodes=min(2, some), for_s=for_s)
        case "holder":
            return Stall(at_s, holder=True, for_s=for_s)
        case "kill":
            return Kill(at_s, nodes=some)
        case "zone":
            return Part(at_s, zone=chance.randrange(day.zones), for_s=for_s)
        case "oneway":
            return Part(at_s, nodes=some, oneway=True, for_s=for_s)
        case _:
            return Crash(at_s, upstreams=1, for_s=min(for_s, 2.0))
