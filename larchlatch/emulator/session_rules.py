"""The rules on sessions, checked by what is seen from outside.

Nothing here knows how decisions are made: what is harmless to repeat is written down anew.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from larchlatch.policy.types import EndpointState, Idempotency, Outcome

DRAIN_GRACE_US = 500_000  # a node may send to an upstream for so long after it heard that it must not
ANSWER_GRACE_US = 16_000  # an answer may be so late
MAX_DESCRIPTIONS = 20  # of violations; all are counted

# Outcomes of attempts that their upstream has never seen.
NEVER_SEEN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Rule(StrEnum):
    """The rules, by their keys in results."""

    ONE_FINAL_ANSWER = "lost"
    NO_DUPLICATE_EFFECT = "twice"
    DRAIN_RESPECTED = "drain"
    NO_SLOW_START_OVERLOAD = "cold"


@dataclass(slots=True)
class SessionHistory:
    """What was seen of a session, from its request to its end.

    Attributes:
        deadline: When its final answer is due.
        idempotency: Whether an attempt may be repeated.
        dedup_window_us: For how long upstreams discard a repeated attempt, in microseconds.
        in_flight: Whether an attempt is in flight.
        is_answered: Whether its client has its final answer.
        is_over: Whether nothing more is owed, as its client or its node is gone.
        possible_runs: Attempts that may have run: when each was sent, and the upstream.

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
        descriptions: The first violations, each in a line.

    """

    def __init__(self) -> None:
        self.violations: dict[str, int] = {rule.value: 0 for rule in Rule}
        self.descriptions: list[str] = []
        self._histories: dict[int, SessionHistory] = {}
        self._excluded_since: dict[tuple[int, int], int] = {}  # when a node heard to avoid an upstream

    @property
    def all_hold(self) -> bool:
        """Whether no rule was ever broken."""
        return not any(self.violations.values())

    def _violate(self, rule: Rule, now: int, description: str) -> None:
        self.violations[rule.value] += 1
        if len(self.descriptions) < MAX_DESCRIPTIONS:
            self.descriptions.append(f"{now / 1e6:.6f} s: {rule.value}: {description}")

    # What is observed.

    def session_requested(
        self, session: int, deadline: int, idempotency: Idempotency, dedup_window_us: int
    ) -> None:
        """Take that a client asks for a session."""
        self._histories[session] = SessionHistory(deadline, idempotency, dedup_window_us)

    def endpoint_received(self, now: int, node: int, upstream: int, state: EndpointState) -> None:
        """Take that a node has heard of an upstream's state."""
        if state is EndpointState.READY:
            self._excluded_since.pop((node, upstream), None)
        else:
            self._excluded_since.setdefault((node, upstream), now)

    def node_died(self, node: int) -> None:
        """Take that a node has died: what it had heard is void."""
        for pair in [pair for pair in self._excluded_since if pair[0] == node]:
            del self._excluded_since[pair]

    def attempt_sent(self, now: int, session: int, node: int, upstream: int) -> None:
        """Take that a node sends an attempt."""
        history = self._histories.get(session)
        if history is None:
            self._violate(Rule.ONE_FINAL_ANSWER, now, f"link {session}: a try after its end")
            return
        self._check_repetition(now, session, history)
        excluded_since = self._excluded_since.get((node, upstream))
        if excluded_since is not None and now > excluded_since + DRAIN_GRACE_US:
            late_us = now - excluded_since
            self._violate(
                Rule.DRAIN_RESPECTED,
                now,
                f"node {node}: link {session} to host {upstream}, told {late_us} us before",
            )
        history.in_flight = True
        history.possible_runs.append((now, upstream))

    def _check_repetition(self, now: int, session: int, history: SessionHistory) -> None:
        if history.in_flight:
            self._violate(Rule.NO_DUPLICATE_EFFECT, now, f"link {session}: two tries out at once")
        if history.is_answered or history.is_over:
            self._violate(Rule.ONE_FINAL_ANSWER, now, f"link {session}: a try after its end")
        if not history.possible_runs:
            return
        first_at, first_upstream = history.possible_runs[0]
        if history.idempotency is Idempotency.NON_IDEMPOTENT:
            description = f"link {session}: exclusive, and host {first_upstream} may have run it"
            self._violate(Rule.NO_DUPLICATE_EFFECT, now, description)
        elif history.idempotency is Idempotency.KEYED and now >= first_at + history.dedup_window_us:
            description = f"link {session}: its group had forgotten its ticket"
            self._violate(Rule.NO_DUPLICATE_EFFECT, now, description)

    def attempt_ended(self, session: int, outcome: Outcome) -> None:
        """Take the outcome of an attempt."""
        history = self._histories.get(session)
        if history is None:
            return
        history.in_flight = False
        if outcome in NEVER_SEEN and history.possible_runs:
            history.possible_runs.pop()

    def answered(self, now: int, session: int, *, shed: bool) -> None:
        """Take that the final answer has reached the client; shed: it says that nothing has run."""
        history = self._histories.get(session)
        if history is None or history.is_answered or history.is_over:
            self._violate(Rule.ONE_FINAL_ANSWER, now, f"link {session}: an answer after its end")
            return
        if now > history.deadline + ANSWER_GRACE_US:
            late_us = now - history.deadline
            description = f"link {session}: answered {late_us} us after its cut-off"
            self._violate(Rule.ONE_FINAL_ANSWER, now, description)
        if shed and history.in_flight:
            self._violate(Rule.NO_DUPLICATE_EFFECT, now, f"link {session}: shed with a try out")
        may_have_run = bool(history.possible_runs)
        if shed and may_have_run and history.idempotency is Idempotency.NON_IDEMPOTENT:
            self._violate(Rule.NO_DUPLICATE_EFFECT, now, f"link {session}: shed though it may have run")
        history.is_answered = True

    def answer_due(self, now: int, session: int) -> None:
        """Take that a session's deadline and the grace time are over."""
        history = self._histories.pop(session, None)
        if history is not None and not history.is_answered and not history.is_over:
            self._violate(Rule.ONE_FINAL_ANSWER, now, f"link {session}: no answer by its cut-off")

    def session_over(self, session: int) -> None:
        """Take that a session is over: its client or its node is gone, or its client has had enough."""
        history = self._histories.get(session)
        if history is not None:
            history.is_over = True

    def upstream_overloaded(self, now: int, upstream: int) -> None:
        """Take that an upstream falls over while it warms up."""
        description = f"host {upstream}: more than it bears while it warms up"
        self._violate(Rule.NO_SLOW_START_OVERLOAD, now, description)
