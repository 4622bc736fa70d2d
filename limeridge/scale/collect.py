"""Collects the readings of a sweep by cost and size, and gives them as its series."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from limeridge.scale.results import Point, Role, Series, Situation, Size, Unit
from limeridge.scale.sweeps import Measured

Progress = Callable[[str], None]


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

    def __init__(self, progress: Progress) -> None:
        self.progress = progress
        self.began = time.monotonic()
        self.readings: dict[Cost, dict[float, list[float]]] = {}
        self.notes: list[str] = []
        self.failed: list[str] = []

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

    def check(self, held: bool, text: str) -> None:
        """A check of a quick sweep; the text is what failed where it does not hold."""
        if not held:
            self.failed.append(text)

    def points(self, cost: Cost) -> tuple[Point, ...]:
        """The readings of a cost by size, ascending."""
        by_size = self.readings.get(cost, {})
        return tuple(Point(size, tuple(readings)) for size, readings in sorted(by_size.items()))

    def measured(self) -> Measured:
        """All as it stands."""
        series = tuple(self._series(cost) for cost in self.readings)
        return Measured(series, tuple(self.notes), tuple(self.failed))

    def _series(self, cost: Cost) -> Series:
        points = self.points(cost)
        return Series(cost.name, cost.role, cost.situation, cost.against, cost.unit, points)
