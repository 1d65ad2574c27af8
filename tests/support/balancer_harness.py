"""A harness that drives a balancer without a node and checks its rules after every step.

The rules concern final answers and deadlines, repeated attempts, usable upstreams, and slow start.
"""

from __future__ import annotations

import random
from dataclasses import replace

from larchlatch.policy.balancer import Balancer
from larchlatch.policy.types import (
    NEVER_RAN,
    Answer,
    DedupScope,
    DeploymentSettings,
    Endpoint,
    EndpointState,
    Fail,
    Forward,
    Hold,
    Idempotency,
    Nothing,
    Outcome,
    Session,
    Shed,
    TrafficClass,
)

SECOND_US = 1_000_000
TRAFFIC_CLASSES = tuple(
    TrafficClass(500_000, 50_000, idempotency, group, 1_500_000)
    for idempotency, group in (
        (Idempotency.IDEMPOTENT, DedupScope.ALL),
        (Idempotency.KEYED, DedupScope.ALL),
        (Idempotency.KEYED, DedupScope.ZONE),
        (Idempotency.KEYED, DedupScope.CELL),
        (Idempotency.NON_IDEMPOTENT, DedupScope.ALL),
    )
)
SETTINGS = DeploymentSettings(
    me=0,
    nodes=2,
    traffic_classes=TRAFFIC_CLASSES,
    uses_groups=True,
    weighted=True,
    polls_discovery=False,
    probes=False,
    can_cancel=False,
    probes_report_load=False,
    reports_delay=True,
    max_attempts=6,
    max_retry_after_us=1_500_000,
    poll_within_us=10 * SECOND_US,
    slow_start_min_share=0.2,
    slow_start_us=20 * SECOND_US,
    overload_multiple=3.0,
    overload_window_us=SECOND_US,
)


def endpoint(
    number: int, state: EndpointState = EndpointState.READY, started_at: int = 0, size: float = 1.0
) -> Endpoint:
    return Endpoint(number, f"host-{number}", number % 2, number % 3, state, size, started_at)


def forwarded_to(answer: Answer) -> int:
    """Return the upstream that an answer forwards to, or a negative number that is specific to its type."""
    if isinstance(answer, Forward):
        return answer.upstream
    return {Hold: -1, Shed: -2, Fail: -3, Nothing: -4}[type(answer)]


