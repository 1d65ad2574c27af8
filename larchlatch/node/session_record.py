"""What a node records of each session: the request, the final answer, and the state of its connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.node.wire.lines import Opening
    from larchlatch.node.wire.stream import LineConnection
    from larchlatch.policy.types import Session


class Delivered(NamedTuple):
    """Final answer: an upstream has accepted the session.

    Attributes:
        connection: the connection to the upstream; whoever takes the answer owns it and its descriptor.
        line: the upstream's answer; empty for a session that was adopted.
        upstream: number of the upstream.

    """

    connection: LineConnection
    line: bytes
    upstream: int


class Shed(NamedTuple):
    """Final answer: no attempt has run, so the client may repeat its request.

    Attributes:
        retry_after_us: how long the client is advised to wait, in microseconds; 0 for no advice.

    """

    retry_after_us: int


class Failed(NamedTuple):
    """Final answer: an error, after which it is not known whether an attempt has run."""


FinalAnswer = Delivered | Shed | Failed


@dataclass(slots=True, eq=False)
class SessionRecord:
    """One session from its request until the client's connection has ended.

    Times are in microseconds of the node's clock. Records are compared by identity.

    Attributes:
        session: what the balancer knows of the session.
        opening: the request line of the client.
        final_answer: the only final answer; None before it is given.
        finished: set with the final answer, or when the client has left without one.
        client_gone: the client has left, or its session is over.
        client_hung_up: asks the operating system whether the client has closed its connection.
        attempt_scope: cancels the attempt that is in flight, if one is.
        migration_requested: set when the session has to leave its upstream, or when its client has to be
            disconnected.
        request_handover: stops the relay between two lines, so that the successor can continue the session;
            None before the session is relayed.
        upstream_silent: the session migrates because its upstream does not answer.
        client_stalled_since: since when data waits to be sent to the client; 0 while none waits.
        awaiting_answer_since: when the client sent the first line that the upstream has not answered; 0 if it
            has answered all.

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
        """Return whether no attempt may start any more: the session is answered, or its client has left.

        The operating system is asked too, because unread data may precede the client's end.
        """
        unfinished = not self.client_gone and self.final_answer is None
        if unfinished and self.client_hung_up is not None and self.client_hung_up():
            self.mark_client_gone()
        return self.client_gone or self.final_answer is not None
