"""What a node keeps for each session: the client's request, its final answer, its connections' state."""

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
    """Final answer: an upstream has accepted the session.

    Attributes:
        connection: the connection to the upstream, which the receiver of the answer owns with its descriptor.
        line: the upstream's answer; empty for a session that was adopted.
        upstream: number of the upstream.

    """

    connection: Lines
    line: bytes
    upstream: int


class Shed(NamedTuple):
    """Final answer: no attempt has run, so the client may repeat its request.

    Attributes:
        retry_after_us: the wait that the client is advised, in microseconds; 0 for no advice.

    """

    retry_after_us: int


class Failed(NamedTuple):
    """Final answer: an attempt may have run."""


FinalAnswer = Delivered | Shed | Failed


@dataclass(slots=True, eq=False)
class SessionRecord:
    """One session from its request until the client's connection has ended.

    Times are microseconds of the node's clock. Records are compared by identity.

    Attributes:
        session: what the balancer knows of the session.
        opening: the request line of the client.
        final_answer: the one final answer, once there is one.
        finished: set with the final answer, or when the client has left without one.
        client_gone: the client has left, or its session is over.
        client_hung_up: asks the operating system whether the client has closed its connection.
        attempt_scope: cancels the attempt that is in flight, if one is.
        migration_requested: set when the session has to leave its upstream, or its client is disconnected.
        request_handover: stops the relay between two lines, so that the successor can continue the session.
        upstream_silent: the session migrates because its upstream does not answer.
        client_stalled_since: when the client stopped reading what is sent to it; 0 while it reads.
        awaiting_answer_since: when the client sent the first line without an answer; 0 if all have one.

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
            False if it already has one or its client has left. The answer is then not used.

        """
        if self.final_answer is not None or self.client_gone:
            return False
        self.final_answer = answer
        self.finished.set()
        return True

    def mark_client_gone(self) -> None:
        """Record that the client has left: no attempt may start any more."""
        self.client_gone = True
        self.finished.set()

    def check_finished(self) -> bool:
        """Return whether no attempt may start any more, as the session is answered or its client has left.

        The operating system is asked too, as the client's end may follow bytes that have not been read.
        """
        unfinished = not self.client_gone and self.final_answer is None
        if unfinished and self.client_hung_up is not None and self.client_hung_up():
            self.mark_client_gone()
        return self.client_gone or self.final_answer is not None
