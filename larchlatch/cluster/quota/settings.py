"""The quotas that a cluster file defines, and each node's share of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from larchlatch.cluster.quota.loan_terms import LoanTerms


class Quota(NamedTuple):
    """A quota of the cluster file.

    Attributes:
        name: the quota's name.
        sessions: new sessions per window, for the whole cluster.
        traffic_classes: names of the traffic classes whose sessions count against the quota.

    """

    name: str
    sessions: int
    traffic_classes: tuple[str, ...]


class QuotaShare(NamedTuple):
    """A node's share of a quota, in sessions per window.

    Attributes:
        own: the whole share.
        floor: the part of the share that the node never lends.

    """

    own: int
    floor: int


def share_at(sessions: int, floor: float, node_count: int, index: int) -> QuotaShare:
    """Return the share of the node at `index`; the shares of all nodes add up to the quota.

    Args:
        sessions: the quota, in sessions per window.
        floor: fraction of each share that is never lent, from 0 to 1.
        node_count: number of nodes.
        index: the node's index in the sorted names of all nodes.

    """
    own = sessions * (index + 1) // node_count - sessions * index // node_count
    return QuotaShare(own, int(own * floor))


class QuotaSettings(NamedTuple):
    """The division of quotas among the members; equal on all nodes that use the same cluster file.

    Attributes:
        quotas: all quotas, in the order of the cluster file.
        names: names of all members, sorted.
        floor: fraction of each share that is never lent, from 0 to 1.
        loan_terms: length of loans and of the quota window.
        digest: configuration digest of the file's quota settings.
        pooled: whether the quota allocator lends everything above the floors from pools.

    """

    quotas: tuple[Quota, ...]
    names: tuple[str, ...]
    floor: float
    loan_terms: LoanTerms
    digest: int
    pooled: bool = False

    def share(self, quota: Quota, name: str) -> QuotaShare:
        """Return the share of a quota that belongs to a node: only the floor if the rest is in a pool."""
        share = share_at(quota.sessions, self.floor, len(self.names), self.names.index(name))
        return QuotaShare(share.floor, share.floor) if self.pooled else share

    def pool(self, quota: Quota) -> QuotaShare:
        """Return the part of a quota that belongs to no node; the quota allocator lends it from a pool."""
        return QuotaShare(quota.sessions - sum(self.share(quota, name).own for name in self.names), 0)

    def quota_by_traffic_class(self) -> dict[str, str]:
        """Return the name of the quota for each traffic class that has one, by the class's name."""
        return {traffic_class: quota.name for quota in self.quotas for traffic_class in quota.traffic_classes}
