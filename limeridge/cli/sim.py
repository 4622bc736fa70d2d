"""`limeridge sim`: runs, explores, replays and shrinks simulated days, and shows what they held.

It owns arguments and output. What a run holds and breaks is decided in `limeridge.sim`.
"""

from __future__ import annotations

import os
import statistics
import subprocess
import sys
from collections.abc import Iterable
from multiprocessing.pool import ThreadPool
from pathlib import Path
from typing import Any, BinaryIO

import click
import orjson
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from limeridge.cli.logs import tool_log
from limeridge.sim import corpus as kept
from limeridge.sim import trace as traces
from limeridge.sim.explore import Coverage, explore, run_plan, shrink
from limeridge.sim.oracles import RULES
from limeridge.sim.plan import Plan, Ranges, draw, from_json, to_json
from limeridge.sim.scenario import load_scenario, names
from limeridge.sim.world import Outcome

HASH_SEEDS = ("0", "1", "4242")
SCENARIO = click.option(
    "--scenario",
    "-s",
    default="any",
    show_default=True,
    help="A scenario's name, or the path of a .txtpb file.",
)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="JSON instead of text.")


@click.group()
def sim() -> None:
    """Simulated days: the real instances on virtual time, faults and order drawn from a seed."""


def plan_of(what: str, scenario: str) -> Plan:
    """A seed's plan, or the plan that a file keeps."""
    if what.isdecimal():
        return draw(load_scenario(scenario), int(what))
    path = Path(what)
    try:
        value = orjson.loads(path.read_bytes())
        return from_json(orjson.dumps(value.get("plan", value)))
    except OSError as trouble:
        raise click.UsageError(f"{what}: expected a seed or a plan's file, got {trouble.strerror}") from None
    except (ValueError, KeyError, TypeError, AttributeError) as trouble:
        raise click.UsageError(f"{what}: expected a plan: {type(trouble).__name__}: {trouble}") from None


def by_hand(outcome: Outcome, what: str) -> str:
    """The command that plays it again."""
    if not what.isdecimal():
        return f"limeridge sim replay {what}"
    return f"limeridge sim replay {what}" + (
        "" if outcome.scenario == "any" else f" --scenario {outcome.scenario}"
    )


def show(outcome: Outcome, what: str) -> None:
    click.echo(
        f"seed {outcome.seed} of {outcome.scenario}: {outcome.steps} steps, {outcome.txns} txns, "
        f"{outcome.instances} instances, digest {outcome.digest}"
    )
    for kind, begin, end in outcome.came:
        click.echo(f"  fault {kind} from {begin / 1e6:.3f} s to {end / 1e6:.3f} s")
    if not outcome.rule:
        click.echo("held")
        return
    click.echo(
        f"broke {outcome.rule} ({RULES.get(outcome.rule, '')}) at {outcome.at / 1e6:.6f} s, {outcome.who}"
        + (f", txn {outcome.ref}" if outcome.ref else "")
    )
    click.echo(f"  {outcome.what}")
    for line in outcome.recent:
        click.echo(f"  {line}")
    click.echo(f"again: {by_hand(outcome, what)}")


def ended(broke: bool) -> None:
    raise click.exceptions.Exit(1 if broke else 0)


@sim.command("run")
@click.argument("what")
@SCENARIO
@click.option("--trace", type=click.Path(dir_okay=False, path_type=Path), help="Keep a trace in this file.")
@AS_JSON
def run_one(what: str, scenario: str, trace: Path | None, as_json: bool) -> None:
    """Runs one seed, or the plan in a file."""
    plan = plan_of(what, scenario)
    if trace is None:
        outcome = run_plan(plan)
    else:
        with traces.Writer(trace, {"seed": plan.seed, "scenario": plan.scenario}) as writer:
            outcome = run_plan(plan, writer.record)
    if as_json:
        click.echo(orjson.dumps(outcome))
    else:
        show(outcome, what)
    ended(bool(outcome.rule))


