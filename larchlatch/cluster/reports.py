"""Builds the status rows of the cluster for operators; docs/operating-cluster.md explains their keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from larchlatch.cluster.membership.member import MemberState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from larchlatch.cluster.exchange.state import SharedState
    from larchlatch.cluster.membership.membership import Membership


def member_rows(membership: Membership, sites: Mapping[str, str]) -> list[dict[str, Any]]:
    """Return one row for each other member, with the node's knowledge of its state."""
    return [
        {
            "member": member.name,
            "site": sites[member.name],
            "state": member.state.value,
            "age_ms": member.age_us // 1000 if member.state is not MemberState.UNHEARD else None,
            "direct": member.direct,
            "hears_us": member.hears_us,
            "incarnation": member.incarnation,
        }
        for member in membership.snapshot()
    ]


def quota_rows(state: SharedState, *, now: int, wall: int) -> list[dict[str, Any]]:
    """Return one row for each quota, with its use at this node and in the whole cluster.

    Args:
        state: the state that the members share.
        now: monotonic time in microseconds.
        wall: Unix time in microseconds.

    """
    usage = state.quota_usage.ranges(wall)
    return [
        {
            **account.to_json(),
            "fleet_least": used.least,
            "fleet_most": used.most,
            "fleet_age_ms": used.age_us // 1000,
        }
        for account, used in zip(state.quotas.statuses(now), usage, strict=True)
    ]


def role_rows(state: SharedState, membership: Membership, now: int) -> list[dict[str, Any]]:
    """Return one row for each role, with its holder as far as this node knows it."""
    return [status.to_json() for status in state.election.statuses(now, membership.present_records)]
