"""Runs a scenario many times, with varied keys, policies and seeds, and summarizes the results."""

from __future__ import annotations

import statistics
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from larchlatch.emulator.simulation import Simulation
from larchlatch.errors import ConfigurationError
from larchlatch.scenario.random_faults import with_random_faults
from larchlatch.scenario.scenario_file import read_scenario_file

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

# Quantiles of Student's t distribution for a two-sided interval of 95%, by degrees of freedom from 1 on. For
# more degrees of freedom, the quantile of the normal distribution is used.
T95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13, 2.12)
NORMAL95 = 1.96


class PlannedRun(NamedTuple):
    """One run of a sweep.

    Attributes:
        path: The scenario file.
        changes: Values that replace those of the file, by key.
        seed: The seed of the run.
        policy: The name of the nodes' policy.
        random_faults: How many faults to add at random.

    """

    path: Path
    changes: dict[str, Any]
    seed: int
    policy: str
    random_faults: int = 0


class Variation(NamedTuple):
    """A key of the scenario file, and the values that it takes in a sweep."""

    key: str
    values: list[Any]


class Interval(NamedTuple):
    """The median of some values, and the bounds of the 95% confidence interval of their mean."""

    median: float
    low: float
    high: float


def execute(run: PlannedRun) -> dict[str, Any]:
    """Execute a run and return its result."""
    scenario = read_scenario_file(run.path, {**run.changes, "seed": run.seed})
    result = Simulation(with_random_faults(scenario, run.random_faults), run.policy).run()
    return {"day": scenario.name, "policy": run.policy, "seed": run.seed, **run.changes, **result}


def execute_all(runs: list[PlannedRun], workers: int) -> Iterator[dict[str, Any]]:
    """Execute all runs, on several cores if `workers` is above 1, and yield their results in this order."""
    if workers <= 1:
        yield from map(execute, runs)
        return
    with ProcessPoolExecutor(workers) as pool:
        yield from pool.map(execute, runs)


def parse_value(text: str) -> Any:
    """Return the value that a text stands for: an integer, a float, a Boolean, or else the text itself."""
    for number_type in (int, float):
        try:
            return number_type(text)
        except ValueError:
            continue
    return {"true": True, "false": False}.get(text, text)


def parse_variation(text: str) -> Variation:
    """Parse a variation of the form `KEY=A,B,C`.

    Raises:
        ConfigurationError: The text has another form.

    """
    key, equals, values = text.partition("=")
    if not equals or not key or not all(values.split(",")):
        raise ConfigurationError("vary", f"not of the form KEY=A,B,C ({text})")
    return Variation(key, [parse_value(value) for value in values.split(",")])


def plan_runs(
    path: Path,
    variations: list[Variation],
    *,
    seeds: int,
    policies: list[str],
    random_faults: int = 0,
) -> list[PlannedRun]:
    """Return a run for each combination of values, policy and seed; all combinations are validated here.

    Raises:
        ConfigurationError: A combination is not a valid scenario.

    """
    keys = [variation.key for variation in variations]
    combinations = product(*(variation.values for variation in variations))
    changes = [dict(zip(keys, values, strict=True)) for values in combinations]
    first_seed = read_scenario_file(path).seed
    for change in changes:
        read_scenario_file(path, change)
    return [
        PlannedRun(path, change, first_seed + seed, policy, random_faults)
        for change in changes
        for policy in policies
        for seed in range(seeds)
    ]


def interval(values: list[float]) -> Interval:
    """Return the median and the 95% confidence interval of the mean of approximately normal values."""
    median, mean = statistics.median(values), statistics.fmean(values)
    if len(values) < 2:
        return Interval(median, median, median)
    degrees_of_freedom = len(values) - 1
    t = T95[degrees_of_freedom - 1] if degrees_of_freedom <= len(T95) else NORMAL95
    margin = t * statistics.stdev(values) / len(values) ** 0.5
    return Interval(median, mean - margin, mean + margin)


def summarize(results: list[dict[str, Any]], keys: list[str], figure: str) -> dict[tuple[Any, ...], Interval]:
    """Return the interval of one figure for each combination of the values of some keys.

    Raises:
        ConfigurationError: A result lacks the figure, or the figure is not a number.

    """
    groups: dict[tuple[Any, ...], list[float]] = {}
    for result in results:
        if figure not in result:
            known = ", ".join(sorted(result))
            raise ConfigurationError("results", f"no figure named {figure}; there are {known}")
        if not isinstance(result[figure], int | float):
            raise ConfigurationError("results", f"{figure} is not a number")
        group = tuple(result.get(key) for key in keys)
        groups.setdefault(group, []).append(float(result[figure]))
    return {group: interval(values) for group, values in groups.items()}


def read_results(path: Path) -> list[dict[str, Any]]:
    """Return the results in a file that holds the output of a sweep.

    Raises:
        ConfigurationError: The file can't be read, is empty, or has a line that is not a JSON object.

    """
    results: list[dict[str, Any]] = []
    try:
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            result = msgspec.json.decode(line)
            if not isinstance(result, dict):
                raise ConfigurationError("results", f"line {number}: not an object")
            results.append(result)
    except OSError as error:
        raise ConfigurationError("results", f"can't be read ({error.strerror}: {path})") from None
    except msgspec.DecodeError as error:
        raise ConfigurationError("results", f"line {len(results) + 1}: not JSON ({error})") from None
    if not results:
        raise ConfigurationError("results", f"empty ({path})")
    return results