@sim.command("explore")
@click.option("--seeds", type=click.IntRange(1), default=200, show_default=True)
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="The first seed.")
@click.option("--jobs", "-j", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
@SCENARIO
@click.option(
    "--found",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("found"),
    show_default=True,
    help="Where the plans of failing seeds are put.",
)
@click.option("--stop-after", type=click.IntRange(1), help="Stop after this many failing seeds.")
@click.option("--log", type=click.File("ab"), help="Events as JSON lines.")
@AS_JSON
def explore_many(
    seeds: int,
    first: int,
    jobs: int,
    scenario: str,
    found: Path,
    stop_after: int | None,
    log: BinaryIO | None,
    as_json: bool,
) -> None:
    """Runs many seeds in parallel; failures as they come, coverage at the end."""
    ranges = load_scenario(scenario)
    coverage = Coverage()
    failed: list[Outcome] = []
    events = tool_log("sim", log) if log else None
    console = Console(stderr=True)
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=console, disable=not console.is_terminal) as progress:
        task = progress.add_task(f"{scenario}, {jobs} at once", total=seeds)
        for outcome in explore(scenario, range(first, first + seeds), jobs):
            coverage.add(outcome)
            progress.advance(task)
            if not console.is_terminal and coverage.runs % 1_000 == 0:
                told = f"{coverage.runs} of {seeds} seeds, {len(failed)} failed, {coverage.seconds():.0f} s"
                click.echo(told, err=True)
            if not outcome.rule:
                continue
            failed.append(outcome)
            keep(outcome, ranges, found, events)
            if not as_json:
                progress.console.print(failure(outcome), markup=False, highlight=False)
            if stop_after and len(failed) >= stop_after:
                break
    if events:
        events.info("explored", seeds=coverage.runs, failed=len(failed), seconds=round(coverage.seconds(), 1))
    if as_json:
        click.echo(orjson.dumps(explored(coverage, failed, ranges, first, jobs)))
    else:
        cover(coverage, jobs, ranges.kinds == load_scenario("any").kinds)
    ended(bool(failed))


def keep(outcome: Outcome, ranges: Ranges, found: Path, events: Any) -> None:
    """Writes a failing seed's plan into the folder `found`, and an event where a log is kept."""
    found.mkdir(parents=True, exist_ok=True)
    path = found / f"{ranges.name}-{outcome.seed}.json"
    path.write_bytes(to_json(draw(ranges, outcome.seed)))
    if events:
        events.info(
            "failed",
            code=outcome.rule,
            seed=outcome.seed,
            scenario=ranges.name,
            txn=outcome.ref,
            at_us=outcome.at,
            instance=outcome.who,
            digest=outcome.digest,
            plan=str(path),
        )


def failure(outcome: Outcome) -> str:
    """What broke, and the command that plays it again."""
    again = by_hand(outcome, str(outcome.seed))
    return f"seed {outcome.seed}: {outcome.rule}: {outcome.what[:300]}\n  again: {again}"


def explored(
    coverage: Coverage, failed: list[Outcome], ranges: Ranges, first: int, jobs: int
) -> dict[str, Any]:
    """The result of an exploration, as JSON has it."""
    return {
        "scenario": ranges.name,
        "first": first,
        "seeds": coverage.runs,
        "jobs": jobs,
        "cores": os.cpu_count(),
        "seconds": round(coverage.seconds(), 1),
        "steps": coverage.steps,
        "txns": coverage.txns / coverage.runs,
        "instances": coverage.instances / coverage.runs,
        "least_instances": coverage.least_instances,
        "faults": coverage.faults,
        "rules": coverage.checks_by_rule(),
        "states": coverage.states,
        "pairs": {f"{a}+{b}": n for (a, b), n in coverage.all_pairs().items()},
        "failed": [{"seed": o.seed, "rule": o.rule, "what": o.what, "digest": o.digest} for o in failed],
    }


