"""Tests of the hash ring and of the choice between two candidates against known theoretical results."""

from __future__ import annotations

import random
from statistics import fmean, stdev

import pytest

from larchlatch.policy.balancer import Balancer
from larchlatch.policy.types import Endpoint, EndpointState
from larchlatch.scenario.node_settings import deployment_settings
from larchlatch.scenario.scenario_file import parse_scenario


def test_two_choices_keep_the_fullest_bin_far_below_that_of_one() -> None:
    """The fullest bin holds about ln n / ln ln n balls with one choice, and ln ln n / ln 2 with two."""
    fullest_bins: dict[int, list[int]] = {1: [], 2: []}
    for seed in range(5):
        for choices in fullest_bins:
            rng, bins = random.Random(seed), [0] * 2000
            for _ in range(2000):
                chosen_bin = min(rng.choices(range(2000), k=choices), key=bins.__getitem__)
                bins[chosen_bin] += 1
            fullest_bins[choices].append(max(bins))
    assert fmean(fullest_bins[1]) > 5 and fmean(fullest_bins[2]) <= 4


@pytest.mark.parametrize("name", ["{}", "h{}", "h-{}", "host{:04}", "rack 7, number {:06}", "{0:x}.{0}"])
def test_arcs_of_the_ring_become_even_with_more_points(name: str) -> None:
    """If names gave poor hashes, points would cluster and upstreams of one size would differ too much.

    The share of an upstream should vary by one over the square root of the number of its ring points.
    """
    deviations = {}
    for size in (1.0, 4.0):
        balancer = Balancer(deployment_settings(parse_scenario({}, "day"), 0), random.Random(1))
        upstreams = [Endpoint(n, name.format(n), 0, 0, EndpointState.READY, size, 0) for n in range(40)]
        balancer.update_endpoints(0, upstreams, whole=True, from_discovery=True)
        arcs = dict.fromkeys(range(40), 0)
        previous_point = balancer.ring.hash_ring.points[-1] - 2**64
        for point in balancer.ring.hash_ring.points:
            arcs[point & 0xFFFFFF] += point - previous_point
            previous_point = point
        shares = [arc / 2**64 * 40 for arc in arcs.values()]
        assert abs(fmean(shares) - 1) < 1e-6
        deviations[size] = stdev(shares)
    assert 0.10 < deviations[1.0] < 0.28 and 1.4 < deviations[1.0] / deviations[4.0] < 2.9
