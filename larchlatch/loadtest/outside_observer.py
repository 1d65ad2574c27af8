"""The rules of sessions as clients and upstreams see them, apart from what nodes say of themselves."""

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

MAX_DESCRIPTIONS = 20  # violations described in words; all of them are counted


class Rule(StrEnum):
    """What nodes must keep; the values are keys of the result."""

    ONE_ANSWER = "lost"  # each request has exactly one final answer before its deadline
    NO_EFFECT_TWICE = "twice"  # no two attempts at once, and no repeat of what must not be repeated
    DRAINING_LEFT_ALONE = "drain"  # nothing is sent to an upstream after discovery has told that it leaves
    NO_OVERLOAD = "cold"  # an upstream that warms up is not sent more than it bears


class OutsideObserver:
    """Counts violations of the rules.

    Attributes:
        violations: number of violations of each rule.
        descriptions: the first of them in words.
        quota: checks what is spent of the shared quota; None where the scenario has none.
        slow_start: checks what is sent to upstreams that warm up.

    """

    def __init__(self, scenario: Scenario, quota: QuotaSafety | None) -> None:
        self.violations = dict.fromkeys(Rule, 0)
        self.descriptions: list[str] = []
        self.quota = quota
        self.slow_start = slow_start_checker(scenario)
        self._in_attempt: set[str] = set()  # ids of sessions with an attempt out
        self._may_have_run: set[str] = set()  # ids of sessions an attempt of which may have had its effect

    def report(self, rule: Rule, description: str) -> None:
        """Count a violation."""
        self.violations[rule] += 1
        if len(self.descriptions) < MAX_DESCRIPTIONS:
            self.descriptions.append(f"{now_us() / SECOND:.3f} s: {rule}: {description}")

    def attempt_started(self, session_id: str, idempotency: Idempotency) -> None:
        """Note that an upstream has received an attempt."""
        if session_id in self._in_attempt:
            self.report(Rule.NO_EFFECT_TWICE, f"link {session_id}: two tries out at once")
        elif session_id in self._may_have_run and idempotency is Idempotency.NON_IDEMPOTENT:
            self.report(Rule.NO_EFFECT_TWICE, f"link {session_id}: exclusive, and may have run")
        self._in_attempt.add(session_id)
        self._may_have_run.add(session_id)
        if self.quota is not None:
            self.quota.observe(SessionAdmitted(now_us(), session_id))

    def attempt_ended(self, session_id: str, *, never_ran: bool = False) -> None:
        """Note that an attempt is over; `never_ran`: it has had no effect for certain."""
        self._in_attempt.discard(session_id)
        if never_ran:
            self._may_have_run.discard(session_id)
