"""What a node holds of a session: the client's request, its final answer, its connections' state."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.node.wire.lines import Opening
    from larchlatch.node.wire.stream import Lines
    from larchlatch.policy.types import Session


class Delivered(NamedTuple):
    """Final answer: an upstream has taken the session.

    Attributes:
        connection: the connection to the upstream; whoever takes the answer owns it, and its descriptor.
        line: the line with which the upstream took the session.
        upstream: number of the upstream.

    """

    connection: Lines
    line: bytes
    upstream: int


class Shed(NamedTuple):
    """Final answer: nothing has run, so trying again is harmless.

    Attributes:
        retry_after_us: wait advised to the client in microseconds; 0 for no advice.

    """

    retry_after_us: int


class Failed(NamedTuple):
    """Final answer without a promise: an attempt may have run."""


FinalAnswer = Delivered | Shed | Failed


@dataclass(slots=True, eq=False)
class SessionRecord:
    """One session from its request until its client's connection has ended.

    Times are microseconds of the node's clock. Records are compared by identity.

    Attributes:
        session: what the balancer knows of the session.
        opening: the request line of the client.
        final_answer: the one final answer, once there is one.
        finished: set with the final answer, or when the client has left without one.
        client_gone: the client has left, or its session is over.
        client_hung_up: asks the operating system whether the client has closed its connection.
        attempt_scope: cancels the attempt that is in flight, if one is.
        migration_requested: set when the session has to leave its upstream, or its client be cut off.
        request_handover: stops the relay between two lines, so that a hot restart's successor can go on.
        upstream_silent: the session migrates because its upstream no longer answers.
        client_stalled_since: when the client began not to read what is sent to it; 0 while it reads.
        awaiting_answer_since: when the client sent the first line that has no answer yet; 0 if none waits.

    """

    session: Session
    opening: Opening
    final_answer: FinalAnswer | None = None
    finished: anyio.Event = field(default_factory=anyio.Event)
    client_gone: bool = False
    client_hung_up: Callable[[], bool] | None = None
    attempt_scope: anyio.CancelScope | None = None
    migration_requested: anyio.Event = field(default_factory=anyio.Event)
    request_handover: Callable[[], None] | None = None
    upstream_silent: bool = False
    client_stalled_since: int = 0
    awaiting_answer_since: int = 0

    def set_final_answer(self, answer: FinalAnswer) -> bool:
        """Give the session its one final answer.

        Returns:
            False if it has one already, or if its client is gone: the answer was not taken then.

        """
        if self.final_answer is not None or self.client_gone:
            return False
        self.final_answer = answer
        self.finished.set()
        return True

    def mark_client_gone(self) -> None:
        """Note that the client has left: no attempt may start for it, and nobody waits for an answer."""
        self.client_gone = True
        self.finished.set()

    def check_finished(self) -> bool:
        """Return whether no attempt may start any more: it is answered, or its client has left.

        Asks the operating system as well: the client's end may lie there behind bytes that nobody has read.
        """
        unfinished = not self.client_gone and self.final_answer is None
        if unfinished and self.client_hung_up is not None and self.client_hung_up():
            self.mark_client_gone()
        return self.client_gone or self.final_answer is not None
