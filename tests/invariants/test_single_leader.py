"""The checker of single leaders finds orders of an outdated lease, and times without a holder."""

from __future__ import annotations

from larchlatch.invariants.observations import FleetChanged, OrderExecuted, RoleChanged
from larchlatch.invariants.single_leader import SingleLeader
from larchlatch.scenario.amounts import SECOND

ROLE, OTHER_ROLE = "allotter", "pacer"


def test_an_order_of_an_outdated_lease_is_found() -> None:
    checker = SingleLeader(ROLE, range(3))
    for lease in (5, 5, 9, 9):
        checker.observe(OrderExecuted(0, ROLE, lease))
    assert checker.verdict().holds
    checker.observe(OrderExecuted(0, OTHER_ROLE, 5))
    assert checker.verdict().holds, "another role has leases of its own"
    checker.observe(OrderExecuted(0, ROLE, 5))
    assert checker.verdict().violations == 1


def test_the_time_without_a_holder_counts_only_while_one_can_be_elected() -> None:
    checker, is_blocked = SingleLeader(ROLE, range(3)), [False]
    checker.observe(FleetChanged(0, [True] * 4, lambda sender, receiver: is_blocked[0]))
    checker.observe(RoleChanged(2 * SECOND, ROLE, 3, held=True))
    without_holder = [True, True, True, False]
    checker.observe(FleetChanged(5 * SECOND, without_holder, lambda sender, receiver: is_blocked[0]))
    is_blocked[0] = True
    checker.observe(FleetChanged(6 * SECOND, without_holder, lambda sender, receiver: is_blocked[0]))
    assert checker.figures(60 * SECOND)["unheld_s"] == 2.0, "electors that hear nobody can elect nobody"
