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


def advice_for(known: HealthObservations, now: int, sites: str, *reporters: str, age: int = 0) -> Any:
    reports = {name: [HealthObservation(7, 2, 0)] for name in reporters}
    site_of = {name: sites[place] for place, name in enumerate("abcd")}
    return known.advise(
        now, reports, dict.fromkeys(reporters, age), site_of, several_sites=len(set(site_of.values())) > 1
    )


def test_report_causes_a_probe_and_two_reporters_of_two_sites_an_ejection() -> None:
    """Reports that count without confirmation would eject an upstream that only some nodes can't reach."""

    def new_observations() -> HealthObservations:
        known = HealthObservations()
        known.set_upstreams([7, 8])
        return known

    def twice(sites: str, *reporters: str, **age: int) -> tuple[Any, Any]:
        """Return the advice at the heartbeat in which reports arrive, and at the next, after a probe."""
        known = new_observations()
        return tuple(
            advice_for(known, START + heartbeat * HEARTBEAT_US, sites, *reporters, **age)
            for heartbeat in range(2)
        )

    assert twice("eeww", "b") == (([7], [], []), ([], [], []))
    assert twice("eeee", "b", "c") == (([7], [], []), ([], [(7, 2)], [7])), (
        "the node itself has to probe first"
    )
    assert twice("eeww", "a", "b") == (([7], [], []), ([], [], [])), (
        "one site may be cut off from a healthy upstream"
    )
    assert twice("eeww", "b", "c") == (([7], [], []), ([], [(7, 2)], [7]))
    assert twice("eeww", "b", "c", age=OBSERVATION_TTL_US) == (([], [], []), ([], [], []))
    assert twice("eeww", "b", "c", age=ACTIONABLE_US) == (([7], [], []), ([], [], [])), (
        "the upstream may have recovered since"
    )
    known = new_observations()
    advice_for(known, START, "eeww", "b", "c")
    known.observe(START + 1, 7, reached=True)
    assert advice_for(known, START + HEARTBEAT_US, "eeww", "b", "c").failures == [], (
        "an upstream that this node reaches must not be ejected: two other sites may be cut off from it"
    )
    known = new_observations()
    known.observe(START, 7, reached=True)
    assert advice_for(known, START + SECOND, "eeww", "b", "c").failures == [], (
        "this node's own observation must take precedence over reports"
    )
    assert known.own_report(START + SECOND) == []
    known.observe(START + SECOND, 7, reached=None)
    assert advice_for(known, START + SECOND, "eeww").probes == [7], (
        "a connection that broke off must cause a probe at once"
    )
    known.observe(START + SECOND, 7, reached=False)
    assert known.own_report(START + SECOND) == [], "a single failure may be a lost packet"
    assert advice_for(known, START + SECOND, "eeww").probes == [7], "a failed probe must cause another"
    known.observe(START + SECOND, 7, reached=False)
    assert known.own_report(START + 2 * SECOND) == [HealthObservation(7, 2, SECOND)]
    assert known.own_report(START + SECOND + OBSERVATION_TTL_US) == [], "the observation has expired"
    late = START + SECOND + OBSERVATION_TTL_US
    assert advice_for(known, late, "eeww", "b", "c").probes == [7]
    assert advice_for(known, late + HEARTBEAT_US, "eeww", "b", "c") == ([], [(7, 2)], [7]), (
        "after this node's observations expire, reports must count again: the upstream may have failed anew"
    )


def test_one_who_says_it_again_and_again_orders_few_looks_and_nothing_else() -> None:
    """A faulty node that repeats its report at every heartbeat must not cause a probe each time."""
    known = HealthObservations()
    known.set_upstreams([7])
    advice = [advice_for(known, START + heartbeat * HEARTBEAT_US, "eeww", "b") for heartbeat in range(50)]
    assert sum(len(each.probes) for each in advice) <= 50 * HEARTBEAT_US // REPROBE_US + 1
    assert not any(each.failures for each in advice)


def emulated(**changes: Any) -> dict[str, Any]:
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
    row = emulated()
    assert row["hearsay"] == 0 and row["hearsay_wrong"] == 0 and not any(row["broken"].values())
    monkeypatch.setattr(observations, "CONFIRMATIONS", 1)
    assert emulated(zones=1)["hearsay_wrong"] == 0, "the own observation must take precedence over reports"
    monkeypatch.setattr(UpstreamObservation, "probed_since_report", lambda *_: True)
    assert emulated(zones=1)["hearsay_wrong"] > 0, "a single reporter that is believed must be detected"


def test_upstream_unreachable_from_two_sites_is_not_ejected_at_the_third(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def cut(seed: int) -> dict[str, Any]:
        return emulated(
            seed=seed,
            zones=3,
            nodes={"count": 9},
            hosts=[{"count": 12, "size": 2.0}],
            links={"rate": 8.0, "life_s": 6.0},
            faults=[{"kind": "cut", "at_s": 6.0, "zone": 1, "for_s": 12.0}],
        )

    rows = [cut(seed) for seed in (1, 5)]
    assert not any(row["hearsay_wrong"] or any(row["broken"].values()) for row in rows)
    monkeypatch.setattr(UpstreamObservation, "probed_since_report", lambda *_: True)
    assert sum(cut(seed)["hearsay_wrong"] for seed in (1, 5)) > 0, (
        "reports that count before the own probe must be detected"
    )
