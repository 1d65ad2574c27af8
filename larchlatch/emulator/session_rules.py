"""Checks the rules on sessions, based only on what can be observed from outside the nodes.

This module does not share code with the decisions that it checks. It has its own list of the outcomes after
which an attempt may be repeated.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from larchlatch.policy.types import EndpointState, Idempotency, Outcome

DRAIN_GRACE_US = 500_000  # how long a node may still use an upstream after learning that it is not ready
ANSWER_GRACE_US = 16_000  # tolerated lateness of a final answer
MAX_DESCRIPTIONS = 20  # number of violations that are described; later ones are only counted

# Outcomes that prove that the upstream has not executed the attempt.
NOT_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Rule(StrEnum):
    """The rules on sessions; a value is the key of the rule in results."""

    ONE_FINAL_ANSWER = "lost"
    NO_DUPLICATE_EFFECT = "twice"
    DRAIN_RESPECTED = "drain"
    NO_SLOW_START_OVERLOAD = "cold"


@dataclass(slots=True)
class SessionHistory:
    """What was observed of a session, from its request to its end.

    Attributes:
        deadline: When its final answer is due, in microseconds.
        idempotency: Whether an attempt may be repeated.
        dedup_window_us: For how long upstreams recognize a repeated attempt, in microseconds.
        in_flight: Whether an attempt is in flight.
        is_answered: Whether its client has its final answer.
        is_over: Whether no answer is expected any more, as the session, its client or its node is gone.
        possible_runs: Attempts that may have been executed: the time and the upstream of each.

    """

    deadline: int
    idempotency: Idempotency
    dedup_window_us: int
    in_flight: bool = False
    is_answered: bool = False
    is_over: bool = False
    possible_runs: list[tuple[int, int]] = field(default_factory=list)


class SessionRules:
    """Checks the rules on all sessions.

    Attributes:
        violations: How often each rule was broken.
        descriptions: The descriptions of the first violations, each in one line.

    """

    def __init__(self) -> None:
        self.violations: dict[str, int] = {rule.value: 0 for rule in Rule}
        self.descriptions: list[str] = []
        self._histories: dict[int, SessionHistory] = {}
        self._excluded_since: dict[tuple[int, int], int] = {}  # by node and upstream

    @property
    def all_hold(self) -> bool:
        """Whether no rule was ever broken."""
        return not any(self.violations.values())

    def _violate(self, rule: Rule, now: int, description: str) -> None:
        self.violations[rule.value] += 1
        if len(self.descriptions) < MAX_DESCRIPTIONS:
            self.descriptions.append(f"{now / 1e6:.6f} s: {rule.value}: {description}")

    # Observations.

    def session_requested(
        self, session: int, *, deadline: int, idempotency: Idempotency, dedup_window_us: int
    ) -> None:
        """Record that a client requests a session."""
        self._histories[session] = SessionHistory(deadline, idempotency, dedup_window_us)

    def endpoint_received(self, now: int, *, node: int, upstream: int, state: EndpointState) -> None:
        """Record that a node has received the listed state of an upstream."""
        if state is EndpointState.READY:
            self._excluded_since.pop((node, upstream), None)
        else:
            self._excluded_since.setdefault((node, upstream), now)

    def node_died(self, node: int) -> None:
        """Discard the endpoint states that a node had received, as the node has died."""
        for pair in [pair for pair in self._excluded_since if pair[0] == node]:
            del self._excluded_since[pair]

    def attempt_sent(self, now: int, *, session: int, node: int, upstream: int) -> None:
        """Check an attempt that a node sends, and record it."""
        history = self._histories.get(session)
        if history is None:
            self._violate(
                Rule.ONE_FINAL_ANSWER, now, f"session {session}: attempt after its final answer or end"
            )
            return
        self._check_repetition(now, session, history)
        excluded_since = self._excluded_since.get((node, upstream))
        if excluded_since is not None and now > excluded_since + DRAIN_GRACE_US:
            excluded_us = now - excluded_since
            target = f"node {node} to upstream {upstream}, which was not ready for {excluded_us} us"
            self._violate(Rule.DRAIN_RESPECTED, now, f"session {session}: sent by {target}")
        history.in_flight = True
        history.possible_runs.append((now, upstream))

    def _check_repetition(self, now: int, session: int, history: SessionHistory) -> None:
        if history.in_flight:
            self._violate(Rule.NO_DUPLICATE_EFFECT, now, f"session {session}: two attempts in flight")
        if history.is_answered or history.is_over:
            self._violate(
                Rule.ONE_FINAL_ANSWER, now, f"session {session}: attempt after its final answer or end"
            )
        if not history.possible_runs:
            return
        first_at, first_upstream = history.possible_runs[0]
        if history.idempotency is Idempotency.NON_IDEMPOTENT:
            description = (
                f"session {session}: not idempotent, and upstream {first_upstream} may have executed it"
            )
            self._violate(Rule.NO_DUPLICATE_EFFECT, now, description)
        elif history.idempotency is Idempotency.KEYED and now >= first_at + history.dedup_window_us:
            description = f"session {session}: repeated after the deduplication window"
            self._violate(Rule.NO_DUPLICATE_EFFECT, now, description)

    def attempt_ended(self, session: int, outcome: Outcome) -> None:
        """Record the outcome of an attempt."""
        history = self._histories.get(session)
        if history is None:
            return
        history.in_flight = False
        if outcome in NOT_EXECUTED and history.possible_runs:
            history.possible_runs.pop()

    def answered(self, now: int, session: int, *, shed: bool) -> None:
        """Check a final answer that a client has received; `shed` if it says that nothing was executed."""
        history = self._histories.get(session)
        if history is None or history.is_answered or history.is_over:
            self._violate(
                Rule.ONE_FINAL_ANSWER, now, f"session {session}: answer after its final answer or end"
            )
            return
        if now > history.deadline + ANSWER_GRACE_US:
            late_us = now - history.deadline
            description = f"session {session}: answered {late_us} us after its deadline"
            self._violate(Rule.ONE_FINAL_ANSWER, now, description)
        if shed and history.in_flight:
            self._violate(Rule.NO_DUPLICATE_EFFECT, now, f"session {session}: shed with an attempt in flight")
        may_have_run = bool(history.possible_runs)
        if shed and may_have_run and history.idempotency is Idempotency.NON_IDEMPOTENT:
            self._violate(
                Rule.NO_DUPLICATE_EFFECT, now, f"session {session}: shed though it may have been executed"
            )
        history.is_answered = True

    def answer_due(self, now: int, session: int) -> None:
        """Check that a session was answered, after its deadline and the tolerated lateness have passed."""
        history = self._histories.pop(session, None)
        if history is not None and not history.is_answered and not history.is_over:
            self._violate(Rule.ONE_FINAL_ANSWER, now, f"session {session}: no answer by its deadline")

    def session_over(self, session: int) -> None:
        """Record that no answer is expected for a session any more."""
        history = self._histories.get(session)
        if history is not None:
            history.is_over = True

    def upstream_overloaded(self, now: int, upstream: int) -> None:
        """Record that an upstream has crashed under overload in its slow start."""
        description = f"upstream {upstream}: overloaded in its slow start"
        self._violate(Rule.NO_SLOW_START_OVERLOAD, now, description)
