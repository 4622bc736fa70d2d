"""`limeridge trial`: trials of real processes, or of virtual members, under faults; what they came to, and
charts.

It owns arguments and output. What is done and judged is decided in `limeridge.trial`.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from multiprocessing.pool import ThreadPool
from pathlib import Path
from queue import Queue
from typing import Any

import click
import orjson
from rich.console import Console
from rich.table import Table

from limeridge.settings.load import Unusable
from limeridge.trial import scenario, soak_table

LANES_APART = 8.0  # seconds
TRIES = 3  # of a trial that the machine was too busy for
AS_JSON = click.option("--json", "as_json", is_flag=True, help="JSON instead of text.")
BUSY = 3


@click.group()
def trial() -> None:
    """Trials: many instances as processes, faults between them, and what must hold."""


def drawn(name: str, seed: int, nodes: int) -> scenario.Trial:
    try:
        return scenario.draw(name, seed, nodes)
    except Unusable as bad:
        raise click.UsageError(str(bad)) from None
    except ValueError as bad:  # a set that fits the file's number of instances and not the one asked for
        raise click.UsageError(f"{name}: --nodes {nodes}: {bad}") from None


@trial.command("list")
@AS_JSON
def list_all(as_json: bool) -> None:
    """The named trials."""
    rows = [scenario.draw(name, 0) for name in scenario.names()]
    if as_json:
        click.echo(
            orjson.dumps(
                [
                    {
                        "name": each.name,
                        "about": each.about,
                        "instances": each.instances,
                        "seconds": (each.warm + each.over + each.rest) / 1e6,
                    }
                    for each in rows
                ]
            )
        )
        return
    for each in rows:
        click.echo(
            f"{each.name}: {each.about} ({each.instances} instances, "
            f"{(each.warm + each.over + each.rest) / 1e6:.0f} s)"
        )


@trial.command("run")
@click.argument("names", nargs=-1, required=True, metavar="NAME...")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="The first seed.")
@click.option(
    "--nodes", type=click.IntRange(0, 200), default=0, help="Instances, in place of the file's number."
)
@click.option("--repeat", type=click.IntRange(1, 1_000), default=1, show_default=True, help="As many seeds.")
@click.option(
    "--jobs",
    "-j",
    type=click.IntRange(1, scenario.LANES),
    default=1,
    show_default=True,
    help="Trials at once.",
)
@click.option("--world", type=click.Choice(["real", "virtual"]), default="real", show_default=True)
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    help="A folder for logs, records and charts; else nothing is kept.",
)
@AS_JSON
def run(
    names: tuple[str, ...],
    seed: int,
    nodes: int,
    repeat: int,
    jobs: int,
    world: str,
    out: Path | None,
    as_json: bool,
) -> None:
    """Runs trials by their names, or .txtpb files by their paths. One that the machine was too busy for is
    run again, three times in all."""
    work = [drawn(name, number, nodes) for name in names for number in range(seed, seed + repeat)]
    lanes: Queue[int] = Queue()
    begun: set[int] = set()
    for lane in range(jobs):
        lanes.put(lane)

    def one(plan: scenario.Trial) -> dict[str, Any]:
        if world == "virtual":
            return virtual(plan)
        lane = lanes.get()
        if lane not in begun:  # the first of each lane apart, so that not all start at one time
            begun.add(lane)
            time.sleep(LANES_APART * lane)
        try:
            for _ in range(TRIES):
                verdict = real(plan, nodes, out, lane)
                if not verdict["busy"]:
                    break
        finally:
            lanes.put(lane)
        return verdict

    rows: list[dict[str, Any]] = []
    with ThreadPool(jobs) as pool:
        for verdict in pool.imap(one, work) if jobs > 1 else map(one, work):
            rows.append(verdict)
            if not as_json:
                told(verdict)
            if out is not None:
                out.mkdir(parents=True, exist_ok=True)
                (out / "verdicts.json").write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2))
    if as_json:
        click.echo(orjson.dumps(rows))
    elif len(rows) > 1:
        table(rows)
    broke = any(row["broke"] and not row["busy"] for row in rows)
    raise click.exceptions.Exit(1 if broke else BUSY if any(row["busy"] for row in rows) else 0)


def virtual(plan: scenario.Trial) -> dict[str, Any]:
    from limeridge.trial import virtual as world

    for kind in world.passed_over(plan):
        click.echo(f"passed over, for this world has none of it: {kind}", err=True)
    return world.run(plan).as_dict()


def real(plan: scenario.Trial, nodes: int, out: Path | None, lane: int) -> dict[str, Any]:
    """In a process of its own: a reactor runs once."""
    if any(act.kind is scenario.Kind.STEP for act in plan.acts):
        raise click.UsageError(f"{plan.name}: real processes share this machine's clock: use --world virtual")
    with tempfile.TemporaryDirectory() as scratch:
        folder = out / f"{plan.name}-{plan.seed}" if out else Path(scratch)
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "limeridge.trial.rig",
                plan.file,
                str(plan.seed),
                str(nodes),
                str(folder),
                str(lane),
            ],
            stdout=subprocess.PIPE,
            check=False,
        )
        if done.returncode:
            raise click.ClickException(f"the rig ended with {done.returncode}")
        verdict: dict[str, Any] = orjson.loads(done.stdout.splitlines()[-1])
        if out is not None:
            chart(plan, orjson.loads((folder / "record.json").read_bytes()), folder / "chart.svg")
    return verdict


def told(verdict: dict[str, Any]) -> None:
    state = "machine too busy" if verdict["busy"] else "broke" if verdict["broke"] else "held"
    click.echo(f"{verdict['trial']} seed {verdict['seed']}: {state}")
    for line in verdict["broke"]:
        click.echo(f"  {line}")
    click.echo(
        f"  deaths known to all after {span(verdict['detect_ms'])}; false deaths {verdict['false_deaths']}; "
        f"alike {after(verdict['agreed_ms'])}, limit in use {after(verdict['used_ms'])}; "
        f"calls in the ledger's hands {verdict['most_in_hand']} of {verdict['limit']} at most; "
        f"dealt out {verdict['dealt_before']:.0%}, {verdict['dealt_during']:.0%}, "
        f"{verdict['dealt_after']:.0%}; txns unanswered {verdict['unanswered']}"
    )


def span(times: list[int]) -> str:
    ordered = sorted(times)
    return f"{ordered[len(ordered) // 2]} ms (at most {ordered[-1]})" if ordered else "(none to know)"


def after(time: int | None) -> str:
    return "never" if time is None else f"after {time} ms"


def table(rows: list[dict[str, Any]]) -> None:
    shown = Table(
        "trial",
        "runs",
        "held",
        "busy",
        "deaths known ms (median, worst)",
        "false",
        "alike ms (worst)",
        "in use ms (worst)",
        "in hand",
        "dealt before, during, after",
        "unanswered",
    )
    for name, runs in grouped(rows):
        deaths = sorted(time for row in runs for time in row["detect_ms"])
        alike = [row["agreed_ms"] for row in runs]
        use = [row["used_ms"] for row in runs]
        shown.add_row(
            name,
            str(len(runs)),
            str(sum(not row["broke"] for row in runs)),
            str(sum(row["busy"] for row in runs)),
            f"{deaths[len(deaths) // 2]}, {deaths[-1]}" if deaths else "-",
            str(sum(r["false_deaths"] for r in runs)),
            "never" if None in alike else str(max(alike)),
            "never" if None in use else str(max(use)),
            f"{max(row['most_in_hand'] for row in runs)} of {runs[0]['limit']}",
            ", ".join(
                f"{sum(row[part] for row in runs) / len(runs):.2f}"
                for part in ("dealt_before", "dealt_during", "dealt_after")
            ),
            str(sum(row["unanswered"] for row in runs)),
        )
    Console(width=200).print(shown)


def grouped(rows: list[dict[str, Any]]) -> Iterator[tuple[str, list[dict[str, Any]]]]:
    for name in dict.fromkeys(row["trial"] for row in rows):
        yield name, [row for row in rows if row["trial"] == name]


def chart(plan: scenario.Trial, record: dict[str, Any], path: Path) -> None:
    """Calls dealt out and in the ledger's hands against the limit, faults as bands, deaths as marks."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(10, 4))
    axes.axhline(plan.terms.limit, color="black", linewidth=1, label="limit")
    axes.plot(
        [each["at"] / 1e6 for each in record["looks"]],
        [each["calls"] for each in record["looks"]],
        label="dealt out",
    )
    axes.step(
        [at / 1e6 for at, _ in record["in_hand"]],
        [count for _, count in record["in_hand"]],
        where="post",
        linewidth=0.6,
        label="in the ledger's hands",
    )
    for act in plan.acts:
        axes.axvspan(act.at / 1e6, (act.at + act.lasts) / 1e6, alpha=0.12)
        axes.annotate(act.kind.value, (act.at / 1e6, plan.terms.limit), fontsize=7, rotation=30)
    deaths = [line["at"] / 1e6 for line in record["lines"] if line["code"] == "gone"]
    axes.plot(deaths, [0] * len(deaths), "|", color="red", label="held gone by one")
    axes.set_xlabel("seconds from the end of the warm-up")
    axes.set_ylabel("calls")
    axes.set_title(f"{plan.name}, seed {plan.seed}, {plan.instances} instances")
    axes.legend(loc="lower right", fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


@trial.command("soak")
@click.option("--seeds", type=click.IntRange(1, 10_000), default=10, show_default=True, help="As many soaks.")
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="The first seed.")
@click.option("--jobs", "-j", type=click.IntRange(1, 64), default=1, show_default=True, help="Soaks at once.")
@click.option(
    "--seconds",
    type=click.FloatRange(1, 3_600),
    default=5.0,
    show_default=True,
    help="Of traffic before the first notice.",
)
@click.option("--no-quiet", is_flag=True, help="No soak with a quiet time of 30 s.")
@click.option(
    "--code", type=click.Path(file_okay=False, exists=True), help="A checkout whose instance is taken."
)
@AS_JSON
def soak(
    seeds: int, first: int, jobs: int, seconds: float, no_quiet: bool, code: str | None, as_json: bool
) -> None:
    """Real instances with their notices, kills and successors among drawn troubles, judged from the clients'
    side. Exit code 0 held, 1 broke or met too little, 3 the machine was too busy for a verdict."""

    def one(seed: int) -> dict[str, Any]:
        command = [sys.executable, "-m", "limeridge.trial.soak", str(seed), str(seconds)]
        command += ["--no-quiet"] * no_quiet
        if code is not None:
            command += ["--code", str(Path(code).resolve())]
        done = subprocess.run(command, stdout=subprocess.PIPE, check=False)
        if done.returncode:
            raise click.ClickException(f"the soak of seed {seed} ended with {done.returncode}")
        report: dict[str, Any] = orjson.loads(done.stdout.splitlines()[-1])
        return report

    reports: list[dict[str, Any]] = []
    with ThreadPool(jobs) as pool:
        for report in pool.imap(one, range(first, first + seeds)):
            reports.append(report)
            if not as_json:
                soak_told(report)
    seldom = soak_table.insufficient_counts(reports)
    verdicts = [soak_table.verdict(report) for report in reports]
    if as_json:
        click.echo(orjson.dumps({"reports": reports, "too_little": seldom}))
    else:
        click.echo(
            "\n".join(
                ["", *soak_table.markdown_table(reports), *(f"met too little: {each}" for each in seldom)]
            )
        )
    broke = "broke" in verdicts or bool(seldom)
    raise click.exceptions.Exit(1 if broke else BUSY if "machine too busy" in verdicts else 0)


