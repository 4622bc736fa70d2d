"""Figures and what they rest on: series of committed results, assumptions, or both.

A figure that is made of others has all their sources and the weakest basis among them.
"""

from __future__ import annotations

import enum
import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from statistics import fmean

from limeridge.scale import results
from limeridge.scale.fit import CONSTANT, FAR_RATIO, NO_LAW, extrapolate, fit, straight_line
from limeridge.scale.quantities import BYTE, CORE, MESSAGE, NO_UNIT, SECOND, Quantity, Unit
from limeridge.scale.results import Fit, Point, Role, Series, Situation, Size, Sweep, UnusableResult

UNITS: dict[results.Unit, Unit] = {
    results.Unit.CORE_SHARE: CORE,
    results.Unit.SECONDS: SECOND,
    results.Unit.BYTES: BYTE,
    results.Unit.BYTES_PER_SECOND: BYTE / SECOND,
    results.Unit.PACKETS_PER_SECOND: MESSAGE / SECOND,
    results.Unit.COUNT: NO_UNIT,
}
SWEEPS = ("members", "request_path", "configuration", "configuration-before")
FIT_TOLERANCE = 1e-6  # relative, between a stored fit and the one that the points give today


class Basis(enum.StrEnum):
    """What a figure rests on, from the strongest to the weakest."""

    STATED = "stated"
    MEASURED = "measured"
    EXTRAPOLATED = "extrapolated"
    ASSUMED = "assumed"
    FAR = "extrapolated more than 8 times"
    NOT_MEASURED = "not measured, assumed"


STRENGTH = list(Basis)


@dataclass(frozen=True)
class Assumption:
    """Something that the model takes for granted, with its name and its reason."""

    name: str
    text: str


@dataclass(frozen=True)
class Reference:
    """One series of one result: the file's name without its suffix, and the series within it."""

    sweep: str
    role: Role
    cost: str
    situation: Situation
    against: Size

    @property
    def key(self) -> str:
        """The key of the series within its sweep."""
        return f"{self.role.value}: {self.cost}, {self.situation.value}"

    def __str__(self) -> str:
        return f"{self.sweep}: {self.key}, against {self.against.value}"


@dataclass(frozen=True)
class Figure:
    """A quantity, its interval, how it was reached and what it rests on."""

    value: Quantity
    low: Quantity
    high: Quantity
    formula: str
    basis: Basis
    sources: tuple[Reference, ...] = ()
    assumptions: tuple[Assumption, ...] = ()

    @property
    def how_known(self) -> str:
        """The basis, for readers."""
        return f"{self.basis.value}, of a trial" if TRIAL in self.assumptions else self.basis.value

    def __add__(self, other: Figure) -> Figure:
        return self._with(other, lambda one, two: one + two, "+")

    def __mul__(self, other: Figure) -> Figure:
        return self._with(other, lambda one, two: one * two, "x")

    def _with(self, other: Figure, join: Callable[[Quantity, Quantity], Quantity], sign: str) -> Figure:
        return Figure(
            value=join(self.value, other.value),
            low=join(self.low, other.low),
            high=join(self.high, other.high),
            formula=f"{_bracketed(self.formula, sign)} {sign} {_bracketed(other.formula, sign)}",
            basis=max(self.basis, other.basis, key=STRENGTH.index),
            sources=tuple(dict.fromkeys((*self.sources, *other.sources))),
            assumptions=tuple(dict.fromkeys((*self.assumptions, *other.assumptions))),
        )

    def over(self, divisor: Figure) -> Figure:
        """The quotient of two figures; its interval counts the dividend's alone."""
        inverse = Figure(
            value=Quantity(1) / divisor.value,
            low=Quantity(1) / divisor.value,
            high=Quantity(1) / divisor.value,
            formula=f"1 / {_bracketed(divisor.formula, 'x')}",
            basis=divisor.basis,
            sources=divisor.sources,
            assumptions=divisor.assumptions,
        )
        product = self * inverse
        formula = f"{_bracketed(self.formula, 'x')} / {_bracketed(divisor.formula, 'x')}"
        return Figure(**{**vars(product), "formula": formula})


def _bracketed(formula: str, sign: str) -> str:
    """In brackets where it is a sum or a quotient outside of any."""
    outside = re.sub(r"\([^()]*\)", "", formula)
    compound = " + " in outside or " - " in outside or " / " in outside
    return f"({formula})" if sign == "x" and compound else formula


