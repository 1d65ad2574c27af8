"""Checks single leadership: after an order of a role's new holder, no order of a former one is executed.

This module does no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.invariants.checker import Verdict
from larchlatch.invariants.observations import FleetChanged, Observation, OrderExecuted, RoleChanged

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

UNHELD_KEY = "unheld_s"


class SingleLeader:
    """Checks that no order is executed after an order with a higher fencing token, on any node.

    Attributes:
        role: The name of the role.
        orders: The number of executed orders.
        outdated_orders: The number of executed orders with a lower fencing token than an earlier one.
        holders: The numbers of the nodes that report that they hold the role, the latest report last.

    """

    def __init__(self, role: str, electors: Sequence[int]) -> None:
        """Create the checker of one role; `electors` are the numbers of the nodes that elect its holder."""
        self.role = role
        self.orders = 0
        self.outdated_orders = 0
        self.holders: list[int] = []
        self._electors = electors
        self._highest_lease = 0
        self._running: list[bool] = []
        self._is_electable = False
        self._vacant_since: int | None = None
        self._vacancies_us: list[int] = []
        self._holder_changes = 0

    def observe(self, observation: Observation) -> None:
        """Record an observation."""
        match observation:
            case FleetChanged():
                self._running = list(observation.running)
                self._is_electable = self._has_connected_majority(observation.is_blocked)
                self._record_vacancy(observation.now)
            case RoleChanged(role=self.role):
                self._update_holders(observation)
                self._record_vacancy(observation.now)
            case OrderExecuted(role=self.role):
                self.orders += 1
                self.outdated_orders += observation.lease < self._highest_lease
                self._highest_lease = max(self._highest_lease, observation.lease)

    def _has_connected_majority(self, is_blocked: Callable[[int, int], bool]) -> bool:
        """Return whether an elector can exchange messages with a majority of them, itself included."""
        electors = [node for node in self._electors if self._running[node]]

        def is_connected(node: int, other: int) -> bool:
            return node == other or not (is_blocked(node, other) or is_blocked(other, node))

        largest = max((sum(is_connected(node, other) for other in electors) for node in electors), default=0)
        return largest > len(self._electors) // 2

    def _update_holders(self, change: RoleChanged) -> None:
        others = [node for node in self.holders if node != change.node]
        if change.held:
            self._holder_changes += self.holders[-1:] != [change.node]
            self.holders = [*others, change.node]
        else:
            self.holders = others

    @property
    def holder(self) -> int | None:
        """The running node that has reported last that it holds the role, or None."""
        return next((node for node in reversed(self.holders) if self._running[node]), None)

    def _record_vacancy(self, now: int) -> None:
        is_vacant = self._is_electable and self.holder is None
        if is_vacant and self._vacant_since is None:
            self._vacant_since = now
        elif not is_vacant and self._vacant_since is not None:
            self._vacancies_us.append(now - self._vacant_since)
            self._vacant_since = None

    def verdict(self) -> Verdict:
        """Return the number of orders that were executed with an outdated lease."""
        return Verdict("single_leader", self.outdated_orders)

    def figures(self, now: int) -> dict[str, float | int]:
        """Return counts, and the longest time without a holder while electors could have elected one."""
        current_vacancy_us = [] if self._vacant_since is None else [now - self._vacant_since]
        return {
            "two_holders": self.outdated_orders,
            UNHELD_KEY: max([*self._vacancies_us, *current_vacancy_us], default=0) / 1e6,
            "duty_changes": self._holder_changes,
            "orders": self.orders,
        }


def role_holders(checkers: Iterable[SingleLeader]) -> list[int]:
    """Return the numbers of the nodes that hold at least one role, in ascending order."""
    return sorted({checker.holder for checker in checkers if checker.holder is not None})


def merged_figures(checkers: Iterable[SingleLeader], now: int) -> dict[str, float | int]:
    """Return the figures of all roles: the longest time without a holder, and sums of the other figures."""
    rows = [checker.figures(now) for checker in checkers]
    if not rows:
        return {}
    return {key: (max if key == UNHELD_KEY else sum)(row[key] for row in rows) for key in rows[0]}
