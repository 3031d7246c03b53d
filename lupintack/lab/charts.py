"""Charts of the lab, drawn by matplotlib (extra `lab`), each with its data in a CSV file of the same name."""

from __future__ import annotations

import csv
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from lupintack.lab.outcome import Result


def create_figure() -> Any:
    """Return a figure and its axes, for a backend without a display."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot.subplots(figsize=(7.5, 4.2), dpi=110)


def plot_detection_times(path: Path, results: Sequence[Result]) -> None:
    """Plot the distribution of the time from a crash to its detection, over all observers."""
    seconds = sorted(us / 1e6 for result in results for us in result.detect_us)
    figure, axes = create_figure()
    axes.plot(seconds, [(index + 1) / len(seconds) for index in range(len(seconds))], linewidth=1.5)
    axes.set_xlabel("time from crash to detection, s")
    axes.set_ylabel("share of observers")
    axes.set_title(
        f"{len(results)} runs of {results[0].routers} routers, seeds {results[0].seed} to {results[-1].seed}"
    )
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path)
    with path.with_suffix(".csv").open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["seed", "crash_to_told_s"])
        writer.writerows([result.seed, us / 1e6] for result in results for us in result.detect_us)


def plot_lines(
    path: Path, series: dict[str, list[tuple[float, float, float, float]]], x: str, y: str, title: str
) -> None:
    """Plot lines with error bars; each series has points (x, y, low, high)."""
    figure, axes = create_figure()
    for name, points in series.items():
        axes.errorbar(
            [p[0] for p in points],
            [p[1] for p in points],
            yerr=[[p[1] - p[2] for p in points], [p[3] - p[1] for p in points]],
            marker="o",
            capsize=3,
            linewidth=1.3,
            label=name,
        )
    axes.set_xlabel(x)
    axes.set_ylabel(y)
    axes.set_title(title)
    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path)
    with path.with_suffix(".csv").open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["series", x, y, "low", "high"])
        writer.writerows([name, *point] for name, points in series.items() for point in points)
