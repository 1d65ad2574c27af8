"""Soaks of a minute and less, without violations, and with planted faults that they have to find."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from larchlatch.loadtest import cluster, node_fleet
from larchlatch.loadtest.node_process import NodeCommand
from larchlatch.loadtest.report import LoadTestResult
from larchlatch.soak.operations import Operation
from larchlatch.soak.run import run_soak
from larchlatch.soak.scenario import soak_scenario
from tests.soak.faulty_node import PLANTED_FAULT

FAULTY_NODE = "tests.soak.faulty_node"


@contextmanager
def planted(fault: str) -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(node_fleet, "SINGLE_NODE", NodeCommand(FAULTY_NODE, [], {}))
        patch.setattr(cluster, "FAULT_INJECTING_NODE_MODULE", FAULTY_NODE)
        patch.setenv(PLANTED_FAULT, fault)
        yield


def play(seed: int, minutes: float, *, in_cluster: bool) -> LoadTestResult:
    return run_soak(soak_scenario(seed, minutes, in_cluster=in_cluster), "127.0.0.1")


@pytest.mark.parametrize(("in_cluster", "minutes"), [(True, 1.0), (False, 0.5)])
def test_soak_has_no_violation(in_cluster: bool, minutes: float) -> None:
    """Guards against faults that the misbehaviour of a peer, or an operation, causes in a node."""
    row, violations = play(1, minutes, in_cluster=in_cluster)
    assert not violations, "\n".join(violations)
    assert not any(row["broken"].values())
    if in_cluster:
        assert row["over_budget"] == 0 and row["outside"] == 0 and row["agreed_s"] is not None
        assert row["broken"].keys() >= {"two_holders", "members_wrong"}
    assert set(row["operations"]) == set(Operation), "each operation must have been completed"
    assert row["delivered"] > 100


@pytest.mark.parametrize(
    ("fault", "in_cluster"), [("reset of an admin caller", False), ("loan of a removed member", True)]
)
def test_soak_finds_a_planted_fault(fault: str, in_cluster: bool) -> None:
    """Guards against a soak that misses what the review found: a process that ends.

    The time at which a node is removed decides whether it has lent then, so more than one seed may be needed.
    """
    with planted(fault):
        rows = (play(seed, 0.5, in_cluster=in_cluster).row for seed in (1, 3, 4))
        assert any(row["broken"]["ended"] for row in rows)
