"""The command `load`, which plays a scenario on sockets."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import click

from larchlatch.cli.scenario_options import (
    CHANGES,
    DRAW,
    EXIT_RULE_BROKEN,
    EXIT_VOID,
    SCENARIO,
    SEED,
    read_scenario,
    result_line,
    violates_quota,
)

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
    click.echo(result_line({"day": scenario.name, "policy": "sockets", "seed": scenario.seed, **result}))
    for line in (*violations, *describe_cluster_figures(result)):
        click.echo(line, err=True)
    broken = any(result["broken"].values()) or violates_quota(result)
    click.echo(
        "a rule was broken: see `broken`, `over_budget` and `outside` in the row"
        if broken
        else "no rule was broken",
        err=True,
    )
    if result["void"]:
        click.echo("void: the load test started clients too late, so its figures are not reliable", err=True)
        sys.exit(EXIT_VOID)
    if broken:
        sys.exit(EXIT_RULE_BROKEN)


def describe_cluster_figures(result: dict[str, Any]) -> list[str]:
    """Return a line on the nodes' agreement and one on the shared quota, as far as the result has them."""
    lines = []
    if "agreed_s" in result:
        agreed_s = result["agreed_s"]
        agreement = "no agreement at the end" if agreed_s is None else f"{agreed_s:.1f} s at most"
        lines.append(f"time until all nodes agreed on the members, after each fault and its end: {agreement}")
    if "over_budget" in result:
        used = f"{result['budget_used']:.2f} of the usable quota was used"
        lines.append(f"shared quota: {used}, largest excess in a window: {result['over_budget']} sessions")
    return lines
