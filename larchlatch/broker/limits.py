"""Computes the limits of contracts at one node of the installation, as whole numbers per window."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.broker.contracts import ROUNDING
from larchlatch.broker.quota_tree import QuotaLimits, QuotaNode

if TYPE_CHECKING:
    from larchlatch.broker.contracts import Figures, Pool, Team

Amounts = tuple[int, int, int]  # by `Dimension`


def _at_least_one(amount: float) -> int:
    # Rounded down to 0, a limit would keep this node from admitting anything under the contract.
    return 0 if amount <= 0 else max(1, int(amount + ROUNDING))


def node_amounts(figures: Figures, window_s: float, nodes: int) -> Amounts:
    """Return the part of the installation's amounts that falls to one of its nodes, per window."""
    return (
        _at_least_one(figures.sessions_per_s * window_s / nodes),
        _at_least_one(figures.messages_per_s * window_s / nodes),
        _at_least_one(figures.held / nodes),
    )


def share_of(amounts: Amounts, share: float) -> Amounts:
    """Return a share of the given amounts."""
    sessions, messages, held = amounts
    return _at_least_one(sessions * share), _at_least_one(messages * share), _at_least_one(held * share)


def part_limits(parent: Amounts, share: float, maximum: float) -> QuotaLimits:
    """Return the limits of a part.

    Args:
        parent: The amounts of the level above.
        share: The part's own share of these amounts.
        maximum: The largest share of these amounts, including what the part borrows.

    """
    return QuotaLimits(share_of(parent, share), share_of(parent, max(share, maximum)))


def pool_root(pool: Pool, window_s: float, nodes: int) -> QuotaNode:
    """Return the root of a pool's quota tree."""
    able = node_amounts(pool.able, window_s, nodes)
    return QuotaNode(pool.name, QuotaLimits(able, able))


def team_limits(team: Team, pool: Pool, window_s: float, nodes: int) -> QuotaLimits:
    """Return the limits of a team; if its contract sets no maximum, it may borrow up to the whole pool."""
    promised = node_amounts(team.promised, window_s, nodes)
    return QuotaLimits(promised, node_amounts(team.most or pool.able, window_s, nodes))
