"""A picture of a sweep: one figure over one key, a line for each policy or other key, with its interval."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

from larchlatch.emulator.sweep import summed
from larchlatch.errors import ConfigurationError

matplotlib.use("Agg")  # no screen

from matplotlib import pyplot


def plot(rows: list[dict[str, Any]], over: str, by: str, figure: str, log: bool, out: Path) -> None:
    """by: the key that each line is of; log: whether the other one goes by powers."""
    for key in (over, by):
        if not all(key in row for row in rows):
            raise ConfigurationError("results", f"not every row has {key}")
    points = summed(rows, [by, over], figure)
    picture, axes = pyplot.subplots(figsize=(7, 4.5), layout="constrained")
    for policy in dict.fromkeys(policy for policy, _ in points):
        line = sorted((x, interval) for (name, x), interval in points.items() if name == policy)
        xs = [x for x, _ in line]
        axes.plot(
            xs,
            [at.median for _, at in line],
            marker="o",
            label=str(policy) if by == "policy" else f"{by} {policy}",
        )
        axes.fill_between(xs, [at.low for _, at in line], [at.high for _, at in line], alpha=0.2)
    if log:
        axes.set_xscale("log")
        ticks = sorted({x for _, x in points})
        axes.set_xticks(ticks, [f"{x:g}" for x in ticks])
    axes.set_xlabel(over)
    axes.set_ylabel(figure)
    axes.set_title(f"{rows[0].get('day', 'day')}: median, and the mean's interval of 95%", fontsize=10)
    axes.legend()
    axes.grid(alpha=0.3)
    picture.savefig(out, dpi=120)
    pyplot.close(picture)
