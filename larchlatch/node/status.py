"""Status of a node's upstreams for operators, logged as `upstream_status`; docs/on-call.md explains it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from larchlatch.policy.types import Exclusion

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from larchlatch.node.upstream_actor import UpstreamActor
    from larchlatch.policy.types import UpstreamStatus


@dataclass(frozen=True, slots=True)
class UpstreamRow:
    """The status of one upstream: what the balancer records, and how many sockets are open there.

    Attributes:
        upstream: name of the upstream; its number if it is not in the node's registry.
        state: its state according to the endpoint list.
        exclusion: why the balancer places no new sessions there; empty if it does place sessions.
        attempts: attempts in flight, as the balancer counts them.
        attempts_open: attempts whose sockets are open.
        sessions: established sessions, as the balancer counts them.
        sessions_open: established sessions whose sockets are open.
        utilization: load divided by capacity, from its last load report; None without a report.
        utilization_age_ms: age of that load report in milliseconds; None without a report.

    """

    upstream: str | int
    state: str
    exclusion: str
    attempts: int
    attempts_open: int
    sessions: int
    sessions_open: int
    utilization: float | None
    utilization_age_ms: int | None


def upstream_row(status: UpstreamStatus, actor: UpstreamActor | None, name: str | None) -> UpstreamRow:
    """Return the row of one upstream; `actor` is None if it has none, `name` if it is not in the registry."""
    has_report = status.utilization is not None
    return UpstreamRow(
        upstream=status.upstream if name is None else name,
        state=status.state.value,
        exclusion=_exclusion_reason(status),
        attempts=status.attempts,
        attempts_open=actor.attempts.in_flight if actor is not None else 0,
        sessions=status.established,
        sessions_open=len(actor.session_watch.sessions) if actor is not None else 0,
        utilization=round(status.utilization, 3) if status.utilization is not None else None,
        utilization_age_ms=status.utilization_age_us // 1000 if has_report else None,
    )


def _exclusion_reason(status: UpstreamStatus) -> str:
    """Return why an upstream gets no new sessions, as its state if it is not ready; empty if it gets some."""
    if status.exclusion is None:
        return ""
    if status.exclusion is Exclusion.NOT_READY:
        return status.state.value
    reason: str = status.exclusion.value
    return reason


def upstream_rows(
    statuses: Iterable[UpstreamStatus], actors: Mapping[int, UpstreamActor], names: Mapping[int, str]
) -> list[UpstreamRow]:
    """Return one row for each upstream, in the order of the balancer's records."""
    return [
        upstream_row(status, actors.get(status.upstream), names.get(status.upstream)) for status in statuses
    ]
