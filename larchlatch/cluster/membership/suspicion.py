"""Which members their watchers suspect to be gone, and what confirms it. No I/O.

In a large fleet old records of a dead member travel for many seconds, each as if it lived. So its watchers,
which hear it directly, report in their records which members they miss. One watcher alone may be cut off
from it: `CONFIRMATIONS` of them make a member silent, as suspicion does in SWIM (Das et al. 2002) by asking.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.cluster.membership.bitmap import has_bit, pack_bits
from larchlatch.cluster.membership.clock import SUSPICION_HEARTBEATS
from larchlatch.cluster.membership.member import NEVER_US, RECOVERY_US, Member, RecordAge
from larchlatch.cluster.membership.watchers import assign_watchers, invert
from larchlatch.cluster.protocol.messages import Suspicion

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from larchlatch.cluster.membership.clock import ListeningClock
    from larchlatch.cluster.membership.table import MemberTable
    from larchlatch.cluster.protocol.messages import NodeRecord

CONFIRMATIONS = 2  # watchers that have to suspect a member until it is silent: one alone may be cut off
MAX_REPORTED = 12  # suspected members in one record, those missed last first


class SuspicionTracker:
    """Keeps what watchers report of members, this node's own suspicions included.

    Attributes:
        names: all members and this node, in order: records name a member by its index.
        index_by_name: the index of each of them.
        own_watchers: the members that watch this node; empty in a small fleet.

    """

    def __init__(self, own_name: str, table: MemberTable, clock: ListeningClock) -> None:
        """Start without watchers; set_members() assigns them."""
        self.names: list[str] = []
        self.index_by_name: dict[str, int] = {}
        self.own_watchers: list[str] = []
        self._own_name = own_name
        self._table = table
        self._clock = clock
        self._watched_by: dict[str, list[str]] = {}  # whom each member watches
        self._suspected: set[str] = set()  # those that any other watcher suspects
        self._own_suspicions: set[str] = set()

    def set_members(self, sites: Mapping[str, str]) -> None:
        """Assign watchers anew; the table has the members already."""
        members = self._table.members
        self._suspected = {name for name in self._suspected if name in members}
        self.names = sorted({*sites, self._own_name})
        self.index_by_name = {name: index for index, name in enumerate(self.names)}
        # Where gossiped records tell of silence within the usual time, there is nothing to watch.
        watched_fleet = self._clock.needs_watchers and self._own_name in sites
        watchers = assign_watchers(self.names, sites) if watched_fleet else {}
        self.own_watchers = watchers.get(self._own_name, [])
        self._watched_by = invert(watchers, self.names)
        for member in members.values():
            member.watchers = frozenset(watchers.get(member.name, ()))

    # Reports of others.

    def process_report(self, record: NodeRecord) -> None:
        """Take in whom a member's record suspects, and whom it no longer does.

        After a cut, a member of the other side has suspected all of this side, by its reports of before.
        Here records of its own side may be older than that, and be taken for those of the dead. So a member
        that was silent until lately is not believed.
        """
        suspected = {
            report.member_index: RecordAge(report.incarnation, report.sequence)
            for report in record.suspicions
            if report.member_index < len(self.names)
        }
        watcher = self._table.members[record.name]
        if self._clock.listened_us - watcher.recovered_us >= RECOVERY_US:
            self._add_suspicions(record, suspected)
        self._withdraw_suspicions(record, suspected)

    def _add_suspicions(self, record: NodeRecord, suspected: Mapping[int, RecordAge]) -> None:
        for index, known_age in suspected.items():
            member = self._table.members.get(self.names[index])
            if member is None or record.name not in member.watchers:
                continue
            # Otherwise there has been news of the member since.
            if member.record is None or self._covers(known_age, member.record, record.created_us):
                member.suspected_by[record.name] = known_age
                self._update_suspected(member)

    def _withdraw_suspicions(self, record: NodeRecord, suspected: Mapping[int, RecordAge]) -> None:
        for bit, name in enumerate(self._watched_by[record.name]):
            member = self._table.members.get(name)
            if member is None or self.index_by_name[name] in suspected:
                continue
            if member.suspected_by.pop(record.name, None) is not None:
                self._update_suspected(member)
            # Own records travel seldom in large fleets: that a watcher hears the member says that it lives.
            if not member.is_silent and has_bit(record.direct_contacts, bit):
                self._table.renew(member, listened_us=self._clock.listened_us)

    def _covers(self, known_age: RecordAge, newest: NodeRecord, reported_at_us: int) -> bool:
        """Return whether a report made by a record of this age holds against the newest that is known here.

        The last record before a cut may have come here and to no watcher. The watchers' reports, made by the
        record before it, would not hold against it, and the member would be present for ever. So they do
        once the watchers have suspected it for as long as it would have taken to send more than that.
        """
        if newest.version <= known_age:
            return True
        few_ahead = (
            newest.incarnation == known_age.incarnation
            and newest.sequence <= known_age.number + SUSPICION_HEARTBEATS
        )
        return few_ahead and reported_at_us - newest.created_us >= self._clock.suspicion_us

    def withdraw_by_record(self, member: Member, record: NodeRecord) -> None:
        """Drop the suspicions that a new record of the member refutes.

        Old records of a dead member travel for long; only one that its watchers did not have yet when they
        missed it says that it lives.
        """
        if member.suspected_by:
            member.suspected_by = {
                name: age for name, age in member.suspected_by.items() if age >= record.version
            }
            self._update_suspected(member)

    def _update_suspected(self, member: Member) -> None:
        if member.suspected_by:
            self._suspected.add(member.name)
        else:
            self._suspected.discard(member.name)

    # This node's own part.

    def clear_own_suspicion(self, name: str) -> None:
        """Drop this node's own suspicion of a member that it has just heard itself."""
        self._own_suspicions.discard(name)

    def update_own_suspicions(self) -> None:
        """Find anew whom this node suspects by now."""
        self._own_suspicions = {self.names[report.member_index] for report in self.own_report()}

    def own_report(self) -> list[Suspicion]:
        """Return whom this node watches and has not heard itself for a while, though it did before."""
        watched = (self._table.members[name] for name in self._watched_by[self._own_name])
        suspects = [member for member in watched if self._misses(member)]
        suspects.sort(key=lambda member: -member.last_direct_us)
        return [
            Suspicion(self.index_by_name[member.name], member.record.incarnation, member.record.sequence)
            for member in suspects[:MAX_REPORTED]
            if member.record is not None
        ]

    def _misses(self, member: Member) -> bool:
        """Return whether this node suspects a member that it watches.

        One whose records come through others lives. Reported by the number of such a record, it would be
        dead to all that have an older one.
        """
        since_us = self._clock.listened_us - self._clock.suspicion_us
        return (
            member.last_direct_us != NEVER_US
            and member.last_direct_us < since_us
            and member.last_record_us < since_us
            and member.record is not None
            and not member.record.shutting_down
        )

    # What follows.

    def is_confirmed(self, member: Member) -> bool:
        """Return whether enough of a member's watchers suspect it."""
        own = member.name in self._own_suspicions
        return len(member.suspected_by) + own >= CONFIRMATIONS

    def confirmed(self) -> Iterable[str]:
        """Return the members whose suspicion is confirmed."""
        suspected = self._suspected | self._own_suspicions
        return (name for name in suspected if self.is_confirmed(self._table.members[name]))

    # Direct contacts, as records tell of them.

    def contact_names(self, name: str) -> Sequence[str]:
        """Return of whom a member's record tells whether it hears them, in the order of its bits.

        In a large fleet a bit for each member would take the room of others' records: there a member tells
        only of those that it watches.
        """
        return self._watched_by[name] if self.own_watchers else self.names

    def own_contact_bits(self) -> bytes:
        """Return whom this node hears directly, for its record."""
        since_us = self._clock.direct_since_us
        return pack_bits([self._hears(name, since_us) for name in self.contact_names(self._own_name)])

    def _hears(self, name: str, since_us: int) -> bool:
        member = self._table.members.get(name)
        return member is not None and member.last_direct_us >= since_us and not member.is_silent

    def hears_us(self, member: Member) -> bool | None:
        """Return whether a member's record says that it hears this node; None if it does not tell."""
        contacts = self.contact_names(member.name)
        if self._own_name not in contacts:
            return None
        return member.record is not None and has_bit(
            member.record.direct_contacts, contacts.index(self._own_name)
        )
