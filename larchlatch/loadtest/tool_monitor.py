"""How late the load test's own event loop is: what it measures can't be more exact."""

from __future__ import annotations

import anyio

from larchlatch.invariants.session_figures import time_histogram
from larchlatch.scenario.amounts import SECOND

INTERVAL_S = 0.02


class ToolMonitor:
    """Measures the lag of the event loop.

    Attributes:
        lag: by how many microseconds the loop was late to wake a task.

    """

    def __init__(self) -> None:
        self.lag = time_histogram()

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = anyio.current_time() + INTERVAL_S
            await anyio.sleep(INTERVAL_S)
            late_us = round((anyio.current_time() - due) * SECOND)
            self.lag.record_value(max(1, late_us))
