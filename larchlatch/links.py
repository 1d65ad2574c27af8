"""The plain types that larchlatch.brain is called with."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple

NO_END = 2**62  # microseconds: later than all times


class Repeat(Enum):
    """What a second run of a link's set-up would do."""

    RERUNNABLE = "rerunnable"
    TICKETED = "ticketed"
    EXCLUSIVE = "exclusive"


class Group(Enum):
    """Which hosts discard the repeats of a ticketed link."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """What the list says of a host."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(IntEnum):
    """What became of a setup try."""

    STANDS = 0  # the connection is up; its end is told later
    ENDED = 1  # delivered, and over
    REFUSED = 2  # turned away unseen
    UNREACHED = 3  # no connection in time
    UNSENT = 4  # never left the node
    FAULT = 5
    SILENT = 6  # no answer in time
    CUT = 7
    CANCELLED = 8


# What an outcome says of whether its host can be reached; None: it makes one doubt. The others say nothing.
REACHED = {
    Outcome.STANDS: True,
    Outcome.ENDED: True,
    Outcome.REFUSED: True,
    Outcome.UNREACHED: False,
    Outcome.CUT: None,
}
NEVER_RAN = frozenset({Outcome.REFUSED, Outcome.UNREACHED, Outcome.UNSENT})


@dataclass(frozen=True, slots=True)
class Tariff:
    expected_us: int
    message_us: int  # a message on an open link is wanted within this; 0 where unknown
    repeat: Repeat
    group: Group
    memory_us: int  # how long a ticketed link's group remembers it

    def repeat_until(self, ran_at: int) -> int:
        """Before when a further attempt has to be sent, if the first that may have run was sent then."""
        return NO_END if self.repeat is Repeat.RERUNNABLE else ran_at + self.memory_us


@dataclass(frozen=True, slots=True)
class Terms:
    """What the operators have agreed for a deployment, as far as decisions read it."""

    me: int
    nodes: int
    tariffs: tuple[Tariff, ...]
    grouped: bool  # links of one group share work on a host
    sized: bool  # a listed size stays the same from list to list
    asked_list: bool
    probes: bool
    cancels: bool  # a try may be given up before its time
    probe_tells_load: bool
    late_told: bool  # a host that is late by its load shows in the delay of messages
    most_tries: int
    longest_return_us: int  # 0: clients take no advice
    ask_within_us: int
    cold_from: float
    cold_us: int
    tip_multiple: float
    tip_after_us: int


@dataclass(slots=True)
class Link:
    """One link in hand: what the client said of it, and what its setup tries have come to."""

    number: int
    tariff: int
    key: int | None
    group: int | None
    cut_off: int
    mid_flow: bool = False
    load: float = 0.0  # work a second in microseconds; 0: not known
    tries: int = 0
    host: int = -1  # where the last setup try went, or where the link stands
    out: bool = False  # a setup try is out
    open: bool = False  # the link stands on its host
    sought: bool = False  # a pacer has been asked for a place
    asked_at: int = -NO_END  # when it was last counted among those asked for
    sent_at: int = 0
    stood_at: int = 0  # when it came to stand
    ran_at: int = -1  # when the first try that may have run was sent; -1: none may have
    ran_host: int = -1
    repeat_until: int = NO_END  # a further attempt has to be sent before: its effect is remembered no longer


class Listed(NamedTuple):
    """One line of the host list."""

    host: int
    name: str
    zone: int
    cell: int
    state: State
    size: float
    came_up: int


class Sought(NamedTuple):
    """A cold host to which a link would go, with a pacer's leave."""

    host: int
    budget: float  # links that all nodes together may send there in a window
    weight: float  # of this one, in such links


class Answer(NamedTuple):
    """host >= 0: send there, and give the try up at `at`. Else one of the four below."""

    host: int
    at: int = 0
    sought: tuple[Sought, ...] = ()  # with NOT_YET: what a pacer, where there is one, had better be asked for


class Belief(NamedTuple):
    """What the node takes a host to be, for whoever has to compare it with the sockets."""

    host: int
    state: State
    out: int  # setup tries
    open: int  # links that stand there
    load: float | None  # over what it can do, as last probed
    load_age_us: int
    left_out: str  # why no new link goes there first; empty: it has its share


NOT_YET = -1  # ask again at `at`, or sooner if something changes
SHED = -2  # the final answer: safe to retry; `at` is how long the client had better wait, 0 for no advice
GIVEN_UP = -3  # the final answer: no promise
DONE = -4  # nothing to do


class Due(NamedTuple):
    """What falls due now, and how long until the next thing does."""

    wait_us: int
    probes: list[int]
    ask_list: bool
    moves: list[int]
    withdrawn: list[int]  # links whose tries are given up now; the outcome is told as of any other
    enough_us: int  # a link that lay unread for longer than this, and has less left, is shed at once
