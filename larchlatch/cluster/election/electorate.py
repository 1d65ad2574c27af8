"""The roles, and who elects their holders, as the cluster file says."""

from __future__ import annotations

from typing import NamedTuple

from larchlatch.cluster.election.lease_terms import LeaseTerms

# Roles; the values are in files and logs.
QUOTA_ALLOCATOR = "allotter"  # lends what quotas hold above all floors
TOKEN_ISSUER = "pacer"  # issues slow-start tokens


class Electorate(NamedTuple):
    """What the cluster file says of roles; the same on all nodes that have read the same file.

    Attributes:
        electors: names of the nodes that elect.
        names: names of all members, in order.
        roles: roles that are elected, in order.
        lease_terms: how long a role is held.
        digest: tells one file from another.

    """

    electors: tuple[str, ...] = ()
    names: tuple[str, ...] = ()
    roles: tuple[str, ...] = ()
    lease_terms: LeaseTerms = LeaseTerms(3_000_000, 0.01)
    digest: int = 0
