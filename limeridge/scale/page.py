"""`python -m limeridge.scale.page`: writes the tables of docs/results/scale/README.md from the results.

A line `<!-- sweep FILE -->` in the page begins the part that is written from FILE.json beside it, and
`<!-- end -->` ends that. The rest of the page is left as it stands. With `--refit` the laws in the results,
those of trials too, are first chosen anew from their points.
"""

from __future__ import annotations

import argparse
import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from limeridge.scale.fit import CONSTANT, LINE, NO_LAW, fit
from limeridge.scale.results import Fit, Point, Series, Size, Sweep, Unit, read, write

FOLDER = Path("docs/results/scale")
PART = re.compile(r"(<!-- sweep (?P<name>[\w/-]+) -->\n).*?(<!-- end -->)", re.DOTALL)
DIGITS = 3  # significant ones of a figure


@dataclass(frozen=True, slots=True)
class Scale:
    """What readings are told in."""

    name: str
    factor: float  # of a reading in its series' unit


SCALES = {
    Unit.CORE_SHARE: (Scale("% of a core", 100.0),),
    Unit.SECONDS: (Scale("s", 1.0), Scale("ms", 1e3), Scale("µs", 1e6)),
    Unit.BYTES: (Scale("MB", 1e-6), Scale("KB", 1e-3), Scale("bytes", 1.0)),
    Unit.BYTES_PER_SECOND: (Scale("KB/s", 1e-3), Scale("bytes/s", 1.0)),
    Unit.PACKETS_PER_SECOND: (Scale("packets/s", 1.0),),
    Unit.COUNT: (Scale("", 1.0),),
}


def scale_for(series: Series) -> Scale:
    """The first one in which the largest reading is 1 or more."""
    largest = max(abs(reading) for point in series.points for reading in point.readings)
    scales = SCALES[series.unit]
    return next((scale for scale in scales if largest * scale.factor >= 1), scales[-1])


def figure(value: float) -> str:
    """Of few digits, without an exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 10 ** (DIGITS - 1):
        return f"{value:,.0f}"
    return f"{float(f'{value:.{DIGITS}g}'):g}"


def cell(point: Point | None, scale: Scale) -> str:
    """The mean of the readings, with the least and the most of them where they differ."""
    if point is None or not point.readings:
        return "-"
    readings = [reading * scale.factor for reading in point.readings]
    mean, least, most = figure(sum(readings) / len(readings)), figure(min(readings)), figure(max(readings))
    return mean if least == most else f"{mean} ({least} to {most})"


def law(found: Fit | None, scale: Scale) -> str:
    """The growth law with its slope's 95% interval."""
    if found is None:
        return "-"
    start = figure(found.intercept * scale.factor)
    residual = f"residual {found.worst_residual:.0%}"
    if found.law == CONSTANT:
        return f"constant {start}; {residual}"
    slope, low, high = (
        f"{part * scale.factor:.3g}" for part in (found.slope, found.slope_low, found.slope_high)
    )
    grown = LINE if found.law == NO_LAW else found.law
    said = f"{start} + {slope} x {grown} ({low} to {high}); {residual}"
    return f"no law fits; straight line {said}" if found.law == NO_LAW else said


def table(series: Sequence[Series], against: Size) -> Iterator[str]:
    """One table of all series against one size."""
    sizes = sorted({point.size for each in series for point in each.points})
    yield f"| against {against.value} | unit | " + " | ".join(f"{size:,g}" for size in sizes) + " | law |"
    yield "|" + " --- |" * (len(sizes) + 3)
    for each in series:
        scale = scale_for(each)
        points = {point.size: point for point in each.points}
        cells = [cell(points.get(size), scale) for size in sizes]
        head = f"{each.cost}, {each.situation.value}"
        yield "| " + " | ".join((head, scale.name, *cells, law(each.fit, scale))) + " |"


def part_of(sweep: Sweep) -> str:
    """All of one sweep: how it was run, its tables, its notes."""
    lines = [
        "",
        f"`{sweep.command}`, {sweep.seconds:.0f} s, revision {sweep.revision}, {sweep.cores} cores, "
        f"{sweep.memory_gib:.1f} GiB. A cell is the mean of the readings (least to most).",
    ]
    for against in Size:
        series = [each for each in sweep.series if each.against is against]
        if series:
            lines += ["", *table(series, against)]
    if sweep.notes:
        lines += ["", *(f"- {note}" for note in sweep.notes)]
    return "\n".join([*lines, "", ""])


def written(page: str, folder: Path) -> str:
    """The page with its parts written anew. Raises UnusableResult for a result that can't be read."""

    def anew(found: re.Match[str]) -> str:
        return found.group(1) + part_of(read(folder / f"{found['name']}.json")) + found.group(3)

    return PART.sub(anew, page)


def refit(folder: Path) -> None:
    """Chooses the law of each series anew and writes it into its result."""
    for path in sorted(folder.rglob("*.json")):
        sweep = read(path)
        series = tuple(msgspec.structs.replace(each, fit=fit(each.points)) for each in sweep.series)
        write(path, msgspec.structs.replace(sweep, series=series))


def main() -> None:
    """Writes the page in place."""
    parser = argparse.ArgumentParser("python -m limeridge.scale.page", description=__doc__)
    parser.add_argument("--folder", type=Path, default=FOLDER, help="of the page and its results")
    parser.add_argument("--refit", action="store_true", help="choose the laws anew first")
    asked = parser.parse_args()
    folder: Path = asked.folder
    if asked.refit:
        refit(folder)
    page = folder / "README.md"
    page.write_text(written(page.read_text(), folder))


if __name__ == "__main__":
    main()
