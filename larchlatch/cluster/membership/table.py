"""Stores the members by name and by the time of the last news of them. No I/O."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from larchlatch.cluster.membership.member import Member, MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from larchlatch.cluster.protocol.messages import NodeRecord, SignedMessage


class MemberTable:
    """All other members, and an index of those that are present.

    Present members are kept in the order of the last news of them. So in a large cluster a heartbeat visits
    only the members whose silence threshold has passed.

    Attributes:
        members: all other members, in the order of their names.
        present: members in state PRESENT; the one without news for the longest time comes first.

    """

    def __init__(self) -> None:
        """Start without members."""
        self.members: dict[str, Member] = {}
        self.present: dict[str, Member] = {}
        self._digest_counts: Counter[int | None] = Counter()

    def replace(self, names: Iterable[str], *, listened_us: int) -> None:
        """Set the members: known ones keep their state, new ones start as UNHEARD, all others are removed."""
        known = self.members
        self.members = {
            name: known[name] if name in known else Member(name, last_news_us=listened_us)
            for name in sorted(names)
        }
        self.present = {name: member for name, member in self.present.items() if name in self.members}
        self._digest_counts = Counter(member.configuration_digest for member in self.members.values())

    def store(self, member: Member, record: NodeRecord, signed: SignedMessage) -> None:
        """Replace a member's record with a newer one."""
        self._digest_counts[member.configuration_digest] -= 1
        member.record, member.signed = record, signed
        self._digest_counts[member.configuration_digest] += 1

    def note_news(self, member: Member, *, listened_us: int) -> None:
        """Note news of a member: move it to the end of `present`, or remove it from there if not present."""
        member.last_news_us = listened_us
        self.present.pop(member.name, None)
        if member.state is MemberState.PRESENT:
            self.present[member.name] = member

    def mark_silent(self, member: Member) -> None:
        """Mark a present member as silent."""
        member.is_silent = True
        del self.present[member.name]

    def without_news_since(self, listened_us: int) -> Iterator[str]:
        """Yield the names of the present members whose last news is from before `listened_us`."""
        for name, member in self.present.items():
            if member.last_news_us >= listened_us:
                break
            yield name

    def configuration_digests(self) -> list[int | None]:
        """Return the digests of the cluster files that members use; None stands for members still UNHEARD."""
        return [digest for digest, count in self._digest_counts.items() if count]
