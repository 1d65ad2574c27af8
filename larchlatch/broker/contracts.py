"""What teams are promised and may spend: an operator's TOML file, read and checked."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any

from msgspec import Meta, field

from larchlatch.broker.quota_tree import Dimension
from larchlatch.config.toml_file import Strict, convert_table, read_toml
from larchlatch.errors import ConfigurationError

if TYPE_CHECKING:
    from pathlib import Path

FILE = "contracts"  # what messages call the file
ROUNDING = 1e-9  # shares are decimal fractions: 0.1 three times is not quite 0.3

Amount = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]


class Figures(Strict, frozen=True):
    """An amount in each dimension, of the whole installation."""

    sessions_per_s: Amount
    messages_per_s: Amount
    held: Amount

    def amount(self, dimension: Dimension) -> float:
        """Return the amount in one dimension."""
        amounts = {
            Dimension.NEW_SESSIONS: self.sessions_per_s,
            Dimension.MESSAGES: self.messages_per_s,
            Dimension.HELD_SESSIONS: self.held,
        }
        return amounts[dimension]


# The key of each dimension in the file.
FIGURE_KEYS = {
    Dimension.NEW_SESSIONS: "links_per_s",
    Dimension.MESSAGES: "messages_per_s",
    Dimension.HELD_SESSIONS: "held",
}


class Pool(Strict, frozen=True):
    """Upstreams, and what all of them together can take."""

    name: Name
    able: Figures


class Part(Strict, frozen=True):
    """A bank, a branch or a desk: a share of what the level above has."""

    name: Name
    share: Share
    most: Share = 1.0  # with what it borrows, of the level above
    parts: list[Part] = field(default_factory=list)
    unnamed: Share = 0.0  # the share of each part that is not named; 0: they are rejected


class Team(Strict, frozen=True):
    """A team's contract: its service, the pool that it uses, and what it is promised of it."""

    name: Name
    service: Name
    pool: Name
    setup_ms: Annotated[float, Meta(gt=0, le=600_000)]  # the setup time that it promises its clients
    promised: Figures
    most: Figures | None = None  # left out: it may borrow whatever the pool has left
    parts: list[Part] = field(default_factory=list)
    unnamed: Share = 0.0


class Contracts(Strict, frozen=True, kw_only=True):
    """The whole file."""

    window_s: Annotated[float, Meta(ge=0.1, le=3600)] = 1.0
    pools: Annotated[list[Pool], Meta(min_length=1)]
    teams: Annotated[list[Team], Meta(min_length=1)]


def read_contracts(path: Path) -> Contracts:
    """Read and check a contracts file; raises ConfigurationError with the key that is wrong."""
    return parse_contracts(read_toml(path, FILE))


def parse_contracts(raw: Any) -> Contracts:
    """Check contracts in their raw form; raises ConfigurationError with the key that is wrong."""
    contracts = convert_table(raw, Contracts, FILE)
    _check_unique([pool.name for pool in contracts.pools], "pools")
    _check_unique([team.name for team in contracts.teams], "teams")
    _check_unique([team.service for team in contracts.teams], "teams: service")
    pool_names = {pool.name for pool in contracts.pools}
    for place, team in enumerate(contracts.teams):
        _check_team(team, f"teams[{place}]", pool_names)
    for pool in contracts.pools:
        _check_promises(pool, [team for team in contracts.teams if team.pool == pool.name])
    return contracts


def _check_unique(names: list[str], where: str) -> None:
    for name in names:
        if names.count(name) > 1:
            raise ConfigurationError(FILE, f"{where}: {name!r} stands twice")


def _check_team(team: Team, where: str, pool_names: set[str]) -> None:
    if team.pool not in pool_names:
        raise ConfigurationError(FILE, f"{where}.pool: there is no pool {team.pool!r}")
    for dimension, key in FIGURE_KEYS.items():
        if team.most is not None and team.most.amount(dimension) < team.promised.amount(dimension):
            raise ConfigurationError(FILE, f"{where}.most.{key}: less than is promised")
    _check_parts(team.parts, where)


def _check_promises(pool: Pool, teams: list[Team]) -> None:
    """Reject contracts that can't all be met, while nobody relies on them."""
    for dimension, key in FIGURE_KEYS.items():
        able, promised = pool.able.amount(dimension), 0.0
        for place, team in enumerate(teams):
            promised += team.promised.amount(dimension)
            if promised > able * (1 + ROUNDING):
                names = f"{teams[0].name!r} and {team.name!r}" if place else f"{team.name!r}"
                raise ConfigurationError(
                    FILE,
                    f"teams {names} can't both be met: {key}: {promised:g} is promised of pool "
                    f"{pool.name!r}, which can do {able:g}: {promised - able:g} too many",
                )


def _check_parts(parts: list[Part], where: str) -> None:
    _check_unique([part.name for part in parts], f"{where}.parts")
    total = sum(part.share for part in parts)
    if total > 1 + ROUNDING:
        raise ConfigurationError(
            FILE, f"{where}.parts: their shares sum to {total:g}, {total - 1:g} too many"
        )
    for place, part in enumerate(parts):
        if part.most < part.share:
            raise ConfigurationError(FILE, f"{where}.parts[{place}].most: less than its share")
        _check_parts(part.parts, f"{where}.parts[{place}]")
