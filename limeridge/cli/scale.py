"""`limeridge scale`: measurements of what the program costs as its fleet grows.

It owns arguments and output. What is measured, and how, is decided in `limeridge.scale`.
"""

from __future__ import annotations

import shlex
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from limeridge.cli.capacity import plan, report
from limeridge.scale import results, sweeps


@click.group()
def scale() -> None:
    """Scale: what each role of a fleet costs, by the fleet's size."""


def sizes_of(context: click.Context, option: click.Parameter, given: str) -> tuple[int, ...]:
    """Whole numbers with commas between; none for an empty text."""
    try:
        return tuple(int(each) for each in given.split(",") if given)
    except ValueError:
        raise click.BadParameter(f"expected whole numbers with commas between, got {given}") from None


@scale.command()
@click.argument("names", nargs=-1, metavar="[NAME]...")
@click.option(
    "--quick", is_flag=True, help="Small sizes, counts and bytes alone, the same verdict each time."
)
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    help=f"The results' folder; {sweeps.RESULTS_FOLDER} for full sweeps, none for quick ones.",
)
@click.option(
    "--sizes", default="", callback=sizes_of, metavar="N,N,...", help="In place of the usual sizes."
)
@click.option("--json", "as_json", is_flag=True, help="JSON instead of text.")
def sweep(
    names: tuple[str, ...], quick: bool, out: Path | None, sizes: tuple[int, ...], as_json: bool
) -> None:
    """Runs the named sweeps, or all, and writes a result each; 1 where a quick sweep's check failed."""
    folder = out if out is not None or quick else sweeps.RESULTS_FOLDER
    console = Console(stderr=True)
    outcomes: list[sweeps.Outcome] = []
    try:
        chosen = sweeps.chosen(names)
        with console.status("starting") as status:

            def progress(told: str) -> None:
                status.update(told) if console.is_terminal else console.print(told, highlight=False)

            requests = [(each, sweeps.request_for(each, sizes, quick, progress)) for each in chosen]
            for each, request in requests:
                outcome = sweeps.run(each, request, command_line(each.name, quick, sizes))
                outcomes.append(outcome)
                if folder is not None:
                    results.write(folder / f"{each.name}.json", outcome.result)
    except sweeps.Refused as refused:
        raise click.UsageError(str(refused)) from None
    if as_json:
        click.echo(msgspec.json.encode([shown(each) for each in outcomes]))
    else:
        for outcome in outcomes:
            print_outcome(outcome)
    raise click.exceptions.Exit(1 if any(each.failed for each in outcomes) else 0)


def command_line(name: str, quick: bool, sizes: tuple[int, ...]) -> str:
    """The command that runs this one sweep again."""
    words = ["limeridge", "scale", "sweep", name, *(["--quick"] if quick else [])]
    return shlex.join([*words, *(["--sizes", ",".join(map(str, sizes))] if sizes else [])])


def shown(outcome: sweeps.Outcome) -> dict[str, object]:
    """A result with the checks that failed beside it."""
    return {"result": outcome.result, "failed": outcome.failed}


def print_outcome(outcome: sweeps.Outcome) -> None:
    """A line a series, with the mean reading at each size; then notes and failed checks."""
    result = outcome.result
    table = Table("series", "unit", "against", "mean by size")
    for series in result.series:
        means = (
            f"{point.size:g}: {sum(point.readings) / len(point.readings):.4g}" for point in series.points
        )
        table.add_row(series.key, series.unit.value, series.against.value, ", ".join(means))
    console = Console(width=200)
    console.print(table)
    for note in result.notes:
        click.echo(f"note: {note}")
    for failed in outcome.failed:
        click.echo(f"failed: {failed}")
    verdict = "failed" if outcome.failed else "done"
    click.echo(f"{result.name}: {verdict} in {result.seconds:g} s, {result.cores} cores, {result.revision}")


scale.add_command(plan)
scale.add_command(report)
