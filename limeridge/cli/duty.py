"""`limeridge duty`: the search over all states of duties, many seeds of them, and what a member holds.

It owns arguments and output.
"""

from __future__ import annotations

import multiprocessing
import os
import time
from pathlib import Path
from typing import Any

import click
import orjson
from rich.console import Console
from rich.table import Table

from limeridge.cli.peers import AS_JSON, SOCKET, ask

JOBS = click.option(
    "--jobs", "-j", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True
)


@click.group()
def duty() -> None:
    """Duties that one instance holds at a time: leases by majority, fencing tokens."""


def _one(job: tuple[str, str, float]) -> Any:
    from limeridge.duty import check

    kind, name, seconds = job
    scopes = {each.name: each for each in check.FULL}
    if kind == "scope":
        return job, check.search(scopes[name], seconds)
    with check.with_mistake(name) as where:
        if where == check.SETS:
            return job, check.check_voter_sets(3, "abcd")
        return job, check.search(scopes[where], seconds)


@duty.command("check")
@click.option("--quick", is_flag=True, help="Small bounds, under a minute.")
@click.option("--mistakes/--no-mistakes", default=True, show_default=True, help="Also with each put in.")
@click.option("--seconds", type=click.FloatRange(1), default=3_600.0, show_default=True, help="Of a scope.")
@JOBS
@AS_JSON
def check(quick: bool, mistakes: bool, seconds: float, jobs: int, as_json: bool) -> None:
    """Searches all states of the decisions themselves. 0: nothing broke and each mistake put in was found."""
    from limeridge.duty import check as searching

    work = [("scope", each.name, seconds) for each in (searching.QUICK if quick else searching.FULL)]
    if mistakes:
        work += [("mistake", name, seconds) for name in searching.MISTAKES]
    rows: list[dict[str, Any]] = []
    failed = False
    with multiprocessing.get_context("forkserver").Pool(jobs) as pool:
        # The sets of voters first: they are looked at without any messages.
        cases, broken = searching.check_voter_sets(3 if quick else 4, "abcd" if quick else "abcde")
        rows.append({"kind": "scope", "name": "sets", "states": cases, "exhausted": True, "broken": broken,
                     "depth": 0, "seconds": 0.0, "way": []})  # fmt: skip
        failed |= bool(broken)
        for (kind, name, _), found in pool.imap_unordered(_one, work, chunksize=1):
            if isinstance(found, tuple):
                row = {"states": found[0], "broken": found[1], "exhausted": True, "depth": 0, "seconds": 0.0,
                       "way": [found[1]] if found[1] else []}  # fmt: skip
            else:
                row = {name: getattr(found, name)
                       for name in ("states", "broken", "exhausted", "depth", "seconds", "way")}  # fmt: skip
            rows.append({"kind": kind, "name": name} | row)
            failed |= bool(row["broken"]) if kind == "scope" else not row["broken"]
    if as_json:
        click.echo(orjson.dumps(rows))
    else:
        told(rows)
    raise click.exceptions.Exit(1 if failed else 0)


def told(rows: list[dict[str, Any]]) -> None:
    table = Table("", "name", "states", "events deep", "s", "result")
    for row in sorted(rows, key=lambda row: (row["kind"] != "scope", row["name"])):
        if row["kind"] == "scope":
            result = row["broken"] or ("nothing broke" if row["exhausted"] else "not exhausted in the time")
            depth = str(row["depth"])
        else:
            result = f"found: {row['broken']}" if row["broken"] else "NOT FOUND"
            depth = str(len(row["way"])) if row["broken"] else "-"
        table.add_row(row["kind"], row["name"], f"{row['states']:,}", depth, f"{row['seconds']:.1f}", result)
    Console(width=150).print(table)
    for row in rows:
        if row["kind"] == "scope" and row["broken"]:
            click.echo(f"{row['name']}: {row['broken']}")
            for number, event in enumerate(row["way"], 1):
                click.echo(f"  {number}. {event}")


def _seed(job: tuple[int, int]) -> Any:
    from limeridge.sim.duties import play

    seed, most = job
    return seed, *play(seed, most)