def cover(coverage: Coverage, jobs: int, all_kinds: bool) -> None:
    console = Console()
    runs = max(1, coverage.runs)
    console.print(
        f"{coverage.runs} seeds in {coverage.seconds():.0f} s with {jobs} at once on {os.cpu_count()} cores: "
        f"{coverage.steps / 1e6:.1f} million steps, {coverage.txns / runs:.0f} txns and "
        f"{coverage.instances / runs:.2f} instances in the mean (least {coverage.least_instances}); "
        f"{sum(coverage.broken.values())} broke a rule",
        highlight=False,
    )
    table = Table("fault", "times", "pair met least with", "times")
    pairs = coverage.all_pairs()
    for kind in sorted({kind for pair in pairs for kind in pair}):
        least, count = min(((pair, n) for pair, n in pairs.items() if kind in pair), key=lambda each: each[1])
        other = least[0] if least[1] == kind else least[1]
        table.add_row(kind, str(coverage.faults.get(kind, 0)), other, str(count))
    console.print(table)
    if all_kinds:
        console.print(
            f"{len(pairs)} pairs of kinds, met {min(pairs.values())} times or more", highlight=False
        )
    rules = Table("rule", "judged", "broken", "what it says")
    for rule, judged in coverage.checks_by_rule().items():
        rules.add_row(
            rule, str(judged) if judged else "each step", str(coverage.broken.get(rule, 0)), RULES[rule]
        )
    console.print(rules)
    console.print(
        "clients' txns: " + ", ".join(f"{n} {state}" for state, n in coverage.states.most_common()),
        highlight=False,
    )


@sim.command("replay")
@click.argument("what")
@SCENARIO
@AS_JSON
def replay(what: str, scenario: str, as_json: bool) -> None:
    """Plays a seed or a plan's file in three processes, each with another PYTHONHASHSEED, and compares."""
    plan_of(what, scenario)
    outcomes = [Outcome(**orjson.loads(_elsewhere(what, scenario, hash_seed))) for hash_seed in HASH_SEEDS]
    same = len({outcome.digest for outcome in outcomes}) == 1
    if as_json:
        click.echo(
            orjson.dumps({"same": same, "digests": [o.digest for o in outcomes], "outcome": outcomes[0]})
        )
    else:
        show(outcomes[0], what)
        click.echo(
            f"{'the same' if same else 'NOT the same'} digest in {len(outcomes)} processes: "
            + ", ".join(sorted({outcome.digest for outcome in outcomes}))
        )
    ended(not same or bool(outcomes[0].rule))


def _elsewhere(what: str, scenario: str, hash_seed: str) -> bytes:
    done = subprocess.run(
        [sys.executable, "-m", "limeridge.cli", "sim", "run", what, "--scenario", scenario, "--json"],
        env=os.environ | {"PYTHONHASHSEED": hash_seed},
        stdout=subprocess.PIPE,
        check=False,
    )
    if done.returncode not in (0, 1):
        raise click.ClickException(f"a run in another process ended with {done.returncode}")
    return done.stdout


@sim.command("shrink")
@click.argument("what")
@SCENARIO
@click.option(
    "--seconds", type=click.FloatRange(0.1), default=60.0, show_default=True, help="Time it may take."
)
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="The file of the smaller plan.")
def shrink_one(what: str, scenario: str, seconds: float, out: Path | None) -> None:
    """Cuts faults, txns and time away from a failing run while the same rule still breaks."""
    plan = plan_of(what, scenario)
    outcome = run_plan(plan)
    if not outcome.rule:
        click.echo("it holds: there is nothing to shrink")
        ended(False)
    smaller, best, tries = shrink(plan, outcome, seconds)
    out = out or Path("found") / f"{plan.scenario}-{plan.seed}-small.json"
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_bytes(to_json(smaller))
    click.echo(
        f"{outcome.steps} steps, {len(plan.asks)} txns, {len(plan.faults)} faults, "
        f"{plan.instances} instances -> "
        f"{best.steps} steps, {len(smaller.asks)} txns, {len(smaller.faults)} faults, {smaller.instances} "
        f"instances, in {tries} tries: {out}"
    )
    show(best, str(out))
    ended(True)


