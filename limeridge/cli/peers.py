"""`limeridge peers`: what a member holds of the others, read from its socket; and many seeds of virtual
members.

It owns arguments and output, and asks read-only.
"""

from __future__ import annotations

import multiprocessing
import os
import random
import socket
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import click
import orjson
from rich.console import Console
from rich.table import Table

WAIT = 3.0  # seconds for an answer
AS_JSON = click.option("--json", "as_json", is_flag=True, help="JSON instead of text.")


@click.group()
def peers() -> None:
    """Members of a fleet: who is there, who has failed, how far they agree."""


def ask(path: Path, what: bytes) -> Any:
    try:
        with socket.socket(socket.AF_UNIX) as line:
            line.settimeout(WAIT)
            line.connect(str(path))
            line.sendall(what + b"\n")
            data = b""
            while part := line.recv(1 << 16):
                data += part
    except OSError as trouble:
        raise click.UsageError(
            f"{path}: expected the socket of a member (`show` in its settings), "
            f"got {trouble.strerror or trouble}"
        ) from None
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError:
        raise click.ClickException(f"{path}: expected JSON from the member, got {data[:60]!r}") from None


SOCKET = click.argument("path", type=click.Path(path_type=Path))


@peers.command("show")
@SOCKET
@AS_JSON
def show(path: Path, as_json: bool) -> None:
    """Members, grades, lives, agreement, and the share in use with its reason."""
    told = ask(path, b"show")
    if as_json:
        click.echo(orjson.dumps(told))
        return
    page(told)


def page(told: dict[str, Any]) -> None:
    click.echo(
        f"{told['name']}: with {told['stand']} for {told['stand_for_s']:g} s, {told['present']} present, "
        f"{told['agree']} others hold the same, doubt of itself {told['doubt']}, "
        f"stood still {told['stalls']} times"
        + (", its name is taken by another" if told["name_taken"] else "")
    )
    share = told.get("share")
    if share:
        click.echo(
            f"share {share['calls']} calls ({share['why']}), {share['in_hand']} in hand, "
            f"floor {share['floor']}, limit {share['limit']}; "
            f"epoch {share['epoch']} of {share['view']} members, "
            f"{share['voters']} voters answer, {share['quorum']} are needed"
        )
    table = Table(
        "name", "grade", "for s", "life", "incarnation", "at", "zone", "version", "agrees", "misses"
    )
    for each in told["members"]:
        table.add_row(
            each["name"],
            each["grade"],
            str(each["for_s"]),
            str(each["life"]),
            str(each["incarnation"]),
            each["at"],
            each["zone"],
            each["version"],
            "yes" if each["agrees"] else "no",
            ", ".join(each["misses"]),
        )
    Console(width=140).print(table)


@peers.command("watch")
@SOCKET
@click.option("--every", type=click.FloatRange(0.1), default=1.0, show_default=True, help="Seconds.")
@click.option("--times", type=click.IntRange(1), help="Stop after so many.")
def watch(path: Path, every: float, times: int | None) -> None:
    """A line at each look: who is not alive, and the share."""
    count = 0
    while times is None or count < times:
        if count:
            time.sleep(every)
        told = ask(path, b"show")
        odd = [
            f"{each['name']} {each['grade']}"
            for each in told["members"]
            if each["grade"] not in ("alive", "self")
        ]
        share = told.get("share")
        dealt = f", share {share['calls']} ({share['why']})" if share else ""
        click.echo(
            f"{time.strftime('%H:%M:%S')} with {told['stand']}, {told['present']} present, "
            f"{told['agree']} alike{dealt}" + (": " + ", ".join(odd) if odd else "")
        )
        count += 1


@peers.command("events")
@SOCKET
@AS_JSON
def events(path: Path, as_json: bool) -> None:
    """The last changes that the member logged."""
    told = ask(path, b"events")
    if as_json:
        click.echo(orjson.dumps(told))
        return
    for each in told:
        rest = " ".join(
            f"{name}={value}" for name, value in each.items() if name not in ("t", "event", "code")
        )
        click.echo(f"{each['t']:.3f} {each['event']} {each['code']} {rest}")


