"""Growth laws of measured costs: which law a sweep's points follow, and what it says of another size.

Each law is cost = intercept + slope * f(size), fitted by weighted least squares to the readings. The noise of
a cost grows with the cost, so readings are weighed by what the law itself gives at their size, and laws are
compared by the logarithm of reading over law. A law that grows must beat the constant one by strong evidence,
beside what noise alone is presumed to do; a steeper law must beat a simpler one clearly. Where the chosen law
is far from some point, no law fits: the series is told as that, with the straight line through it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np
from msgspec.structs import replace
from numpy.typing import NDArray
from scipy.special import stdtrit  # type: ignore[import-untyped]  # quantiles of Student's t

from limeridge.scale.results import Fit, Point

FEWEST_SIZES = 5
FEWEST_OF_A_LINE = 3
FAR_RATIO = 8.0  # an extrapolation over more than this many times the largest measured size is marked
GROWTH_EVIDENCE = 10.0  # by how much a growing law must undercut the constant one's criterion
STEEPER_EVIDENCE = 2.0  # and a steeper law a simpler one's
PRESUMED_NOISE = 0.1  # relative noise of a reading, before any was seen
PRESUMED_READINGS = 3.0  # how many readings that presumption is worth
MOST_RESIDUAL = 0.5  # relative distance of a point from the chosen law, above which no law fits
REWEIGHTINGS = 8  # rounds of least squares, each weighed by the law of the round before
CONFIDENCE = 0.95
LEAST_WEIGHT_MEAN = 0.01  # a mean under this share of the largest one weighs as if it were this share
EXACT_FIT = 1e-9  # relative error under which two fits are both called exact

Vector = NDArray[np.float64]

CONSTANT = "constant"
LINE = "n"
NO_LAW = "none"  # of a series that none of the laws fits; its slope is that of a straight line
LAWS: dict[str, Callable[[Vector], Vector]] = {  # from the simplest to the steepest
    CONSTANT: np.zeros_like,
    "log n": np.log,
    "n": lambda size: size,
    "n log n": lambda size: size * np.log(size),
    "n^2": lambda size: size**2,
}


@dataclass(frozen=True)
class Estimate:
    """What a fit says of one size, in the unit of its series."""

    value: float
    low: float  # of the slope's 95% confidence interval, widened by the fit's worst residual, at most doubled
    high: float
    extrapolated: bool  # beyond the largest measured size
    far: bool  # beyond it by more than FAR_RATIO


@dataclass(frozen=True)
class _Candidate:
    """One law as fitted: its coefficients and how well it does."""

    law: str
    intercept: float
    slope: float
    squares: float  # of the logarithms of reading over law
    readings: int

    @property
    def criterion(self) -> float:
        """Twice the negative logarithm of the likelihood, up to a constant: less is better."""
        return self.readings * float(np.log(max(self.squares / self.readings, EXACT_FIT**2)))

    @property
    def cautious_criterion(self) -> float:
        """The same beside the presumed noise, for few readings may lie near a law by chance."""
        readings = self.readings + PRESUMED_READINGS
        squares = self.squares + PRESUMED_READINGS * PRESUMED_NOISE**2
        return readings * float(np.log(squares / readings))


def fit(points: Sequence[Point]) -> Fit | None:
    """The law that the points follow, `NO_LAW` where none does, or None for fewer than five sizes.

    Raises ValueError for a size below 1.
    """
    points = [point for point in points if point.readings]
    if len({point.size for point in points}) < FEWEST_SIZES:
        return None
    if any(point.size < 1 for point in points):
        raise ValueError("expected sizes of 1 or more")
    chosen = _as_fit(_choose([_fit_law(law, points) for law in LAWS]), points)
    if chosen.worst_residual <= MOST_RESIDUAL:
        return chosen
    return replace(_as_fit(_fit_law(LINE, points), points), law=NO_LAW)


def _as_fit(chosen: _Candidate, points: Sequence[Point]) -> Fit:
    slope_low, slope_high = _slope_interval(chosen, points)
    return Fit(
        law=chosen.law,
        intercept=chosen.intercept,
        slope=chosen.slope,
        slope_low=slope_low,
        slope_high=slope_high,
        worst_residual=_worst_residual(chosen, points),
        largest_size=max(point.size for point in points),
    )


def straight_line(points: Sequence[Point]) -> Fit | None:
    """The line through too few sizes to choose a law by; None for fewer than three."""
    points = [point for point in points if point.readings]
    if len({point.size for point in points}) < FEWEST_OF_A_LINE:
        return None
    return _as_fit(_fit_law(LINE, points), points)


def grown(law: str, size: float) -> float:
    """What a law's slope is multiplied with at a size."""
    return float(LAWS.get(law, LAWS[LINE])(np.array([size], dtype=np.float64))[0])


