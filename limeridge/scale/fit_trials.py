"""`python -m limeridge.scale.fit_trials`: how often the fit finds the law that made a series.

Synthetic series of each law, at five sizes with one reading each, under three strengths of noise; prints a
table in Markdown. The seeds are fixed, so the table is the same each time.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator

from limeridge.scale.fit import CONSTANT, LAWS, NO_LAW, fit, grown
from limeridge.scale.results import Point

SIZES = (20, 50, 80, 120, 200)
NOISES = (0.05, 0.1, 0.2)  # the most that a reading lies off its law, by parts of it
DRAWS = 1_000
GROWTH = (2.0, 40.0)  # how many times its start a cost grows over the sizes, at the least and at the most


def series(law: str, noise: float, seed: int, growth: tuple[float, float] = GROWTH) -> list[Point]:
    """One reading a size of a cost that starts at 1 and grows by the law."""
    chance = random.Random(f"{law}/{noise}/{seed}")
    first, last = grown(law, SIZES[0]), grown(law, SIZES[-1])
    slope = 0.0 if law == CONSTANT else (chance.uniform(*growth) - 1) / (last - first)
    points = []
    for size in SIZES:
        cost = 1 + slope * (grown(law, size) - first)
        points.append(Point(size, (cost * (1 + chance.uniform(-noise, noise)),)))
    return points


def found(law: str, noise: float, draws: int, growth: tuple[float, float] = GROWTH) -> Counter[str]:
    """How often each law was taken for the one that made the series."""
    taken: Counter[str] = Counter()
    for seed in range(draws):
        fitted = fit(series(law, noise, seed, growth))
        taken[fitted.law if fitted is not None else NO_LAW] += 1
    return taken


def table(draws: int) -> Iterator[str]:
    """The table's lines, by law and noise."""
    names = [*LAWS, NO_LAW]
    yield "| made by | noise | " + " | ".join(names) + " |"
    yield "|" + " --- |" * (len(names) + 2)
    for law in LAWS:
        for noise in NOISES:
            taken = found(law, noise, draws)
            yield f"| {law} | {noise:.0%} | " + " | ".join(str(taken[name]) for name in names) + " |"


def main() -> None:
    """Prints the table."""
    for line in table(DRAWS):
        print(line)


if __name__ == "__main__":
    main()
