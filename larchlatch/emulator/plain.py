"""Plain ways to choose a host, to compare with; beside the decisions of the node, not among them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from larchlatch.policy.balancer import Balancer, Upstream
from larchlatch.policy.types import (
    DONE,
    FAILED,
    NEVER_RAN,
    NOT_YET,
    SHED,
    Answer,
    DeploymentSettings,
    DueActions,
    Endpoint,
    EndpointState,
    Idempotency,
    Outcome,
    Session,
)

AGAIN_US = 50_000  # between two looks for a host
WATCH_US = 1_000_000  # between two probes of every host
BACK_US = 200_000  # advised to those who are shed
NEVER_US = 3_600_000_000  # nothing falls due by itself


class Policy(Protocol):
    """What a node's driver asks and tells."""

    def place(self, now: int, session: Session) -> Answer: ...
    def outcome(self, now: int, session: Session, what: Outcome, done: bool = False) -> Answer: ...
    def wait(self, now: int) -> DueActions: ...
    def update_endpoints(self, now: int, lines: Iterable[Endpoint], whole: bool, asked: bool) -> None: ...
    def report(
        self, now: int, number: int, answered: bool, utilization: float | None, held: float | None = None
    ) -> None: ...
    def record_load(self, now: int, session: Session, load: float) -> None: ...
    def record_delay(self, now: int, session: Session, delay_us: int) -> None: ...
    def quiet(self, now: int, number: int) -> None: ...
    def paced(self, now: int, until: int, number: int = -1, session: int = -1, at: int = 0) -> None: ...
    def left(self, now: int, session: Session) -> None: ...


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
        if session.out or session.open:
            return Answer(DONE)
        idempotency = self.settings.traffic_classes[session.traffic_class].idempotency
        if now + AGAIN_US >= session.deadline or session.attempt_count >= self.settings.max_attempts:
            harmless = session.maybe_executed_at < 0 or idempotency is Idempotency.IDEMPOTENT
            return Answer(SHED, BACK_US) if harmless else Answer(FAILED)
        if session.maybe_executed_at >= 0 and idempotency is not Idempotency.IDEMPOTENT:
            return Answer(FAILED)
        if not self.ready:
            return Answer(NOT_YET, min(now + AGAIN_US, session.deadline - AGAIN_US))
        session.upstream = self.choose(session, list(self.ready))
        session.out, session.sent_at = True, now
        session.attempt_count += 1
        self.own[session.upstream] = self.own.get(session.upstream, 0) + 1
        return Answer(session.upstream, session.deadline)

    def outcome(self, now: int, session: Session, what: Outcome, done: bool = False) -> Answer:
        if what is Outcome.ESTABLISHED:
            session.out, session.open = False, True
            return Answer(DONE)
        if what not in NEVER_RAN and session.maybe_executed_at < 0:
            session.maybe_executed_at = session.sent_at
        session.out = session.open = False
        return Answer(DONE) if done else self.place(now, session)

    def wait(self, now: int) -> DueActions:
        probes: list[int] = []
        if self.watches and now >= self.probe_at:
            self.probe_at = now + WATCH_US
            probes = list(self.ready)
        return DueActions(self.probe_at - now if self.watches else NEVER_US, probes, False, [], [], 0)

    def update_endpoints(self, now: int, lines: Iterable[Endpoint], whole: bool, asked: bool) -> None:
        if whole:
            self.ready.clear()
        for line in lines:
            if line.state is EndpointState.READY:
                self.ready[line.upstream] = line
            else:
                self.ready.pop(line.upstream, None)

    def report(
        self, now: int, number: int, answered: bool, utilization: float | None, held: float | None = None
    ) -> None:
        self.own[number] = 0
        if utilization is not None:
            self.loads[number] = utilization

    def record_load(self, now: int, session: Session, load: float) -> None:
        session.load = load

    def record_delay(self, now: int, session: Session, delay_us: int) -> None: ...

    def quiet(self, now: int, number: int) -> None: ...

    def paced(self, now: int, until: int, number: int = -1, session: int = -1, at: int = 0) -> None: ...

    def left(self, now: int, session: Session) -> None: ...


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


class Master(Balancer):
    """The ring's master alone, by the decisions' own ring."""

    def choose(
        self,
        now: int,
        session: Session,
        pair: list[Upstream],
        others: list[Upstream],
        beyond: Iterable[Upstream],
    ) -> Upstream | None:
        first = pair[0] if pair else None
        return first if first is not None and self.in_budget(now, first, session) else None


POLICIES: dict[str, Callable[[DeploymentSettings, Random], Policy]] = {
    "larchlatch": Balancer,
    "random": Chosen,
    "master": Master,
    "least": Least,
}
