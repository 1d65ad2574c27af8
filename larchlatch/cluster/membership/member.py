"""What a node knows about one other member, and the states of a member. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.membership.clock import SUSPICION_US

if TYPE_CHECKING:
    from larchlatch.cluster.protocol.messages import NodeRecord, SignedMessage

RECOVERY_US = SUSPICION_US  # for so long after its own silence a watcher's suspicions are ignored
NEVER_US = -1  # earlier than any time of the listening clock


class MemberState(Enum):
    """Whether a member is known to run; the values are printed in logs and rows."""

    UNHEARD = "unheard"  # no record of it was received since this node started
    PRESENT = "present"
    SILENT = "silent"
    LEFT = "left"  # its last record announced that it shuts down


class RecordAge(NamedTuple):
    """Orders the records of one member: a later incarnation, then a higher number, is newer."""

    incarnation: int
    number: int


@dataclass(slots=True)
class Member:
    """What is known about another member; times are `ListeningClock.listened_us`.

    Attributes:
        name: the member's name in the cluster file.
        record: its newest record; None until one was received.
        signed: that record as it was received, to be forwarded.
        last_news_us: time of the last news of it of any kind.
        last_record_us: time of its last record; reports of its watchers don't count here.
        recovered_us: time at which it last ceased to be silent.
        last_direct_us: time of the last record that it sent itself; `NEVER_US` if it has sent none.
        times_forwarded: how often its record was forwarded; negative for a record with urgent news.
        is_silent: there was no news of it for too long, or its suspicion is confirmed.
        watchers: names of the members that watch it.
        suspected_by: the watchers that suspect it, each with the age of the newest record that it had.
        false_positives: how often it counted as silent and was then heard in the same incarnation.

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
    suspected_by: dict[str, RecordAge] = field(default_factory=dict)
    false_positives: int = 0

    @property
    def state(self) -> MemberState:
        """Return the state, which follows from the newest record and from silence."""
        if self.record is None:
            return MemberState.UNHEARD
        if self.record.shutting_down:
            return MemberState.LEFT
        return MemberState.SILENT if self.is_silent else MemberState.PRESENT

    @property
    def configuration_digest(self) -> int | None:
        """Return the digest of the cluster file that it uses; None until a record was received."""
        return self.record.config_digest if self.record is not None else None

    def forwarding_rank(self) -> tuple[int, int]:
        """Return the sort key of forwarding: the least often forwarded first, of these the newest."""
        return self.times_forwarded, -self.record.created_us if self.record is not None else 0


class MemberChange(NamedTuple):
    """A member that has entered a state."""

    name: str
    state: MemberState


class MemberSnapshot(NamedTuple):
    """One member, for the operators of the node.

    Attributes:
        name: the member's name.
        state: its state.
        age_us: time since the last news of it, by the listening clock.
        direct: whether it was heard directly within the last rounds.
        incarnation: incarnation of its newest record; 0 if there is none.
        hears_us: whether it reports that it hears this node directly; None if it does not report this.

    """

    name: str
    state: MemberState
    age_us: int
    direct: bool
    incarnation: int
    hears_us: bool | None
