"""Computes the limits of contracts at one node of the installation, as whole numbers per window."""

from __future__ import annotations

from typing import TYPE_CHECKING

from larchlatch.broker.contracts import ROUNDING_TOLERANCE
from larchlatch.broker.quota_tree import QuotaLimits, QuotaNode

if TYPE_CHECKING:
    from larchlatch.broker.contracts import InstallationAmounts, Pool, Team

Amounts = tuple[int, int, int]  # by `Dimension`


def _whole_amount(amount: float) -> int:
    # Rounded down to 0, a limit would keep this node from admitting anything under the contract.
    return 0 if amount <= 0 else max(1, int(amount + ROUNDING_TOLERANCE))


def node_amounts(amounts: InstallationAmounts, window_s: float, nodes: int) -> Amounts:
    """Return the part of the installation's amounts that falls to one of its nodes, per window."""
    return (
        _whole_amount(amounts.sessions_per_s * window_s / nodes),
        _whole_amount(amounts.messages_per_s * window_s / nodes),
        _whole_amount(amounts.held / nodes),
    )


def share_of(amounts: Amounts, share: float) -> Amounts:
    """Return a share of the given amounts."""
    sessions, messages, held = amounts
    return _whole_amount(sessions * share), _whole_amount(messages * share), _whole_amount(held * share)


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
    capacity = node_amounts(pool.able, window_s, nodes)
    return QuotaNode(pool.name, QuotaLimits(capacity, capacity))


def team_limits(team: Team, pool: Pool, window_s: float, nodes: int) -> QuotaLimits:
    """Return the limits of a team; if its contract sets no maximum, it may borrow up to the whole pool."""
    promised = node_amounts(team.promised, window_s, nodes)
    return QuotaLimits(promised, node_amounts(team.most or pool.able, window_s, nodes))
