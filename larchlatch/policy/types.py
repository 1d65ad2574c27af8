"""The plain types that larchlatch.policy.balancer is called with."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple

NO_END = 2**62  # microseconds: later than all times


class Idempotency(Enum):
    """What a second run of a link's set-up would do."""

    IDEMPOTENT = "rerunnable"
    KEYED = "ticketed"
    NON_IDEMPOTENT = "exclusive"


class DedupScope(Enum):
    """Which hosts discard the repeats of a ticketed link."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointState(Enum):
    """What the list says of a host."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(IntEnum):
    """What became of a setup try."""

    ESTABLISHED = 0  # the connection is up; its end is told later
    COMPLETED = 1  # delivered, and over
    REJECTED = 2  # turned away unseen
    CONNECT_FAILED = 3  # no connection in time
    NOT_SENT = 4  # never left the node
    ERROR = 5
    TIMED_OUT = 6  # no answer in time
    RESET = 7
    CANCELLED = 8


# What an outcome says of whether its host can be reached; None: it makes one doubt. The others say nothing.
REACHED = {
    Outcome.ESTABLISHED: True,
    Outcome.COMPLETED: True,
    Outcome.REJECTED: True,
    Outcome.CONNECT_FAILED: False,
    Outcome.RESET: None,
}
NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


@dataclass(frozen=True, slots=True)
class TrafficClass:
    latency_objective_us: int
    message_objective_us: int  # a message on an open link is wanted within this; 0 where unknown
    idempotency: Idempotency
    dedup_scope: DedupScope
    dedup_window_us: int  # how long a ticketed link's group remembers it

    def repeat_until(self, maybe_executed_at: int) -> int:
        """Before when a further attempt has to be sent, if the first that may have run was sent then."""
        return (
            NO_END if self.idempotency is Idempotency.IDEMPOTENT else maybe_executed_at + self.dedup_window_us
        )


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """What the operators have agreed for a deployment, as far as decisions read it."""

    me: int
    nodes: int
    traffic_classes: tuple[TrafficClass, ...]
    uses_groups: bool  # links of one group share work on a host
    weighted: bool  # a listed size stays the same from list to list
    polls_discovery: bool
    probes: bool
    can_cancel: bool  # a try may be given up before its time
    probes_report_load: bool
    reports_delay: bool  # a host that is late by its load shows in the delay of messages
    max_attempts: int
    max_retry_after_us: int  # 0: clients take no advice
    poll_within_us: int
    slow_start_min_share: float
    slow_start_us: int
    overload_multiple: float
    overload_window_us: int


@dataclass(slots=True)
class Session:
    """One link in hand: what the client said of it, and what its setup tries have come to."""

    number: int
    traffic_class: int
    key: int | None
    group: int | None
    deadline: int
    mid_flow: bool = False
    load: float = 0.0  # work a second in microseconds; 0: not known
    attempt_count: int = 0
    upstream: int = -1  # where the last setup try went, or where the link stands
    out: bool = False  # a setup try is out
    open: bool = False  # the link stands on its host
    sought: bool = False  # a pacer has been asked for a place
    asked_at: int = -NO_END  # when it was last counted among those asked for
    sent_at: int = 0
    established_at: int = 0  # when it came to stand
    maybe_executed_at: int = -1  # when the first try that may have run was sent; -1: none may have
    maybe_executed_upstream: int = -1
    repeat_until: int = NO_END  # a further attempt has to be sent before: its effect is remembered no longer


class Endpoint(NamedTuple):
    """One line of the host list."""

    upstream: int
    name: str
    zone: int
    cell: int
    state: EndpointState
    size: float
    started_at: int


class TokenCandidate(NamedTuple):
    """A cold host to which a link would go, with a pacer's leave."""

    upstream: int
    budget: float  # links that all nodes together may send there in a window
    weight: float  # of this one, in such links


class Answer(NamedTuple):
    """host >= 0: send there, and give the try up at `at`. Else one of the four below."""

    upstream: int
    at: int = 0
    sought: tuple[
        TokenCandidate, ...
    ] = ()  # with NOT_YET: what a pacer, where there is one, had better be asked for


class UpstreamStatus(NamedTuple):
    """What the node takes a host to be, for whoever has to compare it with the sockets."""

    upstream: int
    state: EndpointState
    out: int  # setup tries
    open: int  # links that stand there
    load: float | None  # over what it can do, as last probed
    load_age_us: int
    left_out: str  # why no new link goes there first; empty: it has its share


NOT_YET = -1  # ask again at `at`, or sooner if something changes
SHED = -2  # the final answer: safe to retry; `at` is how long the client had better wait, 0 for no advice
FAILED = -3  # the final answer: no promise
DONE = -4  # nothing to do


class DueActions(NamedTuple):
    """What falls due now, and how long until the next thing does."""

    wait_us: int
    probes: list[int]
    ask_list: bool
    moves: list[int]
    withdrawn: list[int]  # links whose tries are given up now; the outcome is told as of any other
    enough_us: int  # a link that lay unread for longer than this, and has less left, is shed at once
