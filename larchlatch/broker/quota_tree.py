"""Nested quotas: a tree whose nodes are limited in several dimensions. All nodes of a path admit, or none."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING

from larchlatch.broker.sliding_window import SLOTS, SlidingWindowCounter

if TYPE_CHECKING:
    from collections.abc import Iterator

NEVER = -2 * SLOTS  # a slot before any window
SWEEPS_PER_WINDOW = 4  # searches for idle nodes in a window


class Dimension(IntEnum):
    """A limited quantity."""

    NEW_SESSIONS = 0  # per window
    MESSAGES = 1  # per window
    HELD_SESSIONS = 2  # established at one time


WINDOWED = (Dimension.NEW_SESSIONS, Dimension.MESSAGES)


@dataclass(frozen=True, slots=True)
class QuotaLimits:
    """The limits of a node of the tree, by dimension."""

    share: tuple[int, int, int]  # its own
    maximum: tuple[int, int, int]  # with what it borrows


def _new_counters() -> tuple[SlidingWindowCounter, SlidingWindowCounter]:
    return SlidingWindowCounter(), SlidingWindowCounter()


def _never_requested() -> list[int]:
    return [NEVER] * len(Dimension)


@dataclass(slots=True)
class QuotaNode:
    """A node of the tree: a team, a bank, a branch or a desk, or the pool at the root."""

    name: str
    limits: QuotaLimits
    parent: QuotaNode | None = None
    children: dict[str, QuotaNode] = field(default_factory=dict)
    counters: tuple[SlidingWindowCounter, SlidingWindowCounter] = field(default_factory=_new_counters)
    held: int = 0
    requested_at: list[int] = field(default_factory=_never_requested)  # slot of the last request
    exceeded_at: list[int] = field(
        default_factory=_never_requested
    )  # slot of the last request beyond its share
    admitted: int = 0
    rejected: int = 0
    unnamed_share: float = 0.0  # share of a child that no contract names; 0: there is none
    from_contract: bool = True  # others are created on their first request, and removed when idle

    def used(self, dimension: Dimension, slot: int) -> int:
        """Return the use: sessions held now, or the amount used in the window that ends at `slot`."""
        if dimension is Dimension.HELD_SESSIONS:
            return self.held
        return self.counters[dimension].advance(slot)

    def requested_lately(self, dimension: Dimension, slot: int) -> bool:
        """Return whether there was a request within the last window."""
        return slot - self.requested_at[dimension] <= SLOTS

    def exceeded_lately(self, dimension: Dimension, slot: int) -> bool:
        """Return whether a request within the last window exceeded its share."""
        return slot - self.exceeded_at[dimension] <= SLOTS

    def path_to_root(self) -> Iterator[QuotaNode]:
        """Yield this node and all nodes above it; the pool comes last."""
        node: QuotaNode | None = self
        while node is not None:
            yield node
            node = node.parent

    @property
    def address(self) -> str:
        """Return the names from the pool down to this node, separated by slashes."""
        return "/".join(reversed([node.name for node in self.path_to_root()]))


@dataclass(frozen=True, slots=True)
class Rejection:
    """The node of the tree that rejected a request, the dimension, and the time after which to try again."""

    address: str
    dimension: Dimension
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class QuotaUsage:
    """The limits and the use of a node of the tree, for operators."""

    address: str
    dimension: Dimension
    share: int
    maximum: int
    used: int
    borrowed: int  # in use beyond its own share
    lent: int  # of its own share, in use by siblings
    admitted: int
    rejected: int


class QuotaTree:
    """The tree of one pool. Times are whole microseconds; a time before the latest one counts as that."""

    def __init__(self, root: QuotaNode, window_us: int, now: int) -> None:
        self.root = root
        self.now = now
        self.set_window(window_us)

    def set_window(self, window_us: int) -> None:
        """Count in windows of this length from now on, as after a start."""
        # The counts are dropped, as slots of another length have other numbers.
        self.window_us = window_us
        self.slot_us = max(1, window_us // SLOTS)
        self.swept_at = self._slot()
        for node in iterate(self.root):
            node.counters = _new_counters()
            node.requested_at = _never_requested()
            node.exceeded_at = _never_requested()
            self._count_last_window_as_used(node)

    def _count_last_window_as_used(self, node: QuotaNode) -> None:
        # A process that starts does not know what its predecessor admitted in the last window.
        slot = self._slot()
        for dimension in WINDOWED:
            limits = node.limits.maximum if node is self.root else node.limits.share
            for place in range(SLOTS):
                amount = limits[dimension] * (place + 1) // SLOTS - limits[dimension] * place // SLOTS
                node.counters[dimension].add(slot - SLOTS + 1 + place, amount)

    def _slot(self) -> int:
        return self.now // self.slot_us

    def _advance(self, now: int) -> int:
        """Advance the clock, remove idle nodes if it is time, and return the present slot."""
        self.now = max(self.now, now)
        slot = self._slot()
        if slot >= self.swept_at + SLOTS // SWEEPS_PER_WINDOW:
            self.swept_at = slot
            self.remove_idle(self.root, slot)
        return slot

    # Admission.

    def admit(self, now: int, leaf: QuotaNode, amounts: dict[Dimension, int]) -> Rejection | None:
        """Use `amounts` at all nodes from `leaf` up to the pool; or at none, and return the rejection."""
        slot = self._advance(now)
        path = list(leaf.path_to_root())
        self._record_request(path, amounts, slot)
        rejection = self._first_rejection(path, amounts, slot)
        if rejection is not None:
            for node in path:
                node.rejected += 1
            return rejection
        for node in path:
            node.admitted += 1
            self._take(node, amounts, slot)
        return None

    @staticmethod
    def _record_request(path: list[QuotaNode], amounts: dict[Dimension, int], slot: int) -> None:
        # Recorded at every node, also below one that rejects: a returning lender is protected from now on.
        for node in path:
            for dimension, amount in amounts.items():
                node.requested_at[dimension] = slot
                if node.used(dimension, slot) + amount > node.limits.share[dimension]:
                    node.exceeded_at[dimension] = slot

    def _first_rejection(
        self, path: list[QuotaNode], amounts: dict[Dimension, int], slot: int
    ) -> Rejection | None:
        # From the pool down, so that the rejection names the highest node that is exhausted.
        for node in reversed(path):
            for dimension, amount in amounts.items():
                excess = node.used(dimension, slot) + amount - self._allowance(node, dimension, slot)
                if excess > 0:
                    return Rejection(
                        node.address, dimension, self._retry_after_us(node, dimension, slot, excess)
                    )
        return None

    @staticmethod
    def _take(node: QuotaNode, amounts: dict[Dimension, int], slot: int) -> None:
        for dimension, amount in amounts.items():
            if dimension is Dimension.HELD_SESSIONS:
                node.held += amount
            else:
                node.counters[dimension].add(slot, amount)

    def release(self, now: int, leaf: QuotaNode, number: int = 1) -> None:
        """Release held sessions that have ended."""
        self._advance(now)
        for node in leaf.path_to_root():
            node.held -= number

    def _allowance(self, node: QuotaNode, dimension: Dimension, slot: int) -> int:
        """Return the permitted use of a node: its share, and its part of what its siblings leave."""
        share, maximum = node.limits.share[dimension], node.limits.maximum[dimension]
        parent = node.parent
        if parent is None or maximum <= share:
            return maximum
        if node.used(dimension, slot) < share:
            return share
        spare, borrowing_shares = self._spare_of(parent, dimension, slot)
        borrowable = max(0, spare) * max(1, share) // max(1, borrowing_shares)
        return min(maximum, share + borrowable)

    @staticmethod
    def _spare_of(parent: QuotaNode, dimension: Dimension, slot: int) -> tuple[int, int]:
        """Return the amount that the children leave, and the sum of the shares of those that borrow."""
        limits = parent.limits.maximum if parent.parent is None else parent.limits.share
        spare, borrowing_shares = limits[dimension], 0
        for child in parent.children.values():
            share = child.limits.share[dimension]
            if child.exceeded_lately(dimension, slot):
                spare -= share
                borrowing_shares += max(1, share)
            elif child.requested_lately(dimension, slot):
                spare -= max(share, child.used(dimension, slot))
            else:
                spare -= child.used(dimension, slot)
        return spare, borrowing_shares

    def _retry_after_us(self, node: QuotaNode, dimension: Dimension, slot: int, excess: int) -> int:
        # The end of held sessions is not known: a window is an arbitrary wait.
        if dimension is Dimension.HELD_SESSIONS:
            return self.window_us
        return node.counters[dimension].slots_until_free(slot, excess) * self.slot_us

    # Nodes that no contract names.

    def child(self, now: int, parent: QuotaNode, name: str, limits: QuotaLimits) -> QuotaNode:
        """Return a child that no contract names, such as a desk; it is created on its first request."""
        self._advance(now)
        found = parent.children.get(name)
        if found is None:
            found = parent.children[name] = QuotaNode(name, limits, parent, from_contract=False)
        return found

    def remove_idle(self, node: QuotaNode, slot: int) -> None:
        """Remove nodes below this one that no contract names and that are unused for a window."""
        # After a window without use such a node would have its whole share again anyway.
        for name, child in list(node.children.items()):
            self.remove_idle(child, slot)
            idle = not child.children and not child.from_contract and not child.held
            if idle and not any(child.used(dimension, slot) for dimension in WINDOWED):
                del node.children[name]

    def set_limits(self, now: int, node: QuotaNode, limits: QuotaLimits) -> None:
        """Change the limits of a node; established sessions continue, new requests have to fit."""
        self._advance(now)
        node.limits = limits

    # Reports.

    def usage(self, now: int) -> list[QuotaUsage]:
        """Return a row for each node and dimension."""
        slot = self._advance(now)
        return [
            self._usage_of(node, dimension, slot) for node in iterate(self.root) for dimension in Dimension
        ]

    @staticmethod
    def _usage_of(node: QuotaNode, dimension: Dimension, slot: int) -> QuotaUsage:
        share, used = node.limits.share[dimension], node.used(dimension, slot)
        siblings = list(node.parent.children.values()) if node.parent is not None else []
        balances = [s.limits.share[dimension] - s.used(dimension, slot) for s in siblings]
        borrowed_by_all = sum(max(0, -balance) for balance in balances)
        left_by_all = sum(max(0, balance) for balance in balances)
        left_here = max(0, share - used) if siblings else 0
        # Loans come from all siblings with unused shares, in proportion to what each leaves unused.
        lent = min(left_here, borrowed_by_all * left_here // left_by_all) if left_by_all else 0
        return QuotaUsage(
            node.address,
            dimension,
            share,
            node.limits.maximum[dimension],
            used,
            max(0, used - share) if node.parent is not None else 0,
            lent,
            node.admitted,
            node.rejected,
        )


def iterate(node: QuotaNode) -> Iterator[QuotaNode]:
    """Yield a node and all nodes below it, parents first."""
    yield node
    for child in node.children.values():
        yield from iterate(child)
