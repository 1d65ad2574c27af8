"""The common base of the emulated node and the simulator's adapter, which both drive a balancer.

A driver asks the balancer for decisions, keeps the sessions that are held, and executes the decisions.
"""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from typing import NamedTuple, Protocol

from larchlatch.policy.types import Answer, DueActions, Fail, Forward, Hold, Session, Shed


class DecisionMaker(Protocol):
    """The decisions that a driver requests from its balancer.

    Observations are not part of this protocol: the subclasses of `Driver` report them to their balancer.
    """

    def place(self, now: int, session: Session) -> Answer:
        """Return an upstream for a session, or that it is held, or its final answer."""
        ...

    def due_actions(self, now: int) -> DueActions:
        """Return the actions that are due now, and the time until the next one is due."""
        ...


class HeldSession(NamedTuple):
    """A held session, which is placed again later.

    Attributes:
        retry_at: When to place it again, in microseconds.
        session: The session's number.
    """

    retry_at: int
    session: int


class Driver(ABC):
    """Keeps held sessions and executes due actions; a subclass implements each kind of action.

    Attributes:
        decisions: The balancer, or a baseline policy that replaces it.
        held: The held sessions, as a heap ordered by the time of their next placement.
    """

    def __init__(self, decisions: DecisionMaker) -> None:
        self.decisions = decisions
        self.held: list[HeldSession] = []

    @abstractmethod
    def session(self, number: int) -> Session | None:
        """Return the session with this number; None if it has ended."""

    @abstractmethod
    def send(self, now: int, session: Session, upstream: int, until: int) -> None:
        """Send an attempt to an upstream; it times out at `until`, in microseconds."""

    @abstractmethod
    def shed(self, now: int, session: Session, retry_after_us: int) -> None:
        """Answer the client that nothing has run, with an advised wait before it retries; 0 for no advice."""

    @abstractmethod
    def fail(self, now: int, session: Session) -> None:
        """Answer the client that the session failed and that an attempt may have run."""

    @abstractmethod
    def probe(self, now: int, upstream: int) -> None:
        """Probe an upstream."""

    @abstractmethod
    def migrate(self, now: int, session: int) -> None:
        """Migrate an established session; the balancer no longer counts it at its upstream."""

    @abstractmethod
    def cancel_attempt(self, now: int, session: int) -> None:
        """Cancel a session's attempt; the balancer is told its outcome like any other."""

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
        """Execute the actions that are due, and return when to call this method again, in microseconds.

        All observations up to now must have been reported to the balancer before this call.
        """
        self._place_held(now)
        due = self.decisions.due_actions(now)
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
