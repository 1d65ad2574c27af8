"""The roles and their electors, as the cluster file defines them."""

from __future__ import annotations

from typing import NamedTuple

from larchlatch.cluster.election.lease_terms import LeaseTerms

# Names of the roles in logs; the order of preference and the cluster file's digest depend on them.
QUOTA_ALLOCATOR = "allotter"  # lends the part of the quotas above all floors
TOKEN_ISSUER = "pacer"  # issues slow-start tokens


class Electorate(NamedTuple):
    """The roles and electors of a cluster file; equal on all nodes that have read the same file.

    Attributes:
        electors: names of the nodes that elect.
        names: names of all members, sorted.
        roles: roles that are elected, in a fixed order.
        lease_terms: length of a lease.
        digest: configuration digest of this part of the file.

    """

    electors: tuple[str, ...] = ()
    names: tuple[str, ...] = ()
    roles: tuple[str, ...] = ()
    lease_terms: LeaseTerms = LeaseTerms(3_000_000, 0.01)
    digest: int = 0
