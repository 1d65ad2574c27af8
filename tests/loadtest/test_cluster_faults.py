"""Clusters of node processes under faults, checked from outside."""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import Any

import pytest

from larchlatch.loadtest.cluster import Cluster
from larchlatch.loadtest.limits import check_playable
from larchlatch.loadtest.run import LoadTestRun
from larchlatch.scenario.scenario_file import parse_scenario

AGREEMENT_TIMEOUT_S = 8.0  # for all nodes to agree; four times the usual time, as the machine may be busy

FAULTS: dict[str, list[dict[str, Any]]] = {
    "cut": [
        {"kind": "part", "at_s": 3.0, "zone": 1, "for_s": 6.0},
        {"kind": "part", "at_s": 15.0, "nodes": 2, "oneway": True, "for_s": 6.0},
    ],
    "stopped": [
        {"kind": "skew", "at_s": 0.5, "nodes": 3, "share": 0.01, "for_s": 24.0},
        {"kind": "skew", "at_s": 0.5, "nodes": 2, "share": -0.01, "for_s": 24.0},
        {"kind": "liar", "at_s": 1.0, "nodes": 1, "about": "budget", "for_s": 20.0},
        {"kind": "stall", "at_s": 3.0, "nodes": 2, "for_s": 6.0},
        {"kind": "kill", "at_s": 13.0, "nodes": 2},
    ],
    "loans": [
        {"kind": "lossy", "at_s": 1.0, "loss": 0.1, "again": 0.3, "again_s": 2.0, "for_s": 24.0},
        {"kind": "part", "at_s": 4.0, "zone": 0, "oneway": True, "for_s": 4.0},
        {"kind": "kill", "at_s": 9.5, "nodes": 2},
        {"kind": "kill", "at_s": 12.0, "nodes": 2},
        {"kind": "expel", "at_s": 17.0, "nodes": 1, "told_s": 2.5},
    ],
}


class InvalidDatagramsRun(LoadTestRun):
    """A run in which random bytes are sent to the datagram port of a node all the time."""

    sent = 0

    async def run(self) -> None:
        self.tasks.start(self.send_invalid_datagrams)
        await super().run()

    async def send_invalid_datagrams(self) -> None:
        assert self.cluster is not None
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with sock:
            while True:
                for number in range(50):
                    datagram = self.streams.stream(f"noise {self.sent}").randbytes(8 + number * 11)
                    sock.sendto(datagram, self.cluster.nodes[0])
                    self.sent += 1
                await asyncio.sleep(0.01)


def build_scenario(faults: list[dict[str, Any]], span_s: float, **changes: Any) -> Any:
    return check_playable(
        parse_scenario(
            {
                "span_s": span_s,
                "cluster": {"on": True, "links_per_s": 10.0, "window_s": 2.0},
                "nodes": {"count": 8, "back_s": 3.0, "noticed_s": 0.3},
                "hosts": [{"count": 4, "size": 2.0}],
                "links": {"rate": 14.0, "life_s": 3.0, "beat_s": 0.5, "uneven": 1.0},
                "faults": faults,
                **changes,
            },
            "day",
        )
    )


def test_nodes_agree_on_members_and_keep_the_quota_through_faults_between_them() -> None:
    """Guards against wrong membership and an exceeded quota after partitions, pauses, kills, drifting clocks,
    false reports and lost datagrams. Three scenarios run at the same time.
    """
    runs = [LoadTestRun(build_scenario(faults, 25.0)) for faults in FAULTS.values()]

    async def play_all() -> list[dict[str, Any]]:
        return await asyncio.gather(*(run.play() for run in runs))

    for run, row in zip(runs, asyncio.run(play_all()), strict=True):
        assert_invariants_held(run, row)


def assert_invariants_held(run: LoadTestRun, row: dict[str, Any]) -> None:
    membership = run.checkers.membership
    assert run.cluster is not None and not membership.differing_pairs, (
        "nodes that can reach each other must agree at the end"
    )
    assert (
        len(membership.agreed_after_us) >= 4 and max(membership.agreed_after_us) < AGREEMENT_TIMEOUT_S * 1e6
    ), membership.agreed_after_us
    assert row["cluster_bytes_s"] < 20_000
    assert row["over_budget"] == 0 and row["budget_used"] > 0.3 and row["shed"] > 20
    assert row["outside"] == 0 and run.observer.quota is not None
    assert run.observer.quota.reports > 100, "each node must report its range once a second"
    assert not any(row["broken"].values()), run.observer.descriptions


def test_crashed_upstream_is_avoided_by_all_nodes_beside_a_byzantine_one() -> None:
    faults = [
        {"kind": "liar", "at_s": 1.0, "nodes": 1, "about": "hosts", "for_s": 12.0},
        {"kind": "crash", "at_s": 5.0, "hosts": 1, "for_s": 7.0},
    ]
    row = asyncio.run(LoadTestRun(build_scenario(faults, 14.0)).play())
    assert row["avoided_not"] == 0 and 0 < row["avoided_s"] < AGREEMENT_TIMEOUT_S, (
        "all nodes must avoid it, also those without a session there"
    )
    assert row["hearsay_wrong"] == 0 and not any(row["broken"].values())


