"""Charts of slopes by matplotlib (extra `lab`), with all results in a CSV file."""

from __future__ import annotations

import csv
import importlib.util
import subprocess
from collections.abc import Sequence
from pathlib import Path

from lupintack.scale.slope import Role, SlopeError, SlopePoint, fit

FIELDS = (
    "role", "size", "budgets", "per", "cpu_us", "cpu_us_min", "cpu_us_max", "repeats", "seed", "bytes",
    "state_bytes", "messages", "reference_us",
)  # fmt: skip


def require_matplotlib() -> None:
    """Raise SlopeError if matplotlib is not installed."""
    if importlib.util.find_spec("matplotlib") is None:
        raise SlopeError("--plot: matplotlib is missing; install the extra: pip install 'lupintack[lab]'")


def draw(path: Path, role: Role, points: Sequence[SlopePoint]) -> None:
    """Write the chart of one role, and a CSV file of the same name."""
    from lupintack.lab.charts import create_figure

    sizes = [point.size for point in points]
    times = [point.cpu_us for point in points]
    line = fit(sizes, times)
    figure, axes = create_figure()
    axes.errorbar(
        sizes, times,
        yerr=[
            [point.cpu_us - point.cpu_us_min for point in points],
            [point.cpu_us_max - point.cpu_us for point in points],
        ],
        marker="o", capsize=3, linewidth=1.3, label="median, minimum to maximum",
    )  # fmt: skip
    axes.plot(
        sizes, [line.at(size) for size in sizes], linewidth=0.8, linestyle="--",
        label=f"{line.intercept:.4g} + {line.slope:.4g} per unit of size",
    )  # fmt: skip
    axes.set_xlabel(role.size_label)
    axes.set_ylabel(f"processor time, us ({role.per})")
    axes.set_title(caption(role, points), fontsize=9)
    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path)
    write_csv(path.with_suffix(".csv"), points)


def caption(role: Role, points: Sequence[SlopePoint]) -> str:
    """Return the title of a chart, with repeats, seed and commit."""
    first = points[0]
    return f"{role.name}: {first.repeats} repeats per size, seed {first.seed}, commit {commit()}"


def commit() -> str:
    """Return the commit of the source tree; `unknown` outside a repository."""
    result = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        cwd=Path(__file__).parent, capture_output=True, text=True, check=False,
    )  # fmt: skip
    return result.stdout.strip() or "unknown"


def write_csv(path: Path, points: Sequence[SlopePoint]) -> None:
    """Write all results, with a column for each detail."""
    names = list(dict.fromkeys(name for point in points for name in point.details))
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow([*FIELDS, *names])
        for point in points:
            figures = [getattr(point, name) for name in FIELDS]
            writer.writerow([*figures, *(point.details.get(name, "") for name in names)])
