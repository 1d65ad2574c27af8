"""Who is admitted, link by link and message by message: yes, or no, by which level, and when to come back."""

from __future__ import annotations

from dataclasses import dataclass

from larchlatch.broker.contracts import (
    Contracts,
    Part,
    limits_of_part,
    limits_of_team,
    pool_level,
)
from larchlatch.broker.quotas import Account, Dimension, Level, Quotas, Refusal

DEEPEST = 3  # levels below a team: bank, branch, desk
MOST_UNNAMED = 10_000  # parts below one level that no contract names, at one time


@dataclass(frozen=True, slots=True)
class Unknown:
    """Nobody has a contract for this."""

    why: str


@dataclass(slots=True)
class Ticket:
    """A link that was admitted, to be handed back when it ends."""

    pool: str
    leaf: Level
    open: bool = True


class Broker:
    def __init__(self, contracts: Contracts, nodes: int, now: int) -> None:
        self.nodes = nodes
        self.contracts = contracts
        self.window_us = round(contracts.window_s * 1_000_000)
        self.pools: dict[str, Quotas] = {}
        self.services: dict[str, tuple[str, Level]] = {}
        self.unknown = 0
        for pool in contracts.pools:
            root = pool_level(pool, contracts.window_s, nodes)
            for team in contracts.teams:
                if team.pool == pool.name:
                    limits = limits_of_team(team, pool, contracts.window_s, nodes)
                    level = root.children[team.name] = Level(team.name, limits, root)
                    self.services[team.service] = (pool.name, level)
                    self.grow(level, team.parts, team.unnamed)
            self.pools[pool.name] = Quotas(root, self.window_us, now)

    def grow(self, level: Level, parts: list[Part], unnamed: float) -> None:
        level.unnamed = unnamed
        for part in parts:
            limits = limits_of_part(level.limits.share, part.share, part.most)
            child = level.children[part.name] = Level(part.name, limits, level)
            self.grow(child, part.parts, part.unnamed)

    def leaf(self, now: int, quotas: Quotas, team: Level, path: tuple[str, ...]) -> Level | Unknown:
        """The level that asks; one that no contract names is made, where its parent has a share for such."""
        if len(path) > DEEPEST:
            return Unknown(f"{team.address}: more than {DEEPEST} levels below a team")
        level = team
        for name in path:
            child = level.children.get(name)
            if child is None:
                share = level.unnamed
                if share <= 0:
                    return Unknown(f"{level.address}: no part {name!r}")
                if sum(not other.stated for other in level.children.values()) >= MOST_UNNAMED:
                    return Unknown(f"{level.address}: too many parts that no contract names")
                child = quotas.child(now, level, name, limits_of_part(level.limits.share, share, 1.0))
            level = child
        return level

    # What is asked.

    def link(self, now: int, service: str, path: tuple[str, ...] = ()) -> Ticket | Refusal | Unknown:
        """A new link for a service, from this bank, branch and desk of its team."""
        found = self.services.get(service)
        if found is None:
            self.unknown += 1
            return Unknown(f"no service {service!r}")
        pool, team = found
        quotas = self.pools[pool]
        leaf = self.leaf(now, quotas, team, path)
        if isinstance(leaf, Unknown):
            self.unknown += 1
            return leaf
        refusal = quotas.admit(now, leaf, {Dimension.LINKS: 1, Dimension.HELD: 1})
        return refusal or Ticket(pool, leaf)

    def message(self, now: int, ticket: Ticket, number: int = 1) -> Refusal | None:
        return self.pools[ticket.pool].admit(now, ticket.leaf, {Dimension.MESSAGES: number})

    def ended(self, now: int, ticket: Ticket) -> None:
        """A link has ended; told twice, once counts."""
        if ticket.open:
            ticket.open = False
            self.pools[ticket.pool].ended(now, ticket.leaf)

    # New contracts while links stand.

    def follow(self, now: int, contracts: Contracts) -> None:
        """What stands goes on and counts, by the new figures; who has no contract now takes nothing new."""
        fresh = Broker(contracts, self.nodes, now)
        for name, quotas in fresh.pools.items():
            before = self.pools.get(name)
            if before is not None:
                self.graft(now, before, before.pool, quotas.pool)
                if before.window_us != quotas.window_us:
                    before.count_by(quotas.window_us)
                fresh.pools[name] = before
        self.pools = {**{n: q for n, q in self.pools.items() if q.pool.held}, **fresh.pools}
        self.contracts, self.window_us = contracts, fresh.window_us
        self.services = {}
        for team in contracts.teams:
            self.services[team.service] = (team.pool, self.pools[team.pool].pool.children[team.name])

    def graft(self, now: int, quotas: Quotas, old: Level, new: Level) -> None:
        """The old level, with what it holds and has used, takes over what the new one says."""
        quotas.follow(now, old, new.limits)
        old.unnamed, old.stated = new.unnamed, new.stated
        for name, child in new.children.items():
            if name in old.children:
                self.graft(now, quotas, old.children[name], child)
            else:
                child.parent = old
                old.children[name] = child
        for name, child in list(old.children.items()):
            if name not in new.children:
                child.stated = False  # forgotten once nothing of it stands

    def accounts(self, now: int) -> list[Account]:
        return [row for quotas in self.pools.values() for row in quotas.accounts(now)]
