"""Defines the policies of simulated nodes: the balancer, and simple baselines to compare it with."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import TYPE_CHECKING, Protocol

from larchlatch.policy.balancer import Balancer
from larchlatch.policy.selection import UpstreamSelector
from larchlatch.policy.types import (
    NEVER_RAN,
    Answer,
    DeploymentSettings,
    DueActions,
    Endpoint,
    EndpointState,
    Fail,
    Forward,
    Hold,
    Idempotency,
    Nothing,
    Outcome,
    ProbeResult,
    Session,
    Shed,
    Token,
)

if TYPE_CHECKING:
    from larchlatch.policy.upstream import Candidates, Upstream

HOLD_US = 50_000  # a held session is placed again after this time
PROBE_INTERVAL_US = 1_000_000
RETRY_AFTER_US = 200_000  # advised to clients whose sessions are shed
NEVER_US = 3_600_000_000  # the wait of a policy without timed actions


class Policy(Protocol):
    """The decisions that a simulated node requests from its policy, and the observations that it reports."""

    def place(self, now: int, session: Session) -> Answer:
        """Return an upstream for a session, or that it is held, or its final answer."""
        ...

    def outcome(self, now: int, session: Session, outcome: Outcome, *, answered: bool = False) -> Answer:
        """Record an attempt's outcome, and return the next answer for a session without a final one."""
        ...

    def due_actions(self, now: int) -> DueActions:
        """Return the actions that are due now, and the time until the next one is due."""
        ...

    def update_endpoints(
        self, now: int, endpoints: Iterable[Endpoint], *, whole: bool, from_discovery: bool
    ) -> None:
        """Apply an endpoint list, or changes to it.

        Args:
            now: The time, in microseconds.
            endpoints: The endpoints.
            whole: Whether they are the whole list rather than changes to it.
            from_discovery: Whether discovery sent them, rather than a former process of this node.

        """
        ...

    def record_probe(self, now: int, number: int, probe: ProbeResult) -> None:
        """Record the result of a probe of the upstream with this number."""
        ...

    def record_load(self, now: int, session: Session, load: float) -> None:
        """Record the present load of an established session, in microseconds of work per second."""
        ...

    def record_delay(self, now: int, session: Session, delay_us: int) -> None:
        """Record the message latency of an established session, in microseconds."""
        ...

    def record_unresponsive(self, now: int, number: int) -> None:
        """Record that an upstream has stopped answering messages."""
        ...

    def record_token(self, now: int, issuer_until: int, token: Token | None = None) -> None:
        """Record until when a token issuer allots slow-start budgets, and a token if it issued one."""
        ...

    def remove_session(self, session: Session) -> None:
        """Remove a session that has ended."""
        ...


PolicyFactory = Callable[[DeploymentSettings, Random], Policy]


