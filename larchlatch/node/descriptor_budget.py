"""How many more sockets the node may hold, and who goes first when they run short; seconds are handed in."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

RESERVE = 48  # descriptors for the loop, the log, the listener, the list and probes of a first-size fleet
QUIET_SHARE = 3  # connections without a whole line may hold a third, links and hosts the rest
FEWEST_QUIET = 8  # but so many at least, however few descriptors there are
SPARED = 3  # pieces of a line after which one more spares its client no longer


class Quiet:
    """A connection that holds a descriptor without a link."""

    def __init__(self, turn_out: Callable[[], None], now: float) -> None:
        self.turn_out = turn_out
        self.pieces = 0  # of a line that is not whole yet, up to SPARED
        self.heard_at = now  # when it connected, or last sent something


class DescriptorBudget:
    def __init__(self, sockets: int) -> None:
        self.free = self.most = max(2, sockets - RESERVE)
        self.most_quiet = max(FEWEST_QUIET, self.most // QUIET_SHARE)
        # By their pieces, and each in the order in which they were last heard of.
        self.quiet: list[dict[Quiet, None]] = [{} for _ in range(SPARED + 1)]

    def take(self, now: float) -> bool:
        """Room for one socket; a connection without a link has to make it if need be."""
        if self.free <= 0 and not self.turn_out(now):
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
    def short(self) -> bool:
        """Whether links may soon want what connections without one hold."""
        return self.free < self.most // QUIET_SHARE

    @property
    def held(self) -> int:
        return self.most - self.free

    def add(self, quiet: Quiet, now: float) -> None:
        """It has connected; it may be turned out from now on, until it is heard in full."""
        # Crowds that say nothing would shut out sound clients: who is heard at once makes way for nobody.
        if sum(map(len, self.quiet)) >= self.most_quiet:
            self.turn_out(now)
        self.quiet[0][quiet] = None

    def heard(self, quiet: Quiet, now: float, whole: bool = False) -> None:
        """It has sent a piece of a line, or a whole one that asks for no link."""
        if self.remove(quiet):
            quiet.pieces = 0 if whole else min(SPARED, quiet.pieces + 1)
            quiet.heard_at = now
            self.quiet[quiet.pieces][quiet] = None

    def remove(self, quiet: Quiet) -> bool:
        """False where it was turned out before."""
        held = quiet in self.quiet[quiet.pieces]
        self.quiet[quiet.pieces].pop(quiet, None)
        return held

    def turn_out(self, now: float) -> bool:
        """End the connection that has been silent for longest; its socket is free a moment later."""
        first = [next(iter(quiet)) for quiet in self.quiet if quiet]
        if not first:
            return False
        # A sound client may be slow, but goes on: each piece of its line makes its silence count half.
        longest = max(first, key=lambda quiet: (now - quiet.heard_at) / 2**quiet.pieces)
        self.remove(longest)
        longest.turn_out()
        return True
