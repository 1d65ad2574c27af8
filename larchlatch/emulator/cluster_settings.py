"""Builds the settings that the members of a simulated cluster would read from their cluster files."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from larchlatch.cluster.election.electorate import QUOTA_ALLOCATOR, TOKEN_ISSUER, Electorate
from larchlatch.cluster.election.lease_terms import LeaseTerms
from larchlatch.cluster.quota.loan_terms import LoanTerms
from larchlatch.cluster.quota.settings import Quota, QuotaSettings
from larchlatch.emulator.unsigned_signer import unsigned_key
from larchlatch.scenario.amounts import us

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from larchlatch.scenario.scenario import Scenario

MAX_CLOCK_DIFFERENCE_US = 200_000  # largest assumed difference between the wall clocks of two nodes


def member_name(number: int) -> str:
    """Return the name of the node with this number."""
    return f"n{number}"


def traffic_class_name(index: int) -> str:
    """Return the name that the cluster file gives to the traffic class with this index."""
    return f"t{index}"


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """The content of a cluster file.

    Attributes:
        sites: The site of each member, by name.
        keys: The key of each member, by name.
        quota_settings: The quotas, and how they are divided among the members.
        electorate: The electors, the members and the roles that are elected.

    """

    sites: Mapping[str, str]
    keys: Mapping[str, bytes]
    quota_settings: QuotaSettings
    electorate: Electorate


def cluster_settings(scenario: Scenario, numbers: Sequence[int], *, digest: int) -> ClusterSettings:
    """Return the content of a cluster file.

    Args:
        scenario: The scenario.
        numbers: The numbers of the nodes that the file names.
        digest: The digest of the file, by which members detect that their files differ.

    """
    names = [member_name(number) for number in numbers]
    return ClusterSettings(
        sites={member_name(number): f"z{number % scenario.zones}" for number in numbers},
        keys={name: unsigned_key(name) for name in names},
        quota_settings=_quota_settings(scenario, names, digest),
        electorate=_electorate(scenario, names, digest),
    )


def _quota_settings(scenario: Scenario, names: Sequence[str], digest: int) -> QuotaSettings:
    cluster = scenario.cluster
    loan_terms = LoanTerms(us(cluster.window_s), us(cluster.term_s), cluster.max_clock_skew)
    quotas: tuple[Quota, ...] = ()
    if cluster.sessions_per_s:
        class_count = len(scenario.sessions.idempotencies)
        traffic_classes = tuple(traffic_class_name(index) for index in range(class_count))
        quotas = (Quota("all", int(cluster.sessions_per_s * cluster.window_s), traffic_classes),)
    members = tuple(sorted(names))
    return QuotaSettings(quotas, members, cluster.floor, loan_terms, digest, cluster.quota_allocator)


def _electorate(scenario: Scenario, names: Sequence[str], digest: int) -> Electorate:
    """Return the electorate; its electors are the first nodes, which belong to different sites."""
    cluster = scenario.cluster
    if not cluster.has_roles:
        return Electorate()
    lease_terms = LeaseTerms(us(cluster.term_s), cluster.max_clock_skew, MAX_CLOCK_DIFFERENCE_US)
    electors = tuple(sorted(names[: cluster.electors]))
    roles = (QUOTA_ALLOCATOR,) * cluster.quota_allocator + (TOKEN_ISSUER,) * cluster.token_issuer
    return Electorate(electors, tuple(sorted(names)), roles, lease_terms, digest)