@sim.command("trace")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--txn", help="Only what is about the txn with this ref.")
@click.option("--instance", help="Only what this instance, or other process, did: n0, k0, c1, ledger, net.")
@click.option("--kind", multiple=True, help="Only events of this kind; may be given again.")
@click.option("--from", "start", type=float, default=0.0, help="Seconds from the start.")
@click.option("--to", "end", type=float, default=1e9)
@AS_JSON
def trace_file(
    file: Path,
    txn: str | None,
    instance: str | None,
    kind: tuple[str, ...],
    start: float,
    end: float,
    as_json: bool,
) -> None:
    """Shows a trace kept by `run --trace`, filtered."""
    try:
        for entry in traces.read_entries(file):
            if (
                (txn and entry.ref != txn)
                or (instance and entry.who != instance)
                or (kind and entry.kind not in kind)
            ):
                continue
            if not start * 1e6 <= entry.at <= end * 1e6:
                continue
            if as_json:
                click.echo(orjson.dumps(entry))
            else:
                click.echo(
                    f"{entry.step:>7} {entry.at / 1e6:>10.6f} {entry.who:<7} {entry.kind:<10} {entry.ref}"
                )
    except traces.InvalidTrace as bad:
        raise click.UsageError(str(bad)) from None


@sim.command("corpus")
@click.option("--add", "added", metavar="PLAN", help="A plan's file, or a seed, to be kept as NAME.")
@click.option("--name", help="Of the kept plan.")
@click.option("--note", default="", help="What it showed.")
@SCENARIO
@AS_JSON
def corpus(added: str | None, name: str | None, note: str, scenario: str, as_json: bool) -> None:
    """Plays the plans that once failed; with --add, keeps one more."""
    if added is not None:
        if not name or not note:
            raise click.UsageError("--add: expected --name and --note with it")
        click.echo(f"kept in {kept.add(name, note, plan_of(added, scenario))}")
        return
    outcomes = [(case, run_plan(case.plan)) for case in kept.load_cases()]
    rows: list[dict[str, Any]] = [
        {
            "name": case.name,
            "rule": outcome.rule,
            "what": outcome.what,
            "steps": outcome.steps,
            "note": case.note,
        }
        for case, outcome in outcomes
    ]
    if as_json:
        click.echo(orjson.dumps(rows))
    else:
        for row in rows:
            state = f"{row['rule']}: {row['what']}" if row["rule"] else "held"
            click.echo(f"{row['name']}: {state} ({row['note']})")
        click.echo(f"{len(rows)} plans, {sum(bool(row['rule']) for row in rows)} broke a rule")
    ended(any(row["rule"] for row in rows))


@sim.command("scenarios")
@AS_JSON
def scenarios(as_json: bool) -> None:
    """Lists the scenarios that come with the package."""
    rows = [(name, about_of(name)) for name in names()]
    if as_json:
        click.echo(orjson.dumps([{"name": name, "about": about} for name, about in rows]))
        return
    for name, about in rows:
        click.echo(f"{name:<22} {about}")


def about_of(name: str) -> str:
    from limeridge.settings import scenario_pb2 as pb
    from limeridge.settings.load import load
    from limeridge.sim.scenario import FOLDER

    return load(str(FOLDER / f"{name}.txtpb"), pb.Scenario()).about


