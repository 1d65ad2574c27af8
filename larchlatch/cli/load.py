"""The command of the load tool, which plays a scenario on sockets."""

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
    is_overspent,
    read_scenario,
    result_line,
)

if TYPE_CHECKING:
    from pathlib import Path


@click.command()
@SCENARIO
@CHANGES
@SEED
@DRAW
@click.option("--address", default="127.0.0.1", show_default=True, help="Loopback; all else is refused.")
def load(*, day: Path, changes: tuple[str, ...], seed: int | None, draw: int, address: str) -> None:
    """Play a day on sockets: nodes as processes; exit code 3 if a rule was broken, 4 if void."""
    # The list of commands in `--help` needs none of it.
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
    broken = any(result["broken"].values()) or is_overspent(result)
    click.echo("a rule was broken" if broken else "rules kept", err=True)
    if result["void"]:
        click.echo("void: this tool itself was too late for its figures to be trusted", err=True)
        sys.exit(EXIT_VOID)
    if broken:
        sys.exit(EXIT_RULE_BROKEN)


def describe_cluster_figures(result: dict[str, Any]) -> list[str]:
    """Return a line on the nodes' agreement and one on shared quotas, where the scenario has them."""
    lines = []
    if "agreed_s" in result:
        agreed_s = result["agreed_s"]
        took = "they did not agree" if agreed_s is None else f"{agreed_s:.1f} s at the longest"
        lines.append(f"nodes, after each fault and its end, until all agreed on who is there: {took}")
    if "over_budget" in result:
        used = f"{result['budget_used']:.2f} of what could be used was"
        lines.append(f"shared budget: {used}, {result['over_budget']} links over it")
    return lines
