"""Charts of committed results, one SVG file a sweep, with the same bytes for the same result."""

from __future__ import annotations

import math
from collections.abc import Sequence
from pathlib import Path
from statistics import fmean

import matplotlib
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from limeridge.scale.evidence import law_of
from limeridge.scale.fit import extrapolate
from limeridge.scale.results import Role, Series, Situation, Size, Sweep, Unit
from limeridge.scale.target import USERS_TARGET

matplotlib.use("svg")

COLUMNS = 3
PANEL = (4.6, 3.2)  # inches
MARGIN, GAP = 0.07, 0.35  # parts of the figure, and of a panel
CURVES_MOST = 8  # of one panel; what is more is left to the tables
LAW_POINTS = 12
ORDINARY = (
    Situation.REST,
    Situation.CHURN,
    Situation.LOAD,
    Situation.START,
    Situation.RELOAD,
    Situation.CHANGE,
)
TARGETS = {
    Size.MEMBERS: USERS_TARGET.instances.value,
    Size.TENANTS: USERS_TARGET.tenants.value,
    Size.REQUESTS_PER_SECOND: USERS_TARGET.rate_with_region_lost.value,
}


def write_chart(path: Path, sweep: Sweep, used: frozenset[str]) -> None:
    """One panel a cost: means with the spread of their readings, and the fitted law up to the target.

    `used` are the names of the costs that the model reads; the others are left out.
    """
    panels = panels_of(sweep, used)
    with matplotlib.rc_context(
        {
            "svg.hashsalt": "limeridge",
            "svg.fonttype": "none",
            "font.size": 8,
            "axes.grid": True,
            "grid.alpha": 0.3,
            "legend.fontsize": 6,
        }
    ):
        rows = max(1, math.ceil(len(panels) / COLUMNS))
        figure = Figure(figsize=(PANEL[0] * COLUMNS, PANEL[1] * rows))
        figure.subplots_adjust(MARGIN, MARGIN / rows, 1 - MARGIN, 1 - 3 * MARGIN / rows, GAP, GAP)
        grid = list(figure.subplots(rows, COLUMNS, squeeze=False).flat)
        for axes, series in zip(grid, panels, strict=False):
            draw_panel(axes, series)
        for axes in grid[len(panels) :]:
            axes.set_axis_off()
        title = f"{sweep.name}, {sweep.revision.partition('+')[0][:10]}, {sweep.cores} cores"
        figure.suptitle(title, x=MARGIN, y=1 - MARGIN / rows / 2, horizontalalignment="left")
        figure.savefig(path, format="svg", metadata={"Date": None, "Creator": None})


def panels_of(sweep: Sweep, used: frozenset[str]) -> list[list[Series]]:
    """The curves of each cost and size, ordinary situations alone."""
    panels: dict[tuple[str, Size, Unit, bool], list[Series]] = {}
    for series in sweep.series:
        if series.cost in used and series.situation in ORDINARY and len(series.points) > 1:
            shared = series.role is Role.SERVICE_DISCOVERY  # the whole fleet's: another scale
            key = (series.cost, series.against, series.unit, shared)
            panels.setdefault(key, []).append(series)
    return [curves[:CURVES_MOST] for curves in panels.values()]


def draw_panel(axes: Axes, curves: Sequence[Series]) -> None:
    """All curves of one cost."""
    first = curves[0]
    for place, series in enumerate(curves):
        color = f"C{place}"
        sizes = [point.size for point in series.points]
        means = [fmean(point.readings) for point in series.points]
        spread = [
            # The mean of equal readings may be rounded to just beside them.
            [max(0.0, mean - min(point.readings)) for mean, point in zip(means, series.points, strict=True)],
            [max(0.0, max(point.readings) - mean) for mean, point in zip(means, series.points, strict=True)],
        ]
        label = f"{series.role.value}, {series.situation.value}"
        axes.errorbar(sizes, means, yerr=spread, fmt="o", markersize=3, color=color, label=label)
        draw_law(axes, series, color)
    axes.set_xlim(left=0)
    axes.set_ylim(bottom=0)
    axes.set_title(first.cost)
    axes.set_xlabel(first.against.value)
    axes.set_ylabel(first.unit.value)
    axes.legend()


def draw_law(axes: Axes, series: Series, color: str) -> None:
    """The fitted law, dotted beyond the largest measured size."""
    law = law_of(series)
    if law is None:
        return
    smallest = min(point.size for point in series.points)
    furthest = max(law.largest_size, TARGETS.get(series.against, 0.0))
    for begin, end, style in ((smallest, law.largest_size, "-"), (law.largest_size, furthest, ":")):
        sizes = [float(size) for size in np.linspace(begin, end, LAW_POINTS)]
        costs = [extrapolate(law, size).value for size in sizes]
        axes.plot(sizes, costs, style, color=color, linewidth=0.8)
