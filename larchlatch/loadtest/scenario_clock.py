"""Time within a scenario that is being played."""

from __future__ import annotations

import anyio


class ScenarioClock:
    """Seconds since a scenario began, by the clock of the event loop."""

    def __init__(self) -> None:
        self._began_at = 0.0

    def begin(self) -> None:
        """Let the scenario begin now."""
        self._began_at = anyio.current_time()

    def elapsed_s(self) -> float:
        """Return for how long the scenario has been played."""
        return anyio.current_time() - self._began_at

    def loop_time(self, at_s: float) -> float:
        """Return the event loop's time at which so many seconds of the scenario have been played."""
        return self._began_at + at_s

    async def sleep_until(self, at_s: float) -> None:
        """Wait until so many seconds of the scenario have been played."""
        await anyio.sleep(max(0.0, at_s - self.elapsed_s()))
