"""Tests of reading the nodes' logs."""

from __future__ import annotations

import random
from pathlib import Path

import orjson
from structlog.testing import capture_logs

from larchlatch.cluster.cluster_file import read_cluster_file
from larchlatch.cluster.election.candidate_side import RoleChange, RoleChangeReason, RoleEvent
from larchlatch.cluster.election.electorate import QUOTA_ALLOCATOR
from larchlatch.cluster.exchange.results import ExecutedOrder
from larchlatch.cluster.health.observations import EjectionAdvice, ReportedFailure
from larchlatch.cluster.keys import create_secret, own_signer, read_secret
from larchlatch.cluster.local_node import LocalNode
from larchlatch.cluster.membership.member import MemberChange, MemberState
from larchlatch.cluster.service import ClusterService
from larchlatch.invariants.observations import UpstreamLost
from larchlatch.invariants.scenario_checkers import ClusterCheckers
from larchlatch.loadtest.cluster_observer import ClusterObserver
from larchlatch.loadtest.node_log import LoggedEvent, NodeLogReader
from larchlatch.node.metrics import Counters
from larchlatch.scenario.scenario_file import parse_scenario
from tests.loadtest.scenarios import SHORT
from tests.support.cluster import AcceptingBalancer


def test_events_that_the_cluster_service_logs_are_those_that_the_observer_reads(tmp_path: Path) -> None:
    """Guards against violations that are missed because the observer skips a renamed log event."""
    key = create_secret(tmp_path / "n0.key")
    node = f'[[nodes]]\nname = "n0"\naddress = "127.0.0.1:7400"\nkey = "{key}"\n'
    (tmp_path / "cluster.toml").write_text(node)
    configuration = read_cluster_file(tmp_path / "cluster.toml")
    signer = own_signer(configuration, "n0", read_secret(tmp_path / "n0.key"))
    path, rng = tmp_path / "cluster.toml", random.Random(1)
    local_node = LocalNode("n0", (), path, configuration, signer)
    service = ClusterService(local_node, Counters(), rng, AcceptingBalancer())
    service.update_endpoints(["h-3"], slow_start_us=0, overload_window_us=0)
    [upstream] = service.upstreams
    with service._socket, capture_logs() as lines:
        service._events.log_member_changes([MemberChange("n1", MemberState.PRESENT)])
        service._notifier.send_advice(EjectionAdvice([], [ReportedFailure(upstream, 2)], [upstream]))
        service.state.election._candidate_side._events.append(
            RoleEvent(QUOTA_ALLOCATOR, RoleChange.HELD, 7, RoleChangeReason.VACANT)
        )
        service.log_orders([ExecutedOrder(QUOTA_ALLOCATOR, 7, "n1")])
        service.state.election._candidate_side._events.append(
            RoleEvent(QUOTA_ALLOCATOR, RoleChange.ENDED, 7, RoleChangeReason.NOT_RENEWED)
        )
        service.log_orders([])

    cluster = {"on": True, "links_per_s": 9.0, "allot": True, "electors": 3}
    scenario = parse_scenario({**SHORT, "faults": [], "nodes": {"count": 3}, "cluster": cluster}, "day")
    observer = ClusterObserver(scenario, ClusterCheckers(scenario, 0), lambda *_: True)
    observer.checkers.observe(UpstreamLost(0, 3))
    for number in range(3):
        observer.node_runs(number, running=True)
    log = tmp_path / "n0.log"
    observer.follow_logs([log])
    allocator = observer.checkers.leaders[QUOTA_ALLOCATOR]
    for line in lines:
        if line["event"] == "role_ended":
            assert allocator.holders == [0], "the role must have been reported as held before"
        with log.open("ab") as out:
            out.write(orjson.dumps(line) + b"\n")
        observer.read_logs()
    assert observer.checkers.membership.views[0][1]
    avoidance = observer.checkers.avoidance
    assert (0, 3) in avoidance.detected_at and avoidance.ejections == 1
    assert allocator.orders == 1 and allocator.holders == []
    assert len(lines) == 6, "the service must log each event once"


def test_log_is_read_line_by_line_as_it_grows(tmp_path: Path) -> None:
    logs = [tmp_path / "n0.log", tmp_path / "n1.log"]
    reader = NodeLogReader(logs, ["known"])
    assert list(reader.read()) == [], "a log that does not exist yet has no events"
    logs[1].write_bytes(b'{"event":"known","a":1}\n{"event":"other"}\n{"event":"kno')
    assert list(reader.read()) == [LoggedEvent(1, {"event": "known", "a": 1})]
    with logs[1].open("ab") as out:
        out.write(b'wn","a":2}\n')
    assert list(reader.read()) == [LoggedEvent(1, {"event": "known", "a": 2})]
    assert list(reader.read()) == []
