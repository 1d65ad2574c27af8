"""Tests of the paths between nodes: partitions and the impairment of datagrams."""

from __future__ import annotations

from larchlatch.scenario.datagram_paths import DatagramPaths, PartitionedNodes, PathImpairment
from larchlatch.scenario.random_streams import RandomStreams


def test_partitions_block_each_direction_by_itself() -> None:
    """Guards against partitions that block too much.

    A one-way partition must block only one direction, and no partition may separate the nodes on one side.
    """
    paths = DatagramPaths(RandomStreams(1))
    paths.partitions.append(PartitionedNodes(frozenset({0, 1})))
    pairs = ((0, 1), (0, 2), (2, 0), (2, 3))
    assert [paths.is_blocked(*pair) for pair in pairs] == [False, True, True, False]
    paths.partitions.append(PartitionedNodes(frozenset({1}), oneway=True))
    assert paths.is_blocked(1, 0) and not paths.is_blocked(0, 1), (
        "node 1 must not reach node 0, but must receive from it"
    )


def test_each_impaired_path_loses_duplicates_and_delays_by_its_own_random_numbers() -> None:
    """Guards against wrong rates of impairment, and against random numbers that paths share.

    If paths drew from a common stream, traffic on one path would change which datagrams another path loses.
    """
    paths = DatagramPaths(RandomStreams(1))
    paths.impairment = PathImpairment(loss=0.2, duplication=0.1, reordering=0.1, delay_us=1000)
    delays = [paths.delays_of_next(0, 1) for _ in range(4000)]
    assert 0.17 < sum(not each for each in delays) / 4000 < 0.23
    assert 0.06 < sum(len(each) == 2 for each in delays) / 4000 < 0.10
    assert min(delay for each in delays for delay in each) == 1000
    other = DatagramPaths(RandomStreams(1))
    other.impairment = paths.impairment
    for number in range(50):
        other.delays_of_next(1, 0)
        message = "datagrams on another path must not change the delays on this path"
        assert other.delays_of_next(0, 1) == delays[number], message
