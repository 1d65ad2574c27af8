"""Tests that simulations keep the rules on sessions under faults and overload."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.emulator.baselines import POLICIES
from larchlatch.emulator.node import SimulatedNode
from larchlatch.policy.balancer import Balancer
from larchlatch.policy.types import Answer, Nothing, Outcome, Session
from larchlatch.scenario.amounts import SECOND
from tests.support.simulations import ALL_FAULTS, SMALL, simulation_of


@pytest.mark.parametrize("policy", POLICIES)
@pytest.mark.parametrize("passes", [False, True])
def test_all_rules_hold_through_all_faults(policy: str, passes: bool) -> None:
    """A fault may leave a session without an answer, with two, or with a repeated effect."""
    for seed in (1, 2):
        simulation = simulation_of(policy, faults=ALL_FAULTS, passes=passes, seed=seed)
        result = simulation.run()
        rules = dict(result["broken"])
        if policy in ("random", "least"):
            rules.pop("cold")  # these policies do not limit sessions to upstreams in slow start
        assert not any(rules.values()), simulation.context.rules.descriptions
        assert result["links"] > result["clients"] and result["dropped"] + result["moved"] > 0
        assert bool(result["mid_flow_right"] + result["mid_flow_wrong"]) == passes
        assert 0.2 < result["served"] <= 1.0, (
            "sessions were hardly served, or for longer than their clients wanted"
        )


FAULT = st.sampled_from(ALL_FAULTS)


@settings(derandomize=True, max_examples=25, deadline=None)
@given(
    st.lists(st.tuples(FAULT, st.floats(0.5, 7.0)), max_size=6),
    st.integers(0, 10**6),
    st.booleans(),
    st.integers(1, 5),
)
def test_all_rules_hold_through_faults_drawn_at_random(
    drawn: list[tuple[dict[str, Any], float]], seed: int, passes: bool, nodes: int
) -> None:
    faults = [{**fault, "at_s": at} for fault, at in drawn]
    for fault in faults:
        if fault["kind"] == "kill":
            fault["nodes"] = min(nodes, fault["nodes"])
    simulation = simulation_of(
        faults=faults, seed=seed, passes=passes, span_s=8.0, nodes={"count": nodes, "noticed_s": 0.5}
    )
    simulation.run()
    assert simulation.context.rules.all_hold, simulation.context.rules.descriptions


def test_without_upstreams_each_session_is_answered_in_time() -> None:
    """A session that is held until an upstream is ready would miss its deadline if none ever is."""
    simulation = simulation_of(hosts=[{"count": 2, "late": 2}])
    result = simulation.run()
    assert simulation.context.rules.all_hold and result["delivered"] == 0 and result["shed"] > 200


def test_all_rules_hold_under_constant_overload() -> None:
    """Queues that grow without limit would delay answers beyond their deadlines."""
    sessions = {"rate": 60.0, "setup_ms": 400.0, "life_s": 5.0, "load_ms": 50.0}
    simulation = simulation_of(hosts=[{"count": 3, "size": 1.0}], links=sessions)
    result = simulation.run()
    assert simulation.context.rules.all_hold, simulation.context.rules.descriptions
    assert 0 < result["delivered"] < result["links"] / 2 and result["shed"] + result["given_up"] > 100


def test_a_node_killed_with_attempts_in_flight_leaves_no_session_at_an_upstream() -> None:
    """An upstream that establishes a session after its node has died would hold it for ever."""
    sessions = {**SMALL["links"], "setup_ms": 300.0}
    kills = [{"kind": "kill", "at_s": at, "nodes": 3} for at in (2.0, 4.5, 7.0)]
    simulation = simulation_of(links=sessions, faults=kills)
    in_flight: list[Any] = []
    original_kill = simulation.lifecycle.kill

    def kill(node: SimulatedNode) -> None:
        in_flight.extend(
            record
            for record in node.records.values()
            if record.attempt is not None and not record.session.established
        )
        original_kill(node)

    simulation.lifecycle.kill = kill  # type: ignore[method-assign]
    simulation.run()
    assert len(in_flight) > 3 and simulation.context.rules.all_hold
    simulation.context.clock.run_until(simulation.context.clock.now + 3 * SECOND)
    held = {number for upstream in simulation.context.upstreams for number in upstream.sessions}
    assert held == set(simulation.context.sessions.established), (
        "an upstream holds a session that no node has, or does not hold one that a node has"
    )


def test_an_attempt_at_an_upstream_that_dies_before_its_answer_may_have_run() -> None:
    """A reset attempt that is repeated could execute a non-idempotent session twice."""
    reset_sessions = []

    class RecordingBalancer(Balancer):
        def outcome(self, now: int, session: Session, outcome: Outcome, *, answered: bool = False) -> Answer:
            if not session.established and outcome is Outcome.RESET:
                reset_sessions.append(session)
            return super().outcome(now, session, outcome, answered=answered)

    sessions = {**SMALL["links"], "setup_ms": 300.0, "effects": ["exclusive"]}
    crashes = [{"kind": "crash", "at_s": at, "hosts": 3} for at in (2.0, 5.0, 8.0)]
    simulation = simulation_of(RecordingBalancer, links=sessions, faults=crashes)
    result = simulation.run()
    assert len(reset_sessions) > 3 and simulation.context.rules.all_hold
    assert result["given_up"] >= len(reset_sessions), (
        "a non-idempotent session whose attempt was reset must be answered as failed, without another attempt"
    )


def test_a_node_does_not_import_the_emulator_or_the_load_test() -> None:
    """An import in a shared module would load the libraries of the emulator and load test into each node."""
    probe = (
        "import sys, larchlatch.__main__, larchlatch.node.runtime, larchlatch.simulator_adapter.main;"
        "print([m for m in sys.modules if m.split('.')[0] in ('msgspec', 'matplotlib', 'hdrh', 'numpy')"
        " or m.startswith(('larchlatch.emulator', 'larchlatch.loadtest'))])"
    )
    completed = subprocess.run([sys.executable, "-c", probe], capture_output=True, text=True)
    assert completed.stdout.strip() == "[]", completed.stdout + completed.stderr


def test_the_answer_nothing_schedules_no_event() -> None:
    """`Nothing` is the answer for a session with an attempt in flight; held, it would be placed twice."""
    simulation = simulation_of()
    node = simulation.context.nodes[0]
    before = simulation.context.clock.scheduled_count
    node.carry_out(simulation.context.clock.now, Session(1, 0, 1, 1, 0), Nothing())
    assert simulation.context.clock.scheduled_count == before and not node.held
