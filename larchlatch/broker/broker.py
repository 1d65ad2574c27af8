"""Decides which sessions and messages of the teams are admitted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from larchlatch.broker.limits import part_limits, pool_root, team_limits
from larchlatch.broker.quota_tree import Dimension, QuotaNode, QuotaTree, QuotaUsage, Rejection

if TYPE_CHECKING:
    from larchlatch.broker.contracts import Contracts, Part, Pool

MAX_DEPTH = 3  # levels below a team, such as bank, branch and desk
MAX_UNNAMED_CHILDREN = 10_000  # children of one node that the contract does not name, at one time


@dataclass(frozen=True, slots=True)
class NoContract:
    """A rejection because no contract covers the request.

    Attributes:
        reason: The part of the request that no contract covers, as a text for people.

    """

    reason: str


@dataclass(slots=True)
class AdmittedSession:
    """An admitted session, which the caller has to release when it ends.

    Attributes:
        pool: The name of its pool.
        leaf: The lowest node of the quota tree that counts it.
        open: Whether it has not been released yet.

    """

    pool: str
    leaf: QuotaNode
    open: bool = True


class Broker:
    """Admits sessions and messages of teams within their contracts, at one node of the installation.

    Times are whole microseconds of the caller's clock.
    """

    def __init__(self, contracts: Contracts, nodes: int, now: int) -> None:
        self.nodes = nodes
        self.contracts = contracts
        self.window_us = round(contracts.window_s * 1_000_000)
        self.trees: dict[str, QuotaTree] = {}
        # Name of the pool and node of the team, by service.
        self.teams_by_service: dict[str, tuple[str, QuotaNode]] = {}
        self.without_contract = 0
        for pool in contracts.pools:
            self.trees[pool.name] = QuotaTree(self._build_root(pool), self.window_us, now)

    def _build_root(self, pool: Pool) -> QuotaNode:
        window_s = self.contracts.window_s
        root = pool_root(pool, window_s, self.nodes)
        for team in self.contracts.teams:
            if team.pool != pool.name:
                continue
            node = QuotaNode(team.name, team_limits(team, pool, window_s, self.nodes), root)
            root.children[team.name] = node
            self.teams_by_service[team.service] = (pool.name, node)
            self._add_parts(node, team.parts, team.unnamed)
        return root

    def _add_parts(self, node: QuotaNode, parts: list[Part], unnamed_share: float) -> None:
        node.unnamed_share = unnamed_share
        for part in parts:
            limits = part_limits(node.limits.share, part.share, part.most)
            child = node.children[part.name] = QuotaNode(part.name, limits, node)
            self._add_parts(child, part.parts, part.unnamed)

    # Admission.

    def admit_session(
        self, now: int, service: str, path: tuple[str, ...] = ()
    ) -> AdmittedSession | Rejection | NoContract:
        """Admit a new session for a service.

        Args:
            now: The current time.
            service: The service, which belongs to one team.
            path: The names of the parts within the team, such as bank, branch and desk, as far as known.

        """
        found = self.teams_by_service.get(service)
        if found is None:
            self.without_contract += 1
            return NoContract(f"no contract covers the service {service!r}")
        pool, team = found
        tree = self.trees[pool]
        leaf = self._find_leaf(now, tree, team, path)
        if isinstance(leaf, NoContract):
            self.without_contract += 1
            return leaf
        amounts = {Dimension.NEW_SESSIONS: 1, Dimension.HELD_SESSIONS: 1}
        return tree.admit(now, leaf, amounts) or AdmittedSession(pool, leaf)

    def _find_leaf(
        self, now: int, tree: QuotaTree, team: QuotaNode, path: tuple[str, ...]
    ) -> QuotaNode | NoContract:
        """Return the quota node at the end of a path below a team.

        A node that the contract does not name is created if its parent allows such children.
        """
        if len(path) > MAX_DEPTH:
            return NoContract(f"{team.address}: the request names more than {MAX_DEPTH} levels below a team")
        node = team
        for name in path:
            child = node.children.get(name) or self._unnamed_child(now, tree, node, name)
            if isinstance(child, NoContract):
                return child
            node = child
        return node

    @staticmethod
    def _unnamed_child(now: int, tree: QuotaTree, parent: QuotaNode, name: str) -> QuotaNode | NoContract:
        if parent.unnamed_share <= 0:
            return NoContract(f"{parent.address}: the contract has no part {name!r}")
        if sum(not child.from_contract for child in parent.children.values()) >= MAX_UNNAMED_CHILDREN:
            return NoContract(f"{parent.address}: too many parts that the contract does not name")
        return tree.get_or_create_child(
            now, parent, name, part_limits(parent.limits.share, parent.unnamed_share, 1.0)
        )

    def admit_message(self, now: int, session: AdmittedSession, number: int = 1) -> Rejection | None:
        """Admit messages on a session; return None if they are admitted."""
        return self.trees[session.pool].admit(now, session.leaf, {Dimension.MESSAGES: number})

    def release(self, now: int, session: AdmittedSession) -> None:
        """Release a session that has ended; further calls have no effect."""
        if session.open:
            session.open = False
            self.trees[session.pool].release(now, session.leaf)

    # Change of the contracts while sessions are established.

    def set_contracts(self, now: int, contracts: Contracts) -> None:
        """Apply new contracts.

        Established sessions continue. A service without a contract gets no new sessions.
        """
        replacement = Broker(contracts, self.nodes, now)
        for name, new_tree in replacement.trees.items():
            tree = self.trees.get(name)
            if tree is None:
                continue
            self._merge(now, tree, tree.root, new_tree.root)
            if tree.window_us != new_tree.window_us:
                tree.set_window(new_tree.window_us)
            replacement.trees[name] = tree
        in_use = {name: tree for name, tree in self.trees.items() if tree.root.held}
        self.trees = {**in_use, **replacement.trees}
        self.contracts, self.window_us = contracts, replacement.window_us
        self.teams_by_service = {
            team.service: (team.pool, self.trees[team.pool].root.children[team.name])
            for team in contracts.teams
        }

    def _merge(self, now: int, tree: QuotaTree, old: QuotaNode, new: QuotaNode) -> None:
        """Apply the limits and children of a new node to the old one, whose usage counts are kept."""
        tree.set_limits(now, old, new.limits)
        old.unnamed_share, old.from_contract = new.unnamed_share, new.from_contract
        for name, child in new.children.items():
            if name in old.children:
                self._merge(now, tree, old.children[name], child)
            else:
                child.parent = old
                old.children[name] = child
        for name, child in old.children.items():
            if name not in new.children:
                child.from_contract = False  # removed once it is idle and holds no sessions

    def usage(self, now: int) -> list[QuotaUsage]:
        """Return the usage of each node of each pool's tree, with one row for each dimension."""
        return [row for tree in self.trees.values() for row in tree.usage(now)]
