"""Prints the result of a load test or of a soak, and ends the command with the exit code for it."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import click

from larchlatch.cli.scenario_options import EXIT_RULE_BROKEN, EXIT_VOID, result_line, violates_quota

if TYPE_CHECKING:
    from collections.abc import Sequence

    from larchlatch.scenario.scenario import Scenario


def report_load_test(scenario: Scenario, result: dict[str, Any], violations: Sequence[str]) -> None:
    """Print the row of figures to standard output and violations to standard error.

    Raises:
        SystemExit: A rule was broken, or the run is void.

    """
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
