"""Which nodes are present, by records that members pass on (gossip, van Renesse et al. 1998). No I/O.

Times are whole microseconds: `now_us` of a clock that never runs back, `wall_us` of Unix time.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from larchlatch.cluster.membership.clock import ListeningClock
from larchlatch.cluster.membership.dissemination import (
    URGENT_FORWARDS,
    TargetRotation,
    has_urgent_news,
    pack_records,
    watcher_targets,
)
from larchlatch.cluster.membership.member import Member, MemberChange, MemberSnapshot, MemberState
from larchlatch.cluster.membership.suspicion import SuspicionTracker
from larchlatch.cluster.membership.table import MemberTable
from larchlatch.cluster.protocol.messages import (
    DropReason,
    HealthObservation,
    NodeRecord,
    Promise,
    QuotaReport,
    SignedMessage,
)

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

# Wall clocks may differ by so much; records older than that may be another day's, played again.
MAX_CLOCK_DIFFERENCE_US = 30_000_000


class RecordNovelty(Enum):
    """Whether a record tells more than is known."""

    NEWER = "newer"  # worth a check of its signature
    KNOWN = "known"


class Membership:
    """A node's view of the fleet: takes in records of others, and makes what its own heartbeats carry.

    The parts own their state: `MemberTable` the members, `SuspicionTracker` the watchers and what they
    report, `TargetRotation` the order of targets, `ListeningClock` the time that all of them go by.

    Attributes:
        own_name: this node's name.
        incarnation: the time of this node's start, or more where an earlier life's clock was ahead.
        record_number: of this node's newest record in this incarnation.
        is_departing: this node says in its records that it leaves.

    """

    def __init__(
        self,
        own_name: str,
        sites: Mapping[str, str],
        *,
        heartbeat_us: int,
        wall_us: int,
        now_us: int,
        rng: Random,
    ) -> None:
        """Start with members that are not heard yet.

        Args:
            own_name: this node's name.
            sites: the site of each member, this node included.
            heartbeat_us: interval between two heartbeats.
            wall_us: Unix time, this life's incarnation.
            now_us: of a clock that never runs back.
            rng: draws the order of targets.

        """
        self.own_name = own_name
        self.incarnation = wall_us
        self.record_number = 0
        self.is_departing = False
        self._clock = ListeningClock(heartbeat_us=heartbeat_us, now_us=now_us)
        self._table = MemberTable()
        self._suspicions = SuspicionTracker(own_name, self._table, self._clock)
        self._targets = TargetRotation(rng)
        self.set_members(sites)

    def set_members(self, sites: Mapping[str, str]) -> None:
        """Follow the operators' file: keep what is known of members that stay, forget the others."""
        others = [name for name in sites if name != self.own_name]
        self._table.replace(others, listened_us=self._clock.listened_us)
        self._clock.member_count = len(others)
        self._targets.set_members(self.members)
        self._suspicions.set_members(sites)

    @property
    def heartbeat_us(self) -> int:
        """Return or set the interval between two heartbeats."""
        return self._clock.heartbeat_us

    @heartbeat_us.setter
    def heartbeat_us(self, heartbeat_us: int) -> None:
        self._clock.heartbeat_us = heartbeat_us

    # What is received.

    def classify(self, record: NodeRecord, wall_us: int) -> RecordNovelty | DropReason:
        """Judge a record that can't be trusted yet.

        Returns:
            Whether it is worth a check of its signature; or why it has to be dropped.

        """
        if record.name == self.own_name:
            ahead = record.incarnation > self.incarnation
            return RecordNovelty.NEWER if ahead else RecordNovelty.KNOWN
        member = self._table.members.get(record.name)
        if member is None:
            return DropReason.UNKNOWN_MEMBER
        if member.record is not None and record.version <= member.record.version:
            return RecordNovelty.KNOWN
        return self.check_time(record.created_us, wall_us) or RecordNovelty.NEWER

    @staticmethod
    def check_time(made_us: int, wall_us: int) -> DropReason | None:
        """Return why something made at this Unix time is no longer, or not yet, to be believed."""
        if made_us < wall_us - MAX_CLOCK_DIFFERENCE_US:
            return DropReason.TOO_OLD
        return DropReason.IN_THE_FUTURE if made_us > wall_us + MAX_CLOCK_DIFFERENCE_US else None

    def receive(self, record: NodeRecord, signed: SignedMessage, *, direct: bool) -> MemberChange | None:
        """Take in a record that is newer and whose signature holds.

        Args:
            record: the record.
            signed: the same as it came.
            direct: its origin has sent it itself.

        Returns:
            The state that its origin enters by it, None if it stays in its state.

        """
        if record.name == self.own_name:
            self._outbid(record)
            return None
        member = self._table.members[record.name]
        state_before = member.state
        silent_incarnation = (
            member.record.incarnation if member.record is not None and member.is_silent else None
        )
        urgent = has_urgent_news(record, member.record)
        self._table.store(member, record, signed)
        member.last_record_us = self._clock.listened_us
        member.times_forwarded = -URGENT_FORWARDS if urgent else 0
        if direct:
            self._note_direct_contact(member)
        self._suspicions.withdraw_by_record(member, record)
        member.is_silent = self._suspicions.is_confirmed(member)
        if silent_incarnation is not None and not member.is_silent:
            member.recovered_us = self._clock.listened_us
            member.false_positives += silent_incarnation == record.incarnation
        self._table.renew(member, listened_us=self._clock.listened_us)
        self._suspicions.process_report(record)
        return MemberChange(member.name, member.state) if member.state is not state_before else None

    def receive_again(self, name: str, signed: SignedMessage) -> None:
        """Take in a known record from its origin itself: another had forwarded it sooner."""
        member = self._table.members.get(name)
        # Only what is the same to the last byte: its signature has not been checked a second time.
        if member is not None and member.signed == signed:
            self._note_direct_contact(member)

    def _outbid(self, record: NodeRecord) -> None:
        """Begin an incarnation after that of an earlier life, whose clock was ahead.

        Otherwise nobody would take this one's records for newer.
        """
        self.incarnation, self.record_number = record.incarnation + 1, 0

    def _note_direct_contact(self, member: Member) -> None:
        member.last_direct_us = self._clock.listened_us
        self._suspicions.clear_own_suspicion(member.name)

    # What is sent.

    def advance(self, now_us: int) -> list[MemberChange]:
        """Count the time since the last call, and mark the members that have fallen silent by it."""
        self._clock.advance(now_us)
        self._suspicions.update_own_suspicions()
        silent = set(self._suspicions.confirmed())
        silent.update(self._table.without_news_since(self._clock.listened_us - self._clock.silence_us))
        changes = []
        for name in sorted(silent):
            member = self._table.members[name]
            if member.state is MemberState.PRESENT:
                self._table.silence(member)
                changes.append(MemberChange(name, MemberState.SILENT))
        return changes

    def next_record(
        self,
        wall_us: int,
        *,
        digest: int,
        shares: list[QuotaReport],
        observations: list[HealthObservation],
        promises: list[Promise],
    ) -> NodeRecord:
        """Make this node's next record.

        Args:
            wall_us: Unix time.
            digest: of the cluster file that this node goes by.
            shares: what it tells of each quota.
            observations: of upstreams that it could not reach.
            promises: what it has promised as an elector.

        Returns:
            The record, not signed yet.

        """
        self.record_number += 1
        return NodeRecord(
            self.own_name,
            self.incarnation,
            self.record_number,
            wall_us,
            self.is_departing,
            self._suspicions.own_contact_bits(),
            digest,
            shares,
            observations,
            self._suspicions.own_report(),
            promises,
        )

    def gossip_targets(self) -> list[str]:
        """Return whom the next heartbeat goes to; draws a new order where a round is over."""
        return self._targets.next_targets(self._table.members)

    def watcher_targets(self) -> list[str]:
        """Return the watchers that this node's record goes to besides."""
        return watcher_targets(self._suspicions.own_watchers, self.record_number)

    def pack_records(self, own: SignedMessage, datagram_count: int) -> list[list[SignedMessage]]:
        """Choose the records of so many datagrams; see `dissemination.pack_records`."""
        return pack_records(own, self._table.members.values(), datagram_count)

    # What is known.

    @property
    def members(self) -> Mapping[str, Member]:
        """Return all other members by name."""
        return self._table.members

    @property
    def member_indexes(self) -> Mapping[str, int]:
        """Return the index by which records name a member, this node included."""
        return self._suspicions.index_by_name

    @property
    def present_records(self) -> dict[str, NodeRecord]:
        """Return the newest record of each member that is present."""
        present = self._table.present.items()
        return {name: member.record for name, member in present if member.record is not None}

    @property
    def is_alone(self) -> bool:
        """Return whether no other node is present, though there are others."""
        return bool(self.members) and not self._table.present

    def configuration_digests(self) -> list[int | None]:
        """Return the digests of the cluster files that members go by; None stands for unheard ones."""
        return self._table.configuration_digests()

    def snapshot(self) -> list[MemberSnapshot]:
        """Return each member as the admin API shows it."""
        return [self._snapshot(member) for member in self.members.values()]

    def _snapshot(self, member: Member) -> MemberSnapshot:
        direct = member.last_direct_us >= self._clock.direct_since_us and not member.is_silent
        return MemberSnapshot(
            name=member.name,
            state=member.state,
            age_us=self._clock.listened_us - member.last_news_us,
            direct=direct,
            incarnation=member.record.incarnation if member.record is not None else 0,
            hears_us=self._suspicions.hears_us(member),
        )
