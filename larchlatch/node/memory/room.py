"""How many more sockets the node may hold, and who goes first when they run short."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

RESERVE = 48  # descriptors for the loop, the log, the listener, the list and probes of a first-size fleet
SILENT_SHARE = 3  # connections that have said nothing yet may hold the third that links and hosts leave
FEWEST_SILENT = 8  # but so many at least, however few descriptors there are


class Room:
    def __init__(self, sockets: int) -> None:
        self.free = self.most = max(2, sockets - RESERVE)
        self.most_silent = max(FEWEST_SILENT, sockets // SILENT_SHARE - RESERVE)
        self.silent: dict[anyio.CancelScope, None] = {}  # oldest first

    def take(self) -> bool:
        """Room for one socket; a connection that has said nothing yet has to make it if need be."""
        if self.free <= 0 and not self.turn_out():
            return False
        self.free -= 1
        return True

    def give(self) -> None:
        self.free += 1

    def lend(self, number: int) -> None:
        """Leave so many to another process of this node; fewer than none take some back."""
        self.most -= number
        self.free -= number

    @property
    def held(self) -> int:
        return self.most - self.free

    @contextmanager
    def saying_nothing(self, scope: anyio.CancelScope) -> Iterator[None]:
        """As long as this lasts the scope may be cancelled for want of room."""
        # Silent crowds would shut out sound clients: who is heard at once makes way for nobody.
        if len(self.silent) >= self.most_silent:
            self.turn_out()
        self.silent[scope] = None
        try:
            yield
        finally:
            self.silent.pop(scope, None)

    def turn_out(self) -> bool:
        """End the connection that has said nothing for longest; its socket is free a moment later."""
        if not self.silent:
            return False
        scope = next(iter(self.silent))
        del self.silent[scope]
        scope.cancel()
        return True