def stated(value: Quantity, formula: str = "") -> Figure:
    """A figure of the target, or of the code's own constants."""
    return Figure(value, value, value, formula or str(value), Basis.STATED)


def assumed(value: Quantity, assumption: Assumption, formula: str = "") -> Figure:
    """A figure that rests on an assumption alone."""
    return Figure(value, value, value, formula or str(value), Basis.ASSUMED, assumptions=(assumption,))


def resting_on(figure: Figure, assumption: Assumption) -> Figure:
    """The same figure, which takes one thing more for granted."""
    return Figure(**{**vars(figure), "assumptions": (*figure.assumptions, assumption)})


def between(one: Figure, other: Figure, part: Figure) -> Figure:
    """The first figure moved towards the other by a part of their distance, or as many times the other."""
    share = part.value.number
    if share >= 1:
        return other * part
    rest = Quantity(1 - share)
    return one * stated(rest) + other * part


@dataclass(frozen=True)
class Fallback:
    """What counts while a series is not there."""

    value: Quantity
    assumption: Assumption


STRAIGHT = Assumption(
    "straight line",
    "where a series has three or four sizes, too few to choose a law by, its cost grows along the straight "
    "line through them",
)
NO_GROWTH_LAW = Assumption(
    "no law",
    "where no growth law fits a series, the straight line through its points is taken, with its worst "
    "residual on both sides",
)
PROPORTIONAL = Assumption(
    "proportional",
    "where a series has one or two sizes, its cost grows in proportion beyond the larger one",
)
BOUNDED_WORK = Assumption(
    "bounded work",
    "what a request meets takes bounded work whatever the number of tenants known, a look-up by hash or one "
    "step of a reading: where a series has one or two sizes, its cost stays beyond the larger one",
)


TRIALS = "trials"  # the folder of runs that were partial, or on a busy machine
TRIAL = Assumption(
    "trial",
    "the run was a trial, partial or on a busy machine; its notes say how far its figures can be trusted",
)


class Evidence:
    """The results of a folder, by file name without the suffix; those of trials behind the trials' folder."""

    def __init__(self, sweeps: dict[str, Sweep]) -> None:
        self.sweeps = sweeps

    @classmethod
    def read(cls, folder: Path) -> Evidence:
        """All results of a folder. Raises UnusableResult for one that can't be used."""
        if not folder.is_dir():
            raise UnusableResult(f"{folder}: expected a folder of results of sweeps")
        paths = [*sorted(folder.glob("*.json")), *sorted((folder / TRIALS).glob("*.json"))]
        return cls({str(path.relative_to(folder).with_suffix("")): results.read(path) for path in paths})

    def runs_of(self, name: str) -> list[str]:
        """The result of a sweep and its trials, the best first.

        A trial has the sweep's name and a word more; the longest name of a sweep that fits counts.
        """
        trials = [each for each in self.sweeps if each.startswith(f"{TRIALS}/") and _swept(each) == name]
        return [name, *trials] if name in self.sweeps else trials

    def found(self, reference: Reference) -> tuple[Reference, Series] | None:
        """The series that a reference names, where it has readings, with the run that it is of."""
        for run in self.runs_of(reference.sweep):
            for series in self.sweeps[run].series:
                if (series.key, series.against) == (reference.key, reference.against) and series.points:
                    return replace(reference, sweep=run), series
        return None

    def largest_size(self, reference: Reference) -> float:
        """The largest measured size of a series, 0 where there is none."""
        found = self.found(reference)
        return 0.0 if found is None else max(point.size for point in found[1].points)

    def at(self, reference: Reference, size: Quantity, fallback: Fallback) -> Figure:
        """The cost that a series gives at a size; the fallback where there is no such series."""
        found = self.found(reference)
        if found is None:
            return Figure(
                fallback.value,
                fallback.value,
                fallback.value,
                str(fallback.value),
                Basis.NOT_MEASURED,
                (),
                (fallback.assumption,),
            )
        source, series = found
        return _marked(figure_at(series, source, size.value), source)

    def at_bounded_work(self, reference: Reference, size: Quantity, fallback: Fallback) -> Figure:
        """The same for a cost that no size is taken to raise where it has too few sizes to tell."""
        found = self.found(reference)
        if found is None or straight_line(found[1].points) is not None or law_of(found[1]) is not None:
            return self.at(reference, size, fallback)
        source, series = found
        largest = max(series.points, key=lambda point: point.size)
        figure = _mean_of(largest, series, source)
        if size.value > largest.size:
            figure = replace(figure, basis=Basis.ASSUMED, assumptions=(BOUNDED_WORK,))
        return _marked(figure, source)


