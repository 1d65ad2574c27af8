"""Tests of the upstream model against known results of queueing theory."""

from __future__ import annotations

import random
from math import factorial
from statistics import fmean, stdev

import pytest

from larchlatch.scenario.scenario import SlowStart
from larchlatch.scenario.upstreams import SimulatedUpstream


def mean_wait(cores: int, use: float, seed: int, number: int = 20_000) -> float:
    """Return the mean wait of setups at an upstream, in mean service times.

    Interarrival times and work are exponentially distributed, as in an M/M/c queue.

    Args:
        cores: The number of cores.
        use: The utilization.
        seed: The seed of the random numbers.
        number: The number of setups.

    """
    chance = random.Random(seed)
    upstream = SimulatedUpstream(0, zone=0, cell=0, size=float(cores), slow_start=SlowStart())
    work, now, waits = 10_000.0, 0.0, []
    for _ in range(number):
        now += chance.expovariate(cores * use / work)
        took = chance.expovariate(1 / work)
        end = upstream.schedule_setup(round(now), took)
        if end is not None:
            waits.append(end - round(now) - round(took))
    return fmean(waits) / work


def erlang(cores: int, use: float) -> float:
    """Return the mean wait in an M/M/c queue by the Erlang C formula, in mean service times."""
    asked = cores * use
    full = asked**cores / factorial(cores) / (1 - use)
    waits = full / (sum(asked**k / factorial(k) for k in range(cores)) + full)
    return waits / (cores * (1 - use))


@pytest.mark.parametrize(("cores", "use"), [(1, 0.5), (1, 0.8), (4, 0.8), (8, 0.6)])
def test_setups_wait_as_long_as_the_closed_form_says(cores: int, use: float) -> None:
    """Guards against an upstream model whose queueing delay is wrong, which would distort all results."""
    waits = [mean_wait(cores, use, seed) for seed in range(10)]
    # Bounds of 99.9% for nine degrees of freedom; the seeds are fixed, so that the result is always the same.
    assert abs(fmean(waits) - erlang(cores, use)) < 4.78 * stdev(waits) / 10**0.5
