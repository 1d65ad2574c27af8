"""Options, exit codes and output that the commands playing a scenario share."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from larchlatch.emulator.sweep import parse_variation
from larchlatch.scenario.random_faults import with_random_faults
from larchlatch.scenario.scenario_file import read_scenario_file

if TYPE_CHECKING:
    from larchlatch.scenario.scenario import Scenario

EXIT_RULE_BROKEN = 3
EXIT_VOID = 4  # the tool itself was late, so that its figures don't count

MAX_DRAWN_FAULTS = 1000

SCENARIO = click.argument("day", metavar="SCENARIO", type=click.Path(path_type=Path))
CHANGES = click.option(
    "--set",
    "changes",
    multiple=True,
    metavar="KEY=VALUE",
    help="Replace a value of the scenario file, as `links.rate=40`.",
)
SEED = click.option("--seed", type=int, help="Use this seed instead of the scenario's.")
DRAW = click.option(
    "--draw",
    type=click.IntRange(0, MAX_DRAWN_FAULTS),
    default=0,
    help="Add this many random faults, drawn from the seed.",
)


def read_scenario(path: Path, changes: tuple[str, ...], seed: int | None, draw: int) -> Scenario:
    """Return the scenario of a file.

    Args:
        path: The file.
        changes: `KEY=VALUE`, each another value of the file.
        seed: Another seed than the file's.
        draw: How many faults to draw in addition.

    Raises:
        InvalidInputError: The file or a change is wrong.

    """
    values = {key: alternatives[0] for key, alternatives in map(parse_variation, changes)}
    if seed is not None:
        values["seed"] = seed
    return with_random_faults(read_scenario_file(path, values), draw)


def result_line(result: dict[str, Any]) -> str:
    """Return a result as a line of JSON."""
    return json.dumps(result, separators=(",", ":"))


def is_overspent(result: dict[str, Any]) -> bool:
    """Return whether nodes together spent more than a shared quota, or reported a false range."""
    return bool(result.get("over_budget") or result.get("outside"))
