"""To whom a heartbeat goes, and which records it forwards (van Renesse et al. 1998). No I/O."""

from __future__ import annotations

from heapq import nsmallest
from typing import TYPE_CHECKING

from larchlatch.cluster.membership.clock import FAN_OUT
from larchlatch.cluster.membership.member import Member
from larchlatch.cluster.protocol.codec import DATAGRAM_OVERHEAD_BYTES, MAX_DATAGRAM_BYTES, encoded_size

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence
    from random import Random

    from larchlatch.cluster.protocol.messages import NodeRecord, SignedMessage

# Watchers that a heartbeat goes to besides, with its own record alone: each gets it every 0.4 s.
WATCHERS_A_HEARTBEAT = 4
# Datagrams in which a record with urgent news goes before others: all have it within some five heartbeats.
URGENT_FORWARDS = 8
MAX_FORWARDED = 16  # records that one datagram can hold at the most: the shortest takes over 100 bytes


class TargetRotation:
    """Chooses the members that heartbeats go to: all in turn, in an order that is drawn anew each round.

    So each member hears from each other directly within a bounded time, as in SWIM.
    """

    def __init__(self, rng: Random) -> None:
        """Draw the orders from rng."""
        self._shuffle: Callable[[list[str]], None] = rng.shuffle
        self._remaining: list[str] = []  # of this round, the next one last

    def set_members(self, members: Mapping[str, Member]) -> None:
        """Go on with the round, without the members that are gone."""
        self._remaining = [name for name in self._remaining if name in members]

    def next_targets(self, members: Mapping[str, Member]) -> list[str]:
        """Return the targets of the next heartbeat, `FAN_OUT` where there are so many.

        In a cut most of what goes to silent members is lost, and the news of the cut with it: one datagram
        a heartbeat goes to one of them, so that the cut's end is found, the others to members that hear.
        """
        targets: list[str] = []
        while len(targets) < min(FAN_OUT, len(members)):
            if not self._remaining:
                self._remaining = list(members)
                self._shuffle(self._remaining)
            name = self._remaining.pop()
            if members[name].is_silent and _has_enough_silent(targets, members):
                continue
            if name not in targets:
                targets.append(name)
        return targets


def _has_enough_silent(targets: Sequence[str], members: Mapping[str, Member]) -> bool:
    """Return whether one of the targets is silent already, and members that are not silent are left."""
    silent = sum(members[name].is_silent for name in targets)
    return silent > 0 and len(targets) - silent < sum(not member.is_silent for member in members.values())


def watcher_targets(watchers: Sequence[str], record_number: int) -> list[str]:
    """Return the watchers that the own record of this number goes to: some of them in turn."""
    first = record_number * WATCHERS_A_HEARTBEAT
    count = min(WATCHERS_A_HEARTBEAT, len(watchers))
    return [watchers[(first + offset) % len(watchers)] for offset in range(count)]


def has_urgent_news(record: NodeRecord, previous: NodeRecord | None) -> bool:
    """Return whether a record has to reach all soon: it newly suspects a member, or holds promises.

    The holder of a role is known by its electors' newest records.
    """
    known = {report.member_index for report in previous.suspicions} if previous is not None else set()
    return bool(record.promises) or any(report.member_index not in known for report in record.suspicions)


def pack_records(
    own: SignedMessage, members: Iterable[Member], datagram_count: int
) -> list[list[SignedMessage]]:
    """Choose the records of so many datagrams: the own one, then as many as fit of others.

    Records forwarded least often go first, and of these the newest: in the order of names, or in turn, old
    news would take the room of new. Records of silent members are no news, and are not forwarded.

    Args:
        own: this node's record.
        members: all other members; how often their records were forwarded is counted in them.
        datagram_count: how many datagrams are wanted.

    Returns:
        The records of each datagram, the own one first.

    """
    candidates = [member for member in members if member.signed is not None and not member.is_silent]
    waiting = nsmallest(datagram_count * MAX_FORWARDED, candidates, key=Member.forwarding_rank)
    datagrams = []
    for _ in range(datagram_count):
        forwarded = _fill_datagram(own, waiting)
        datagrams.append([own, *forwarded])
        # Those that have gone now come last.
        waiting = waiting[len(forwarded) :] + waiting[: len(forwarded)]
    return datagrams


def _fill_datagram(own: SignedMessage, waiting: Sequence[Member]) -> list[SignedMessage]:
    """Take the first waiting records that fit beside the own one."""
    free_bytes = MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES - encoded_size(own)
    forwarded: list[SignedMessage] = []
    for member in waiting:
        assert member.signed is not None
        if encoded_size(member.signed) > free_bytes:
            break
        free_bytes -= encoded_size(member.signed)
        forwarded.append(member.signed)
        member.times_forwarded += 1
    return forwarded
