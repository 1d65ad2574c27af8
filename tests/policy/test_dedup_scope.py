"""Repeats of keyed sessions: only to an upstream that certainly remembers the first attempt."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from larchlatch.config.deployment import zone_number
from larchlatch.policy.balancer import Balancer
from larchlatch.policy.types import (
    UNKNOWN_PLACE,
    DedupScope,
    Endpoint,
    EndpointState,
    Idempotency,
    Outcome,
    Session,
    TrafficClass,
)
from tests.support.balancer_harness import SETTINGS

ZONES = {"a": 0, "b": 1}


def may_repeat(
    scope: DedupScope, first: tuple[int, int], other: tuple[int, int], *, same: bool = False
) -> bool:
    """Return whether a session that may have run at the first place may be repeated at the other one."""
    keyed = TrafficClass(500_000, 0, Idempotency.KEYED, scope, 5_000_000)
    balancer = Balancer(replace(SETTINGS, traffic_classes=(keyed,)), random.Random(1))
    places = [first, other]
    rows = [Endpoint(n, f"h{n}", *place, EndpointState.READY, 1.0, 0) for n, place in enumerate(places)]
    balancer.update_endpoints(0, rows[:1], whole=True, from_discovery=True)
    session = Session(1, 0, 5, None, 3_000_000)
    balancer.place(0, session)
    balancer.update_endpoints(0, rows, whole=True, from_discovery=True)
    balancer.outcome(1, session, Outcome.ERROR, answered=True)
    return balancer.retries.may_retry(2, session, balancer.fleet.upstreams[0 if same else 1])


@pytest.mark.parametrize(
    ("scope", "known", "unknown"),
    [
        (DedupScope.ZONE, (1, 1), (UNKNOWN_PLACE, 1)),
        (DedupScope.CELL, (1, 1), (1, UNKNOWN_PLACE)),
    ],
)
def test_upstreams_of_unknown_places_remember_only_their_own_attempts(
    scope: DedupScope, known: tuple[int, int], unknown: tuple[int, int]
) -> None:
    """Guards against a second run in another zone or cell, as all that were unknown counted as one."""
    assert may_repeat(scope, known, known)
    assert not may_repeat(scope, known, unknown)
    assert not may_repeat(scope, unknown, unknown)
    assert may_repeat(scope, unknown, unknown, same=True)
    assert may_repeat(DedupScope.ALL, unknown, unknown)


def test_zones_that_the_settings_do_not_name_are_different_ones() -> None:
    assert [zone_number(ZONES, name) for name in ("a", "b", "")] == [0, 1, UNKNOWN_PLACE]
    unnamed = [zone_number(ZONES, name) for name in ("c", "d", "c")]
    assert unnamed[0] == unnamed[2] != unnamed[1]
    assert not {*unnamed} & {*ZONES.values(), UNKNOWN_PLACE}
    assert may_repeat(DedupScope.ZONE, (unnamed[0], 1), (unnamed[2], 2))
    assert not may_repeat(DedupScope.ZONE, (unnamed[0], 1), (unnamed[1], 1))
