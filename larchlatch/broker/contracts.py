"""The contracts of teams: an operator's TOML file, read and checked."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any

from msgspec import Meta, field

from larchlatch.broker.quota_tree import Dimension
from larchlatch.config.toml_file import Strict, convert_table, read_toml
from larchlatch.errors import ConfigurationError

if TYPE_CHECKING:
    from pathlib import Path

FILE = "contracts"  # name of the file in error messages
ROUNDING = 1e-9  # tolerance of sums of decimal fractions

Amount = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]


class Figures(Strict, frozen=True):
    """An amount in each dimension, for the whole installation."""

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
    """A group of upstreams, and the capacity of all of them together."""

    name: Name
    able: Figures


class Part(Strict, frozen=True):
    """A bank, a branch or a desk, with its share of the level above."""

    name: Name
    share: Share
    most: Share = 1.0  # upper bound with what it borrows, of the level above
    parts: list[Part] = field(default_factory=list)
    unnamed: Share = 0.0  # share of each part that is not named; 0: those are rejected


class Team(Strict, frozen=True):
    """A team's contract: its service, its pool, and the amounts that it is promised."""

    name: Name
    service: Name
    pool: Name
    setup_ms: Annotated[float, Meta(gt=0, le=600_000)]  # setup time that the team promises its clients
    promised: Figures
    most: Figures | None = None  # None: it may borrow whatever the pool has left
    parts: list[Part] = field(default_factory=list)
    unnamed: Share = 0.0


class Contracts(Strict, frozen=True, kw_only=True):
    """The whole file."""

    window_s: Annotated[float, Meta(ge=0.1, le=3600)] = 1.0
    pools: Annotated[list[Pool], Meta(min_length=1)]
    teams: Annotated[list[Team], Meta(min_length=1)]


def read_contracts(path: Path) -> Contracts:
    """Return the contracts in a file.

    Raises:
        ConfigurationError: the file can't be read or is wrong; the message names the key.

    """
    return parse_contracts(read_toml(path, FILE))


def parse_contracts(raw: Any) -> Contracts:
    """Return the contracts in the content of a file.

    Raises:
        ConfigurationError: the content is wrong; the message names the key.

    """
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
    """Check that the promises to all teams of a pool don't exceed its capacity."""
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
