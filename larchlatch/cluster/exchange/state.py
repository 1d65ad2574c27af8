"""What one node keeps of all that the members of a cluster share."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from larchlatch.cluster.election.election import Election
from larchlatch.cluster.health.observations import HealthObservations
from larchlatch.cluster.quota.counts import FleetCounts
from larchlatch.cluster.quota.shared_quotas import SharedQuotas
from larchlatch.cluster.slow_start.tokens import SlowStartTokens

if TYPE_CHECKING:
    from random import Random

    from larchlatch.cluster.election.electorate import Electorate
    from larchlatch.cluster.quota.settings import QuotaSettings


class SharedState(NamedTuple):
    """The parts of one node that members keep in step by their datagrams.

    Attributes:
        quotas: the node's quota accounts and loans.
        quota_usage: what all nodes have spent of the quotas lately.
        health: observations of upstreams.
        election: roles, as elector, candidate and follower.
        tokens: slow-start tokens, as requester and issuer.

    """

    quotas: SharedQuotas
    quota_usage: FleetCounts
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
        """Return a node's state as it starts.

        Args:
            name: the node's name.
            quota_settings: how the quotas are divided.
            electorate: who elects, for which roles.
            max_clock_difference_us: how far the wall clocks of two nodes may differ.
            heartbeat_us: time between two heartbeats.
            now: monotonic time in microseconds.
            random: source of all random choices; quotas and election draw from it in their calls' order.

        """
        return cls(
            SharedQuotas(name, quota_settings, heartbeat_us, now, random),
            FleetCounts(quota_settings, clock_difference_us=max_clock_difference_us),
            HealthObservations(),
            Election(name, electorate, heartbeat_us, now, random),
            SlowStartTokens(name, electorate, now),
        )

    def open(self, now: int) -> None:
        """Begin to spend quotas and to promise leases: no other process of this node does so any more."""
        self.quotas.open(now)
        self.election.open(now)
