"""Predicates on the record of one upstream, which decide whether it takes sessions."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from larchlatch.policy.upstream import Upstream


def is_slow(now: int, upstream: Upstream) -> bool:
    """Return whether the messages of an upstream currently count as late."""
    return now < upstream.slow_until


def is_ejected(now: int, upstream: Upstream) -> bool:
    """Return whether an upstream is in backoff."""
    return now < upstream.backoff.until


def is_healthy(now: int, upstream: Upstream) -> bool:
    """Return whether an upstream is neither slow nor ejected."""
    return now >= upstream.slow_until and now >= upstream.backoff.until


def is_unreachable(now: int, upstream: Upstream) -> bool:
    """Return whether the last connection to an upstream failed and its backoff is not over yet."""
    return upstream.unreachable and now < upstream.backoff.until


def is_down(now: int, upstream: Upstream) -> bool:
    """Return whether an upstream answers no messages on its sessions and accepts no new connection either."""
    return upstream.unreachable and now < upstream.unresponsive_until
