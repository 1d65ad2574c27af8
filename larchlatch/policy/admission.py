"""Decides which requests a node sheds without asking the balancer, and when each request must be answered.

All functions are pure: the client side of a node passes in its observations and acts on the results.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from larchlatch.policy.types import Session

# Part of a client's waiting time that is reserved so that its answer arrives before the client gives up.
ANSWER_MARGIN_US = 150_000
ANSWER_MARGIN_DIVISOR = 10  # this margin is at most a tenth of the client's waiting time

DRAIN_GRACE_S = 1.0  # time for the front-end load balancer to notice a drain and use other nodes

EXHAUSTION_GRACE_S = 0.25  # without a free descriptor, until clients that connect are shed


def session_deadline(*, received_us: int, wait_us: int, node_ends_at: int | None) -> int:
    """Return when a session must have its final answer, in microseconds.

    Args:
        received_us: When its request was received, in microseconds.
        wait_us: How long its client waits for an answer, in microseconds.
        node_ends_at: When this node shuts down, in microseconds; None if no shutdown is planned.
    """
    deadline = received_us + wait_us - _answer_margin_us(wait_us)
    return deadline if node_ends_at is None else min(deadline, node_ends_at)


def answer_by(*, deadline: int, wait_us: int) -> int:
    """Return when a client is answered even if the balancer has made no decision, in microseconds.

    This time lies between the session's deadline, until which the balancer may decide, and the time at which
    the client gives up.

    Args:
        deadline: The session's deadline, in microseconds.
        wait_us: How long its client waits for an answer, in microseconds.
    """
    return deadline + _answer_margin_us(wait_us) // 2


def is_overdue(*, waited_us: int, setup_us: int) -> bool:
    """Return whether a request waited unread for longer than it takes to establish a session.

    Args:
        waited_us: How long it waited unread, in microseconds.
        setup_us: How long it takes to establish a session, in microseconds; 0 if unknown.
    """
    return 0 < setup_us < waited_us


def is_too_late(now: int, *, deadline: int, setup_us: int) -> bool:
    """Return whether an overdue request is shed because it can't be served by its deadline any more.

    An attempt that begins too late uses capacity that another attempt could still use successfully.

    Args:
        now: The present time in microseconds.
        deadline: The session's deadline, in microseconds.
        setup_us: How long it takes to establish a session, in microseconds.
    """
    return deadline <= now + setup_us


def sheds_new_session(*, now_s: float, drain_started_at_s: float | None, rejects_all: bool) -> bool:
    """Return whether a node sheds a new session because it drains or shuts down.

    Args:
        now_s: The present time in seconds.
        drain_started_at_s: When the node's drain began, in seconds; None if it does not drain.
        rejects_all: Whether the node is about to shut down.
    """
    if rejects_all:
        return True
    return drain_started_at_s is not None and now_s >= drain_started_at_s + DRAIN_GRACE_S


def sheds_without_descriptor(*, now_s: float, exhausted_since_s: float) -> bool:
    """Return whether a node sheds the clients that connect while all its descriptors are in use.

    For a short time they wait, as sessions that end may soon release descriptors.

    Args:
        now_s: The present time in seconds.
        exhausted_since_s: Since when no descriptor has been free, in seconds.
    """
    return now_s >= exhausted_since_s + EXHAUSTION_GRACE_S


def sheds_undecided(session: Session) -> bool:
    """Return whether a session without a timely decision is shed.

    Only a session without any attempt is: otherwise an attempt may have run, and the client must not be told
    that nothing has taken effect.
    """
    return session.attempt_count == 0


def _answer_margin_us(wait_us: int) -> int:
    return min(ANSWER_MARGIN_US, wait_us // ANSWER_MARGIN_DIVISOR)
