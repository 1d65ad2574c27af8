"""What drivers of the decisions do alike, whatever carries them out: the adapter and the emulator."""

from __future__ import annotations

import heapq
from typing import Protocol

from larchlatch.policy.types import FAILED, NOT_YET, SHED, Answer, DueActions, Session


class Decisions(Protocol):
    """The calls by which a driver asks; all else goes in by methods that it calls itself."""

    def place(self, now: int, session: Session) -> Answer: ...

    def wait(self, now: int) -> DueActions: ...


class Driver:
    """Links that are held, and what falls due. What an answer comes to is its subclass's."""

    def __init__(self, decisions: Decisions) -> None:
        self.decisions = decisions
        self.held: list[tuple[int, int]] = []  # when to ask again, link

    # For subclasses.

    def session(self, number: int) -> Session | None:
        """The link in hand of this number."""
        raise NotImplementedError

    def send(self, now: int, session: Session, upstream: int, until: int) -> None:
        raise NotImplementedError

    def shed(self, now: int, session: Session, back_us: int) -> None:
        raise NotImplementedError

    def give_up(self, now: int, session: Session) -> None:
        raise NotImplementedError

    def probe(self, now: int, upstream: int) -> None:
        raise NotImplementedError

    def move(self, now: int, session: int) -> None:
        raise NotImplementedError

    def withdraw(self, now: int, session: int) -> None:
        raise NotImplementedError

    def ask_list(self, now: int) -> None:
        raise NotImplementedError

    # What is alike.

    def carry_out(self, now: int, session: Session, answer: Answer) -> None:
        if answer.upstream >= 0:
            self.send(now, session, answer.upstream, answer.at)
        elif answer.upstream == NOT_YET:
            heapq.heappush(self.held, (answer.at, session.number))
        elif answer.upstream == SHED:
            self.shed(now, session, answer.at)
        elif answer.upstream == FAILED:
            self.give_up(now, session)

    def due(self, now: int) -> int:
        """Carry out what has fallen due, once all that was told has been heard; when to look again."""
        while self.held and self.held[0][0] <= now:
            _, number = heapq.heappop(self.held)
            session = self.session(number)
            if session is not None:
                self.carry_out(now, session, self.decisions.place(now, session))
        due = self.decisions.wait(now)
        for upstream in due.probes:
            self.probe(now, upstream)
        for number in due.moves:
            self.move(now, number)
        for number in due.withdrawn:
            self.withdraw(now, number)
        if due.ask_list:
            self.ask_list(now)
        wake = now + due.wait_us
        return min(wake, self.held[0][0]) if self.held else wake
