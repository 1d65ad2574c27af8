"""The clock of a scenario that is being played."""

from __future__ import annotations

import anyio


class ScenarioClock:
    """Seconds since a scenario began, by the clock of the event loop."""

    def __init__(self) -> None:
        self._began_at = 0.0

    def begin(self) -> None:
        """Set the beginning of the scenario to now."""
        self._began_at = anyio.current_time()

    def elapsed_s(self) -> float:
        """Return the seconds since the scenario began."""
        return anyio.current_time() - self._began_at

    def loop_time(self, at_s: float) -> float:
        """Convert a time of the scenario, in seconds, into a time of the event loop."""
        return self._began_at + at_s

    async def sleep_until(self, at_s: float) -> None:
        """Wait until a time of the scenario, in seconds; return at once if it has passed."""
        await anyio.sleep(max(0.0, at_s - self.elapsed_s()))
