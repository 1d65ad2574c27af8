"""Derives independent streams of random numbers from one seed."""

from __future__ import annotations

from random import Random

from xxhash import xxh3_64_intdigest


class RandomStreams:
    """Streams of random numbers by name; how many numbers are drawn from one stream affects no other stream.

    Attributes:
        seed: The scenario's seed, from which all streams are derived.

    """

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, name: str) -> Random:
        """Return a new generator whose seed is derived from the scenario's seed and this name."""
        return Random(xxh3_64_intdigest(f"{self.seed}/{name}".encode()))

    def draw(self, name: str, *numbers: int) -> float:
        """Return a uniform number from 0 to 1 that depends only on the seed, the name and these numbers."""
        return xxh3_64_intdigest(f"{self.seed}/{name}/{numbers}".encode()) / 2**64
