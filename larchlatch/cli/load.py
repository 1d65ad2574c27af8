"""The command `load`, which plays a scenario on sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from larchlatch.cli.load_report import report_load_test
from larchlatch.cli.scenario_options import CHANGES, DRAW, SCENARIO, SEED, read_scenario

if TYPE_CHECKING:
    from pathlib import Path


@click.command()
@SCENARIO
@CHANGES
@SEED
@DRAW
@click.option(
    "--address",
    default="127.0.0.1",
    show_default=True,
    help="The loopback address of IPv4 to play on; other addresses are rejected.",
)
def load(*, day: Path, changes: tuple[str, ...], seed: int | None, draw: int, address: str) -> None:
    """Play a scenario on loopback sockets, with nodes as processes.

    Prints the result to standard output as one line of JSON, and violations of rules to standard error.

    Exit code 3 means that a rule was broken, that a shared quota was exceeded, or that a node reported a
    wrong range for the use of a shared quota. Exit code 4 means that the run is void: the load test itself
    started clients too late, so its figures are not reliable.

    \u0008
    Example:
      python -m larchlatch load scenarios/eight.toml --seed 7
    """
    # Imported only when the command runs: listing the commands for `--help` must not import the load test.
    from larchlatch.loadtest.errors import LoadTestError
    from larchlatch.loadtest.limits import check_address, check_playable
    from larchlatch.loadtest.run import run_load_test

    scenario = check_playable(read_scenario(day, changes, seed, draw))
    try:
        result, violations = run_load_test(scenario, check_address(address))
    except LoadTestError as error:
        raise click.ClickException(str(error)) from error
    report_load_test(scenario, result, violations)
