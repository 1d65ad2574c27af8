"""The commands of the emulator: `emulate`, `sweep`, `plot` and `search`."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from larchlatch.cli.scenario_options import (
    CHANGES,
    DRAW,
    EXIT_RULE_BROKEN,
    SCENARIO,
    SEED,
    read_scenario,
    result_line,
    violates_quota,
)
from larchlatch.emulator import sweep as sweeps
from larchlatch.emulator.baselines import POLICIES
from larchlatch.emulator.simulation import Simulation

if TYPE_CHECKING:
    from larchlatch.scenario.scenario import Scenario

MAX_SEEDS = 10_000
MAX_JOBS = 1024
DEFAULT_SEARCH_STATES = 3_000_000

POLICY = click.Choice(list(POLICIES))


@click.command()
@SCENARIO
@click.option("--policy", type=POLICY, default="larchlatch", show_default=True)
@CHANGES
@SEED
@DRAW
@click.option("--trace", type=click.Path(path_type=Path), help="Write each event to this file, one per line.")
def emulate(
    *, day: Path, policy: str, changes: tuple[str, ...], seed: int | None, draw: int, trace: Path | None
) -> None:
    """Play a scenario in the emulator.

    Prints the result to standard output as one line of JSON. Prints the first violations of rules, and how
    many events were played per second, to standard error. The policy `larchlatch` is the balancer itself;
    the other policies are baselines for comparison. The default seed is that of the scenario file.

    Exit code 3 means that a rule was broken, that a shared quota was exceeded, or that a node reported a
    wrong range for the use of a shared quota.

    \u0008
    Example:
      python -m larchlatch emulate scenarios/hosts.toml --seed 7 --set links.rate=40
    """
    scenario = read_scenario(day, changes, seed, draw)
    started_at = time.perf_counter()
    simulation, result = play_scenario(scenario, policy, trace)
    elapsed_s = time.perf_counter() - started_at
    click.echo(result_line({"day": scenario.name, "policy": policy, "seed": scenario.seed, **result}))
    for violation in simulation.context.rules.descriptions:
        click.echo(violation, err=True)
    click.echo(f"{result['events'] / elapsed_s:.0f} events per second", err=True)
    if not simulation.context.rules.all_hold or violates_quota(result):
        sys.exit(EXIT_RULE_BROKEN)


def play_scenario(scenario: Scenario, policy: str, trace: Path | None) -> tuple[Simulation, dict[str, Any]]:
    """Play a scenario to its end, writing its trace if a file is named, and return simulation and result."""
    if trace is None:
        simulation = Simulation(scenario, policy)
        return simulation, simulation.run()
    with trace.open("wb") as out:

        def write(line: bytes) -> None:
            out.write(line)

        simulation = Simulation(scenario, policy, write)
        return simulation, simulation.run()


@click.command()
@SCENARIO
@click.option(
    "--vary",
    multiple=True,
    metavar="KEY=A,B,C",
    help="A key of the scenario file and its values; all combinations are played.",
)
@click.option("--seeds", type=click.IntRange(1, MAX_SEEDS), default=5, show_default=True)
@click.option("--policy", "policies", multiple=True, type=POLICY, default=("larchlatch",))
@click.option("--jobs", type=click.IntRange(1, MAX_JOBS), default=lambda: os.cpu_count() or 1)
@DRAW
@click.option(
    "--figure",
    default="served",
    show_default=True,
    help="The key of the figure in the rows that is summarized at the end.",
)
def sweep(
    *,
    day: Path,
    vary: tuple[str, ...],
    seeds: int,
    policies: tuple[str, ...],
    jobs: int,
    draw: int,
    figure: str,
) -> None:
    """Play a scenario many times, with varied values and seeds.

    Every combination of policies and of the values of --vary is played with as many consecutive seeds as
    --seeds says, in as many processes as --jobs says (by default one per core). Prints one row of JSON per
    run to standard output. For each combination, prints the median of --figure and the 95% interval of its
    mean to standard error. --policy and --vary may be repeated.

    Exit code 3 means that a rule was broken in at least one run.

    \u0008
    Example:
      python -m larchlatch sweep scenarios/half.toml --vary faults.0.hosts=1,2,3,4 --policy random
    """
    variations = [sweeps.parse_variation(text) for text in vary]
    results = []
    runs = sweeps.plan_runs(day, variations, seeds=seeds, policies=list(policies), random_faults=draw)
    for result in sweeps.execute_all(runs, jobs):
        click.echo(result_line(result))
        results.append(result)
    keys = ["policy", *(key for key, _ in variations)]
    for values, interval in sweeps.summarize(results, keys, figure).items():
        group = " ".join(f"{key}={value}" for key, value in zip(keys, values, strict=True))
        summary = f"{interval.median:.5g} ({interval.low:.5g} to {interval.high:.5g})"
        click.echo(f"{group}: {figure} {summary}", err=True)
    if any(any(result["broken"].values()) for result in results):
        click.echo("a rule was broken in at least one run: see `broken` in the rows", err=True)
        sys.exit(EXIT_RULE_BROKEN)


@click.command()
@click.argument("results", type=click.Path(path_type=Path))
@click.option("--over", required=True, help="The key on the horizontal axis, which the sweep varied.")
@click.option(
    "--by",
    default="policy",
    show_default=True,
    help="The key that has one line in the plot for each of its values.",
)
@click.option("--figure", default="served", show_default=True)
@click.option("--log", is_flag=True, help="Use a logarithmic horizontal axis.")
@click.option("--out", type=click.Path(path_type=Path), required=True, help="The PNG file to write.")
def plot(*, results: Path, over: str, by: str, figure: str, log: bool, out: Path) -> None:
    """Draw the rows that a sweep has printed.

    RESULTS is a file with the standard output of `sweep`. --figure is the key of the figure on the vertical
    axis.

    \u0008
    Example:
      python -m larchlatch plot rows.jsonl --over faults.0.hosts --out half.png
    """
    # Imported only here, because matplotlib takes a second to load.
    from larchlatch.emulator.plot import plot as draw_plot

    rows = sweeps.read_results(results)
    draw_plot(rows, out, over=over, by=by, figure=figure, logarithmic=log)


@click.command()
@click.option("--deep", is_flag=True, help="Also run the searches that take minutes.")
@click.option(
    "--most",
    type=click.IntRange(1),
    default=DEFAULT_SEARCH_STATES,
    show_default=True,
    help="The largest number of states to visit in one search.",
)
def search(*, deep: bool, most: int) -> None:
    """Search all orders of events for two holders of one role.

    Searches the election protocol as it is, and variants of it that each have a planted fault. Other
    violations are orders executed under two leases at once, or after an order of a later lease. Prints one
    line for each search, followed by the events that lead to the first violation found, if there is one.

    Exit code 3 means that the protocol as it is permits a violation, or that a planted fault was not found.
    """
    # Imported only here, because no other command needs the model checker.
    from larchlatch.model_checker.cases import DEEP_CASES, DEEP_PLANTED_FAULTS, PLANTED_FAULTS, SOUND_CASES
    from larchlatch.model_checker.search import search as search_case

    sound = (*SOUND_CASES, *(DEEP_CASES if deep else ()))
    planted = (*PLANTED_FAULTS, *(DEEP_PLANTED_FAULTS if deep else ()))
    has_unexpected_result = False
    for case in (*sound, *planted):
        started_at = time.perf_counter()
        result = search_case(case, most)
        elapsed_s = time.perf_counter() - started_at
        extent = "whole" if result.complete else "first part"
        click.echo(
            f"{case.name}: {result.states} states, depth {result.depth}, "
            f"the {extent} of the state space, {elapsed_s:.1f} s"
        )
        for number, step in enumerate(result.trace or (), 1):
            click.echo(f"  {number}. {step}")
        # A trace leads to a violation: sound rules must have none, and a planted fault must have one.
        has_unexpected_result |= (result.trace is None) is (case in planted)
    if has_unexpected_result:
        sys.exit(EXIT_RULE_BROKEN)
