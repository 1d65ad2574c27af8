"""How many more sockets the node may hold."""

from __future__ import annotations

RESERVE = 48  # descriptors for the loop, the log, the listener, the list and probes of a first-size fleet


class Room:
    def __init__(self, sockets: int) -> None:
        self.free = max(2, sockets - RESERVE)

    def take(self) -> bool:
        if self.free <= 0:
            return False
        self.free -= 1
        return True

    def give(self) -> None:
        self.free += 1
