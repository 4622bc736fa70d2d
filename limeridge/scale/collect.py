"""Collects the readings of a sweep by cost and size, and makes its result out of them."""

from __future__ import annotations

import os
import subprocess
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from limeridge.scale.fit import fit
from limeridge.scale.results import SCHEMA, Point, Role, Series, Situation, Size, Sweep, Unit

Progress = Callable[[str], None]
GIBIBYTE = 1 << 30
HERE = Path(__file__).resolve().parent


@dataclass(frozen=True, slots=True)
class Cost:
    """What a series is of: a series' head without its points."""

    name: str
    situation: Situation
    against: Size
    unit: Unit
    role: Role = Role.INSTANCE


class Collector:
    """The readings of one sweep as it goes."""

    def __init__(self, name: str, command: str, progress: Progress) -> None:
        self.name, self.command, self.progress = name, command, progress
        self.began = time.monotonic()
        self.readings: dict[Cost, dict[float, list[float]]] = {}
        self.notes: list[str] = []

    @property
    def elapsed(self) -> float:
        """Seconds since the sweep began."""
        return time.monotonic() - self.began

    def add(self, cost: Cost, size: float, reading: float) -> None:
        """One more reading of a cost at a size."""
        self.readings.setdefault(cost, {}).setdefault(size, []).append(reading)

    def note(self, text: str) -> None:
        """What a reader of the result must know, each once."""
        if text not in self.notes:
            self.notes.append(text)
            self.progress(text)

    def points(self, cost: Cost) -> tuple[Point, ...]:
        """The readings of a cost by size, ascending."""
        by_size = self.readings.get(cost, {})
        return tuple(Point(size, tuple(readings)) for size, readings in sorted(by_size.items()))

    def sweep(self) -> Sweep:
        """The result as it stands."""
        return Sweep(
            schema=SCHEMA,
            name=self.name,
            revision=revision(),
            cores=os.cpu_count() or 1,
            memory_gib=memory_gib(),
            command=self.command,
            seconds=self.elapsed,
            series=tuple(self._series(cost) for cost in self.readings),
            notes=tuple(self.notes),
        )

    def _series(self, cost: Cost) -> Series:
        points = self.points(cost)
        return Series(cost.name, cost.role, cost.situation, cost.against, cost.unit, points, fit(points))


def revision() -> str:
    """The commit of the measured code, with "+changes" where the work tree differs from it."""
    commit = _git("rev-parse", "--short=10", "HEAD")
    return commit + ("+changes" if _git("status", "--porcelain", "--untracked-files=no") else "")


def _git(*words: str) -> str:
    done = subprocess.run(["git", *words], cwd=HERE, capture_output=True, text=True, check=False)
    return done.stdout.strip() if done.returncode == 0 else "unknown"


def memory_gib() -> float:
    """The machine's memory."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / GIBIBYTE
