"""Chance that comes in named streams."""

from __future__ import annotations

from random import Random

from xxhash import xxh3_64_intdigest


class Chance:
    """Streams of chance by name: one that is drawn from more often shifts no other."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, name: str) -> Random:
        return Random(xxh3_64_intdigest(f"{self.seed}/{name}".encode()))

    def draw(self, name: str, *numbers: int) -> float:
        """One number from 0 to 1 that belongs to a name and numbers, whenever it is asked for."""
        return xxh3_64_intdigest(f"{self.seed}/{name}/{numbers}".encode()) / 2**64
