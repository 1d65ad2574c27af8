"""Tests that the checks of the rules on sessions find violations."""

from __future__ import annotations

from typing import Any

import pytest

from larchlatch.emulator.baselines import BaselinePolicy, PolicyFactory
from larchlatch.emulator.context import START_US
from larchlatch.emulator.node import SimulatedNode
from larchlatch.policy.types import Answer, EndpointState, Hold, Outcome, Session
from larchlatch.scenario.amounts import SECOND
from tests.support.simulations import ALL_FAULTS, SMALL, simulation_of


class NeverAnswers(BaselinePolicy):
    """Holds every session and never answers it."""

    def place(self, now: int, session: Session) -> Answer:
        return Hold(now + 10 * SECOND)


class RepeatsNonIdempotent(BaselinePolicy):
    """Repeats the attempt of a non-idempotent session after a reset, as if it had been rejected."""

    def choose(self, session: Session, upstreams: list[int]) -> int:
        return self.rng.choice(upstreams)

    def outcome(self, now: int, session: Session, outcome: Outcome, *, answered: bool = False) -> Answer:
        reported = Outcome.REJECTED if outcome is Outcome.RESET else outcome
        return super().outcome(now, session, reported, answered=answered)


class IgnoresDrains(BaselinePolicy):
    """Treats draining upstreams as ready."""

    def choose(self, session: Session, upstreams: list[int]) -> int:
        return self.rng.choice(upstreams)

    def update_endpoints(self, now: int, endpoints: Any, *, whole: bool, from_discovery: bool) -> None:
        ready = [endpoint._replace(state=EndpointState.READY) for endpoint in endpoints]
        super().update_endpoints(now, ready, whole=whole, from_discovery=from_discovery)


class OverloadsNewest(BaselinePolicy):
    """Sends all sessions to the upstream that started last, which overloads it in its slow start."""

    def choose(self, session: Session, upstreams: list[int]) -> int:
        return max(upstreams, key=lambda upstream: (self.ready[upstream].started_at, upstream))


@pytest.mark.parametrize(
    ("policy", "rule"),
    [
        (NeverAnswers, "lost"),
        (RepeatsNonIdempotent, "twice"),
        (IgnoresDrains, "drain"),
        (OverloadsNewest, "cold"),
    ],
)
def test_a_policy_that_breaks_a_rule_is_found(policy: PolicyFactory, rule: str) -> None:
    """A check that finds nothing when a policy breaks its rule would let a faulty balancer pass."""
    sessions = {**SMALL["links"], "load_ms": 100.0, "setup_ms": 100.0, "effects": ["exclusive"]}
    simulation = simulation_of(policy, faults=ALL_FAULTS, links=sessions)
    simulation.run()
    assert simulation.context.rules.violations[rule] > 0
    assert any(f": {rule}: " in description for description in simulation.context.rules.descriptions)


def test_two_attempts_in_flight_and_late_or_second_answers_are_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No policy causes these violations: a node sends each attempt twice, and a session is answered twice."""

    def send_twice(node: SimulatedNode, now: int, session: Session, upstream: int, until: int) -> None:
        send_once(node, now, session, upstream, until)
        send_once(node, now, session, upstream, until)

    send_once = SimulatedNode.send
    monkeypatch.setattr(SimulatedNode, "send", send_twice)
    simulation = simulation_of("random", span_s=3.0)
    simulation.run()
    assert simulation.context.rules.violations["twice"] > 0
    monkeypatch.undo()
    simulation = simulation_of("random", span_s=3.0)
    idempotency = simulation.context.traffic_classes[0].idempotency
    simulation.context.rules.session_requested(
        10**9, deadline=START_US + SECOND, idempotency=idempotency, dedup_window_us=0
    )
    simulation.context.rules.answered(START_US, 10**9, shed=True)
    assert simulation.context.rules.all_hold
    simulation.context.rules.answered(START_US, 10**9, shed=False)
    simulation.context.rules.session_requested(
        10**9 + 1, deadline=START_US, idempotency=idempotency, dedup_window_us=0
    )
    simulation.context.rules.answered(START_US + SECOND, 10**9 + 1, shed=False)
    assert simulation.context.rules.violations["lost"] == 2
