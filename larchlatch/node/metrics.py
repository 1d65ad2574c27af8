"""What the node has taken in, sent and answered, by kind."""

from __future__ import annotations

from collections import Counter


class Counters:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, kind: str, number: int = 1) -> None:
        self.counts[kind] += number

    def told(self) -> dict[str, int]:
        return dict(sorted(self.counts.items()))
