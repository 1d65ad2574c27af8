"""Enforces nested quotas: a tree of nodes, each of which has limits in several dimensions.

A request is counted at all nodes from its leaf up to the root, and admitted only if it fits at all of them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING

from larchlatch.broker.sliding_window import SLOTS, SlidingWindowCounter

if TYPE_CHECKING:
    from collections.abc import Iterator

NEVER = -2 * SLOTS  # a slot that lies before every window
SWEEPS_PER_WINDOW = 4  # how often idle nodes are searched for in a window


class Dimension(IntEnum):
    """A limited quantity."""

    NEW_SESSIONS = 0  # counted per window
    MESSAGES = 1  # counted per window
    HELD_SESSIONS = 2  # established at the same time


WINDOWED = (Dimension.NEW_SESSIONS, Dimension.MESSAGES)


@dataclass(frozen=True, slots=True)
class QuotaLimits:
    """The limits of a node of the tree, by dimension."""

    share: tuple[int, int, int]  # without borrowing
    maximum: tuple[int, int, int]  # including what the node borrows


def _new_counters() -> tuple[SlidingWindowCounter, SlidingWindowCounter]:
    return SlidingWindowCounter(), SlidingWindowCounter()


def _never_requested() -> list[int]:
    return [NEVER] * len(Dimension)


@dataclass(slots=True)
class QuotaNode:
    """A node of the quota tree: the pool at the root, a team, or a part of a team."""

    name: str
    limits: QuotaLimits
    parent: QuotaNode | None = None
    children: dict[str, QuotaNode] = field(default_factory=dict)
    counters: tuple[SlidingWindowCounter, SlidingWindowCounter] = field(default_factory=_new_counters)
    held: int = 0
    requested_at: list[int] = field(default_factory=_never_requested)  # slot of the last request
    exceeded_at: list[int] = field(
        default_factory=_never_requested
    )  # slot of the last request that exceeded the share
    admitted: int = 0
    rejected: int = 0
    unnamed_share: float = 0.0  # share of each child that the contract does not name; 0 if it may have none
    from_contract: bool = True  # other nodes are created on their first request and removed when idle

    def used(self, dimension: Dimension, slot: int) -> int:
        """Return the sessions held now, or the amount used in the window that ends at `slot`."""
        if dimension is Dimension.HELD_SESSIONS:
            return self.held
        return self.counters[dimension].advance(slot)

    def requested_recently(self, dimension: Dimension, slot: int) -> bool:
        """Return whether there was a request within the last window."""
        return slot - self.requested_at[dimension] <= SLOTS

    def exceeded_recently(self, dimension: Dimension, slot: int) -> bool:
        """Return whether a request within the last window exceeded the node's share."""
        return slot - self.exceeded_at[dimension] <= SLOTS

    def path_to_root(self) -> Iterator[QuotaNode]:
        """Yield this node and all nodes above it, up to the pool."""
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
    """A rejection because a node of the tree has reached a limit.

    Attributes:
        address: The address of that node.
        dimension: The dimension of the limit.
        retry_after_us: The wait after which a retry may be admitted, in microseconds.

    """

    address: str
    dimension: Dimension
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class QuotaUsage:
    """The limits and the usage of a node of the tree in one dimension, for operators."""

    address: str
    dimension: Dimension
    share: int
    maximum: int
    used: int
    borrowed: int  # in use beyond its share
    lent: int  # part of its share that siblings use
    admitted: int
    rejected: int


