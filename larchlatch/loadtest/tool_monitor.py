"""Measures the lag of the load test's own event loop, which limits how exact its figures are."""

from __future__ import annotations

import anyio

from larchlatch.invariants.session_figures import time_histogram
from larchlatch.scenario.amounts import SECOND

INTERVAL_S = 0.02


class ToolMonitor:
    """Measures the lag of the event loop.

    Attributes:
        lag: Histogram of how late the loop woke a sleeping task, in microseconds.

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