def extrapolate(fitted: Fit, size: float) -> Estimate:
    """The cost at a size, with its interval.

    A cost that falls with the size is never taken as less than at the largest measured size.
    """
    reached = min(size, fitted.largest_size) if fitted.slope < 0 else size
    growth = grown(fitted.law, reached)
    value = max(0.0, fitted.intercept + fitted.slope * growth)
    doubt = min(1.0, fitted.worst_residual)
    ends = sorted(
        (fitted.intercept + fitted.slope_low * growth, fitted.intercept + fitted.slope_high * growth)
    )
    return Estimate(
        value=value,
        low=max(0.0, ends[0] * (1 - doubt)),
        high=max(value, ends[1] * (1 + doubt)),
        extrapolated=size > fitted.largest_size,
        far=size > FAR_RATIO * fitted.largest_size,
    )


def _choose(candidates: Sequence[_Candidate]) -> _Candidate:
    """The simplest law that no steeper one clearly beats."""
    constant, *growing = candidates
    least = min(candidate.cautious_criterion for candidate in growing)
    if constant.cautious_criterion - least < GROWTH_EVIDENCE:
        return constant
    best = min(candidate.criterion for candidate in growing)
    return next(candidate for candidate in growing if candidate.criterion - best <= STEEPER_EVIDENCE)


def _fit_law(law: str, points: Sequence[Point]) -> _Candidate:
    """Least squares of one law on all readings, weighed by what the law gives."""
    sizes = np.array([point.size for point in points for _ in point.readings], dtype=np.float64)
    costs = np.array([reading for point in points for reading in point.readings], dtype=np.float64)
    columns = [np.ones_like(sizes)] if law == CONSTANT else [np.ones_like(sizes), LAWS[law](sizes)]
    design = np.column_stack(columns)
    floor = _floor(points)
    scales = np.maximum(np.abs(costs), floor)
    for _ in range(REWEIGHTINGS):
        coefficients, *_ = np.linalg.lstsq(design / scales[:, None], costs / scales, rcond=None)
        fitted = design @ coefficients
        scales = np.maximum(np.abs(fitted), floor)
    errors = np.log(np.maximum(costs, floor) / np.maximum(fitted, floor))
    slope = 0.0 if law == CONSTANT else float(coefficients[1])
    return _Candidate(law, float(coefficients[0]), slope, float(errors @ errors), len(costs))


def _floor(points: Sequence[Point]) -> float:
    """The least cost that is told from nothing."""
    largest = float(np.abs(_means(points)).max())
    return LEAST_WEIGHT_MEAN * largest if largest > 0 else 1.0


def _means(points: Sequence[Point]) -> Vector:
    return np.array([np.mean(point.readings) for point in points], dtype=np.float64)


def _slope_interval(chosen: _Candidate, points: Sequence[Point]) -> tuple[float, float]:
    """The slope's 95% confidence interval.

    Each size counts once, by its mean: readings at one size share what befell their runs.
    """
    if chosen.law == CONSTANT:
        return 0.0, 0.0
    sizes = np.array([point.size for point in points], dtype=np.float64)
    growth = LAWS[chosen.law](sizes)
    fitted = chosen.intercept + chosen.slope * growth
    weights = 1 / np.maximum(np.abs(fitted), _floor(points)) ** 2
    errors = _means(points) - fitted
    freedom = len(points) - 2
    variance = float(np.sum(weights * errors**2)) / freedom
    centre = float(np.average(growth, weights=weights))
    spread = float(np.sum(weights * (growth - centre) ** 2))
    reach = float(stdtrit(freedom, (1 + CONFIDENCE) / 2)) * float(np.sqrt(variance / spread))
    return chosen.slope - reach, chosen.slope + reach


def _worst_residual(chosen: _Candidate, points: Sequence[Point]) -> float:
    """The largest distance of a size's mean from the fit, relative to the fit; 0 where both are nothing."""
    sizes = np.array([point.size for point in points], dtype=np.float64)
    fitted = chosen.intercept + chosen.slope * LAWS[chosen.law](sizes)
    distances = np.abs(_means(points) - fitted)
    scales = np.maximum(np.abs(fitted), LEAST_WEIGHT_MEAN * np.abs(_means(points)).max())
    return float(np.max(np.divide(distances, scales, out=np.zeros_like(distances), where=scales > 0)))
