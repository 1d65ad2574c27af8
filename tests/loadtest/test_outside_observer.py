"""Tests of the rules of sessions that are checked from outside."""

from __future__ import annotations

import pytest

from larchlatch.loadtest.outside_observer import OutsideObserver, Rule
from larchlatch.policy.types import Idempotency
from larchlatch.scenario.scenario_file import parse_scenario


def new_observer() -> OutsideObserver:
    return OutsideObserver(parse_scenario({}, "day"), None)


def test_two_attempts_at_once_are_a_violation() -> None:
    observer = new_observer()
    observer.attempt_started("a", Idempotency.IDEMPOTENT)
    observer.attempt_started("a", Idempotency.IDEMPOTENT)  # the first attempt has not ended
    assert observer.violations[Rule.NO_DUPLICATE_EFFECT] == 1


@pytest.mark.parametrize(
    ("idempotency", "never_ran", "violations"),
    [
        (Idempotency.NON_IDEMPOTENT, True, 0),
        (Idempotency.NON_IDEMPOTENT, False, 1),
        (Idempotency.IDEMPOTENT, False, 0),
    ],
)
def test_repeat_of_non_idempotent_session_that_may_have_run_is_a_violation(
    idempotency: Idempotency, never_ran: bool, violations: int
) -> None:
    observer = new_observer()
    observer.attempt_started("a", idempotency)
    observer.attempt_ended("a", never_ran=never_ran)
    observer.attempt_started("a", idempotency)
    assert observer.violations[Rule.NO_DUPLICATE_EFFECT] == violations


def test_violations_are_described_up_to_a_limit_and_all_counted() -> None:
    observer = new_observer()
    for number in range(30):
        observer.report(Rule.ONE_ANSWER, f"link {number}")
    assert observer.violations[Rule("lost")] == 30 and len(observer.descriptions) == 20
    assert observer.descriptions[0].endswith("s: lost: link 0")