def _marked(figure: Figure, source: Reference) -> Figure:
    """The figure, which says so where it is of a trial."""
    return resting_on(figure, TRIAL) if source.sweep.startswith(f"{TRIALS}/") else figure


def _swept(trial: str) -> str:
    """The name of the sweep that a trial is of."""
    stem = trial.removeprefix(f"{TRIALS}/")
    return max((name for name in SWEEPS if stem == name or stem.startswith(f"{name}-")), key=len, default="")


def law_of(series: Series) -> Fit | None:
    """The stored fit, or the one that the points give."""
    return series.fit or fit(series.points)


def figure_at(series: Series, reference: Reference, size: float) -> Figure:
    """The mean at a measured size; else by the growth law, a straight line or in proportion."""
    for point in series.points:
        if point.size == size:
            return _mean_of(point, series, reference)
    law = law_of(series)
    if law is not None:
        figure = _by_law(law, series, reference, size)
        return resting_on(figure, NO_GROWTH_LAW) if law.law == NO_LAW else figure
    line = straight_line(series.points)
    if line is None:
        return _in_proportion(series, reference, size)
    return resting_on(_by_law(line, series, reference, size), STRAIGHT)


def _mean_of(point: Point, series: Series, reference: Reference) -> Figure:
    unit = UNITS[series.unit]
    mean = Quantity(fmean(point.readings), unit)
    return Figure(
        mean,
        Quantity(min(point.readings), unit),
        Quantity(max(point.readings), unit),
        f"{mean} at {size_text(point.size)} {series.against.value}",
        Basis.MEASURED,
        (reference,),
    )


def _by_law(law: Fit, series: Series, reference: Reference, size: float) -> Figure:
    unit = UNITS[series.unit]
    found = extrapolate(law, size)
    basis = Basis.FAR if found.far else Basis.EXTRAPOLATED if found.extrapolated else Basis.MEASURED
    return Figure(
        Quantity(found.value, unit),
        Quantity(found.low, unit),
        Quantity(found.high, unit),
        law_text(law, unit, size_text(size)),
        basis,
        (reference,),
    )


def _in_proportion(series: Series, reference: Reference, size: float) -> Figure:
    """At the next size that was measured, or from the largest one on in proportion."""
    above = [point for point in series.points if point.size >= size]
    point = (
        min(above, key=lambda each: each.size) if above else max(series.points, key=lambda each: each.size)
    )
    mean = _mean_of(point, series, reference)
    if above:
        return mean
    factor = Quantity(size / point.size)
    return Figure(
        mean.value * factor,
        mean.low * factor,
        mean.high * factor,
        f"{mean.formula} x {size_text(size)} / {size_text(point.size)}",
        Basis.FAR if size > FAR_RATIO * point.size else Basis.ASSUMED,
        (reference,),
        (PROPORTIONAL,),
    )


def size_text(size: float) -> str:
    """A size for readers."""
    return f"{size:,.0f}"


def law_text(law: Fit, unit: Unit, size: str) -> str:
    """The law as slope x size, for readers."""
    start = Quantity(law.intercept, unit)
    if law.law == CONSTANT:
        return f"{start}, whatever the size"
    grown = {"log n": f"ln {size}", "n log n": f"{size} ln {size}", "n^2": f"{size}²"}.get(law.law, size)
    slope = Quantity(abs(law.slope), unit)
    said = f"{start} {'-' if law.slope < 0 else '+'} {slope} x {grown}"
    return f"no law fits; straight line {said}" if law.law == NO_LAW else said


def stale_fit(series: Series) -> bool:
    """Whether the stored fit differs from what the points give."""
    if series.fit is None:
        return False
    now = fit(series.points)
    if now is None or now.law != series.fit.law:
        return True
    pairs = ((now.intercept, series.fit.intercept), (now.slope, series.fit.slope))
    return any(abs(one - two) > FIT_TOLERANCE * max(abs(one), abs(two)) for one, two in pairs)
