"""What the actors tell the module's actor: plain values in its mailbox."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from larchlatch.config.endpoints import EndpointList
    from larchlatch.node.session_record import SessionRecord
    from larchlatch.policy.types import Outcome


class Arrived(NamedTuple):
    """A client's link to be placed."""

    record: SessionRecord


class HoldExpired(NamedTuple):
    """A link that was held, and is to be asked for again."""

    record: SessionRecord


class Stood(NamedTuple):
    """A link that was open at a host before this node started."""

    record: SessionRecord
    upstream: int


class AttemptFinished(NamedTuple):
    """What became of a setup try, or of the link that it set up; done: the client needs no answer more."""

    record: SessionRecord
    outcome: Outcome
    done: bool


class Left(NamedTuple):
    """The client has ended its link."""

    record: SessionRecord


class LoadNote(NamedTuple):
    record: SessionRecord
    load: float


class DelayNote(NamedTuple):
    record: SessionRecord
    delay_us: int


class Quiet(NamedTuple):
    """Messages wait on a host's links, and nothing has come back on any of them."""

    upstream: int


class Probed(NamedTuple):
    upstream: int
    answered: bool
    utilization: float | None
    held: float | None


class ListTold(NamedTuple):
    members: EndpointList
    asked: bool


class ListFailed(NamedTuple):
    """The watch broke off or could not be had."""


class Advised(NamedTuple):
    """Hosts to look at, for what other nodes say; those that enough others have found gone, with how many."""

    looks: list[str]
    failed: list[tuple[str, int]]


class Paced(NamedTuple):
    """Until then turns at cold hosts are another node's; a host to which a link may go until `at`."""

    until: int
    upstream: str  # none where it is empty
    session: int
    at: int


Message = (
    Arrived
    | HoldExpired
    | Stood
    | AttemptFinished
    | Left
    | LoadNote
    | DelayNote
    | Quiet
    | Probed
    | ListTold
    | ListFailed
    | Advised
    | Paced
)
Post = Callable[[Message], Awaitable[None]]
