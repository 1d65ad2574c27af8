"""Rows of a node's state for operators. Their keys are stated in docs/operating.md and stay as they are."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from larchlatch.policy.types import Exclusion

if TYPE_CHECKING:
    from collections.abc import Mapping

    from larchlatch.node.upstream_actor import UpstreamActor
    from larchlatch.policy.types import UpstreamStatus

# What the key `left_out` says; empty for an upstream that gets its share of new sessions. For one that is not
# ready it holds the state by the endpoint list.
EXCLUSION_WORDS = {
    None: "",
    Exclusion.UNREACHABLE: "no connection",
    Exclusion.UNRESPONSIVE: "quiet",
    Exclusion.SLOW: "slow",
    Exclusion.EJECTED: "rests",
    Exclusion.CROWDED: "crowded",
    Exclusion.WARMING_UP: "cold",
}


def upstream_row(status: UpstreamStatus, actor: UpstreamActor | None) -> dict[str, Any]:
    """Return what the balancer believes of one upstream, beside the sockets that are open there."""
    has_load = status.utilization is not None
    return {
        "host": actor.name if actor else status.upstream,
        "state": status.state.value,
        "left_out": _exclusion_word(status),
        "tries": status.attempts,
        "tries_open": actor.attempts.in_flight if actor else 0,
        "links": status.established,
        "links_open": len(actor.session_watch.sessions) if actor else 0,
        "load": round(status.utilization, 3) if status.utilization is not None else None,
        "load_age_ms": status.utilization_age_us // 1000 if has_load else None,
    }


def _exclusion_word(status: UpstreamStatus) -> str:
    if status.exclusion is Exclusion.NOT_READY:
        return status.state.value
    return EXCLUSION_WORDS[status.exclusion]


def upstream_rows(
    statuses: list[UpstreamStatus], actors: Mapping[int, UpstreamActor]
) -> list[dict[str, Any]]:
    """Return one row an upstream, in the balancer's order."""
    return [upstream_row(status, actors.get(status.upstream)) for status in statuses]
