"""What a node knows of one member, and the states that a member is in. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.membership.clock import SUSPICION_US

if TYPE_CHECKING:
    from larchlatch.cluster.protocol.messages import NodeRecord, SignedMessage

# A watcher that was silent until lately was cut off itself: its reports are not believed for so long.
RECOVERY_US = SUSPICION_US
NEVER_US = -1  # before the first time of the listening clock


class MemberState(Enum):
    """Whether a member is there; the values are the admin API's."""

    UNHEARD = "unheard"  # nothing has come from it since this node started
    PRESENT = "present"
    SILENT = "silent"
    LEFT = "left"  # its last record says that it is leaving


class RecordAge(NamedTuple):
    """The order of one member's records: each incarnation numbers them upwards."""

    incarnation: int
    number: int


@dataclass(slots=True)
class Member:
    """What is known of another node; times are the listening clock's (`ListeningClock.listened_us`).

    Attributes:
        name: the member's name in the cluster file.
        record: its newest record, None until one has come.
        signed: that record as it came, to be forwarded.
        last_news_us: when there was last news of it, of whatever kind.
        last_record_us: when a record of it last came; what its watchers say does not count here.
        recovered_us: when it was last found not to be silent any more.
        last_direct_us: when a record of it last came from itself; `NEVER_US` if none has.
        times_forwarded: how often its record was forwarded; below zero for one that has to go first.
        is_silent: it has been without news for too long, or its suspicion is confirmed.
        watchers: the names of the members that watch it.
        suspected_by: the watchers that suspect it, and the newest record that each had of it.
        false_positives: how often it was silent and was then heard of in the same incarnation.

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
        """Return the state that follows from the newest record and from silence."""
        if self.record is None:
            return MemberState.UNHEARD
        if self.record.shutting_down:
            return MemberState.LEFT
        return MemberState.SILENT if self.is_silent else MemberState.PRESENT

    @property
    def configuration_digest(self) -> int | None:
        """Return the digest of the cluster file that it goes by; None until a record has come."""
        return self.record.config_digest if self.record is not None else None

    def forwarding_rank(self) -> tuple[int, int]:
        """Return the sort key of forwarding: least often forwarded first, then the newest."""
        return self.times_forwarded, -self.record.created_us if self.record is not None else 0


class MemberChange(NamedTuple):
    """A member has entered a state."""

    name: str
    state: MemberState


class MemberSnapshot(NamedTuple):
    """One member as the admin API shows it.

    Attributes:
        name: the member's name.
        state: its state.
        age_us: time since the last news of it, by the listening clock.
        direct: it was heard itself lately.
        incarnation: of its newest record, 0 if there is none.
        hears_us: its record says that it hears this node directly; None if the record does not tell.

    """

    name: str
    state: MemberState
    age_us: int
    direct: bool
    incarnation: int
    hears_us: bool | None
