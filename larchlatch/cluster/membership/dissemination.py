"""Chooses the targets of a heartbeat and the records that it forwards (van Renesse et al. 1998). No I/O."""

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

WATCHERS_PER_HEARTBEAT = 4  # watchers that each heartbeat is sent to, in addition to the gossip targets
URGENT_FORWARDS = 8  # datagrams in which an urgent record is forwarded ahead of others
MAX_FORWARDED = 16  # records in one datagram: more do not fit, as each takes over 100 of 1200 bytes


class TargetRotation:
    """Chooses the members that heartbeats are sent to: each in turn, in an order that is shuffled each round.

    As in SWIM, each member thus receives a record directly from each other one within a bounded time.
    """

    def __init__(self, rng: Random) -> None:
        """Start a rotation whose orders are drawn from `rng`."""
        self._shuffle: Callable[[list[str]], None] = rng.shuffle
        self._remaining: list[str] = []  # members still to be chosen in this round, the next one last

    def set_members(self, members: Mapping[str, Member]) -> None:
        """Drop removed members from the current round; added ones are chosen from the next round on."""
        self._remaining = [name for name in self._remaining if name in members]

    def next_targets(self, members: Mapping[str, Member]) -> list[str]:
        """Return the targets of the next heartbeat: `FAN_OUT` members, or all if there are fewer.

        During a partition most datagrams to silent members are lost. So only one target of a heartbeat is a
        silent member, which is enough to detect the end of the partition, unless too few others remain.
        """
        targets: list[str] = []
        while len(targets) < min(FAN_OUT, len(members)):
            if not self._remaining:
                self._remaining = list(members)
                self._shuffle(self._remaining)
            name = self._remaining.pop()
            if members[name].is_silent and _should_skip_silent(targets, members):
                continue
            if name not in targets:
                targets.append(name)
        return targets


def _should_skip_silent(targets: Sequence[str], members: Mapping[str, Member]) -> bool:
    """Return whether a silent member is a target already, and others that are not silent can be added."""
    silent = sum(members[name].is_silent for name in targets)
    return silent > 0 and len(targets) - silent < sum(not member.is_silent for member in members.values())


def watcher_targets(watchers: Sequence[str], record_number: int) -> list[str]:
    """Return the watchers that the record of this number is sent to; successive records take them in turn."""
    first = record_number * WATCHERS_PER_HEARTBEAT
    count = min(WATCHERS_PER_HEARTBEAT, len(watchers))
    return [watchers[(first + offset) % len(watchers)] for offset in range(count)]


def has_urgent_news(record: NodeRecord, previous: NodeRecord | None) -> bool:
    """Return whether a record has to reach all members soon: it has a new suspicion or promises of leases.

    Members derive the holder of a role from the newest records of its electors.
    """
    known = {report.member_index for report in previous.suspicions} if previous is not None else set()
    return bool(record.promises) or any(report.member_index not in known for report in record.suspicions)


def pack_records(
    own: SignedMessage, members: Iterable[Member], datagram_count: int
) -> list[list[SignedMessage]]:
    """Choose the records of a heartbeat's datagrams: this node's own, then as many of others as fit.

    Records that were forwarded least often go first, and the newest of these before the older ones, so that
    old records don't displace new ones. Records of silent members are not forwarded.

    Args:
        own: this node's record.
        members: all other members; their `times_forwarded` is updated.
        datagram_count: number of datagrams.

    Returns:
        The records of each datagram, this node's own first.

    """
    candidates = [member for member in members if member.signed is not None and not member.is_silent]
    waiting = nsmallest(datagram_count * MAX_FORWARDED, candidates, key=Member.forwarding_rank)
    datagrams = []
    for _ in range(datagram_count):
        forwarded = _fill_datagram(own, waiting)
        datagrams.append([own, *forwarded])
        # The records in this datagram go to the end of the queue.
        waiting = waiting[len(forwarded) :] + waiting[: len(forwarded)]
    return datagrams


def _fill_datagram(own: SignedMessage, waiting: Sequence[Member]) -> list[SignedMessage]:
    """Return the first waiting records, as many as fit into a datagram together with this node's own."""
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
