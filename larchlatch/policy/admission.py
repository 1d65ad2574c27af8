"""Which requests a node sheds before it asks the balancer, and by when each has its answer.

Pure functions: the client side of a node hands in what it observed, and carries the results out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from larchlatch.policy.types import Session

# What is kept back of a client's time so that its answer arrives before the client gives up.
ANSWER_MARGIN_US = 150_000
ANSWER_MARGIN_DIVISOR = 10  # but no more than this fraction of the time

DRAIN_GRACE_S = 1.0  # by then the front knows of a drain, and sends new sessions to other nodes


def session_deadline(*, received_us: int, wait_us: int, node_ends_at: int | None) -> int:
    """Return when a session must have its final answer, in microseconds.

    Args:
        received_us: When its request came.
        wait_us: How long its client waits.
        node_ends_at: When this node ends; None where no end is in sight.
    """
    deadline = received_us + wait_us - _answer_margin_us(wait_us)
    return deadline if node_ends_at is None else min(deadline, node_ends_at)


def answer_by(*, deadline: int, wait_us: int) -> int:
    """Return when a client is answered though the balancer has made no decision, in microseconds.

    It lies between the session's deadline, up to which the balancer may decide, and the end of the client's
    wait.
    """
    return deadline + _answer_margin_us(wait_us) // 2


def is_overdue(*, waited_us: int, setup_us: int) -> bool:
    """Return whether a request lay unread for longer than it takes to establish a session.

    Args:
        waited_us: How long it lay unread.
        setup_us: How long it takes to establish a session; 0 if unknown.
    """
    return 0 < setup_us < waited_us


def is_too_late(now: int, *, deadline: int, setup_us: int) -> bool:
    """Return whether an overdue request can no longer be served by its deadline, and so is shed.

    Each attempt that begins too late takes time from one that could still succeed.
    """
    return deadline <= now + setup_us


def sheds_new_session(*, now_s: float, drain_started_at_s: float | None, rejects_all: bool) -> bool:
    """Return whether a node sheds a new session as it drains or ends.

    Args:
        now_s: The present time in seconds.
        drain_started_at_s: When its drain began; None without a drain.
        rejects_all: Whether the node is about to end.
    """
    if rejects_all:
        return True
    return drain_started_at_s is not None and now_s >= drain_started_at_s + DRAIN_GRACE_S


def sheds_undecided(session: Session) -> bool:
    """Return whether a session without a decision in time is shed; otherwise an attempt may have run."""
    return session.attempt_count == 0


def _answer_margin_us(wait_us: int) -> int:
    return min(ANSWER_MARGIN_US, wait_us // ANSWER_MARGIN_DIVISOR)
