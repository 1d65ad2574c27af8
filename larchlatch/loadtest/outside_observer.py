"""Checks the rules of sessions from what clients and upstreams observe, not from what nodes report."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from larchlatch.invariants.observations import SessionAdmitted
from larchlatch.invariants.scenario_checkers import slow_start_checker
from larchlatch.node.clock import now_us
from larchlatch.policy.types import Idempotency
from larchlatch.scenario.amounts import SECOND

if TYPE_CHECKING:
    from larchlatch.invariants.quota_safety import QuotaSafety
    from larchlatch.scenario.scenario import Scenario

MAX_DESCRIPTIONS = 20  # violations that are described in words; the others are only counted


class Rule(StrEnum):
    """Rules that nodes must follow; the values are keys of the result."""

    ONE_ANSWER = "lost"  # each request gets exactly one final answer, before its deadline
    NO_DUPLICATE_EFFECT = "twice"  # no concurrent attempts, and no repeat of what must not run twice
    NO_ATTEMPT_WHILE_DRAINING = "drain"  # no attempts at an upstream after its drain or end was announced
    NO_OVERLOAD = "cold"  # an upstream in slow start is not sent more load than it can take


class OutsideObserver:
    """Counts and describes violations of the rules.

    Attributes:
        violations: Number of violations of each rule.
        descriptions: Descriptions of the first violations.
        quota: Checks the use of the shared quota; None if the scenario has none.
        slow_start: Checks the load that is sent to upstreams in slow start.

    """

    def __init__(self, scenario: Scenario, quota: QuotaSafety | None) -> None:
        self.violations = dict.fromkeys(Rule, 0)
        self.descriptions: list[str] = []
        self.quota = quota
        self.slow_start = slow_start_checker(scenario)
        self._in_attempt: set[str] = set()  # IDs of sessions with an attempt under way
        self._may_have_run: set[str] = set()  # IDs of sessions that may have taken effect

    def report(self, rule: Rule, description: str) -> None:
        """Count a violation, and keep its description if there are not too many yet."""
        self.violations[rule] += 1
        if len(self.descriptions) < MAX_DESCRIPTIONS:
            self.descriptions.append(f"{now_us() / SECOND:.3f} s: {rule}: {description}")

    def attempt_started(self, session_id: str, idempotency: Idempotency) -> None:
        """Record that an upstream has received an attempt, and check whether it was allowed."""
        if session_id in self._in_attempt:
            self.report(Rule.NO_DUPLICATE_EFFECT, f"session {session_id}: two attempts at the same time")
        elif session_id in self._may_have_run and idempotency is Idempotency.NON_IDEMPOTENT:
            self.report(
                Rule.NO_DUPLICATE_EFFECT,
                f"session {session_id}: repeated, but not idempotent and may have run",
            )
        self._in_attempt.add(session_id)
        self._may_have_run.add(session_id)
        if self.quota is not None:
            self.quota.observe(SessionAdmitted(now_us(), session_id))

    def attempt_ended(self, session_id: str, *, never_ran: bool = False) -> None:
        """Record the end of an attempt; `never_ran` states that it certainly had no effect."""
        self._in_attempt.discard(session_id)
        if never_ran:
            self._may_have_run.discard(session_id)