class BaselinePolicy:
    """Implements the rules on retries, deadlines and drains; subclasses choose the upstream.

    Attributes:
        settings: The deployment settings.
        rng: Source of random choices.
        ready: The endpoints of the ready upstreams, by number.
        utilizations: Load over capacity of each upstream at its last answered probe, by number.
        sent_since_probe: How many sessions were sent to each upstream since its last probe, by number.

    """

    uses_probes = False

    def __init__(self, settings: DeploymentSettings, rng: Random) -> None:
        self.settings = settings
        self.rng = rng
        self.ready: dict[int, Endpoint] = {}
        self.utilizations: dict[int, float] = {}
        self.sent_since_probe: dict[int, int] = {}
        self._next_probe_at = 0

    def choose(self, session: Session, upstreams: list[int]) -> int:
        """Return one of the ready upstreams for a session."""
        raise NotImplementedError

    def place(self, now: int, session: Session) -> Answer:
        """Return an upstream for a session, or that it is held, or its final answer."""
        if session.attempt_in_flight or session.established:
            return Nothing()
        idempotency = self.settings.traffic_classes[session.traffic_class].idempotency
        may_have_run = session.maybe_executed_at >= 0
        may_repeat = not may_have_run or idempotency is Idempotency.IDEMPOTENT
        hold_exceeds_deadline = now + HOLD_US >= session.deadline
        if hold_exceeds_deadline or session.attempt_count >= self.settings.max_attempts:
            return Shed(RETRY_AFTER_US) if may_repeat else Fail()
        if not may_repeat:
            return Fail()
        if not self.ready:
            return Hold(min(now + HOLD_US, session.deadline - HOLD_US))
        return self._forward(now, session)

    def _forward(self, now: int, session: Session) -> Forward:
        session.upstream = self.choose(session, list(self.ready))
        session.attempt_in_flight, session.sent_at = True, now
        session.attempt_count += 1
        self.sent_since_probe[session.upstream] = self.sent_since_probe.get(session.upstream, 0) + 1
        return Forward(session.upstream, session.deadline)

    def outcome(self, now: int, session: Session, outcome: Outcome, *, answered: bool = False) -> Answer:
        """Record an attempt's outcome, and return the next answer for a session without a final one."""
        if outcome is Outcome.ESTABLISHED:
            session.attempt_in_flight, session.established = False, True
            return Nothing()
        if outcome not in NEVER_RAN and session.maybe_executed_at < 0:
            session.maybe_executed_at = session.sent_at
        session.attempt_in_flight = session.established = False
        return Nothing() if answered else self.place(now, session)

    def due_actions(self, now: int) -> DueActions:
        """Return the probes that are due, and the time until the next ones are due."""
        probes: list[int] = []
        if self.uses_probes and now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_US
            probes = list(self.ready)
        wait_us = self._next_probe_at - now if self.uses_probes else NEVER_US
        return DueActions(
            wait_us=wait_us, probes=probes, poll_list=False, migrations=[], superseded=[], setup_us=0
        )

    def update_endpoints(
        self, now: int, endpoints: Iterable[Endpoint], *, whole: bool, from_discovery: bool
    ) -> None:
        """Apply an endpoint list, or changes to it."""
        if whole:
            self.ready.clear()
        for endpoint in endpoints:
            if endpoint.state is EndpointState.READY:
                self.ready[endpoint.upstream] = endpoint
            else:
                self.ready.pop(endpoint.upstream, None)

    def record_probe(self, now: int, number: int, probe: ProbeResult) -> None:
        """Record the result of a probe of the upstream with this number."""
        self.sent_since_probe[number] = 0
        if probe.utilization is not None:
            self.utilizations[number] = probe.utilization

    def record_load(self, now: int, session: Session, load: float) -> None:
        """Record the present load of an established session, in microseconds of work per second."""
        session.load = load

    def record_delay(self, now: int, session: Session, delay_us: int) -> None:
        """Ignore the message latency."""

    def record_unresponsive(self, now: int, number: int) -> None:
        """Ignore that an upstream has stopped answering messages."""

    def record_token(self, now: int, issuer_until: int, token: Token | None = None) -> None:
        """Ignore slow-start tokens."""

    def remove_session(self, session: Session) -> None:
        """Ignore the end of a session."""


class RandomPolicy(BaselinePolicy):
    """Chooses a ready upstream at random."""

    def choose(self, session: Session, upstreams: list[int]) -> int:
        """Return a random upstream."""
        return self.rng.choice(upstreams)


class LeastLoadedPolicy(BaselinePolicy):
    """Chooses the upstream that was least loaded when last probed."""

    uses_probes = True

    def choose(self, session: Session, upstreams: list[int]) -> int:
        """Return the upstream with the lowest estimated utilization.

        The estimate is the utilization at the last probe, plus 0.001 for each session sent since then.
        """
        return min(upstreams, key=self._rank)

    def _rank(self, upstream: int) -> tuple[float, int]:
        sent = self.sent_since_probe.get(upstream, 0)
        return self.utilizations.get(upstream, 0.0) + sent / 1000, upstream


class MasterSelector(UpstreamSelector):
    """Selects only the master, which is the first of a session's two candidates on the ring."""

    def choose(self, now: int, session: Session, candidates: Candidates) -> Upstream | None:
        """Return the master; None if there is none or its slow-start budget does not allow the session."""
        first = candidates.pair[0] if candidates.pair else None
        return first if first is not None and self.slow_start.may_take(now, first, session) else None


class MasterOnlyPolicy(Balancer):
    """The balancer, restricted to the master of each session's two candidates."""

    def __init__(self, settings: DeploymentSettings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.placement.selector = MasterSelector(self.fleet, self.ring, self.load, self.slow_start, rng)


POLICIES: dict[str, PolicyFactory] = {
    "larchlatch": Balancer,
    "random": RandomPolicy,
    "master": MasterOnlyPolicy,
    "least": LeastLoadedPolicy,
}