def test_upstreams_of_an_isolated_zone_stay_in_service_for_their_own_nodes() -> None:
    faults = [{"kind": "cut", "at_s": 4.0, "zone": 1, "for_s": 7.0}]
    changes = {
        "zones": 3,
        "nodes": {"count": 9},
        "hosts": [{"count": 6, "size": 2.0}],
        "links": {"rate": 14.0, "life_s": 3.0, "beat_s": 0.5},
    }
    run = LoadTestRun(build_scenario(faults, 16.0, **changes, cluster={"on": True}))
    row = asyncio.run(run.play())
    assert row["hearsay_wrong"] == 0 and row["members_wrong"] == 0
    assert row["delivered"] > 100 and not any(row["broken"].values()), run.observer.descriptions
    assert run.zone_connections.isolated_zones == [] and run.discovery.proxy_ports != []


def test_one_node_holds_each_role_through_faults_between_nine() -> None:
    """Guards against a role with two holders, which can come about as holders are paused for longer than a
    term, a zone is partitioned, nodes are killed and clocks drift. There are two roles; restarted upstreams
    make the token issuer issue tokens.
    """
    faults = [
        {"kind": "skew", "at_s": 0.5, "nodes": 3, "share": 0.01, "for_s": 35.0},
        {"kind": "skew", "at_s": 0.5, "nodes": 3, "share": -0.01, "for_s": 35.0},
        {"kind": "lossy", "at_s": 1.0, "loss": 0.1, "double": 0.1, "reorder": 0.1, "for_s": 40.0},
        {"kind": "stall", "at_s": 10.0, "holder": True, "for_s": 5.0},
        {"kind": "part", "at_s": 18.0, "zone": 1, "for_s": 6.0},
        {"kind": "stall", "at_s": 25.0, "holder": True, "for_s": 4.0},
        {"kind": "kill", "at_s": 27.0, "nodes": 2},
        {"kind": "crash", "at_s": 7.0, "hosts": 2, "for_s": 1.0},
        {"kind": "crash", "at_s": 22.0, "hosts": 2, "for_s": 1.0},
    ]
    changes = {
        "zones": 3,
        "cluster": {"on": True, "links_per_s": 45.0, "term_s": 2.0, "allot": True, "pace": True},
        "nodes": {"count": 9, "back_s": 4.0, "noticed_s": 0.3},
        "hosts": [{"count": 4, "size": 4.0}],
        "links": {"rate": 60.0, "life_s": 2.0, "beat_s": 0.5, "uneven": 1.0, "retries": 1},
    }
    run = LoadTestRun(build_scenario(faults, 36.0, **changes))
    row = asyncio.run(run.play())
    assert row["two_holders"] == 0 and row["over_budget"] == 0 and row["outside"] == 0
    assert row["duty_changes"] >= 4 and row["orders"] > 50
    assert run.checkers.leaders["pacer"].orders > 0
    assert row["cold_over"] == 0 and row["bears_s"] is not None
    assert row["unheld_s"] < 2.0 + AGREEMENT_TIMEOUT_S, (
        "a role may be vacant for a term and a margin for a busy machine"
    )
    assert not any(row["broken"].values()), run.observer.descriptions


class HolderShutdownRun(LoadTestRun):
    """A run that shuts down the holder of a role, and measures how long until another node holds it."""

    handover_s = 0.0

    async def run(self) -> None:
        self.tasks.start(self.shut_down_holder)
        await super().run()

    async def shut_down_holder(self) -> None:
        leader = self.checkers.leaders["allotter"]
        while leader.holder is None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.0)
        old_holder, began_s = leader.holder, self.clock.elapsed_s()
        node = self.fleet.nodes[old_holder]
        assert node.running
        node.send_signal(signal.SIGTERM)
        await asyncio.sleep(self.scenario.nodes.detection_s)
        node.in_rotation = False  # clients no longer connect to it: a late one would find no process
        while leader.holder in (None, old_holder):
            await asyncio.sleep(0.02)
        self.handover_s = self.clock.elapsed_s() - began_s


def test_role_is_handed_over_long_before_its_term_ends_if_its_holder_shuts_down() -> None:
    term_s = 5.0
    changes = {
        "zones": 3,
        "cluster": {"on": True, "links_per_s": 15.0, "term_s": term_s, "allot": True},
        "nodes": {"count": 3},
        "links": {"rate": 20.0, "life_s": 2.0, "beat_s": 0.5},
    }
    run = HolderShutdownRun(build_scenario([], 14.0, **changes))
    row = asyncio.run(run.play())
    assert 0 < run.handover_s < term_s / 2 and row["two_holders"] == 0 and row["over_budget"] == 0
    assert not any(row["broken"].values()), run.observer.descriptions


def test_invalid_datagrams_at_a_node_change_nothing() -> None:
    run = InvalidDatagramsRun(build_scenario([], 6.0))
    row = asyncio.run(run.play())
    assert run.sent > 2000 and run.cluster is not None
    assert not run.checkers.membership.differing_pairs and row["members_wrong"] == 0
    assert row["delivered"] > 20 and not any(row["broken"].values())


def test_nodes_without_a_cluster_file_never_agree(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a membership check that always passes: nodes outside a cluster must never agree."""
    monkeypatch.setattr(Cluster, "arguments", lambda cluster, number: [])
    run = LoadTestRun(build_scenario([], 3.0))
    asyncio.run(run.play())
    assert run.checkers.membership.figures(0)["agreed_s"] is None