def _one(job: tuple[int, int, int]) -> Any:
    from limeridge.sim.gossip import draw, play

    seed, least, most = job
    return play(draw(seed, least, most))


@peers.command("explore")
@click.option("--seeds", type=click.IntRange(1), default=200, show_default=True)
@click.option("--first", type=click.IntRange(0), default=0, show_default=True)
@click.option("--least", type=click.IntRange(3), default=3, show_default=True, help="Members.")
@click.option("--most", type=click.IntRange(3, 1_000), default=24, show_default=True, help="Members.")
@click.option("--jobs", "-j", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
@AS_JSON
def explore(seeds: int, first: int, least: int, most: int, jobs: int, as_json: bool) -> None:
    """Many seeds of virtual members under drawn faults, judged by rules."""
    begun = time.monotonic()
    work = [(seed, least, max(least, most)) for seed in range(first, first + seeds)]
    with multiprocessing.get_context("forkserver").Pool(jobs) as pool:
        verdicts = list(pool.imap_unordered(_one, work))
    failed = sorted((each for each in verdicts if each.rule), key=lambda each: each.seed)
    deaths = sorted(time for each in verdicts for time in each.detected)
    told: dict[str, Any] = {
        "seeds": seeds,
        "seconds": round(time.monotonic() - begun, 1),
        "broke": len(failed),
        "members": sum(each.members for each in verdicts) / seeds,
        "false_deaths": sum(each.false_deaths for each in verdicts),
        "deaths": len(deaths),
        "known_s": [round(deaths[len(deaths) // 2] / 1e6, 2), round(deaths[-1] / 1e6, 2)] if deaths else [],
        "alike_s": round(max(each.agreed_after for each in verdicts) / 1e6, 2),
        "in_use_s": round(max(each.used_after for each in verdicts) / 1e6, 2),
        "largest_datagram": max(each.largest for each in verdicts),
        "failed": [{"seed": each.seed, "rule": each.rule, "what": each.what} for each in failed],
    }
    if as_json:
        click.echo(orjson.dumps(told))
    else:
        for each in failed:
            click.echo(f"seed {each.seed}: {each.rule}: {each.what}")
        click.echo(
            f"{seeds} seeds in {told['seconds']} s with {jobs} at once, {told['members']:.1f} members in the "
            f"mean: {told['broke']} broke a rule"
        )
        click.echo(
            f"{told['deaths']} deaths, known to all after {told['known_s']} s (median, worst); "
            f"false deaths {told['false_deaths']}; after healing, alike within {told['alike_s']} s and "
            f"the limit in use within {told['in_use_s']} s; largest datagram {told['largest_datagram']} bytes"
        )
    raise click.exceptions.Exit(1 if failed else 0)


@peers.command("size")
@click.option(
    "--members",
    "counts",
    type=click.IntRange(3, 2_000),
    multiple=True,
    default=(10, 100, 1_000),
    show_default=True,
)
@click.option(
    "--loss",
    "losses",
    type=click.FloatRange(0, 0.9),
    multiple=True,
    default=(0.0, 0.1, 0.3),
    show_default=True,
)
@click.option("--jobs", "-j", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
@AS_JSON
def size(counts: tuple[int, ...], losses: tuple[float, ...], jobs: int, as_json: bool) -> None:
    """Load and detection by the number of members, rounds of a second, beside all-to-all heartbeats."""
    work = [
        (way, count, loss)
        for count in sorted(counts, reverse=True)
        for loss in losses
        for way in ("gossip", "heartbeats")
    ]
    with multiprocessing.get_context("forkserver").Pool(jobs) as pool:
        rows = pool.map(_size, work, chunksize=1)
    if as_json:
        click.echo(orjson.dumps(rows))
        return
    table = Table(
        "members", "loss", "way", "packets/s", "bytes/s", "first s", "all s (worst)", "false deaths (pairs)"
    )
    for each in sorted(rows, key=lambda row: (row.members, row.loss, row.way)):
        table.add_row(
            str(each.members),
            f"{each.loss:g}",
            each.way,
            f"{each.packets_s:.1f}",
            f"{each.bytes_s:.0f}",
            f"{each.first_s[0]:.1f}" if each.first_s else "never",
            f"{each.all_s[-1]:.1f}" if each.all_s else "never",
            str(each.false_deaths),
        )
    Console(width=120).print(table)


@peers.command("cost")
@click.option("--members", type=click.IntRange(3, 200), default=20, show_default=True)
@click.option("--voters", type=click.IntRange(0, 20), default=5, show_default=True, help="0: all.")
@click.option("--pairs", type=click.IntRange(1, 100), default=8, show_default=True)
@click.option("--rate", type=click.FloatRange(1, 5_000), default=400.0, show_default=True, help="Txns/s.")
@click.option("--seconds", type=click.FloatRange(1, 600), default=10.0, show_default=True, help="Of load.")
@AS_JSON
def cost(members: int, voters: int, pairs: int, rate: float, seconds: float, as_json: bool) -> None:
    """What membership costs a txn: real processes, the same traffic with and without, in pairs."""
    rows = _rows("limeridge.trial.cost", members, pairs, rate, seconds, voters)
    if as_json:
        click.echo(orjson.dumps(rows))
        return
    table = Table("pair", "peers", "txns", "settled", "processor us a txn", "of a core", "p50 ms", "p99 ms")
    for row in rows:
        table.add_row(
            *(str(row[name]) for name in ("pair", "peers", "txns", "settled", "processor_us")),
            *(str(row[name]) for name in ("processor", "p50_ms", "p99_ms")),
        )
    Console(width=120).print(table)
    for name in ("processor_us", "p50_ms", "p99_ms"):
        ratios = [
            next(r[name] for r in rows if r["pair"] == pair and r["peers"])
            / next(r[name] for r in rows if r["pair"] == pair and not r["peers"])
            for pair in range(pairs)
        ]
        low, high = interval(ratios)
        click.echo(
            f"{name}: with peers {statistics.median(ratios):.3f} of without (median of "
            f"{pairs} pairs; 95% of resampled medians {low:.3f} to {high:.3f})"
        )


def interval(ratios: list[float], times: int = 2_000) -> tuple[float, float]:
    """Percentile bootstrap of the median (Efron 1979), the same for the same figures."""
    chance = random.Random(1)
    medians = sorted(statistics.median(chance.choices(ratios, k=len(ratios))) for _ in range(times))
    return medians[int(0.025 * times)], medians[int(0.975 * times)]


def _rows(module: str, *words: object) -> list[dict[str, Any]]:
    done = subprocess.run(
        [sys.executable, "-m", module, *map(str, words)], stdout=subprocess.PIPE, check=False
    )
    if done.returncode:
        raise click.ClickException(f"the measurement ended with {done.returncode}")
    return [orjson.loads(line) for line in done.stdout.splitlines()]


@peers.command("crowd")
@click.option("--processes", type=click.IntRange(3, 400), default=200, show_default=True)
@click.option("--voters", type=click.IntRange(0, 20), default=5, show_default=True, help="0: all.")
@click.option("--seconds", type=click.FloatRange(1, 600), default=20.0, show_default=True, help="Weighed.")
@AS_JSON
def crowd(processes: int, voters: int, seconds: float, as_json: bool) -> None:
    """Many real instances at rest, with peers and without: what each takes, and when all know all."""
    rows = [
        row for peers in (0, 1) for row in _rows("limeridge.trial.crowd", processes, peers, voters, seconds)
    ]
    click.echo(
        orjson.dumps(rows)
        if as_json
        else "\n".join(", ".join(f"{name} {value}" for name, value in row.items()) for row in rows)
    )


def _size(job: tuple[str, int, float]) -> Any:
    from limeridge.sim import size as sizes

    way, count, loss = job
    return sizes.gossip(count, loss) if way == "gossip" else sizes.heartbeats(count, loss)