def soak_told(report: dict[str, Any]) -> None:
    """A line a soak, and one a fault."""
    click.echo(f"seed {report['seed']}: {soak_table.verdict(report)}")
    for fault in report["faults"]:
        click.echo(f"  {fault['rule']}: {fault['what']}")


@trial.command("show")
@click.argument("name")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--nodes", type=click.IntRange(0, 200), default=0)
def show(name: str, seed: int, nodes: int) -> None:
    """The time line of a trial with this seed: who is hit, when, and what must hold."""
    plan = drawn(name, seed, nodes)
    terms = plan.terms
    click.echo(f"{plan.name}: {plan.about}")
    click.echo(
        f"{plan.instances} instances, limit {terms.limit}, floor {terms.floor}, quorum {terms.quorum}, "
        f"warm-up {plan.warm / 1e6:g} s, rest {plan.rest / 1e6:g} s"
    )
    for act in plan.acts:
        who = ", ".join(f"n{number}" for number in act.who) or "all"
        amount = f" {act.amount:g}" if act.amount else ""
        click.echo(f"  {act.at / 1e6:>7.3f} s  {act.kind.value}{amount} for {act.lasts / 1e6:g} s: {who}")
    expect = plan.expect
    for what, bound in (
        ("deaths known to all", expect.detect),
        ("alike", expect.agree),
        ("in use", expect.use),
    ):
        if bound is not None:
            click.echo(f"  must hold: {what} within {bound / 1e6:g} s")
    for what, count in (("false deaths", expect.false_deaths), ("txns unanswered", expect.unanswered)):
        if count is not None:
            click.echo(f"  must hold: {what} {count} at most")
    click.echo("  must hold: calls in the ledger's hands within the limit, at any time")
