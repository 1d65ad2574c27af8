"""Quotas as the cluster file says, and each node's share of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from larchlatch.cluster.quota.loan_terms import LoanTerms


class Quota(NamedTuple):
    """A budget of the cluster file.

    Attributes:
        name: its name.
        sessions: new sessions in a window, of the whole cluster.
        traffic_classes: names of the traffic classes whose sessions count.

    """

    name: str
    sessions: int
    traffic_classes: tuple[str, ...]


class QuotaShare(NamedTuple):
    """A node's part of a quota, in sessions a window.

    Attributes:
        own: what is the node's own.
        floor: the part of that which it never lends.

    """

    own: int
    floor: int


def share_at(sessions: int, floor: float, node_count: int, index: int) -> QuotaShare:
    """Return the share of the node at `index`; the shares of all nodes add up to the quota.

    Args:
        sessions: the quota, in sessions a window.
        floor: part of each share that is never lent, from 0 to 1.
        node_count: number of nodes.
        index: the node's place in the order of names.

    """
    own = sessions * (index + 1) // node_count - sessions * index // node_count
    return QuotaShare(own, int(own * floor))


class QuotaSettings(NamedTuple):
    """How quotas are divided among the members; the same on all nodes that have read the same file.

    Attributes:
        quotas: all quotas, in the file's order.
        names: names of all members, in order.
        floor: part of each share that is never lent, from 0 to 1.
        loan_terms: how long loans last, and how use is counted.
        digest: tells one file from another.
        pooled: whether what lies above all floors is one pool that the quota allocator lends from.

    """

    quotas: tuple[Quota, ...]
    names: tuple[str, ...]
    floor: float
    loan_terms: LoanTerms
    digest: int
    pooled: bool = False

    def share(self, quota: Quota, name: str) -> QuotaShare:
        """Return what a node has of a quota as its own."""
        share = share_at(quota.sessions, self.floor, len(self.names), self.names.index(name))
        return QuotaShare(share.floor, share.floor) if self.pooled else share

    def pool(self, quota: Quota) -> QuotaShare:
        """Return the part of a quota that no node has as its own."""
        return QuotaShare(quota.sessions - sum(self.share(quota, name).own for name in self.names), 0)

    def quota_names(self) -> dict[str, str]:
        """Return the name of the quota of each traffic class that has one."""
        return {traffic_class: quota.name for quota in self.quotas for traffic_class in quota.traffic_classes}
