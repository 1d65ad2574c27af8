"""A link in hand: what its client said, its one final answer, and how it stands."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.node.wire.lines import Opening
    from larchlatch.node.wire.stream import Lines
    from larchlatch.policy.types import Session


class Delivered(NamedTuple):
    """The host's connection, and the line with which it took the link."""

    upstream: Lines
    line: bytes
    upstream_actor: int


class Shed(NamedTuple):
    back_us: int


class Failed(NamedTuple):
    """No promise about its effect."""


Verdict = Delivered | Shed | Failed


class SessionRecord:
    def __init__(self, session: Session, opening: Opening) -> None:
        self.session = session
        self.opening = opening
        self.verdict: Verdict | None = None
        self.settled = anyio.Event()
        self.gone = False  # the client has left, or its link is over
        self.hung_up: Callable[[], bool] | None = None  # asks the system whether the client has
        self.attempt: anyio.CancelScope | None = None  # the setup try that is out
        self.move = anyio.Event()
        self.pass_on: Callable[[], None] | None = None  # stops a standing link for another process
        self.silent = False  # moved because its host said nothing any more
        self.stalled_at = 0  # since when the client has not read what is sent to it; 0: it reads
        self.asked_at = 0  # when the client sent the first line that has no answer yet; 0: none waits

    def settle(self, verdict: Verdict) -> bool:
        """The one final answer: False where there is one already, or nobody to take it."""
        if self.verdict is not None or self.gone:
            return False
        self.verdict = verdict
        self.settled.set()
        return True

    def leave(self) -> None:
        """The client has left: nothing more is begun for it, and nobody is there for an answer."""
        self.gone = True
        self.settled.set()

    def abandoned(self) -> bool:
        """Whether nothing may be begun for it: it is answered, or its client has left, read or unread."""
        if not self.gone and self.verdict is None and self.hung_up is not None and self.hung_up():
            self.leave()
        return self.gone or self.verdict is not None
