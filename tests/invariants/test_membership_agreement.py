"""Tests of the checker of membership agreement."""

from __future__ import annotations

from larchlatch.invariants.membership_agreement import SETTLED_US, MembershipAgreement
from larchlatch.invariants.observations import FleetChanged, MemberReported
from larchlatch.scenario.datagram_paths import PartitionedNodes


def test_wrong_silence_reports_are_counted_and_agreement_is_timed() -> None:
    """Guards against a checker that misses errors or reports errors that are none.

    It is an error to consider a reachable node silent, but not to consider a partitioned node silent.
    """
    checker, partition = MembershipAgreement(3, 0), PartitionedNodes(frozenset({2}))
    checker.observe(FleetChanged(0, [True] * 3, lambda sender, receiver: False))
    for node in range(3):
        for member in range(3):
            if node != member:
                checker.observe(MemberReported(300, node, member, present=True))
    assert checker.agreed_after_us == [300]
    checker.observe(MemberReported(SETTLED_US + 1, 0, 1, present=False))
    assert checker.verdict().violations == 1, "node 1 was reachable all the time"
    checker.observe(MemberReported(SETTLED_US + 2, 0, 1, present=True))
    checker.observe(FleetChanged(SETTLED_US + 10, [True] * 3, partition.blocks))
    assert checker.figures(SETTLED_US + 10)["agreed_s"] is None
    for node, member in ((0, 2), (1, 2), (2, 0), (2, 1)):
        checker.observe(MemberReported(SETTLED_US + 50, node, member, present=False))
    assert checker.agreed_after_us == [300, 40]
    assert checker.verdict().violations == 1, "a partitioned node is rightly considered silent"
    oneway = PartitionedNodes(frozenset({0}), oneway=True)
    checker.observe(FleetChanged(SETTLED_US + 60, [True] * 3, oneway.blocks))
    assert not checker.reachable[1][0] and checker.reachable[0][1], (
        "node 0 does not reach node 1, but receives from it"
    )
