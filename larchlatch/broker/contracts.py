"""What teams promise and may spend, in an operator's TOML file: read and checked here, and nowhere else."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta, field

from larchlatch.broker.quotas import Dimension, Level, Limits
from larchlatch.config.toml_file import Strict, convert_table, read_toml
from larchlatch.errors import ConfigurationError

Amount = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]

KEYS = {Dimension.LINKS: "links_per_s", Dimension.MESSAGES: "messages_per_s", Dimension.HELD: "held"}
SLACK = 1e-9  # shares are decimal fractions: 0.1 three times is not quite 0.3


class Figures(Strict, frozen=True):
    links_per_s: Amount
    messages_per_s: Amount
    held: Amount


class Pool(Strict, frozen=True):
    """Hosts, and what all of them together can take."""

    name: Name
    able: Figures


class Part(Strict, frozen=True):
    """A bank, a branch, a desk: a share of what the level above has."""

    name: Name
    share: Share
    most: Share = 1.0  # with what it borrows, of the level above
    parts: list[Part] = field(default_factory=list)
    unnamed: Share = 0.0  # the share of each part that is not named; 0: they are refused


class Team(Strict, frozen=True):
    name: Name
    service: Name
    pool: Name
    setup_ms: Annotated[float, Meta(gt=0, le=600_000)]  # the setup time that it promises its clients
    promised: Figures
    most: Figures | None = None  # left out: it may borrow whatever the pool has left
    parts: list[Part] = field(default_factory=list)
    unnamed: Share = 0.0


class Contracts(Strict, frozen=True, kw_only=True):
    window_s: Annotated[float, Meta(ge=0.1, le=3600)] = 1.0
    pools: Annotated[list[Pool], Meta(min_length=1)]
    teams: Annotated[list[Team], Meta(min_length=1)]


def contracts_of(path: Path) -> Contracts:
    return checked(read_toml(path, "contracts"))


def checked(raw: Any) -> Contracts:
    contracts = convert_table(raw, Contracts, "contracts")
    once([pool.name for pool in contracts.pools], "pools")
    once([team.name for team in contracts.teams], "teams")
    once([team.service for team in contracts.teams], "teams: service")
    pools = {pool.name: pool for pool in contracts.pools}
    for place, team in enumerate(contracts.teams):
        where = f"teams[{place}]"
        if team.pool not in pools:
            raise ConfigurationError("contracts", f"{where}.pool: there is no pool {team.pool!r}")
        for key in KEYS.values():
            if team.most is not None and getattr(team.most, key) < getattr(team.promised, key):
                raise ConfigurationError("contracts", f"{where}.most.{key}: less than is promised")
        parts_fit(team.parts, where)
    for pool in contracts.pools:
        promises_fit(pool, [team for team in contracts.teams if team.pool == pool.name])
    return contracts


def once(names: list[str], where: str) -> None:
    for name in names:
        if names.count(name) > 1:
            raise ConfigurationError("contracts", f"{where}: {name!r} stands twice")


def promises_fit(pool: Pool, teams: list[Team]) -> None:
    """Contracts that can't both be met are refused while nobody relies on them."""
    for key in KEYS.values():
        able, sum_of = getattr(pool.able, key), 0.0
        for place, team in enumerate(teams):
            sum_of += getattr(team.promised, key)
            if sum_of > able * (1 + SLACK):
                with_it = f"{teams[0].name!r} and {team.name!r}" if place else f"{team.name!r}"
                raise ConfigurationError(
                    "contracts",
                    f"teams {with_it} can't both be met: {key}: {sum_of:g} is promised of pool "
                    f"{pool.name!r}, which can do {able:g}: {sum_of - able:g} too many",
                )


def parts_fit(parts: list[Part], where: str) -> None:
    once([part.name for part in parts], f"{where}.parts")
    whole = sum(part.share for part in parts)
    if whole > 1 + SLACK:
        raise ConfigurationError(
            "contracts", f"{where}.parts: their shares sum to {whole:g}, {whole - 1:g} too many"
        )
    for place, part in enumerate(parts):
        if part.most < part.share:
            raise ConfigurationError("contracts", f"{where}.parts[{place}].most: less than its share")
        parts_fit(part.parts, f"{where}.parts[{place}]")


# What they come to at one node.

Whole = tuple[int, int, int]


def own(figures: Figures, window_s: float, nodes: int) -> Whole:
    """A node's own part in a window; one at the least, or nothing would ever be admitted there."""
    counts = (figures.links_per_s * window_s, figures.messages_per_s * window_s, figures.held)
    links, messages, held = (0 if count <= 0 else max(1, int(count / nodes + SLACK)) for count in counts)
    return links, messages, held


def parted(whole: Whole, share: float) -> Whole:
    links, messages, held = (0 if share <= 0 else max(1, int(count * share + SLACK)) for count in whole)
    return links, messages, held


def limits_of_part(above: Whole, share: float, most: float) -> Limits:
    return Limits(parted(above, share), parted(above, max(share, most)))


def pool_level(pool: Pool, window_s: float, nodes: int) -> Level:
    able = own(pool.able, window_s, nodes)
    return Level(pool.name, Limits(able, able))


def limits_of_team(team: Team, pool: Pool, window_s: float, nodes: int) -> Limits:
    share = own(team.promised, window_s, nodes)
    return Limits(share, own(team.most or pool.able, window_s, nodes))
