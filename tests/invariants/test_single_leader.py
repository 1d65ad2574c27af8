"""Tests of the checker of single leadership."""

from __future__ import annotations

from larchlatch.invariants.observations import FleetChanged, OrderExecuted, RoleChanged
from larchlatch.invariants.single_leader import SingleLeader
from larchlatch.scenario.amounts import SECOND

ROLE, OTHER_ROLE = "allotter", "pacer"


def test_an_order_of_an_outdated_lease_is_found() -> None:
    """Guards against a checker that misses an order with an outdated lease.

    It must also keep roles apart: a low lease of one role is not outdated by a high lease of another.
    """
    checker = SingleLeader(ROLE, range(3))
    for lease in (5, 5, 9, 9):
        checker.observe(OrderExecuted(0, ROLE, lease))
    assert checker.verdict().holds
    checker.observe(OrderExecuted(0, OTHER_ROLE, 5))
    assert checker.verdict().holds, "each role has its own leases"
    checker.observe(OrderExecuted(0, ROLE, 5))
    assert checker.verdict().violations == 1


def test_the_time_without_a_holder_counts_only_while_one_can_be_elected() -> None:
    """Guards against a checker that blames nodes for a vacant role that nobody could be elected to.

    A holder can be elected only while an elector exchanges messages with a majority of the electors.
    """
    checker, is_blocked = SingleLeader(ROLE, range(3)), [False]
    checker.observe(FleetChanged(0, [True] * 4, lambda sender, receiver: is_blocked[0]))
    checker.observe(RoleChanged(2 * SECOND, ROLE, 3, held=True))
    running_without_holder = [True, True, True, False]
    checker.observe(FleetChanged(5 * SECOND, running_without_holder, lambda sender, receiver: is_blocked[0]))
    is_blocked[0] = True
    checker.observe(FleetChanged(6 * SECOND, running_without_holder, lambda sender, receiver: is_blocked[0]))
    assert checker.figures(60 * SECOND)["unheld_s"] == 2.0, (
        "electors that reach no majority can't elect a holder"
    )
