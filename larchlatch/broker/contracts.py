"""Reads and validates the contracts of teams, which an operator writes in a TOML file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any

from msgspec import Meta, field

from larchlatch.broker.quota_tree import Dimension
from larchlatch.config.toml_file import Strict, convert_table, read_toml
from larchlatch.errors import ConfigurationError

if TYPE_CHECKING:
    from pathlib import Path

FILE_KIND = "contracts"  # how error messages refer to the file
ROUNDING_TOLERANCE = 1e-9  # tolerance for rounding errors in sums of decimal fractions

Amount = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]


class InstallationAmounts(Strict, frozen=True):
    """An amount in each dimension, for all nodes of the installation together."""

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


# The key of each dimension in the contracts file.
AMOUNT_KEYS = {
    Dimension.NEW_SESSIONS: "links_per_s",
    Dimension.MESSAGES: "messages_per_s",
    Dimension.HELD_SESSIONS: "held",
}


class Pool(Strict, frozen=True):
    """A group of upstreams, and their total capacity (`able`)."""

    name: Name
    able: InstallationAmounts


class Part(Strict, frozen=True):
    """A part of a team, such as a bank, a branch or a desk, with its share of the level above."""

    name: Name
    share: Share
    most: Share = 1.0  # largest share of the level above, including what it borrows
    parts: list[Part] = field(default_factory=list)
    unnamed: Share = 0.0  # share of each part that the contract does not name; 0 if such parts are rejected


class Team(Strict, frozen=True):
    """The contract of a team: its service, its pool, and the amounts that the team is promised."""

    name: Name
    service: Name
    pool: Name
    setup_ms: Annotated[float, Meta(gt=0, le=600_000)]  # session setup time that the team promises clients
    promised: InstallationAmounts
    most: InstallationAmounts | None = (
        None  # limit including what it borrows; None for the capacity of its pool
    )
    parts: list[Part] = field(default_factory=list)
    unnamed: Share = 0.0


class Contracts(Strict, frozen=True, kw_only=True):
    """The content of a contracts file."""

    window_s: Annotated[float, Meta(ge=0.1, le=3600)] = 1.0
    pools: Annotated[list[Pool], Meta(min_length=1)]
    teams: Annotated[list[Team], Meta(min_length=1)]


def read_contracts(path: Path) -> Contracts:
    """Return the contracts in a file.

    Raises:
        ConfigurationError: The file can't be read or is invalid; the message names the key.

    """
    return parse_contracts(read_toml(path, FILE_KIND))


def parse_contracts(raw: Any) -> Contracts:
    """Return the contracts in the content of a file.

    Raises:
        ConfigurationError: The content is invalid; the message names the key.

    """
    contracts = convert_table(raw, Contracts, FILE_KIND)
    _check_unique([pool.name for pool in contracts.pools], "pools")
    _check_unique([team.name for team in contracts.teams], "teams")
    _check_unique([team.service for team in contracts.teams], "teams: service")
    pool_names = {pool.name for pool in contracts.pools}
    for index, team in enumerate(contracts.teams):
        _check_team(team, f"teams[{index}]", pool_names)
    for pool in contracts.pools:
        _check_promises(pool, [team for team in contracts.teams if team.pool == pool.name])
    return contracts


def _check_unique(names: list[str], where: str) -> None:
    for name in names:
        if names.count(name) > 1:
            raise ConfigurationError(FILE_KIND, f"{where}: {name!r} appears twice")


def _check_team(team: Team, where: str, pool_names: set[str]) -> None:
    if team.pool not in pool_names:
        raise ConfigurationError(FILE_KIND, f"{where}.pool: there is no pool {team.pool!r}")
    for dimension, key in AMOUNT_KEYS.items():
        if team.most is not None and team.most.amount(dimension) < team.promised.amount(dimension):
            raise ConfigurationError(FILE_KIND, f"{where}.most.{key}: less than the promised amount")
    _check_parts(team.parts, where)


def _check_promises(pool: Pool, teams: list[Team]) -> None:
    """Check that the amounts promised to the teams of a pool don't exceed its capacity in sum."""
    for dimension, key in AMOUNT_KEYS.items():
        capacity, promised = pool.able.amount(dimension), 0.0
        for index, team in enumerate(teams):
            promised += team.promised.amount(dimension)
            if promised > capacity * (1 + ROUNDING_TOLERANCE):
                names = f"{teams[0].name!r} and {team.name!r}" if index else f"{team.name!r}"
                raise ConfigurationError(
                    FILE_KIND,
                    f"teams {names} are promised more than their pool has: {key}: {promised:g} is promised "
                    f"from pool {pool.name!r} of capacity {capacity:g}: {promised - capacity:g} too many",
                )


def _check_parts(parts: list[Part], where: str) -> None:
    _check_unique([part.name for part in parts], f"{where}.parts")
    total = sum(part.share for part in parts)
    if total > 1 + ROUNDING_TOLERANCE:
        raise ConfigurationError(
            FILE_KIND, f"{where}.parts: the shares add up to {total:g}, {total - 1:g} more than 1"
        )
    for index, part in enumerate(parts):
        if part.most < part.share:
            raise ConfigurationError(
                FILE_KIND, f"{where}.parts[{index}].most: less than the share of the part"
            )
        _check_parts(part.parts, f"{where}.parts[{index}]")
