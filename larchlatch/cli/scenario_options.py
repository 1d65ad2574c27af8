"""Options, exit codes and output that all commands which play a scenario share."""

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
EXIT_VOID = 4  # the load test itself was late, so its figures are not reliable

MAX_DRAWN_FAULTS = 1000

SCENARIO = click.argument("day", metavar="SCENARIO", type=click.Path(path_type=Path))
CHANGES = click.option(
    "--set",
    "changes",
    multiple=True,
    metavar="KEY=VALUE",
    help="Replace a value of the scenario file, for example `links.rate=40`; may be repeated.",
)
SEED = click.option("--seed", type=int, help="The seed to use instead of that of the scenario file.")
DRAW = click.option(
    "--draw",
    type=click.IntRange(0, MAX_DRAWN_FAULTS),
    default=0,
    help="Add this many faults at random, determined by the seed.",
)


def read_scenario(path: Path, changes: tuple[str, ...], seed: int | None, draw: int) -> Scenario:
    """Return the scenario that a file describes, with changes.

    Args:
        path: The scenario file.
        changes: Texts of the form `KEY=VALUE`; each replaces a value of the file.
        seed: Replaces the seed of the file; None keeps it.
        draw: The number of faults to add at random.

    Raises:
        InvalidInputError: The file or a change is not valid.

    """
    values = {key: alternatives[0] for key, alternatives in map(parse_variation, changes)}
    if seed is not None:
        values["seed"] = seed
    return with_random_faults(read_scenario_file(path, values), draw)


def result_line(result: dict[str, Any]) -> str:
    """Return a result as one line of JSON."""
    return json.dumps(result, separators=(",", ":"))


def violates_quota(result: dict[str, Any]) -> bool:
    """Return whether nodes together exceeded a shared quota, or a node reported a wrong range for its use."""
    return bool(result.get("over_budget") or result.get("outside"))
