"""The trace of a simulation: a line for each thing that happens, and their digest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64

if TYPE_CHECKING:
    from collections.abc import Callable

    from larchlatch.emulator.clock import SimulationClock


class Trace:
    """Lines of a time and some fields; equal runs have equal lines, byte for byte."""

    def __init__(self, clock: SimulationClock, write: Callable[[bytes], None] | None) -> None:
        """Stamp lines with this clock's time, and hand them to `write`, if they are wanted."""
        self._clock = clock
        self._write = write
        self._digest = xxh3_64()

    def record(self, *fields: object) -> None:
        """Add a line."""
        line = f"{self._clock.now} {' '.join(map(str, fields))}\n".encode()
        self._digest.update(line)
        if self._write is not None:
            self._write(line)

    @property
    def digest(self) -> str:
        """The digest of all lines up to now, in hexadecimal."""
        return self._digest.hexdigest()
