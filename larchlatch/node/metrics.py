"""Counters of what the node has received, sent and answered.

Each module that counts events defines the counters' names in an enumeration. Operators' alert rules refer to
these names.
"""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counts events by name, from the start of the process.

    Attributes:
        counts: the number of events by counter name.

    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Count `amount` more events under this name."""
        self.counts[name] += amount

    def snapshot(self) -> dict[str, int]:
        """Return all counts so far, sorted by name."""
        return {str(name): count for name, count in sorted(self.counts.items())}
