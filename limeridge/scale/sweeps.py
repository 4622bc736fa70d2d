"""The sweeps that there are, and how one is run: its sizes checked, its figures put into a result.

A sweep is a module of this package with a constant `SWEEP` of the type Sweeping; `MODULES` names it. What a
sweep measures is the module's own affair: it gets a Request and gives back Measured.
"""

from __future__ import annotations

import importlib
import importlib.util
import os
import platform
import subprocess
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from limeridge.scale import bounds, results

MODULES = {
    "members": "limeridge.scale.members_sweep",
    "request_path": "limeridge.scale.request_path",
    "configuration": "limeridge.scale.configuration_sweep",
}
RESULTS_FOLDER = Path("docs/results/scale")


class Refused(Exception):
    """One line: the option or the size that can't be had, and why."""


@dataclass(slots=True, frozen=True)
class Request:
    """What is asked of one sweep."""

    sizes: tuple[int, ...]
    quick: bool  # counts and bytes alone, with the same verdict each time
    progress: Callable[[str], None]  # is told what begins, in one line


@dataclass(slots=True, frozen=True)
class Measured:
    """What one sweep gave. `failed` are the checks that did not hold, one line each; only a quick sweep
    checks."""

    series: tuple[results.Series, ...]
    notes: tuple[str, ...] = ()
    failed: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Sweeping:
    """One sweep as it is registered."""

    name: str
    about: str
    sizes: tuple[int, ...]
    quick_sizes: tuple[int, ...]
    least: int  # size
    most: int  # size
    run: Callable[[Request], Measured]
    need: Callable[[Request], bounds.Need]  # of the machine; checked before anything starts


@dataclass(slots=True, frozen=True)
class Outcome:
    """A sweep that was run: what is written, and the checks that failed."""

    result: results.Sweep
    failed: tuple[str, ...]


def registered() -> dict[str, Sweeping]:
    """All sweeps of this tree, by name."""
    found: dict[str, Sweeping] = {}
    for name, module in MODULES.items():
        if importlib.util.find_spec(module) is not None:
            found[name] = importlib.import_module(module).SWEEP
    return found


def chosen(names: tuple[str, ...]) -> list[Sweeping]:
    """Those of these names, all where none is given. Raises Refused for a name that there isn't."""
    known = registered()
    for name in names:
        if name not in known:
            raise Refused(f"NAME: expected one of {', '.join(known)}, got {name}")
    return [known[name] for name in dict.fromkeys(names or known)]


def request_for(
    sweep: Sweeping, sizes: tuple[int, ...], quick: bool, progress: Callable[[str], None]
) -> Request:
    """Raises Refused for sizes out of the sweep's range and for what the machine does not have."""
    for size in sizes:
        if not sweep.least <= size <= sweep.most:
            raise Refused(f"--sizes: expected {sweep.least} to {sweep.most} for {sweep.name}, got {size}")
    usual = sweep.quick_sizes if quick else sweep.sizes
    request = Request(tuple(sorted(set(sizes or usual))), quick, progress)
    lacking = bounds.refusal(sweep.need(request), bounds.machine())
    if lacking:
        raise Refused(f"--sizes {','.join(map(str, request.sizes))}: {sweep.name}: {lacking}")
    return request


def run(sweep: Sweeping, request: Request, command: str) -> Outcome:
    """Runs one sweep whole."""
    begun = time.monotonic()
    measured = sweep.run(request)
    result = results.Sweep(
        schema=results.SCHEMA,
        name=sweep.name,
        revision=revision(),
        cores=os.cpu_count() or 1,
        memory_gib=round(bounds.machine().memory / bounds.GIB, 1),
        command=command,
        seconds=round(time.monotonic() - begun, 1),
        series=tuple(fitted(each) for each in measured.series),
        notes=(f"Python {platform.python_version()}", *measured.notes),
    )
    return Outcome(result, measured.failed)


def fitted(series: results.Series) -> results.Series:
    """The same series with the growth law that fits it, where it has points enough."""
    from limeridge.scale.fit import fit  # scipy takes a second to load

    return msgspec.structs.replace(series, fit=fit(series.points))


def revision() -> str:
    """Of the tree that this package is read from; "+changes" where its code differs from it."""
    folder = Path(__file__).parent

    def git(*args: str) -> str:
        done = subprocess.run(["git", "-C", str(folder), *args], capture_output=True, text=True, check=False)
        return done.stdout.strip() if done.returncode == 0 else ""

    head = git("rev-parse", "HEAD")
    changed = git("status", "--porcelain", "--untracked-files=no")
    return (head or "unknown") + ("+changes" if changed else "")
