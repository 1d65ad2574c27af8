"""Health observations that nodes exchange: the probes and ejections they cause, and false reports."""

from __future__ import annotations

from typing import Any

import pytest

from larchlatch.cluster.health import observations
from larchlatch.cluster.health.observations import REPROBE_US, HealthObservations, UpstreamObservation
from larchlatch.cluster.health.reports import ACTIONABLE_US, OBSERVATION_TTL_US
from larchlatch.cluster.protocol.messages import HealthObservation
from larchlatch.emulator.simulation import Simulation
from larchlatch.scenario.scenario_file import parse_scenario

SECOND = 1_000_000
HEARTBEAT_US = 200_000
START = 1_000_000 * SECOND


def advice_for(health: HealthObservations, now: int, sites: str, *reporters: str, age: int = 0) -> Any:
    reports = {name: [HealthObservation(7, 2, 0)] for name in reporters}
    site_of = {name: sites[index] for index, name in enumerate("abcd")}
    return health.advise(
        now, reports, dict.fromkeys(reporters, age), site_of, several_sites=len(set(site_of.values())) > 1
    )


def test_report_causes_a_probe_and_two_reporters_of_two_sites_an_ejection() -> None:
    """Reports that count without confirmation would eject an upstream that only some nodes can't reach."""

    def new_observations() -> HealthObservations:
        health = HealthObservations()
        health.set_upstreams([7, 8])
        return health

    def advice_at_two_heartbeats(sites: str, *reporters: str, **age: int) -> tuple[Any, Any]:
        """Return the advice at the heartbeat in which reports arrive, and at the next, after a probe."""
        health = new_observations()
        return tuple(
            advice_for(health, START + heartbeat * HEARTBEAT_US, sites, *reporters, **age)
            for heartbeat in range(2)
        )

    assert advice_at_two_heartbeats("eeww", "b") == (([7], [], []), ([], [], []))
    assert advice_at_two_heartbeats("eeee", "b", "c") == (([7], [], []), ([], [(7, 2)], [7])), (
        "the node itself has to probe first"
    )
    assert advice_at_two_heartbeats("eeww", "a", "b") == (([7], [], []), ([], [], [])), (
        "one site may be cut off from a healthy upstream"
    )
    assert advice_at_two_heartbeats("eeww", "b", "c") == (([7], [], []), ([], [(7, 2)], [7]))
    assert advice_at_two_heartbeats("eeww", "b", "c", age=OBSERVATION_TTL_US) == (([], [], []), ([], [], []))
    assert advice_at_two_heartbeats("eeww", "b", "c", age=ACTIONABLE_US) == (([7], [], []), ([], [], [])), (
        "the upstream may have recovered since"
    )
    health = new_observations()
    advice_for(health, START, "eeww", "b", "c")
    health.observe(START + 1, 7, reached=True)
    assert advice_for(health, START + HEARTBEAT_US, "eeww", "b", "c").failures == [], (
        "an upstream that this node reaches must not be ejected: two other sites may be cut off from it"
    )
    health = new_observations()
    health.observe(START, 7, reached=True)
    assert advice_for(health, START + SECOND, "eeww", "b", "c").failures == [], (
        "this node's own observation must take precedence over reports"
    )
    assert health.own_report(START + SECOND) == []
    health.observe(START + SECOND, 7, reached=None)
    assert advice_for(health, START + SECOND, "eeww").probes == [7], (
        "a connection that broke off must cause a probe at once"
    )
    health.observe(START + SECOND, 7, reached=False)
    assert health.own_report(START + SECOND) == [], "a single failure may be a lost packet"
    assert advice_for(health, START + SECOND, "eeww").probes == [7], "a failed probe must cause another"
    health.observe(START + SECOND, 7, reached=False)
    assert health.own_report(START + 2 * SECOND) == [HealthObservation(7, 2, SECOND)]
    assert health.own_report(START + SECOND + OBSERVATION_TTL_US) == [], "the observation has expired"
    expired_at = START + SECOND + OBSERVATION_TTL_US
    assert advice_for(health, expired_at, "eeww", "b", "c").probes == [7]
    assert advice_for(health, expired_at + HEARTBEAT_US, "eeww", "b", "c") == ([], [(7, 2)], [7]), (
        "after this node's observations expire, reports must count again: the upstream may have failed anew"
    )


def test_repeated_reports_by_one_node_cause_few_probes_and_no_failure() -> None:
    """A faulty node that repeats its report at every heartbeat must not cause a probe each time."""
    health = HealthObservations()
    health.set_upstreams([7])
    advice = [advice_for(health, START + heartbeat * HEARTBEAT_US, "eeww", "b") for heartbeat in range(50)]
    assert sum(len(each.probes) for each in advice) <= 50 * HEARTBEAT_US // REPROBE_US + 1
    assert not any(each.failures for each in advice)


def run_scenario(**changes: Any) -> dict[str, Any]:
    scenario = {
        "span_s": 20.0,
        "cluster": {"on": True},
        "nodes": {"count": 8},
        "hosts": [{"count": 8, "size": 2.0}],
        "links": {"rate": 4.0, "life_s": 4.0},
        "faults": [{"kind": "liar", "at_s": 3.0, "nodes": 1, "about": "hosts", "for_s": 15.0}],
    }
    return Simulation(parse_scenario({**scenario, **changes}, "day")).run()


def test_single_faulty_reporter_ejects_no_healthy_upstream(monkeypatch: pytest.MonkeyPatch) -> None:
    row = run_scenario()
    assert row["hearsay"] == 0 and row["hearsay_wrong"] == 0 and not any(row["broken"].values())
    monkeypatch.setattr(observations, "CONFIRMATIONS", 1)
    assert run_scenario(zones=1)["hearsay_wrong"] == 0, (
        "the own observation must take precedence over reports"
    )
    monkeypatch.setattr(UpstreamObservation, "probed_since_report", lambda *_: True)
    assert run_scenario(zones=1)["hearsay_wrong"] > 0, "a single reporter that is believed must be detected"


def test_upstream_unreachable_from_two_sites_is_not_ejected_at_the_third(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def run_with_zone_cut_off(seed: int) -> dict[str, Any]:
        return run_scenario(
            seed=seed,
            zones=3,
            nodes={"count": 9},
            hosts=[{"count": 12, "size": 2.0}],
            links={"rate": 8.0, "life_s": 6.0},
            faults=[{"kind": "cut", "at_s": 6.0, "zone": 1, "for_s": 12.0}],
        )

    rows = [run_with_zone_cut_off(seed) for seed in (1, 5)]
    assert not any(row["hearsay_wrong"] or any(row["broken"].values()) for row in rows)
    monkeypatch.setattr(UpstreamObservation, "probed_since_report", lambda *_: True)
    assert sum(run_with_zone_cut_off(seed)["hearsay_wrong"] for seed in (1, 5)) > 0, (
        "reports that count before the own probe must be detected"
    )