class BalancerHarness:
    """Drives a balancer step by step and asserts its rules after every step.

    The harness keeps its own record of each session, so that the checks do not rely on the balancer's state.
    """

    def __init__(self, seed: int = 1, upstreams: int = 6, **deployment_settings: object) -> None:
        self.settings = replace(SETTINGS, **deployment_settings)  # type: ignore[arg-type]
        self.balancer = Balancer(self.settings, random.Random(seed))
        self.now = 100 * SECOND_US
        self.endpoints = {number: endpoint(number) for number in range(upstreams)}
        self.sessions: dict[int, Session] = {}  # sessions without a final answer
        self.held_until: dict[int, int] = {}
        self.attempt_upstreams: dict[int, int] = {}  # upstream of the attempt in flight, by session number
        self.attempt_deadlines: dict[int, int] = {}
        self.possible_runs: dict[
            int, list[tuple[int, int]]
        ] = {}  # time and upstream of each attempt that may have run
        self.established: set[int] = set()
        self.slow_start_sends: list[tuple[int, int]] = []
        self.session_count = 0
        self.balancer.update_endpoints(
            self.now, list(self.endpoints.values()), whole=True, from_discovery=True
        )

    def update_endpoints(self, *lines: Endpoint) -> None:
        self.endpoints.update({entry.upstream: entry for entry in lines})
        self.balancer.update_endpoints(self.now, lines, whole=False, from_discovery=True)

    def arrive(
        self, key: int | None = 1, traffic_class: int = 0, deadline: int = 2 * SECOND_US, load: float = 0.0
    ) -> Session:
        session = Session(self.session_count, traffic_class, key, key, self.now + deadline, load=load)
        self.session_count += 1
        self.sessions[session.number] = session
        self.possible_runs[session.number] = []
        self.check_decision(session, self.balancer.place(self.now, session))
        return session

    def check_decision(self, session: Session, answer: Answer) -> None:
        number, possible_runs = session.number, self.possible_runs[session.number]
        traffic_class = TRAFFIC_CLASSES[session.traffic_class]
        self.held_until.pop(number, None)
        if isinstance(answer, Nothing):
            return
        assert number in self.sessions, "a decision after the final answer"
        assert number not in self.attempt_upstreams, "two attempts in flight at once"
        assert self.now <= session.deadline
        if isinstance(answer, Hold):
            assert self.now < answer.until <= session.deadline, (
                "held until a time that is past or after its deadline"
            )
            self.held_until[number] = answer.until
        elif isinstance(answer, Shed | Fail):
            if isinstance(answer, Shed) and possible_runs:
                assert traffic_class.idempotency is not Idempotency.NON_IDEMPOTENT, (
                    "shed although an attempt may have run"
                )
                assert (
                    traffic_class.idempotency is Idempotency.IDEMPOTENT
                    or traffic_class.dedup_scope is DedupScope.ALL
                )
            del self.sessions[number]
        else:
            self.check_attempt(session, answer, possible_runs, traffic_class)

    def check_attempt(
        self,
        session: Session,
        answer: Forward,
        possible_runs: list[tuple[int, int]],
        traffic_class: TrafficClass,
    ) -> None:
        entry = self.endpoints[answer.upstream]
        assert entry.state is EndpointState.READY, "sent to an upstream that is not ready"
        assert self.now < answer.give_up_at <= session.deadline
        if possible_runs and traffic_class.idempotency is not Idempotency.IDEMPOTENT:
            assert traffic_class.idempotency is Idempotency.KEYED, "a second run of a non-idempotent session"
            assert self.now < possible_runs[0][0] + traffic_class.dedup_window_us, (
                "repeated after its deduplication window"
            )
            first = self.endpoints[possible_runs[0][1]]
            assert traffic_class.dedup_scope is not DedupScope.ZONE or entry.zone == first.zone
            assert traffic_class.dedup_scope is not DedupScope.CELL or entry.cell == first.cell
        if entry.started_at and self.now < entry.started_at + self.settings.slow_start_us:
            self.slow_start_sends.append((self.now, answer.upstream))
            turn = (self.now - entry.started_at) // self.settings.overload_window_us
            in_turn = turn % self.settings.nodes == self.settings.me
            assert in_turn or self.settings.probes_report_load, (
                "sent to an upstream in slow start out of turn"
            )
        self.attempt_upstreams[session.number] = answer.upstream
        self.attempt_deadlines[session.number] = answer.give_up_at
        self.possible_runs[session.number] = [*possible_runs, (self.now, answer.upstream)]

    def finish_attempt(self, session: Session, outcome: Outcome) -> None:
        number = session.number
        if number in self.attempt_upstreams and outcome is not Outcome.ESTABLISHED:
            upstream = self.attempt_upstreams.pop(number)
            if outcome in NEVER_RAN:
                self.possible_runs[number] = [
                    run
                    for run in self.possible_runs[number]
                    if run[1] != upstream or run is not self.possible_runs[number][-1]
                ]
        done = number not in self.sessions or number in self.established or outcome is Outcome.COMPLETED
        if outcome is Outcome.ESTABLISHED:
            self.established.add(number)
        elif done:
            self.sessions.pop(number, None)
        self.check_decision(session, self.balancer.outcome(self.now, session, outcome, answered=done))
        if outcome is Outcome.ESTABLISHED:
            self.attempt_upstreams.pop(number, None)

    def advance(self, span: int) -> None:
        """Let `span` microseconds pass: place held sessions again, and time out attempts that are due."""
        stop = self.now + span
        while True:
            due = [(at, n) for n, at in self.held_until.items()] + [
                (self.attempt_deadlines[n], n) for n in self.attempt_upstreams
            ]
            at, number = min(due, default=(stop + 1, -1))
            if at > stop:
                break
            self.now = max(self.now, at)
            if number in self.held_until:
                self.check_decision(
                    self.sessions[number], self.balancer.place(self.now, self.sessions[number])
                )
            else:
                self.finish_attempt(self.sessions[number], Outcome.TIMED_OUT)
        self.now = stop
        self.balancer.due_actions(self.now)
        released = self.balancer.release_gone(self.now, self.sessions.values())
        assert not {session.upstream for session in self.sessions.values()} & {*released.forgotten}
        overdue = [
            n
            for n, session in self.sessions.items()
            if n not in self.established and self.now > session.deadline
        ]
        assert not overdue, "a session has no final answer at its deadline"
