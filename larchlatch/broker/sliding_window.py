"""Counts use over a sliding window that is divided into slots of equal length."""

from __future__ import annotations

# The number of slots in a window. The counter covers one slot more, so that a limit also holds for windows
# that begin within a slot; this lowers the admitted rate by 1/65.
SLOTS = 64


class SlidingWindowCounter:
    """Counts the use in the last window.

    The caller numbers the slots by its clock. Use in a slot before the newest one counts in the newest.
    """

    __slots__ = ("newest", "slots", "total")

    def __init__(self) -> None:
        self.slots = [0] * (SLOTS + 1)  # the oldest slot lies only partly in the window
        self.newest = 0
        self.total = 0

    def advance(self, slot: int) -> int:
        """Advance to `slot` and return the use in the window that ends there."""
        if slot > self.newest:
            first_expired = max(self.newest + 1, slot - SLOTS)
            for number in range(first_expired, slot + 1):
                self._clear(number % (SLOTS + 1))
            self.newest = slot
        return self.total

    def _clear(self, index: int) -> None:
        self.total -= self.slots[index]
        self.slots[index] = 0

    def add(self, slot: int, amount: int) -> None:
        """Add `amount` to the use in `slot`."""
        self.advance(slot)
        self.slots[self.newest % (SLOTS + 1)] += amount
        self.total += amount

    def slots_until_free(self, slot: int, amount: int) -> int:
        """Return the number of slots after which at least `amount` of the use has left the window."""
        self.advance(slot)
        expiring = 0
        for ahead in range(1, SLOTS + 2):
            expiring += self.slots[(self.newest + ahead) % (SLOTS + 1)]
            if expiring >= amount:
                return ahead
        return SLOTS + 1
