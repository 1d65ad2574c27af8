"""Records the trace of a simulation: one line per event, and a digest of all lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.emulator.clock import SimulationClock


class Trace:
    """Records lines of the simulated time and some fields; equal runs have byte-identical traces."""

    def __init__(self, clock: SimulationClock, write: Callable[[bytes], None] | None) -> None:
        """Take the time of each line from this clock; `write` is called with each line, if given."""
        self._clock = clock
        self._write = write
        self._digest = xxh3_64()

    def record(self, *fields: object) -> None:
        """Record a line with the present time and these fields."""
        line = f"{self._clock.now} {' '.join(map(str, fields))}\n".encode()
        self._digest.update(line)
        if self._write is not None:
            self._write(line)

    @property
    def digest(self) -> str:
        """The digest of all lines so far, in hexadecimal."""
        return self._digest.hexdigest()
