"""The queue of held sessions returns those that are due, ordered by time and then by number."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from larchlatch.node.held_sessions import HeldSessions


def due(held: HeldSessions, now: int) -> list[int]:
    """Return the numbers of all sessions that are due."""
    numbers = []
    while (number := held.pop_due(now)) is not None:
        numbers.append(number)
    return numbers


@given(st.lists(st.integers(0, 20), max_size=20), st.integers(-1, 21))
def test_sessions_are_due_by_time_then_number(times: list[int], now: int) -> None:
    held = HeldSessions()
    for number, retry_at in enumerate(times):
        held.add(number, retry_at=retry_at)
    order = sorted(range(len(times)), key=lambda number: (times[number], number))
    assert due(held, now) == [number for number in order if times[number] <= now]
    assert held.next_retry_at() == min((at for at in times if at > now), default=None)


def test_a_session_held_again_while_others_fall_due_is_due_too() -> None:
    """A session that is held again for a time that has already come must not be lost or delayed."""
    held = HeldSessions()
    held.add(1, retry_at=5)
    assert held.pop_due(5) == 1
    held.add(1, retry_at=5)
    assert due(held, 5) == [1] and held.next_retry_at() is None
