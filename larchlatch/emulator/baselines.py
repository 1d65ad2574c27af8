"""Plain ways to choose a host, to compare with; beside the decisions of the node, not among them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

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
from larchlatch.policy.upstream import Candidates, Upstream

AGAIN_US = 50_000  # between two looks for a host
WATCH_US = 1_000_000  # between two probes of every host
BACK_US = 200_000  # advised to those who are shed
NEVER_US = 3_600_000_000  # nothing falls due by itself


class Policy(Protocol):
    """What a node's driver asks and tells."""

    def place(self, now: int, session: Session) -> Answer: ...
    def outcome(self, now: int, session: Session, outcome: Outcome, *, answered: bool = False) -> Answer: ...
    def wait(self, now: int) -> DueActions: ...
    def update_endpoints(
        self, now: int, endpoints: Iterable[Endpoint], *, whole: bool, asked: bool
    ) -> None: ...
    def record_probe(self, now: int, number: int, probe: ProbeResult) -> None: ...
    def record_load(self, now: int, session: Session, load: float) -> None: ...
    def record_delay(self, now: int, session: Session, delay_us: int) -> None: ...
    def record_unresponsive(self, now: int, number: int) -> None: ...
    def record_token(self, now: int, issuer_until: int, token: Token | None = None) -> None: ...
    def remove_session(self, session: Session) -> None: ...


class Plain:
    """Keeps the rules on links and drains, and chooses anyhow."""

    watches = False

    def __init__(self, settings: DeploymentSettings, chance: Random) -> None:
        self.settings = settings
        self.chance = chance
        self.ready: dict[int, Endpoint] = {}
        self.loads: dict[int, float] = {}  # load over capacity, as last probed
        self.own: dict[int, int] = {}  # links of this node's own sent there since
        self.probe_at = 0

    def choose(self, session: Session, upstreams: list[int]) -> int:
        raise NotImplementedError

    def place(self, now: int, session: Session) -> Answer:
        if session.attempt_in_flight or session.established:
            return Nothing()
        idempotency = self.settings.traffic_classes[session.traffic_class].idempotency
        if now + AGAIN_US >= session.deadline or session.attempt_count >= self.settings.max_attempts:
            harmless = session.maybe_executed_at < 0 or idempotency is Idempotency.IDEMPOTENT
            return Shed(BACK_US) if harmless else Fail()
        if session.maybe_executed_at >= 0 and idempotency is not Idempotency.IDEMPOTENT:
            return Fail()
        if not self.ready:
            return Hold(min(now + AGAIN_US, session.deadline - AGAIN_US))
        session.upstream = self.choose(session, list(self.ready))
        session.attempt_in_flight, session.sent_at = True, now
        session.attempt_count += 1
        self.own[session.upstream] = self.own.get(session.upstream, 0) + 1
        return Forward(session.upstream, session.deadline)

    def outcome(self, now: int, session: Session, outcome: Outcome, *, answered: bool = False) -> Answer:
        if outcome is Outcome.ESTABLISHED:
            session.attempt_in_flight, session.established = False, True
            return Nothing()
        if outcome not in NEVER_RAN and session.maybe_executed_at < 0:
            session.maybe_executed_at = session.sent_at
        session.attempt_in_flight = session.established = False
        return Nothing() if answered else self.place(now, session)

    def wait(self, now: int) -> DueActions:
        probes: list[int] = []
        if self.watches and now >= self.probe_at:
            self.probe_at = now + WATCH_US
            probes = list(self.ready)
        return DueActions(self.probe_at - now if self.watches else NEVER_US, probes, False, [], [], 0)

    def update_endpoints(self, now: int, endpoints: Iterable[Endpoint], *, whole: bool, asked: bool) -> None:
        if whole:
            self.ready.clear()
        for line in endpoints:
            if line.state is EndpointState.READY:
                self.ready[line.upstream] = line
            else:
                self.ready.pop(line.upstream, None)

    def record_probe(self, now: int, number: int, probe: ProbeResult) -> None:
        self.own[number] = 0
        if probe.utilization is not None:
            self.loads[number] = probe.utilization

    def record_load(self, now: int, session: Session, load: float) -> None:
        session.load = load

    def record_delay(self, now: int, session: Session, delay_us: int) -> None: ...

    def record_unresponsive(self, now: int, number: int) -> None: ...

    def record_token(self, now: int, issuer_until: int, token: Token | None = None) -> None: ...

    def remove_session(self, session: Session) -> None: ...


class Chosen(Plain):
    """A host by chance."""

    def choose(self, session: Session, upstreams: list[int]) -> int:
        return self.chance.choice(upstreams)


class Least(Plain):
    """The host that was least loaded when last probed, of all; those sent there since count a little."""

    watches = True

    def choose(self, session: Session, upstreams: list[int]) -> int:
        return min(
            upstreams,
            key=lambda upstream: (self.loads.get(upstream, 0.0) + self.own.get(upstream, 0) / 1000, upstream),
        )


class MasterSelector(UpstreamSelector):
    """Chooses the ring's master alone."""

    def choose(self, now: int, session: Session, candidates: Candidates) -> Upstream | None:
        """Return the master, if it may take the session."""
        first = candidates.pair[0] if candidates.pair else None
        return first if first is not None and self.slow_start.may_take(now, first, session) else None


class Master(Balancer):
    """The ring's master alone, by the balancer's own ring."""

    def __init__(self, settings: DeploymentSettings, chance: Random) -> None:
        super().__init__(settings, chance)
        self.selector = MasterSelector(self.fleet, self.ring, self.load, self.slow_start, chance)


POLICIES: dict[str, Callable[[DeploymentSettings, Random], Policy]] = {
    "larchlatch": Balancer,
    "random": Chosen,
    "master": Master,
    "least": Least,
}
