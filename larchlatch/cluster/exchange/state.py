"""Holds one node's copy of the state that the members of a cluster share."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.election.election import Election
from larchlatch.cluster.health.observations import HealthObservations
from larchlatch.cluster.quota.counts import ClusterUsage
from larchlatch.cluster.quota.shared_quotas import SharedQuotas
from larchlatch.cluster.slow_start.tokens import SlowStartTokens

if TYPE_CHECKING:
    from random import Random

    from larchlatch.cluster.election.electorate import Electorate
    from larchlatch.cluster.quota.settings import QuotaSettings


class SharedState(NamedTuple):
    """One node's copy of the shared state, which datagrams between the members keep up to date.

    Attributes:
        quotas: the node's quota accounts and loans.
        quota_usage: number of sessions that all nodes have admitted in the last quota windows.
        health: health observations of upstreams.
        election: the election of roles, with this node as elector and candidate.
        tokens: the slow-start tokens, with this node as requester and issuer.

    """

    quotas: SharedQuotas
    quota_usage: ClusterUsage
    health: HealthObservations
    election: Election
    tokens: SlowStartTokens

    @classmethod
    def create(
        cls,
        name: str,
        quota_settings: QuotaSettings,
        electorate: Electorate,
        *,
        max_clock_difference_us: int,
        heartbeat_us: int,
        now: int,
        random: Random,
    ) -> SharedState:
        """Return the initial state of a node.

        Args:
            name: the node's name.
            quota_settings: the quotas of the cluster, and how they are divided among the nodes.
            electorate: the electors, and the roles that they elect nodes for.
            max_clock_difference_us: how far the wall clocks of two nodes may differ.
            heartbeat_us: time between two heartbeats.
            now: monotonic time in microseconds.
            random: source of the random choices of both quotas and election.

        """
        return cls(
            SharedQuotas(name, quota_settings, heartbeat_us, now, random),
            ClusterUsage(quota_settings, clock_difference_us=max_clock_difference_us),
            HealthObservations(),
            Election(name, electorate, heartbeat_us, now, random),
            SlowStartTokens(name, electorate, now),
        )

    def open(self, now: int) -> None:
        """Begin to spend quotas and promise leases; call it once no other process of this node does so."""
        self.quotas.open(now)
        self.election.open(now)
