"""`limeridge scale report` and `limeridge scale plan`: the page of capacity, and the model at other sizes.

It owns arguments and output. What is needed, and by what, is worked out in `limeridge.scale`.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import orjson
from rich.console import Console
from rich.table import Table

from limeridge.scale import report as reporting
from limeridge.scale.capacity import capacity
from limeridge.scale.evidence import Evidence, Figure
from limeridge.scale.model import Model, Row
from limeridge.scale.quantities import Quantity, ratio_text
from limeridge.scale.results import UnusableResult
from limeridge.scale.target import SCALABLE, USERS_TARGET, OutOfRange, at_sizes

RESULTS_FOLDER = Path("docs/results/scale")
PAGE = Path("docs/CAPACITY.md")
OPTIONS = {  # of `plan`, by the figure of the target that each sets
    "instances": "--instances",
    "callers": "--callers",
    "services": "--services",
    "regions": "--regions",
    "zones": "--zones",
    "request_rate": "--requests-a-second",
    "routes": "--routes",
    "tenants": "--tenants",
    "change_rate": "--changes-a-day",
    "replacement_rate": "--replacements-a-day",
    "control_machines": "--control-machines",
}
RESULTS = click.option(
    "--results",
    "folder",
    type=click.Path(path_type=Path),
    default=RESULTS_FOLDER,
    show_default=True,
    help="The folder of results.",
)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="JSON instead of text.")


def evidence_of(folder: Path) -> Evidence:
    """Raises click.UsageError with the file that can't be used."""
    try:
        return Evidence.read(folder)
    except UnusableResult as bad:
        raise click.UsageError(str(bad)) from None


@click.command()
@RESULTS
@click.option(
    "--page", type=click.Path(path_type=Path), default=PAGE, show_default=True, help="The page to write."
)
@click.option("--check", is_flag=True, help="Write nothing; end with 1 where page, results and model differ.")
def report(folder: Path, page: Path, check: bool) -> None:
    """Writes the tables of the page of capacity, and the charts, from the results."""
    evidence = evidence_of(folder)
    try:
        if check:
            check_page(page, evidence)
            return
        text = reporting.generated(page, evidence)
    except reporting.UnusablePage as bad:
        raise click.UsageError(str(bad)) from None
    page.write_text(text)
    from limeridge.scale.charts import write_chart  # draws alone need matplotlib

    references = capacity(USERS_TARGET, evidence).references
    for stem, sweep in evidence.sweeps.items():
        used = frozenset(each.cost for each in references if each.sweep == stem)
        write_chart(folder / f"{stem}.svg", sweep, used)
    click.echo(f"{page}: written from {len(evidence.sweeps)} results")


def check_page(page: Path, evidence: Evidence) -> None:
    """Ends with 1 and the first difference."""
    difference = reporting.first_difference(page, evidence)
    if difference is not None:
        click.echo(difference)
        raise click.exceptions.Exit(1)
    click.echo(f"{page}: agrees with {len(evidence.sweeps)} results")


def size_options(command: Callable[..., None]) -> Callable[..., None]:
    """An option for each size that may be asked for."""
    for name, option in reversed(OPTIONS.items()):
        known = SCALABLE[name]
        command = click.option(
            option,
            name,
            type=click.IntRange(known.least, known.most),
            help=f"{known.about} As in the target where not given.",
        )(command)
    return command


@click.command()
@size_options
@RESULTS
@AS_JSON
def plan(folder: Path, as_json: bool, **sizes: int | None) -> None:
    """What each role needs at other sizes, against its budget."""
    try:
        target = at_sizes({name: float(size) for name, size in sizes.items() if size is not None})
    except OutOfRange as bad:
        raise click.UsageError(f"{OPTIONS[bad.name]}: {bad.fault}") from None
    model = capacity(target, evidence_of(folder))
    if as_json:
        click.echo(orjson.dumps(told(model)))
    else:
        print_model(model)


# ---- output


def told(model: Model) -> dict[str, Any]:
    """For `--json`."""
    first = model.missing_first
    return {
        "target": {name: told_quantity(value) for name, value in vars(model.target).items()},
        "rows": [told_row(row) for row in model.rows],
        "over_budget": [row.cost for row in model.over_budget],
        "missing_first": None if first is None else {"role": first.part, "cost": first.cost},
        "assumptions": {each.name: each.text for each in model.assumptions},
    }


def told_row(row: Row) -> dict[str, Any]:
    """One row."""
    return {
        "role": row.part,
        "cost": row.cost,
        "needed": told_figure(row.needed),
        "budget": told_quantity(row.budget.value),
        "ratio": row.ratio,
        "mechanism": row.mechanism,
        "before": None if row.before is None else told_figure(row.before),
        "total": row.total,
        "assumptions": [each.name for each in row.assumptions],
    }


def told_figure(figure: Figure) -> dict[str, Any]:
    """A figure with its interval and what it rests on."""
    return {
        **told_quantity(figure.value),
        "low": figure.low.value,
        "high": figure.high.value,
        "formula": figure.formula,
        "basis": figure.basis,
        "sources": [str(source) for source in figure.sources],
    }


def told_quantity(quantity: Quantity) -> dict[str, Any]:
    """A number and its unit."""
    return {"value": quantity.value, "unit": str(quantity.unit)}


def print_model(model: Model) -> None:
    """A line a row, and what is missing first."""
    table = Table("role", "cost", "needed", "budget", "needed/budget", "how known", "carried by")
    for row in model.rows:
        table.add_row(
            row.part,
            row.cost,
            str(row.needed.value),
            str(row.budget.value),
            ratio_text(row.ratio),
            row.needed.basis,
            row.carried_by,
            style="bold" if row.over else None,
        )
    Console(width=200).print(table)
    first = model.missing_first
    if first is not None:
        click.echo(f"missing first: {first.cost} ({first.part}), {ratio_text(first.ratio)} times its budget")
