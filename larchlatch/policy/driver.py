"""What the drivers of a balancer have in common: the emulated node and the simulator's adapter.

A driver asks the balancer, holds sessions that wait to be placed again, and carries the answers out.
"""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from typing import NamedTuple, Protocol

from larchlatch.policy.types import Answer, DueActions, Fail, Forward, Hold, Session, Shed


class Decisions(Protocol):
    """The calls by which a driver asks; it passes observations on by methods that it calls itself."""

    def place(self, now: int, session: Session) -> Answer:
        """Return an upstream for a session, or that it is held, or its final answer."""
        ...

    def wait(self, now: int) -> DueActions:
        """Return what falls due now, and how long until the next does."""
        ...


class HeldSession(NamedTuple):
    """A session that waits to be placed again.

    Attributes:
        retry_at: When to place it again, in microseconds.
        session: The session's number.
    """

    retry_at: int
    session: int


class Driver(ABC):
    """Holds sessions that wait, and carries out what falls due; a subclass executes each kind of answer.

    Attributes:
        decisions: The balancer, or a baseline policy.
        held: The sessions that wait to be placed again, as a heap by time.
    """

    def __init__(self, decisions: Decisions) -> None:
        self.decisions = decisions
        self.held: list[HeldSession] = []

    @abstractmethod
    def session(self, number: int) -> Session | None:
        """Return the session of this number; None if it is over."""

    @abstractmethod
    def send(self, now: int, session: Session, upstream: int, until: int) -> None:
        """Send an attempt to an upstream; it times out at `until`, in microseconds."""

    @abstractmethod
    def shed(self, now: int, session: Session, retry_after_us: int) -> None:
        """Answer that nothing has run, and advise when to try again; 0 for no advice."""

    @abstractmethod
    def fail(self, now: int, session: Session) -> None:
        """Answer without a promise: an attempt may have run."""

    @abstractmethod
    def probe(self, now: int, upstream: int) -> None:
        """Probe an upstream."""

    @abstractmethod
    def migrate(self, now: int, session: int) -> None:
        """Migrate an established session; the balancer no longer counts it at its upstream."""

    @abstractmethod
    def cancel_attempt(self, now: int, session: int) -> None:
        """Cancel a session's attempt; its outcome is reported like any other."""

    @abstractmethod
    def poll_endpoints(self, now: int) -> None:
        """Poll the endpoint list."""

    def carry_out(self, now: int, session: Session, answer: Answer) -> None:
        """Execute an answer of the balancer."""
        match answer:
            case Forward():
                self.send(now, session, answer.upstream, answer.give_up_at)
            case Hold():
                heapq.heappush(self.held, HeldSession(answer.until, session.number))
            case Shed():
                self.shed(now, session, answer.retry_after_us)
            case Fail():
                self.fail(now, session)

    def due(self, now: int) -> int:
        """Carry out what has fallen due, and return when to call this again, in microseconds.

        All observations up to now have to be reported to the balancer before.
        """
        self._place_held(now)
        due = self.decisions.wait(now)
        for upstream in due.probes:
            self.probe(now, upstream)
        for number in due.migrations:
            self.migrate(now, number)
        for number in due.superseded:
            self.cancel_attempt(now, number)
        if due.poll_list:
            self.poll_endpoints(now)
        wake_at = now + due.wait_us
        return min(wake_at, self.held[0].retry_at) if self.held else wake_at

    def _place_held(self, now: int) -> None:
        while self.held and self.held[0].retry_at <= now:
            session = self.session(heapq.heappop(self.held).session)
            if session is not None:
                self.carry_out(now, session, self.decisions.place(now, session))
