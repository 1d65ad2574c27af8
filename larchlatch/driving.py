"""What drivers of the decisions do alike, whatever carries them out: the adapter and the emulator."""

from __future__ import annotations

import heapq
from typing import Protocol

from larchlatch.links import GIVEN_UP, NOT_YET, SHED, Answer, Due, Link


class Decisions(Protocol):
    """The calls by which a driver asks; all else goes in by methods that it calls itself."""

    def place(self, now: int, link: Link) -> Answer: ...

    def wait(self, now: int) -> Due: ...


class Driver:
    """Links that are held, and what falls due. What an answer comes to is its subclass's."""

    def __init__(self, decisions: Decisions) -> None:
        self.decisions = decisions
        self.held: list[tuple[int, int]] = []  # when to ask again, link

    # For subclasses.

    def link(self, number: int) -> Link | None:
        """The link in hand of this number."""
        raise NotImplementedError

    def send(self, now: int, link: Link, host: int, until: int) -> None:
        raise NotImplementedError

    def shed(self, now: int, link: Link, back_us: int) -> None:
        raise NotImplementedError

    def give_up(self, now: int, link: Link) -> None:
        raise NotImplementedError

    def probe(self, now: int, host: int) -> None:
        raise NotImplementedError

    def move(self, now: int, link: int) -> None:
        raise NotImplementedError

    def withdraw(self, now: int, link: int) -> None:
        raise NotImplementedError

    def ask_list(self, now: int) -> None:
        raise NotImplementedError

    # What is alike.

    def carry_out(self, now: int, link: Link, answer: Answer) -> None:
        if answer.host >= 0:
            self.send(now, link, answer.host, answer.at)
        elif answer.host == NOT_YET:
            heapq.heappush(self.held, (answer.at, link.number))
        elif answer.host == SHED:
            self.shed(now, link, answer.at)
        elif answer.host == GIVEN_UP:
            self.give_up(now, link)

    def due(self, now: int) -> int:
        """Carry out what has fallen due, once all that was told has been heard; when to look again."""
        while self.held and self.held[0][0] <= now:
            _, number = heapq.heappop(self.held)
            link = self.link(number)
            if link is not None:
                self.carry_out(now, link, self.decisions.place(now, link))
        due = self.decisions.wait(now)
        for host in due.probes:
            self.probe(now, host)
        for number in due.moves:
            self.move(now, number)
        for number in due.withdrawn:
            self.withdraw(now, number)
        if due.ask_list:
            self.ask_list(now)
        wake = now + due.wait_us
        return min(wake, self.held[0][0]) if self.held else wake
