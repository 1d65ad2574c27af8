"""The holders of all roles, as one node infers them from the promises in the electors' records."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from xxhash import xxh3_64_intdigest

from larchlatch.cluster.election.fencing import FencingGuard

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from larchlatch.cluster.election.electorate import Electorate
    from larchlatch.cluster.protocol.messages import NodeRecord, Promise

STANDBYS = 3  # number of nodes, first in the order of preference, that may become candidates for a role


class Holder(NamedTuple):
    """The name of a role's holder, and the number of its lease."""

    name: str
    lease: int


class KnownHolders:
    """The holder of each role, the time of its last change, and the check of orders from holders.

    Attributes:
        holders: the holder of each role; None: no majority of the electors reports one.
        changed_at: time of the last change of each role's holder, by the process's own clock.
        guards: for each role, the guard that rejects orders of former holders.

    """

    def __init__(self, own_name: str, electorate: Electorate, now: int) -> None:
        self.own_name = own_name
        self.electorate = electorate
        self.holders: dict[str, Holder | None] = dict.fromkeys(electorate.roles)
        self.changed_at = dict.fromkeys(electorate.roles, now)
        self.guards = {role: FencingGuard() for role in electorate.roles}

    def follow(self, electorate: Electorate, now: int) -> None:
        """Replace the electorate after a change of the cluster file; seen fencing tokens are kept."""
        self.electorate = electorate
        self.holders = dict.fromkeys(electorate.roles)
        self.changed_at = {role: self.changed_at.get(role, now) for role in electorate.roles}
        self.guards = {role: self.guards.get(role, FencingGuard()) for role in electorate.roles}

    def update(self, now: int, role: str, holder: Holder | None) -> None:
        """Record the present holder of a role; None: the role has no holder."""
        if holder != self.holders[role]:
            self.holders[role] = holder
            self.changed_at[role] = now
        if holder is not None:
            self.guards[role].observe(holder.lease)

    def accept_handover(self, now: int, role: str) -> None:
        """Record that a role is vacant and reserved for this node, which may become a candidate at once."""
        self.holders[role] = None
        self.changed_at[role] = now - STANDBYS * self.electorate.lease_terms.term_us

    def accepts_order(self, role: str, lease: int) -> bool:
        """Return whether this node may execute an order that a role's holder gave under this lease."""
        return role in self.guards and self.guards[role].accepts(lease)

    def majority_holder(
        self,
        role_index: int,
        own_promises: Sequence[Promise],
        records: Mapping[str, NodeRecord],
        record_ages: Mapping[str, int],
    ) -> Holder | None:
        """Return the holder of a role that a majority of the electors reports; None: there is none.

        As a majority has to agree, a single faulty elector cannot fabricate a holder.

        Args:
            role_index: index of the role in the electorate.
            own_promises: this node's own promises as an elector.
            records: newest record of each member that is present.
            record_ages: age of each member's latest report of promises, in microseconds.

        """
        votes: Counter[Holder] = Counter()
        for name in self.electorate.electors:
            if name == self.own_name:
                promises, age_us = own_promises, 0
            elif name in records:
                promises, age_us = records[name].promises, record_ages.get(name, 0)
            else:
                continue
            votes.update(self._promised_holders(role_index, promises, age_us))
        for holder, count in votes.items():
            if count > len(self.electorate.electors) // 2:
                return holder
        return None

    def _promised_holders(self, role_index: int, promises: Sequence[Promise], age_us: int) -> list[Holder]:
        """Return the nodes to which an elector's unexpired promises give a role."""
        names = self.electorate.names
        return [
            Holder(names[promise.holder_index], promise.lease)
            for promise in promises
            if promise.role_index == role_index
            and promise.remaining_us > age_us
            and promise.holder_index < len(names)
        ]

    def ranked(self, role: str, present: Collection[str]) -> list[str]:
        """Return the names of the present nodes, with this one, in their order of preference for a role.

        Nodes are ordered by a hash of the role and their names, which gives the same order on all nodes that
        know the same members. Nodes that hold another role come last.
        """
        names = [name for name in (*present, self.own_name) if name in self.electorate.names]
        busy = {holder.name for other, holder in self.holders.items() if holder is not None and other != role}
        return sorted(names, key=lambda name: (name in busy, xxh3_64_intdigest(f"{role} {name}".encode())))

    def should_be_candidate(self, now: int, role: str, present: Collection[str]) -> bool:
        """Return whether this node should become a candidate for a role: it is vacant and this node is next.

        A role is vacant if no majority of electors reports a holder that is present. A node is next when its
        waiting time has passed, which grows with its rank in the order of preference.
        """
        holder = self.holders[role]
        if holder is not None and holder.name in present:
            return False
        if self.own_name not in self.electorate.names:
            return False
        rank = self.ranked(role, present).index(self.own_name)
        # Less preferred nodes wait longer, so that more preferred ones can win the role first.
        wait_us = rank * self.electorate.lease_terms.term_us // 2
        return rank < STANDBYS and now >= self.changed_at[role] + wait_us
