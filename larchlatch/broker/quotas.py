"""Nested quotas: a tree of levels with limits in several dimensions. All levels admit, or none does."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

SLOTS = 64  # of a window: the limit is strict for any stretch of its length, at the cost of 1/65 of the rate
NEVER = -2 * SLOTS  # a slot longer ago than any window
SWEEP_SHARE = 4  # idle levels are looked for four times a window


class Dimension(IntEnum):
    """What is limited."""

    LINKS = 0  # new links in a window
    MESSAGES = 1  # messages in a window
    HELD = 2  # links that stand at one time


WINDOWED = (Dimension.LINKS, Dimension.MESSAGES)


class Uses:
    """How much was used in the last window, in slots."""

    __slots__ = ("newest", "slots", "total")

    def __init__(self) -> None:
        self.slots = [0] * (SLOTS + 1)  # one more than the window: the oldest is still leaving
        self.newest = 0
        self.total = 0

    def roll(self, slot: int) -> int:
        """Move on to this slot; what is used by then."""
        if slot > self.newest:
            for place in range(max(self.newest + 1, slot - SLOTS), slot + 1):
                self.total -= self.slots[place % (SLOTS + 1)]
                self.slots[place % (SLOTS + 1)] = 0
            self.newest = slot
        return self.total

    def add(self, slot: int, number: int) -> None:
        self.roll(slot)
        self.slots[self.newest % (SLOTS + 1)] += number
        self.total += number

    def frees(self, slot: int, number: int) -> int:
        """In how many slots so many will have left the window."""
        self.roll(slot)
        left = 0
        for ahead in range(1, SLOTS + 2):
            left += self.slots[(self.newest + ahead) % (SLOTS + 1)]
            if left >= number:
                return ahead
        return SLOTS + 1


@dataclass(frozen=True, slots=True)
class Limits:
    """What a level may have, by dimension."""

    share: tuple[int, int, int]  # its own
    most: tuple[int, int, int]  # with what it borrows


@dataclass(slots=True)
class Level:
    """A team, a bank, a branch or a desk; or the pool itself."""

    name: str
    limits: Limits
    parent: Level | None = None
    children: dict[str, Level] = field(default_factory=dict)
    uses: tuple[Uses, Uses] = field(default_factory=lambda: (Uses(), Uses()))
    held: int = 0
    asked: list[int] = field(default_factory=lambda: [NEVER] * 3)  # the slot of its last ask
    hungry: list[int] = field(default_factory=lambda: [NEVER] * 3)  # and of the last beyond its share
    admitted: int = 0
    refused: int = 0
    unnamed: float = 0.0  # the share of a part that no contract names; 0: there are none
    stated: bool = True  # by the contracts; others are made when they first ask, and forgotten when idle

    def used(self, what: Dimension, slot: int) -> int:
        return self.held if what is Dimension.HELD else self.uses[what].roll(slot)

    def path(self) -> Iterator[Level]:
        """From this level up to the pool."""
        level: Level | None = self
        while level is not None:
            yield level
            level = level.parent

    @property
    def address(self) -> str:
        return "/".join(reversed([level.name for level in self.path()]))


@dataclass(frozen=True, slots=True)
class Refusal:
    """Which level said no, in which dimension, and when to come back."""

    level: str
    what: Dimension
    back_us: int


@dataclass(frozen=True, slots=True)
class Account:
    """What a level has, uses and has borrowed, for whoever operates it."""

    level: str
    what: Dimension
    share: int
    most: int
    used: int
    borrowed: int  # in use beyond its own share
    lent: int  # of its own share, in use by siblings
    admitted: int
    refused: int


class Quotas:
    """One pool's tree. Times are whole microseconds; one that runs back counts as the latest."""

    def __init__(self, pool: Level, window_us: int, now: int) -> None:
        self.pool = pool
        self.now = now
        self.count_by(window_us)

    def count_by(self, window_us: int) -> None:
        """Count by windows of this length from now on."""
        # Slots of another length have other numbers: uses counted by them would never leave, or at once.
        self.window_us = window_us
        self.slot_us = max(1, window_us // SLOTS)
        self.swept = self.slot()
        for level in walk(self.pool):
            level.uses = (Uses(), Uses())
            level.asked, level.hungry = [NEVER] * 3, [NEVER] * 3
            self.begin(level)

    def begin(self, level: Level) -> None:
        """A node that starts has forgotten what it handed out last: the window before counts as used."""
        slot = self.slot()
        for what in WINDOWED:
            share = level.limits.most[what] if level is self.pool else level.limits.share[what]
            for place in range(SLOTS):
                number = share * (place + 1) // SLOTS - share * place // SLOTS
                level.uses[what].add(slot - SLOTS + 1 + place, number)

    def slot(self) -> int:
        return self.now // self.slot_us

    def advance(self, now: int) -> int:
        self.now = max(self.now, now)
        slot = self.slot()
        if slot >= self.swept + SLOTS // SWEEP_SHARE:
            self.swept = slot
            self.forget(self.pool, slot)
        return slot

    # What is asked.

    def admit(self, now: int, leaf: Level, takes: dict[Dimension, int]) -> Refusal | None:
        """Take this from all levels up to the pool; or from none, and say which of them refused."""
        slot = self.advance(now)
        path = list(leaf.path())
        refusal: Refusal | None = None
        # From the pool down, so that the widest level that is short is named; every level hears that it is
        # asked, also behind a refusal: a lender that is back has to be protected from that moment on.
        for level in reversed(path):
            for what, number in takes.items():
                level.asked[what] = slot
                if level.used(what, slot) + number > level.limits.share[what]:
                    level.hungry[what] = slot
        for level in reversed(path):
            for what, number in takes.items():
                allowed = self.allowed(level, what, slot)
                over = level.used(what, slot) + number - allowed
                if over > 0 and refusal is None:
                    refusal = Refusal(level.address, what, self.back_us(level, what, slot, over))
        if refusal is not None:
            for level in path:
                level.refused += 1
            return refusal
        for level in path:
            level.admitted += 1
            for what, number in takes.items():
                if what is Dimension.HELD:
                    level.held += number
                else:
                    level.uses[what].add(slot, number)
        return None

    def ended(self, now: int, leaf: Level, number: int = 1) -> None:
        """Links that were held have ended."""
        self.advance(now)
        for level in leaf.path():
            level.held -= number

    def allowed(self, level: Level, what: Dimension, slot: int) -> int:
        """How much a level may have in use now: its share, and its part of what its siblings leave."""
        share, most = level.limits.share[what], level.limits.most[what]
        parent = level.parent
        if parent is None or most <= share:
            return most
        if level.used(what, slot) < share:
            return share
        spare, hungry = parent.limits.most[what] if parent.parent is None else parent.limits.share[what], 0
        for sibling in parent.children.values():
            own = sibling.limits.share[what]
            if slot - sibling.hungry[what] <= SLOTS:
                spare -= own
                hungry += max(1, own)
            elif slot - sibling.asked[what] <= SLOTS:
                spare -= max(own, sibling.used(what, slot))
            else:
                spare -= sibling.used(what, slot)
        return min(most, share + max(0, spare) * max(1, share) // max(1, hungry))

    def back_us(self, level: Level, what: Dimension, slot: int, over: int) -> int:
        """When so much will have left; held links end when they do, a window is as good a guess as any."""
        if what is Dimension.HELD:
            return self.window_us
        return level.uses[what].frees(slot, over) * self.slot_us

    # Levels that come and go.

    def child(self, now: int, parent: Level, name: str, limits: Limits) -> Level:
        """A level that no contract names, as a desk: made when it first asks."""
        self.advance(now)
        found = parent.children.get(name)
        if found is None:
            found = parent.children[name] = Level(name, limits, parent, stated=False)
        return found

    def forget(self, level: Level, slot: int) -> None:
        """Idle levels that no contract names: unused for a window, they have a fresh budget anyway."""
        for name, child in list(level.children.items()):
            self.forget(child, slot)
            idle = not child.children and not child.stated and not child.held
            if idle and not any(child.used(what, slot) for what in WINDOWED):
                del level.children[name]

    def follow(self, now: int, level: Level, limits: Limits) -> None:
        """New limits: nothing that stands is cut off, new ones wait until they fit."""
        self.advance(now)
        level.limits = limits

    # What is told.

    def accounts(self, now: int) -> list[Account]:
        slot = self.advance(now)
        rows = []
        for level in walk(self.pool):
            for what in Dimension:
                share, used = level.limits.share[what], level.used(what, slot)
                siblings = level.parent.children.values() if level.parent is not None else ()
                over = sum(max(0, s.used(what, slot) - s.limits.share[what]) for s in siblings)
                left = sum(max(0, s.limits.share[what] - s.used(what, slot)) for s in siblings)
                mine = max(0, share - used) if siblings else 0
                # What is borrowed comes from all who leave something, as much as each leaves.
                lent = min(mine, over * mine // left) if left else 0
                rows.append(
                    Account(
                        level.address,
                        what,
                        share,
                        level.limits.most[what],
                        used,
                        max(0, used - share) if level.parent is not None else 0,
                        lent,
                        level.admitted,
                        level.refused,
                    )
                )
        return rows


def walk(level: Level) -> Iterator[Level]:
    yield level
    for child in level.children.values():
        yield from walk(child)
