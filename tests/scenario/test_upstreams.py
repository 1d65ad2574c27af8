"""Tests of the upstream model against known results of queueing theory."""

from __future__ import annotations

import random
from math import factorial
from statistics import fmean, stdev

import pytest

from larchlatch.scenario.scenario import SlowStart
from larchlatch.scenario.upstreams import SimulatedUpstream


def mean_wait(cores: int, utilization: float, seed: int, setup_count: int = 20_000) -> float:
    """Return the mean wait of setups at an upstream, in mean service times.

    Interarrival times and work are exponentially distributed, as in an M/M/c queue.

    Args:
        cores: The number of cores.
        utilization: The mean utilization of the cores, from 0 to 1.
        seed: The seed of the random numbers.
        setup_count: The number of setups.

    """
    rng = random.Random(seed)
    upstream = SimulatedUpstream(0, zone=0, cell=0, size=float(cores), slow_start=SlowStart())
    mean_work_us, now, waits = 10_000.0, 0.0, []
    for _ in range(setup_count):
        now += rng.expovariate(cores * utilization / mean_work_us)
        work_us = rng.expovariate(1 / mean_work_us)
        end = upstream.schedule_setup(round(now), work_us)
        if end is not None:
            waits.append(end - round(now) - round(work_us))
    return fmean(waits) / mean_work_us


def erlang_c_mean_wait(cores: int, utilization: float) -> float:
    """Return the mean wait in an M/M/c queue by the Erlang C formula, in mean service times."""
    offered_load = cores * utilization
    all_busy = offered_load**cores / factorial(cores) / (1 - utilization)
    wait_probability = all_busy / (sum(offered_load**k / factorial(k) for k in range(cores)) + all_busy)
    return wait_probability / (cores * (1 - utilization))


@pytest.mark.parametrize(("cores", "use"), [(1, 0.5), (1, 0.8), (4, 0.8), (8, 0.6)])
def test_mean_wait_of_setups_matches_the_erlang_c_formula(cores: int, use: float) -> None:
    """Guards against an upstream model whose queueing delay is wrong, which would distort all results."""
    waits = [mean_wait(cores, use, seed) for seed in range(10)]
    # Bounds of 99.9% for nine degrees of freedom; the seeds are fixed, so that the result is always the same.
    assert abs(fmean(waits) - erlang_c_mean_wait(cores, use)) < 4.78 * stdev(waits) / 10**0.5
