"""Many days at once on all cores: one row a run, and what they come to together."""

from __future__ import annotations

import statistics
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from larchlatch.emulator.world import World
from larchlatch.errors import ConfigurationError
from larchlatch.scenario.random_faults import with_random_faults
from larchlatch.scenario.scenario_file import read_scenario_file

# Student's t for a two-sided interval of 95%, by the runs less one; beyond the table it is near enough 1.96.
T95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13, 2.12)


class Run(NamedTuple):
    path: Path
    changes: dict[str, Any]
    seed: int
    policy: str
    draw: int = 0  # faults


def played(run: Run) -> dict[str, Any]:
    day = with_random_faults(read_scenario_file(run.path, {**run.changes, "seed": run.seed}), run.draw)
    row = World(day, run.policy).play()
    return {"day": day.name, "policy": run.policy, "seed": run.seed, **run.changes, **row}


def value_of(text: str) -> Any:
    """A value as it would stand in the day's file."""
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return {"true": True, "false": False}.get(text, text)


def varied(text: str) -> tuple[str, list[Any]]:
    """KEY=A,B,C."""
    key, equals, values = text.partition("=")
    if not equals or not key or not all(values.split(",")):
        raise ConfigurationError("vary", f"not KEY=A,B,C ({text})")
    return key, [value_of(value) for value in values.split(",")]


def runs_of(
    path: Path, vary: list[tuple[str, list[Any]]], seeds: int, policies: list[str], draw: int = 0
) -> list[Run]:
    """Every combination; all are checked before the first is played."""
    keys = [key for key, _ in vary]
    changes = [dict(zip(keys, values, strict=True)) for values in product(*(values for _, values in vary))]
    first = read_scenario_file(path).seed
    for change in changes:
        read_scenario_file(path, change)
    return [
        Run(path, change, first + seed, policy, draw)
        for change in changes
        for policy in policies
        for seed in range(seeds)
    ]


def rows_of(runs: list[Run], workers: int) -> Iterator[dict[str, Any]]:
    """Their rows in the order of the runs, whichever ends first."""
    if workers <= 1:
        yield from map(played, runs)
        return
    with ProcessPoolExecutor(workers) as pool:
        yield from pool.map(played, runs)


class Interval(NamedTuple):
    median: float
    low: float
    high: float


def interval(values: list[float]) -> Interval:
    """The median, and where the mean lies with 95%: the runs are few, and about normal."""
    middle, mean = statistics.median(values), statistics.fmean(values)
    if len(values) < 2:
        return Interval(middle, middle, middle)
    t = T95[len(values) - 2] if len(values) - 2 < len(T95) else 1.96
    half = t * statistics.stdev(values) / len(values) ** 0.5
    return Interval(middle, mean - half, mean + half)


def summed(rows: list[dict[str, Any]], keys: list[str], figure: str) -> dict[tuple[Any, ...], Interval]:
    """One figure by what was varied."""
    found: dict[tuple[Any, ...], list[float]] = {}
    for row in rows:
        if figure not in row:
            raise ConfigurationError(
                "results", f"no figure of that name ({figure}); there are {', '.join(sorted(row))}"
            )
        if not isinstance(row[figure], int | float):
            raise ConfigurationError("results", f"{figure} is no number")
        found.setdefault(tuple(row.get(key) for key in keys), []).append(float(row[figure]))
    return {key: interval(values) for key, values in found.items()}


def read_rows(path: Path) -> list[dict[str, Any]]:
    rows = []
    try:
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            row = msgspec.json.decode(line)
            if not isinstance(row, dict):
                raise ConfigurationError("results", f"line {number}: not an object")
            rows.append(row)
    except OSError as error:
        raise ConfigurationError("results", f"can't be read ({error.strerror}: {path})") from None
    except msgspec.DecodeError as error:
        raise ConfigurationError("results", f"line {len(rows) + 1}: no JSON ({error})") from None
    if not rows:
        raise ConfigurationError("results", f"empty ({path})")
    return rows
