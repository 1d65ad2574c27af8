"""A node of the emulator: its own decisions, driven as the wire's adapter drives them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from larchlatch.emulator.baselines import Policy
from larchlatch.emulator.checker import Checker
from larchlatch.emulator.clock import TIMER, Clock
from larchlatch.policy.driver import Driver
from larchlatch.policy.types import (
    REACHED,
    Answer,
    Endpoint,
    EndpointState,
    Hold,
    Outcome,
    ProbeResult,
    Session,
    Token,
    TokenCandidate,
)
from larchlatch.scenario.clients import Client


@dataclass(slots=True)
class Attempt:
    """A setup try that is out."""

    session: int
    node: Node
    upstream: int
    sent_at: int
    ends_at: int  # when the node no longer waits
    held: bool = False  # the link stands at the host, by its own view
    stands: bool = False  # and by the node's
    live: bool = True


@dataclass(slots=True)
class SessionRecord:
    """A link in hand or standing at a node."""

    session: Session
    client: Client
    attempt: Attempt | None = None
    gone: bool = False  # its client has left without an answer


class Clients(Protocol):
    """What clients see of a node."""

    def stands(self, record: SessionRecord, attempt: Attempt) -> None: ...
    def broke(self, record: SessionRecord) -> None: ...
    def moved(self, record: SessionRecord) -> None: ...
    def refused(self, record: SessionRecord, back_us: int, shed: bool) -> None: ...


class Network(Protocol):
    """The way to hosts."""

    def tried(self, record: SessionRecord, attempt: Attempt) -> None: ...
    def given_up(self, attempt: Attempt) -> None: ...
    def probed(self, node: Node, number: int) -> None: ...


class ClusterPort(Protocol):
    """Other nodes, where this one knows of any."""

    def admit(self, session: int, traffic_class: int) -> int: ...
    def update_endpoints(self, upstreams: Sequence[int], started_at: int) -> None: ...
    def request_token(self, session: int, wants: Sequence[TokenCandidate]) -> None: ...
    def observe_reachability(self, upstream: int, good: bool | None) -> None: ...


class Lister(Protocol):
    def tell_whole(self, node: Node) -> None: ...


@dataclass(frozen=True, slots=True)
class Around:
    """All that a node meets."""

    clock: Clock
    checker: Checker
    clients: Clients
    network: Network
    listing: Lister


class Node(Driver):
    def __init__(self, around: Around, number: int, zone: int, decisions: Policy) -> None:
        super().__init__(decisions)
        self.policy = decisions
        self.around = around
        self.number = number
        self.zone = zone
        self.records: dict[int, SessionRecord] = {}
        self.list: dict[int, Endpoint] = {}  # as it was last told
        self.cluster: ClusterPort | None = None
        self.wake_at = 0
        self.alive = True
        self.stops = 0  # that are on
        self.backlog: list[tuple[Callable[..., None], tuple[Any, ...]]] | None = None  # None: it runs

    # Its process stopped, and going on.

    def stall(self) -> None:
        self.stops += 1
        if self.backlog is None:
            self.backlog = []

    def goes_on(self) -> bool:
        """One stop is over; whether it was the last of those that overlap."""
        self.stops -= 1
        return not self.stops

    def waits(self, what: Callable[..., None], *args: Any) -> bool:
        """Whether this has to wait, as the node is stopped; it is heard when that is over."""
        if self.backlog is not None:
            self.backlog.append((what, args))
        return self.backlog is not None

    def wake(self) -> None:
        backlog, self.backlog = self.backlog or [], None
        for what, args in backlog:
            what(*args)

    # What it is told.

    def listed(self, lines: list[Endpoint], whole: bool, asked: bool = True) -> None:
        if self.waits(self.listed, lines, whole, asked):
            return
        now = self.around.clock.now
        if whole:
            self.list.clear()
        self.list.update({line.upstream: line for line in lines})
        for line in lines:
            self.around.checker.told(now, self.number, line.upstream, line.state)
        self.policy.update_endpoints(now, lines, whole=whole, asked=asked)
        if self.cluster is not None:
            ready = [line for line in self.list.values() if line.state is EndpointState.READY]
            came = max((line.started_at for line in ready), default=0)
            self.cluster.update_endpoints([line.upstream for line in ready], came)
        self.look()

    def arrived(self, record: SessionRecord) -> None:
        if record.gone or self.waits(self.arrived, record):
            return
        now = self.around.clock.now
        self.records[record.session.number] = record
        back_us = 0
        if self.cluster is not None and not record.session.mid_flow:
            back_us = self.cluster.admit(record.session.number, record.session.traffic_class)
        if back_us:
            self.shed(now, record.session, back_us)
            return
        self.carry_out(now, record.session, self.policy.place(now, record.session))
        self.look()

    def ended(self, attempt: Attempt, what: Outcome) -> None:
        """The one outcome of a try, or of the link that it set up."""
        if not attempt.live or not self.alive or self.waits(self.ended, attempt, what):
            return
        now = self.around.clock.now
        attempt.live = attempt.stands = what is Outcome.ESTABLISHED
        self.around.checker.ended(now, attempt.session, what)
        record = self.records.get(attempt.session)
        if record is None:
            return
        if what in REACHED:
            self.saw(attempt.upstream, REACHED[what])
        stood = record.session.established
        record.attempt = attempt if attempt.live or stood else None
        answer = self.policy.outcome(now, record.session, what, answered=stood)
        if what is Outcome.ESTABLISHED:
            self.around.clients.stands(record, attempt)
        elif stood:
            del self.records[attempt.session]
            self.around.clients.broke(record)
        else:
            self.carry_out(now, record.session, answer)
        self.look()

    def saw(self, upstream: int, good: bool | None) -> None:
        if self.cluster is not None:
            self.cluster.observe_reachability(upstream, good)

    def advised(self, looks: list[int], failed: Sequence[tuple[int, int]]) -> None:
        """What others say of hosts; as the module's actor takes it."""
        for upstream in looks:
            self.probe(self.around.clock.now, upstream)
        for upstream, witnesses in failed:
            for _ in range(witnesses):
                self.policy.record_probe(self.around.clock.now, upstream, ProbeResult(False))
        self.look()

    def paced(self, until: int, upstream: int, session: int, at: int) -> None:
        if not self.waits(self.paced, until, upstream, session, at) and self.alive:
            self.policy.record_token(self.around.clock.now, until, Token(upstream, session, at))

    def left(self, session: int) -> None:
        """The client has ended its link."""
        record = self.records.pop(session, None)
        if record is not None:
            if record.attempt is not None:
                record.attempt.live = False
            self.policy.remove_session(record.session)
            if self.backlog is None:
                self.look()

    # What it does.

    def carry_out(self, now: int, session: Session, answer: Answer) -> None:
        super().carry_out(now, session, answer)
        if isinstance(answer, Hold) and answer.token_candidates and self.cluster is not None:
            self.cluster.request_token(session.number, answer.token_candidates)

    def session(self, number: int) -> Session | None:
        record = self.records.get(number)
        return None if record is None else record.session

    def send(self, now: int, session: Session, upstream: int, until: int) -> None:
        record = self.records[session.number]
        record.attempt = Attempt(session.number, self, upstream, now, until)
        self.around.network.tried(record, record.attempt)

    def shed(self, now: int, session: Session, back_us: int) -> None:
        self.around.clients.refused(self.records.pop(session.number), back_us, shed=True)

    def give_up(self, now: int, session: Session) -> None:
        self.around.clients.refused(self.records.pop(session.number), 0, shed=False)

    def probe(self, now: int, upstream: int) -> None:
        self.around.network.probed(self, upstream)

    def move(self, now: int, session: int) -> None:
        record = self.records.pop(session, None)
        if record is not None and record.attempt is not None:
            record.attempt.live = False
            # Told before it is moved: the decisions have taken it off its host already.
            self.policy.remove_session(record.session)
            self.around.clients.moved(record)

    def withdraw(self, now: int, session: int) -> None:
        record = self.records.get(session)
        if record is not None and record.attempt is not None:
            attempt = record.attempt
            self.around.clock.at(now, TIMER, self.around.network.given_up, attempt)

    def ask_list(self, now: int) -> None:
        self.around.listing.tell_whole(self)

    # Its one timer.

    def look(self) -> None:
        now = self.around.clock.now
        wake = max(self.due(now), now + 1)
        if wake < self.wake_at or self.wake_at <= now:
            self.wake_at = wake
            self.around.clock.at(wake, TIMER, self.woken, wake)

    def woken(self, at: int) -> None:
        if self.alive and self.waits(self.woken, at):
            return
        if self.alive and at == self.wake_at:
            self.look()

    def stop(self) -> list[SessionRecord]:
        """It dies: what it had in hand is void."""
        self.alive = False
        # Who has come while it was stopped is none of its links yet, and goes as they do.
        came = [args[0] for what, args in self.backlog or () if what == self.arrived and not args[0].gone]
        records = [*self.records.values(), *came]
        for record in records:
            if record.attempt is not None:
                record.attempt.live = False
        self.records.clear()
        return records
