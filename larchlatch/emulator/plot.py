"""Plots the results of a sweep: one figure over one key, with a line for each value of another key."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import matplotlib

from larchlatch.emulator.sweep import Interval, summarize
from larchlatch.errors import ConfigurationError

matplotlib.use("Agg")  # renders without a display

from matplotlib import pyplot

if TYPE_CHECKING:
    from pathlib import Path

    from matplotlib.axes import Axes

INTERVAL_OPACITY = 0.2


def plot(
    results: list[dict[str, Any]], path: Path, *, over: str, by: str, figure: str, logarithmic: bool
) -> None:
    """Plot one figure of a sweep's results into a PNG file.

    Args:
        results: The results, one for each run.
        path: The file to write.
        over: The key on the horizontal axis.
        by: The key with a line for each of its values.
        figure: The key of the results on the vertical axis.
        logarithmic: Whether the horizontal axis is logarithmic.

    Raises:
        ConfigurationError: A result lacks a key or the figure.

    """
    for key in (over, by):
        if not all(key in result for result in results):
            raise ConfigurationError("results", f"not every row has the key {key}")
    points = summarize(results, [by, over], figure)
    picture, axes = pyplot.subplots(figsize=(7, 4.5), layout="constrained")
    for name in dict.fromkeys(name for name, _ in points):
        line = sorted((x, interval) for (other, x), interval in points.items() if other == name)
        _draw_line(axes, line, label=str(name) if by == "policy" else f"{by} {name}")
    if logarithmic:
        axes.set_xscale("log")
        ticks = sorted({x for _, x in points})
        axes.set_xticks(ticks, [f"{x:g}" for x in ticks])
    axes.set_xlabel(over)
    axes.set_ylabel(figure)
    axes.set_title(f"{results[0].get('day', 'day')}: median and 95% confidence interval of mean", fontsize=10)
    axes.legend()
    axes.grid(alpha=0.3)
    picture.savefig(path, dpi=120)
    pyplot.close(picture)


def _draw_line(axes: Axes, line: list[tuple[Any, Interval]], *, label: str) -> None:
    xs = [x for x, _ in line]
    axes.plot(xs, [interval.median for _, interval in line], marker="o", label=label)
    lows, highs = [interval.low for _, interval in line], [interval.high for _, interval in line]
    axes.fill_between(xs, lows, highs, alpha=INTERVAL_OPACITY)
