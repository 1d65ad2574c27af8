"""Defines what a node stores about one other member, and the states of a member. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.membership.clock import SUSPICION_US

if TYPE_CHECKING:
    from larchlatch.cluster.protocol.messages import NodeRecord, SignedMessage

RECOVERY_US = SUSPICION_US  # after it was silent, a member's own suspicions are ignored for this time
NEVER_US = -1  # earlier than any time of the listening clock


class MemberState(Enum):
    """Whether a member is known to run; the values stand in logs and in result rows."""

    UNHEARD = "unheard"  # this node has received no record of it yet
    PRESENT = "present"
    SILENT = "silent"
    LEFT = "left"  # its last record announced that it shuts down


class RecordVersion(NamedTuple):
    """The version of a member's record: the higher incarnation is newer, then the higher number."""

    incarnation: int
    number: int


@dataclass(slots=True)
class Member:
    """What this node knows about another member; all times are values of `ListeningClock.listened_us`.

    Attributes:
        name: the member's name in the cluster file.
        record: its newest record; None until one was received.
        signed: that record as it was received, encoded and signed, to be forwarded unchanged.
        last_news_us: time of the last news of it: its record, or a report of a watcher that hears it.
        last_record_us: time of its last new record, received directly or from another member.
        recovered_us: time at which it last ceased to be silent.
        last_direct_us: time of the last record that it sent to this node; `NEVER_US` if it has sent none.
        times_forwarded: how often this node has forwarded its record; starts below zero for an urgent record.
        is_silent: whether there was no news of it for too long, or enough of its watchers suspect it.
        watchers: names of the members that watch it.
        suspected_by: the watchers that suspect it, each with the version of the newest record that it had.
        false_positives: how often it counted as silent and then sent a record of the same incarnation.

    """

    name: str
    record: NodeRecord | None = None
    signed: SignedMessage | None = None
    last_news_us: int = 0
    last_record_us: int = 0
    recovered_us: int = -RECOVERY_US
    last_direct_us: int = NEVER_US
    times_forwarded: int = 0
    is_silent: bool = False
    watchers: frozenset[str] = frozenset()
    suspected_by: dict[str, RecordVersion] = field(default_factory=dict)
    false_positives: int = 0

    @property
    def state(self) -> MemberState:
        """Return the state, which follows from `record` and `is_silent`."""
        if self.record is None:
            return MemberState.UNHEARD
        if self.record.shutting_down:
            return MemberState.LEFT
        return MemberState.SILENT if self.is_silent else MemberState.PRESENT

    @property
    def configuration_digest(self) -> int | None:
        """Return the digest of the cluster file that the member uses; None until a record was received."""
        return self.record.config_digest if self.record is not None else None

    def forwarding_rank(self) -> tuple[int, int]:
        """Return the sort key for forwarding: least often forwarded first, the newest first among these."""
        return self.times_forwarded, -self.record.created_us if self.record is not None else 0


class MemberChange(NamedTuple):
    """A change of a member's state: its name and the state that it entered."""

    name: str
    state: MemberState


class MemberSnapshot(NamedTuple):
    """What this node reports to its operators about one member.

    Attributes:
        name: the member's name.
        state: its state.
        age_us: time since the last news of it, by the listening clock.
        direct: whether it counts as heard directly; see `ListeningClock.direct_since_us`.
        incarnation: incarnation of its newest record; 0 if there is none.
        hears_us: whether it reports that it hears this node directly; None if it does not report this.

    """

    name: str
    state: MemberState
    age_us: int
    direct: bool
    incarnation: int
    hears_us: bool | None
