"""Tracks which members their watchers suspect, and confirms suspicions. No I/O.

In a large cluster old records of a failed member are forwarded for many seconds, so gossip reveals the
failure too late. Therefore each member sends its records directly to its watchers, and these report in their
own records which members they no longer hear. One watcher alone may be partitioned from the rest, so a member
counts as silent once `CONFIRMATIONS` watchers suspect it (compare SWIM, Das et al. 2002).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.membership.bitmap import has_bit, pack_bits
from larchlatch.cluster.membership.clock import SUSPICION_HEARTBEATS
from larchlatch.cluster.membership.member import NEVER_US, RECOVERY_US, Member, RecordVersion
from larchlatch.cluster.membership.watchers import assign_watchers, members_by_watcher
from larchlatch.cluster.protocol.messages import Suspicion

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from larchlatch.cluster.membership.clock import ListeningClock
    from larchlatch.cluster.membership.table import MemberTable
    from larchlatch.cluster.protocol.messages import NodeRecord

CONFIRMATIONS = 2  # watchers that have to suspect a member before it counts as silent
MAX_SUSPICIONS_PER_RECORD = 12  # leaves space for the records of other members


class SuspicionTracker:
    """Tracks the suspicions that watchers report, and this node's own.

    Attributes:
        names: sorted names of all members and this node; records refer to a member by its index here.
        index_by_name: the index of each name.
        own_watchers: the members that watch this node; empty in a small cluster.
        own_report: this node's own suspicions at the last heartbeat, to be sent in its record.

    """

    def __init__(self, own_name: str, table: MemberTable, clock: ListeningClock) -> None:
        """Start without watchers; `set_members` assigns them."""
        self.names: list[str] = []
        self.index_by_name: dict[str, int] = {}
        self.own_watchers: list[str] = []
        self.own_report: list[Suspicion] = []
        self._own_name = own_name
        self._table = table
        self._clock = clock
        self._watched_by: dict[str, list[str]] = {}  # for each member, the members that it watches
        self._suspected: set[str] = set()  # members that at least one other watcher suspects
        self._own_suspicions: set[str] = set()

    def set_members(self, sites: Mapping[str, str]) -> None:
        """Assign watchers to the members that are now in the table."""
        members = self._table.members
        self._suspected = {name for name in self._suspected if name in members}
        self.names = sorted({*sites, self._own_name})
        self.index_by_name = {name: index for index, name in enumerate(self.names)}
        # A small cluster needs no watchers: gossiped records are recent enough to reveal a failed member.
        has_watchers = self._clock.needs_watchers and self._own_name in sites
        watchers = assign_watchers(self.names, sites) if has_watchers else {}
        self.own_watchers = watchers.get(self._own_name, [])
        self._watched_by = members_by_watcher(watchers, self.names)
        for member in members.values():
            member.watchers = frozenset(watchers.get(member.name, ()))
            # A member that no longer watches it reports neither a suspicion nor the end of one.
            member.suspected_by = {
                name: known_version
                for name, known_version in member.suspected_by.items()
                if name in member.watchers
            }
            self._update_suspected(member)

    # Reports of other members.

    def process_report(self, record: NodeRecord) -> None:
        """Add the suspicions in a member's record, and withdraw those that the member no longer reports.

        Right after a partition, records from the other side still report suspicions of all members of this
        side, and the records that this node has of that side's members are older than these suspicions. So
        what a member suspects is ignored for `RECOVERY_US` after the member has ceased to be silent.
        """
        suspected = {
            report.member_index: RecordVersion(report.incarnation, report.sequence)
            for report in record.suspicions
            if report.member_index < len(self.names)
        }
        watcher = self._table.members[record.name]
        if self._clock.listened_us - watcher.recovered_us >= RECOVERY_US:
            self._add_suspicions(record, suspected)
        self._withdraw_suspicions(record, suspected)

    def _add_suspicions(self, record: NodeRecord, suspected: Mapping[int, RecordVersion]) -> None:
        for index, known_version in suspected.items():
            member = self._table.members.get(self.names[index])
            if member is None or record.name not in member.watchers:
                continue
            # A report that does not cover the member's record is outdated: the member has sent records since.
            if member.record is None or self._covers(known_version, member.record, record.created_us):
                member.suspected_by[record.name] = known_version
                self._update_suspected(member)

    def _withdraw_suspicions(self, record: NodeRecord, suspected: Mapping[int, RecordVersion]) -> None:
        for bit, name in enumerate(self._watched_by[record.name]):
            member = self._table.members.get(name)
            if member is None or self.index_by_name[name] in suspected:
                continue
            if member.suspected_by.pop(record.name, None) is not None:
                self._update_suspected(member)
            # In a large cluster a member's own records arrive rarely. The report of a watcher that hears the
            # member directly also proves that it is running.
            if not member.is_silent and has_bit(record.direct_contacts, bit):
                self._table.note_news(member, listened_us=self._clock.listened_us)

    def _covers(self, known_version: RecordVersion, newest: NodeRecord, reported_at_us: int) -> bool:
        """Return whether a suspicion also applies to a record that its watcher may not have had.

        The last record of a member before a partition may have reached this node and none of the watchers.
        Their suspicion then names an earlier record. It applies to the last one as well if the report was
        created so long after that record that the member would have sent further ones in between.

        Args:
            known_version: the version of the newest record that the watcher had.
            newest: the newest record that this node has of the suspected member.
            reported_at_us: Unix time at which the watcher created its report.

        """
        if newest.version <= known_version:
            return True
        slightly_newer = (
            newest.incarnation == known_version.incarnation
            and newest.sequence <= known_version.number + SUSPICION_HEARTBEATS
        )
        return slightly_newer and reported_at_us - newest.created_us >= self._clock.suspicion_us

    def withdraw_refuted(self, member: Member, record: NodeRecord) -> None:
        """Withdraw the suspicions of a member that its new record refutes.

        Old records of a failed member are forwarded for a long time. So a record refutes the suspicion of a
        watcher only if it is newer than the one that the watcher had.
        """
        if member.suspected_by:
            member.suspected_by = {
                name: known_version
                for name, known_version in member.suspected_by.items()
                if known_version >= record.version
            }
            self._update_suspected(member)

    def _update_suspected(self, member: Member) -> None:
        if member.suspected_by:
            self._suspected.add(member.name)
        else:
            self._suspected.discard(member.name)

    # This node's own suspicions.

    def clear_own_suspicion(self, name: str) -> None:
        """Withdraw this node's own suspicion of a member that it has just heard directly."""
        self._own_suspicions.discard(name)

    def update_own_suspicions(self) -> None:
        """Determine which of its watched members this node suspects now."""
        watched = (self._table.members[name] for name in self._watched_by[self._own_name])
        suspects = [member for member in watched if self._suspects(member)]
        suspects.sort(key=lambda member: -member.last_direct_us)
        self.own_report = [
            Suspicion(self.index_by_name[member.name], member.record.incarnation, member.record.sequence)
            for member in suspects[:MAX_SUSPICIONS_PER_RECORD]
            if member.record is not None
        ]
        self._own_suspicions = {self.names[report.member_index] for report in self.own_report}

    def _suspects(self, member: Member) -> bool:
        """Return whether this node suspects a watched member, which it heard before but not lately.

        A member whose records still arrive through others is running, so it is not suspected. If this node
        reported a suspicion with the version of such a record, the members that have an older record would
        treat the running member as silent.
        """
        since_us = self._clock.listened_us - self._clock.suspicion_us
        return (
            member.last_direct_us != NEVER_US
            and member.last_direct_us < since_us
            and member.last_record_us < since_us
            and member.record is not None
            and not member.record.shutting_down
        )

    # Confirmation.

    def is_confirmed(self, member: Member) -> bool:
        """Return whether enough watchers of a member suspect it."""
        own = member.name in self._own_suspicions
        return len(member.suspected_by) + own >= CONFIRMATIONS

    def confirmed(self) -> Iterable[str]:
        """Return the members whose suspicion is confirmed."""
        suspected = self._suspected | self._own_suspicions
        return (name for name in suspected if self.is_confirmed(self._table.members[name]))

    # Direct contacts, which records report as bits.

    def contact_names(self, name: str) -> Sequence[str]:
        """Return the members for which a member's record has a direct-contact bit, in the order of the bits.

        In a large cluster bits for all members would take space from other records, so a member reports only
        on those that it watches.
        """
        return self._watched_by[name] if self.own_watchers else self.names

    def own_contact_bits(self) -> bytes:
        """Return the direct-contact bits of this node's record, one for each of its `contact_names`."""
        since_us = self._clock.direct_since_us
        return pack_bits([self._hears(name, since_us) for name in self.contact_names(self._own_name)])

    def _hears(self, name: str, since_us: int) -> bool:
        member = self._table.members.get(name)
        return member is not None and member.last_direct_us >= since_us and not member.is_silent

    def hears_us(self, member: Member) -> bool | None:
        """Return whether a member reports that it hears this node directly; None if it reports neither."""
        contacts = self.contact_names(member.name)
        if self._own_name not in contacts:
            return None
        return member.record is not None and has_bit(
            member.record.direct_contacts, contacts.index(self._own_name)
        )