class QuotaTree:
    """The quota tree of one pool.

    Times are whole microseconds. A time before the latest time seen is replaced by the latter.
    """

    def __init__(self, root: QuotaNode, window_us: int, now: int) -> None:
        self.root = root
        self.now = now
        self.set_window(window_us)

    def set_window(self, window_us: int) -> None:
        """Set the length of the window and restart all counters, as after the start of the process."""
        # Counts can't be kept, because slots of another length have other numbers.
        self.window_us = window_us
        self.slot_us = max(1, window_us // SLOTS)
        self.swept_at = self._slot()
        for node in iterate(self.root):
            node.counters = _new_counters()
            node.requested_at = _never_requested()
            node.exceeded_at = _never_requested()
            self._count_last_window_as_used(node)

    def _count_last_window_as_used(self, node: QuotaNode) -> None:
        # A process that starts does not know what its predecessor admitted in the last window. It
        # assumes that each share, and the capacity of the pool, was used up evenly over the slots.
        slot = self._slot()
        for dimension in WINDOWED:
            limits = node.limits.maximum if node is self.root else node.limits.share
            for offset in range(SLOTS):
                amount = limits[dimension] * (offset + 1) // SLOTS - limits[dimension] * offset // SLOTS
                node.counters[dimension].add(slot - SLOTS + 1 + offset, amount)

    def _slot(self) -> int:
        return self.now // self.slot_us

    def _advance(self, now: int) -> int:
        """Advance the clock, remove idle nodes if a search is due, and return the current slot."""
        self.now = max(self.now, now)
        slot = self._slot()
        if slot >= self.swept_at + SLOTS // SWEEPS_PER_WINDOW:
            self.swept_at = slot
            self.remove_idle(self.root, slot)
        return slot

    # Admission.

    def admit(self, now: int, leaf: QuotaNode, amounts: dict[Dimension, int]) -> Rejection | None:
        """Admit a request, or return its rejection.

        An admitted request uses `amounts` at all nodes from `leaf` up to the pool, a rejected one nothing.
        """
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
            self._record_use(node, amounts, slot)
        return None

    @staticmethod
    def _record_request(path: list[QuotaNode], amounts: dict[Dimension, int], slot: int) -> None:
        # All nodes record the request, even if one above them rejects it: siblings may no longer borrow the
        # share of a node that has started to request again.
        for node in path:
            for dimension, amount in amounts.items():
                node.requested_at[dimension] = slot
                if node.used(dimension, slot) + amount > node.limits.share[dimension]:
                    node.exceeded_at[dimension] = slot

    def _first_rejection(
        self, path: list[QuotaNode], amounts: dict[Dimension, int], slot: int
    ) -> Rejection | None:
        # The search goes from the pool down, so that the rejection names the highest exhausted node.
        for node in reversed(path):
            for dimension, amount in amounts.items():
                excess = node.used(dimension, slot) + amount - self._allowance(node, dimension, slot)
                if excess > 0:
                    return Rejection(
                        node.address, dimension, self._retry_after_us(node, dimension, slot, excess)
                    )
        return None

    @staticmethod
    def _record_use(node: QuotaNode, amounts: dict[Dimension, int], slot: int) -> None:
        for dimension, amount in amounts.items():
            if dimension is Dimension.HELD_SESSIONS:
                node.held += amount
            else:
                node.counters[dimension].add(slot, amount)

    def release(self, now: int, leaf: QuotaNode, number: int = 1) -> None:
        """Release `number` held sessions that have ended, at all nodes from `leaf` up to the pool."""
        self._advance(now)
        for node in leaf.path_to_root():
            node.held -= number

    def _allowance(self, node: QuotaNode, dimension: Dimension, slot: int) -> int:
        """Return how much a node may use: its share, plus its part of what its siblings leave unused."""
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
        """Return the amount that the children leave unused, and the sum of the borrowers' shares."""
        limits = parent.limits.maximum if parent.parent is None else parent.limits.share
        spare, borrowing_shares = limits[dimension], 0
        for child in parent.children.values():
            share = child.limits.share[dimension]
            if child.exceeded_recently(dimension, slot):
                spare -= share
                borrowing_shares += max(1, share)
            elif child.requested_recently(dimension, slot):
                spare -= max(share, child.used(dimension, slot))
            else:
                spare -= child.used(dimension, slot)
        return spare, borrowing_shares

    def _retry_after_us(self, node: QuotaNode, dimension: Dimension, slot: int, excess: int) -> int:
        # Nobody knows when held sessions will end, so an arbitrary wait of one window is advised.
        if dimension is Dimension.HELD_SESSIONS:
            return self.window_us
        return node.counters[dimension].slots_until_free(slot, excess) * self.slot_us

    # Nodes that the contract does not name.

    def get_or_create_child(self, now: int, parent: QuotaNode, name: str, limits: QuotaLimits) -> QuotaNode:
        """Return a child that the contract does not name, such as a desk; the first request creates it."""
        self._advance(now)
        found = parent.children.get(name)
        if found is None:
            found = parent.children[name] = QuotaNode(name, limits, parent, from_contract=False)
        return found

    def remove_idle(self, node: QuotaNode, slot: int) -> None:
        """Remove the nodes below this one that no contract names and that were not used for a window."""
        # Removal renews no share: a node that was not used for a window has its whole share again anyway.
        for name, child in list(node.children.items()):
            self.remove_idle(child, slot)
            idle = not child.children and not child.from_contract and not child.held
            if idle and not any(child.used(dimension, slot) for dimension in WINDOWED):
                del node.children[name]

    def set_limits(self, now: int, node: QuotaNode, limits: QuotaLimits) -> None:
        """Change the limits of a node; they apply to new requests, and established sessions continue."""
        self._advance(now)
        node.limits = limits

    # Usage reports.

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
        unused_by_all = sum(max(0, balance) for balance in balances)
        unused_here = max(0, share - used) if siblings else 0
        # All siblings with unused shares lend in proportion to what each leaves unused.
        lent = min(unused_here, borrowed_by_all * unused_here // unused_by_all) if unused_by_all else 0
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
