"""What drivers of the balancer do alike, whatever carries out its answers: the adapter and the emulator."""

from __future__ import annotations

import heapq
from typing import Protocol

from larchlatch.policy.types import Answer, DueActions, Fail, Forward, Hold, Session, Shed


class Decisions(Protocol):
    """The calls by which a driver asks; all else goes in by methods that it calls itself."""

    def place(self, now: int, session: Session) -> Answer:
        """Return an upstream for a session, or that it is held, or its final answer."""
        ...

    def wait(self, now: int) -> DueActions:
        """Return what falls due now, and how long until the next does."""
        ...


class Driver:
    """Holds sessions that wait, and carries out what falls due; subclasses say what an answer comes to.

    Attributes:
        decisions: The balancer, or a baseline policy.
        held: When to place held sessions again, in microseconds, and their numbers, as a heap.
    """

    def __init__(self, decisions: Decisions) -> None:
        self.decisions = decisions
        self.held: list[tuple[int, int]] = []

    def session(self, number: int) -> Session | None:
        """Return the session of this number, if it is still in hand."""
        raise NotImplementedError

    def send(self, now: int, session: Session, upstream: int, until: int) -> None:
        """Send an attempt to an upstream; it is given up at `until`."""
        raise NotImplementedError

    def shed(self, now: int, session: Session, back_us: int) -> None:
        """Answer that nothing has run, and to come back after so long; 0 for no advice."""
        raise NotImplementedError

    def give_up(self, now: int, session: Session) -> None:
        """Answer without a promise."""
        raise NotImplementedError

    def probe(self, now: int, upstream: int) -> None:
        """Probe an upstream."""
        raise NotImplementedError

    def move(self, now: int, session: int) -> None:
        """Migrate an established session; it no longer counts at its upstream."""
        raise NotImplementedError

    def withdraw(self, now: int, session: int) -> None:
        """Cancel a session's attempt; its outcome is handed in like others."""
        raise NotImplementedError

    def ask_list(self, now: int) -> None:
        """Poll the endpoint list."""
        raise NotImplementedError

    def carry_out(self, now: int, session: Session, answer: Answer) -> None:
        """Do what the balancer has answered."""
        match answer:
            case Forward():
                self.send(now, session, answer.upstream, answer.give_up_at)
            case Hold():
                heapq.heappush(self.held, (answer.until, session.number))
            case Shed():
                self.shed(now, session, answer.retry_after_us)
            case Fail():
                self.give_up(now, session)

    def due(self, now: int) -> int:
        """Carry out what has fallen due, all observations being handed in; return when to ask again."""
        while self.held and self.held[0][0] <= now:
            _, number = heapq.heappop(self.held)
            session = self.session(number)
            if session is not None:
                self.carry_out(now, session, self.decisions.place(now, session))
        due = self.decisions.wait(now)
        for upstream in due.probes:
            self.probe(now, upstream)
        for number in due.migrations:
            self.move(now, number)
        for number in due.superseded:
            self.withdraw(now, number)
        if due.poll_list:
            self.ask_list(now)
        wake = now + due.wait_us
        return min(wake, self.held[0][0]) if self.held else wake
