"""The elected roles and their electors, as the cluster file defines them."""

from __future__ import annotations

from typing import NamedTuple

from larchlatch.cluster.election.lease_terms import LeaseTerms

# Names of the roles in logs. The order of preference of nodes for a role and the cluster file's digest are
# computed from them.
QUOTA_ALLOCATOR = "allotter"  # its holder lends the part of the quotas that lies in no node's floor
TOKEN_ISSUER = "pacer"  # this role's holder issues slow-start tokens


class Electorate(NamedTuple):
    """The roles and electors of a cluster file; equal on all nodes that have read the same file.

    Attributes:
        electors: names of the nodes that vote.
        names: names of all members of the cluster, sorted.
        roles: names of the elected roles, in a fixed order; messages refer to a role by its index here.
        lease_terms: lengths of a lease, a promise and a ballot round.
        digest: digest of the electorate's part of the cluster file, by which nodes detect different files.

    """

    electors: tuple[str, ...] = ()
    names: tuple[str, ...] = ()
    roles: tuple[str, ...] = ()
    lease_terms: LeaseTerms = LeaseTerms(3_000_000, 0.01)
    digest: int = 0
