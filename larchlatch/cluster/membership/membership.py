"""A node's view of the cluster's members, built from gossiped records (van Renesse et al. 1998). No I/O.

Times are whole microseconds: `now_us` is the time of a monotonic clock, `wall_us` is Unix time.
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
from larchlatch.cluster.protocol.headers import RequestOrigin
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

# Greatest difference between a message's creation time and this node's wall clock: an older message may be a
# replay.
MAX_CLOCK_DIFFERENCE_US = 30_000_000


class RecordNovelty(Enum):
    """Whether a record is newer than the newest one that this node has of the same origin."""

    NEWER = "newer"  # its signature has to be verified
    KNOWN = "known"


class Membership:
    """A node's view of the cluster: receives the records of others, and composes its own heartbeats.

    Its components hold the state: `MemberTable` the members, `SuspicionTracker` the watchers and their
    reports, `TargetRotation` the order of targets, and `ListeningClock` the time that all of them use.

    Attributes:
        own_name: this node's name.
        incarnation: Unix time of this node's start; greater if an earlier start used a greater incarnation.
        record_number: number of this node's newest record in this incarnation.
        is_departing: whether this node's records announce that it is shutting down.

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
        """Start with all members in state UNHEARD.

        Args:
            own_name: this node's name.
            sites: the site of each member, this node included.
            heartbeat_us: interval between two heartbeats.
            wall_us: Unix time, which becomes this node's incarnation.
            now_us: current time of a monotonic clock.
            rng: source of the random order of targets.

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
        """Set the members from the cluster file; the state of members that remain in it is kept."""
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

    # Received records.

    def classify(self, record: NodeRecord, wall_us: int) -> RecordNovelty | DropReason:
        """Classify a record whose signature is not verified yet.

        Returns:
            Whether the record is newer than the known one of its origin, or the reason to drop it.

        """
        if record.name == self.own_name:
            ahead = record.incarnation > self.incarnation
            return RecordNovelty.NEWER if ahead else RecordNovelty.KNOWN
        member = self._table.members.get(record.name)
        if member is None:
            return DropReason.UNKNOWN_MEMBER
        if member.record is not None and record.version <= member.record.version:
            return RecordNovelty.KNOWN
        return self.check_time(record.created_us, wall_us=wall_us) or RecordNovelty.NEWER

    @staticmethod
    def check_time(created_us: int, *, wall_us: int) -> DropReason | None:
        """Return why a message created at this Unix time must be dropped; None if it may be accepted."""
        if created_us < wall_us - MAX_CLOCK_DIFFERENCE_US:
            return DropReason.TOO_OLD
        return DropReason.IN_THE_FUTURE if created_us > wall_us + MAX_CLOCK_DIFFERENCE_US else None

    def receive(self, record: NodeRecord, signed: SignedMessage, *, direct: bool) -> MemberChange | None:
        """Apply a newer record whose signature is valid.

        Args:
            record: the record.
            signed: the record as it was received.
            direct: whether its origin sent it directly.

        Returns:
            The change of its origin's state; None if the state stays the same.

        """
        if record.name == self.own_name:
            self._raise_incarnation(record)
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
            self._record_direct_contact(member)
        self._suspicions.withdraw_refuted(member, record)
        member.is_silent = self._suspicions.is_confirmed(member)
        if silent_incarnation is not None and not member.is_silent:
            member.recovered_us = self._clock.listened_us
            member.false_positives += silent_incarnation == record.incarnation
        self._table.note_news(member, listened_us=self._clock.listened_us)
        self._suspicions.process_report(record)
        return MemberChange(member.name, member.state) if member.state is not state_before else None

    def receive_again(self, name: str, signed: SignedMessage) -> None:
        """Note a direct contact: the origin of a known record sent it, after others had forwarded it."""
        member = self._table.members.get(name)
        # The signature is not verified again, so the bytes must equal those of the verified record.
        if member is not None and member.signed == signed:
            self._record_direct_contact(member)

    def _raise_incarnation(self, record: NodeRecord) -> None:
        """Choose an incarnation above that of a record which an earlier start of this node created.

        If this node's clock was set back since then, its current incarnation is lower, and the other members
        would ignore its records as outdated.
        """
        self.incarnation, self.record_number = record.incarnation + 1, 0

    def _record_direct_contact(self, member: Member) -> None:
        member.last_direct_us = self._clock.listened_us
        self._suspicions.clear_own_suspicion(member.name)

    # Heartbeats: state changes that are due, and what this node sends.

    def advance(self, now_us: int) -> list[MemberChange]:
        """Advance the listening clock, and return the members that enter state SILENT."""
        self._clock.advance(now_us)
        self._suspicions.update_own_suspicions()
        silent = set(self._suspicions.confirmed())
        silent.update(self._table.without_news_since(self._clock.listened_us - self._clock.silence_us))
        changes = []
        for name in sorted(silent):
            member = self._table.members[name]
            if member.state is MemberState.PRESENT:
                self._table.mark_silent(member)
                changes.append(MemberChange(name, MemberState.SILENT))
        return changes

    def next_record(
        self,
        wall_us: int,
        *,
        digest: int,
        quota_reports: list[QuotaReport],
        observations: list[HealthObservation],
        promises: list[Promise],
    ) -> NodeRecord:
        """Return this node's next record, unsigned; `advance` has to be called before.

        Args:
            wall_us: current Unix time.
            digest: digest of the cluster file that this node uses.
            quota_reports: this node's report on each quota.
            observations: its health observations: upstreams that it could not reach.
            promises: the leases that it has promised as an elector.

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
            quota_reports,
            observations,
            self._suspicions.own_report,
            promises,
        )

    def request_origin(self, wall_us: int) -> RequestOrigin:
        """Return the fields that identify this node and the time in a request created at this Unix time."""
        return RequestOrigin(self.own_name, self.incarnation, wall_us)

    def gossip_targets(self) -> list[str]:
        """Return the gossip targets of the next heartbeat; a new order is drawn when a round is over."""
        return self._targets.next_targets(self._table.members)

    def watcher_targets(self) -> list[str]:
        """Return the watchers that this node's record is sent to, in addition to the gossip targets."""
        return watcher_targets(self._suspicions.own_watchers, self.record_number)

    def pack_records(self, own: SignedMessage, datagram_count: int) -> list[list[SignedMessage]]:
        """Return the records of each datagram of a heartbeat; see `dissemination.pack_records`."""
        return pack_records(own, self._table.members.values(), datagram_count)

    # Queries.

    @property
    def members(self) -> Mapping[str, Member]:
        """Return all other members by name."""
        return self._table.members

    @property
    def member_indexes(self) -> Mapping[str, int]:
        """Return the index by which records refer to each member, this node included."""
        return self._suspicions.index_by_name

    @property
    def present_records(self) -> dict[str, NodeRecord]:
        """Return the newest record of each member that is present."""
        present = self._table.present.items()
        return {name: member.record for name, member in present if member.record is not None}

    @property
    def is_alone(self) -> bool:
        """Return whether the cluster file has other members and none of them is present."""
        return bool(self.members) and not self._table.present

    def configuration_digests(self) -> list[int | None]:
        """Return the digests of the cluster files that members use; None stands for members still UNHEARD."""
        return self._table.configuration_digests()

    def snapshot(self) -> list[MemberSnapshot]:
        """Return the report to operators about each other member."""
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
