"""Growth laws of measured costs: which law a sweep's points follow, and what it says of another size.

Each law is cost = intercept + slope * f(size), fitted by least squares to the readings. Each is weighed by
its size's mean, since the noise of a cost grows with the cost. AICc chooses among the laws: a law that grows
must beat the constant one by strong evidence, and a steeper law must beat a simpler one clearly.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray
from scipy.special import stdtrit  # type: ignore[import-untyped]  # quantiles of Student's t

from limeridge.scale.results import Fit, Point

FEWEST_SIZES = 5
FEWEST_OF_A_LINE = 3
FAR_RATIO = 8.0  # an extrapolation over more than this many times the largest measured size is marked
GROWTH_EVIDENCE = 10.0  # by how much the AICc of a growing law must undercut the constant one's
STEEPER_EVIDENCE = 2.0  # and that of a steeper law a simpler one's
CONFIDENCE = 0.95
LEAST_WEIGHT_MEAN = 0.01  # a mean under this share of the largest one weighs as if it were this share
EXACT_FIT = 1e-9  # relative error under which two fits are both called exact

Vector = NDArray[np.float64]

CONSTANT = "constant"
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
    aicc: float


def fit(points: Sequence[Point]) -> Fit | None:
    """The law that the points follow, or None for fewer than five sizes.

    Raises ValueError for a size below 1.
    """
    points = [point for point in points if point.readings]
    if len({point.size for point in points}) < FEWEST_SIZES:
        return None
    if any(point.size < 1 for point in points):
        raise ValueError("expected sizes of 1 or more")
    return _as_fit(_choose([_fit_law(law, points) for law in LAWS]), points)


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
    return _as_fit(_fit_law("n", points), points)


def extrapolate(fitted: Fit, size: float) -> Estimate:
    """The cost at a size, with its interval.

    A cost that falls with the size is never taken as less than at the largest measured size.
    """
    reached = min(size, fitted.largest_size) if fitted.slope < 0 else size
    growth = float(LAWS[fitted.law](np.array([reached], dtype=np.float64))[0])
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
    best = min(candidate.aicc for candidate in growing)
    if constant.aicc - best < GROWTH_EVIDENCE:
        return constant
    return next(candidate for candidate in growing if candidate.aicc - best <= STEEPER_EVIDENCE)


def _fit_law(law: str, points: Sequence[Point]) -> _Candidate:
    """Weighted least squares of one law on all readings."""
    sizes = np.array([point.size for point in points for _ in point.readings], dtype=np.float64)
    costs = np.array([reading for point in points for reading in point.readings], dtype=np.float64)
    scales = np.repeat(_scales(points), [len(point.readings) for point in points])
    columns = [np.ones_like(sizes)] if law == CONSTANT else [np.ones_like(sizes), LAWS[law](sizes)]
    design = np.column_stack(columns)
    coefficients, *_ = np.linalg.lstsq(design / scales[:, None], costs / scales, rcond=None)
    errors = (costs - design @ coefficients) / scales
    slope = 0.0 if law == CONSTANT else float(coefficients[1])
    aicc = _aicc(float(errors @ errors), len(costs), len(columns) + 1)
    return _Candidate(law, float(coefficients[0]), slope, aicc)


def _scales(points: Sequence[Point]) -> Vector:
    """The expected noise of each point, up to a common factor: its mean, or a little for a mean of 0."""
    means = np.abs(_means(points))
    largest = float(means.max())
    return np.maximum(means, LEAST_WEIGHT_MEAN * largest) if largest > 0 else np.ones_like(means)


def _means(points: Sequence[Point]) -> Vector:
    return np.array([np.mean(point.readings) for point in points], dtype=np.float64)


def _aicc(squares: float, readings: int, parameters: int) -> float:
    """Akaike's criterion for few readings, infinite for too few; `parameters` counts the noise as one."""
    if readings <= parameters + 1:
        return float("inf")
    variance = max(squares / readings, EXACT_FIT**2)
    correction = 2 * parameters * (parameters + 1) / (readings - parameters - 1)
    return readings * float(np.log(variance)) + 2 * parameters + correction


def _slope_interval(chosen: _Candidate, points: Sequence[Point]) -> tuple[float, float]:
    """The slope's 95% confidence interval.

    Each size counts once, by its mean: readings at one size share what befell their runs.
    """
    if chosen.law == CONSTANT:
        return 0.0, 0.0
    sizes = np.array([point.size for point in points], dtype=np.float64)
    growth = LAWS[chosen.law](sizes)
    weights = 1 / _scales(points) ** 2
    errors = _means(points) - (chosen.intercept + chosen.slope * growth)
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