@sim.command("mutants")
@click.option("--only", multiple=True, help="A mutant's name; may be given again.")
@click.option("--most", type=click.IntRange(1), default=400, show_default=True, help="Seeds tried a start.")
@click.option("--starts", type=click.IntRange(1), default=5, show_default=True)
@click.option("--jobs", "-j", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
@SCENARIO
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="A Markdown table.")
@AS_JSON
def mutants(
    only: tuple[str, ...], most: int, starts: int, jobs: int, scenario: str, out: Path | None, as_json: bool
) -> None:
    """Puts small defects in, one at a time, and counts the seeds until each is found."""
    from limeridge.sim import mutants as defects

    chosen = [mutant for mutant in defects.MUTANTS if not only or mutant.name in only]
    if len(chosen) < len(set(only)):
        raise click.UsageError(
            f"--only: expected one of {', '.join(mutant.name for mutant in defects.MUTANTS)}"
        )
    console = Console(stderr=True)
    rows = []
    with Progress(console=console, disable=not console.is_terminal) as progress:
        task = progress.add_task("mutants", total=len(chosen))
        for row in defects.hunt(chosen, scenario, most, starts, jobs):
            progress.advance(task)
            rows.append(row)
            if not as_json:
                click.echo(
                    f"{row.name}: "
                    + (
                        f"found after {row.median:g} seeds, by {', '.join(row.rules)}"
                        if row.median is not None
                        else f"not found in {most} seeds"
                    )
                )
    rows.sort(key=lambda row: [mutant.name for mutant in chosen].index(row.name))
    if out is not None:
        out.write_text(defects.table(rows, scenario, most, starts))
    if as_json:
        click.echo(orjson.dumps(rows))
    else:
        click.echo(summary(rows))


@sim.command("prove")
@click.option("--mutants", "count", type=click.IntRange(1), default=10, show_default=True)
@click.option(
    "--seconds", type=click.FloatRange(1), default=60.0, show_default=True, help="For shrinking each."
)
@click.option("--jobs", "-j", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
@SCENARIO
@click.option(
    "--keep", type=click.Path(file_okay=False, path_type=Path), help="A folder for the small plans."
)
@AS_JSON
def prove(count: int, seconds: float, jobs: int, scenario: str, keep: Path | None, as_json: bool) -> None:
    """Replays failing seeds of mutants in three processes with other hash seeds, and shrinks them."""
    from limeridge.sim import mutants as defects

    if keep:
        keep.mkdir(parents=True, exist_ok=True)
    apart = max(1, len(defects.MUTANTS) // count)
    chosen = defects.MUTANTS[::apart][:count]
    found = [(row.name, row.seeds[0]) for row in defects.hunt(chosen, scenario, 400, 1, jobs)]
    by_name = {mutant.name: mutant for mutant in chosen}

    def one(each: tuple[str, int | None]) -> Any:
        name, seeds = each
        if seeds is None:
            return None
        small = keep / f"{name}.json" if keep else None
        return defects.prove(by_name[name], scenario, seeds - 1, seconds, small)

    with ThreadPool(max(1, jobs // 2)) as pool:
        proofs = [proof for proof in pool.imap(one, found) if proof is not None]
    shares = [proof.small / proof.steps for proof in proofs]
    same = all(len(set(proof.digests)) == 1 for proof in proofs)
    if as_json:
        click.echo(orjson.dumps(proofs))
    else:
        for proof in proofs:
            click.echo(
                f"{proof.name}: seed {proof.seed}, {proof.rule}, "
                f"{'the same digest' if len(set(proof.digests)) == 1 else 'NOT the same digest'} in "
                f"{len(proof.digests)} processes, {proof.steps} -> {proof.small} steps "
                f"in {proof.tries} tries, {proof.seconds:.0f} s"
            )
        click.echo(
            f"{len(proofs)} proofs, digests {'the same' if same else 'NOT the same'}, "
            f"median share of steps left {statistics.median(shares):.3f}"
        )
    ended(not same)


def summary(rows: Iterable[Any]) -> str:
    rows = list(rows)
    found = [row for row in rows if row.median is not None]
    soon = [row for row in found if row.median <= 200]
    return f"{len(found)} of {len(rows)} found, {len(soon)} within 200 seeds (median of the starts)"