@duty.command("explore")
@click.option("--seeds", type=click.IntRange(1), default=200, show_default=True)
@click.option("--first", type=click.IntRange(0), default=0, show_default=True)
@click.option("--most", type=click.IntRange(3, 200), default=14, show_default=True, help="Members.")
@JOBS
@AS_JSON
def explore(seeds: int, first: int, most: int, jobs: int, as_json: bool) -> None:
    """Many seeds of virtual members with duties, under drawn faults, judged at the resources."""
    begun = time.monotonic()
    work = [(seed, most) for seed in range(first, first + seeds)]
    with multiprocessing.get_context("forkserver").Pool(jobs) as pool:
        runs = sorted(pool.imap_unordered(_seed, work), key=lambda run: run[0])
    failed = [(seed, verdict) for seed, verdict, _ in runs if verdict.rule]
    all_told = [told for _, _, told in runs]
    result: dict[str, Any] = {
        "seeds": seeds,
        "seconds": round(time.monotonic() - begun, 1),
        "broke": len(failed),
        "grants": sum(each.grants for each in all_told),
        "moves": sum(each.moves for each in all_told),
        "acts_refused": sum(each.stale for each in all_told),
        "after_a_pause": sum(each.paused_acts for each in all_told),
        "tokens_went_back": sum(each.went_back for each in all_told),
        "longest_gap_s": max(each.longest_gap for each in all_told) / 1e6,
        "regained_s": max(each.regained for each in all_told) / 1e6,
        "failed": [{"seed": seed, "rule": each.rule, "what": each.what} for seed, each in failed],
    }
    if as_json:
        click.echo(orjson.dumps(result))
    else:
        for seed, verdict in failed:
            click.echo(f"seed {seed}: {verdict.rule}: {verdict.what}")
        click.echo(
            f"{seeds} seeds in {result['seconds']} s with {jobs} at once: {len(failed)} broke a rule; "
            f"{result['grants']} grants, {result['moves']} of them to another, {result['acts_refused']} acts "
            f"refused for an older token ({result['after_a_pause']} of a process that had stood still), "
            f"{result['tokens_went_back']} tokens below one that held before; held again after "
            f"{result['regained_s']} s at most"
        )
    raise click.exceptions.Exit(1 if failed else 0)


def _outage(job: tuple[int, bool]) -> Any:
    from limeridge.sim.outage import play

    return play(*job)


@duty.command("outage")
@click.option(
    "--members", "counts", type=click.IntRange(5, 400), multiple=True, default=(20, 100), show_default=True
)
@JOBS
@AS_JSON
def outage(counts: tuple[int, ...], jobs: int, as_json: bool) -> None:
    """A ledger down for ten seconds under virtual members that all want calls: tries, and the way back."""
    work = [(count, with_duty) for count in sorted(counts, reverse=True) for with_duty in (False, True)]
    with multiprocessing.get_context("forkserver").Pool(jobs) as pool:
        rows = pool.map(_outage, work, chunksize=1)
    if as_json:
        click.echo(orjson.dumps(rows))
        return
    table = Table("members", "ledger-probe", "tries/s down", "first second back", "found ms", "all back ms")
    for row in sorted(rows, key=lambda row: (row.members, row.duty)):
        table.add_row(
            str(row.members), "on" if row.duty else "off", f"{row.tries_a_second_down:.1f}",
            str(row.first_second_back), str(row.found_after_ms), str(row.all_after_ms),
        )  # fmt: skip
    Console(width=110).print(table)


DUTY = click.argument("name")


def by_hand(path: Path, *words: str) -> None:
    told = ask(path, "\t".join(words).encode())
    if "error" in told:
        raise click.ClickException(f"{path}: {told['error']}")
    click.echo(f"{told['done']}: given up")


@duty.command("release")
@SOCKET
@DUTY
def release(path: Path, name: str) -> None:
    """Has its holder give a duty up; somebody else takes it."""
    by_hand(path, "release ", name)


@duty.command("move")
@SOCKET
@DUTY
@click.argument("to")
def move(path: Path, name: str, to: str) -> None:
    """Has its holder pass a duty to the member named."""
    by_hand(path, "move ", name, to)


@duty.command("show")
@SOCKET
@AS_JSON
def show(path: Path, as_json: bool) -> None:
    """Who holds which duty, under what token, since when and why, as a member knows it."""
    held = ask(path, b"duties")
    if as_json:
        click.echo(orjson.dumps(held))
        return
    if not held:
        raise click.ClickException(f"{path}: this member has no duties (`duties` in its settings)")
    click.echo(f"set of voters: version {held['version']}, {', '.join(held['voters'])}; "
               f"this one {'votes' if held['votes'] else 'does not vote'}")  # fmt: skip
    table = Table("duty", "holder", "token", "left s", "why last", "meanwhile")
    for row in held["duties"]:
        table.add_row(
            row["duty"], row["holder"] or "-", str(row["token"]), f"{row['left_s']:.1f}", row["why"],
            row["meanwhile"],
        )  # fmt: skip
    Console(width=120).print(table)
