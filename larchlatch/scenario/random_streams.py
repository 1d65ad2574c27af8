"""Independent streams of random numbers that are derived from one seed."""

from __future__ import annotations

from random import Random

from xxhash import xxh3_64_intdigest


class RandomStreams:
    """Random numbers by name: drawing more from one stream changes no other.

    Attributes:
        seed: The scenario's seed, from which all streams are derived.

    """

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, name: str) -> Random:
        """Return a new generator that is seeded from the seed and this name."""
        return Random(xxh3_64_intdigest(f"{self.seed}/{name}".encode()))

    def draw(self, name: str, *numbers: int) -> float:
        """Return a number from 0 to 1 that depends on the seed, the name and the numbers alone."""
        return xxh3_64_intdigest(f"{self.seed}/{name}/{numbers}".encode()) / 2**64
