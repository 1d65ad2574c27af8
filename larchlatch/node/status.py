"""Rows about a node's upstreams for operators, logged as `upstream_status`; docs/on-call.md explains them."""

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
    """What the balancer records about one upstream, beside the sockets that are open there.

    Attributes:
        upstream: the upstream's name; its number if the endpoint list never named it.
        state: its state by the endpoint list.
        exclusion: why the balancer sends no new sessions there; empty if it sends some.
        attempts: attempts in flight, as the balancer counts them.
        attempts_open: attempts whose sockets are open.
        sessions: established sessions, as the balancer counts them.
        sessions_open: established sessions whose sockets are open.
        utilization: its load over its capacity by its last report; None without a report.
        utilization_age_ms: the age of that report in milliseconds; None without a report.

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


def upstream_row(status: UpstreamStatus, actor: UpstreamActor | None) -> UpstreamRow:
    """Return the row of one upstream; `actor` is None if the endpoint list never named it."""
    has_report = status.utilization is not None
    return UpstreamRow(
        upstream=actor.name if actor is not None else status.upstream,
        state=status.state.value,
        exclusion=_exclusion_word(status),
        attempts=status.attempts,
        attempts_open=actor.attempts.in_flight if actor is not None else 0,
        sessions=status.established,
        sessions_open=len(actor.session_watch.sessions) if actor is not None else 0,
        utilization=round(status.utilization, 3) if status.utilization is not None else None,
        utilization_age_ms=status.utilization_age_us // 1000 if has_report else None,
    )


def _exclusion_word(status: UpstreamStatus) -> str:
    """Return why an upstream gets no new sessions; the state of one that is not ready, or empty."""
    if status.exclusion is None:
        return ""
    if status.exclusion is Exclusion.NOT_READY:
        return status.state.value
    word: str = status.exclusion.value
    return word


def upstream_rows(
    statuses: Iterable[UpstreamStatus], actors: Mapping[int, UpstreamActor]
) -> list[UpstreamRow]:
    """Return one row for each upstream, in the balancer's order."""
    return [upstream_row(status, actors.get(status.upstream)) for status in statuses]
