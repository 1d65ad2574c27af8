"""Measures how late the event loop runs its timers. Answers to clients are delayed by as much."""

from __future__ import annotations

import anyio

SAMPLE_INTERVAL_S = 0.05


class EventLoopLagMonitor:
    """Keeps the longest delay of a timer since the last call of `take_worst_ms`."""

    def __init__(self) -> None:
        self._worst_s = 0.0

    async def run(self) -> None:
        """Compare each timer's due time with the time at which it ran, until cancelled."""
        while True:
            due_at = anyio.current_time() + SAMPLE_INTERVAL_S
            await anyio.sleep(SAMPLE_INTERVAL_S)
            self._worst_s = max(self._worst_s, anyio.current_time() - due_at)

    def take_worst_ms(self) -> int:
        """Return the longest delay since the last call in whole milliseconds, and reset it."""
        worst_s, self._worst_s = self._worst_s, 0.0
        return int(worst_s * 1000)
