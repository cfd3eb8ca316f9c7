"""Arithmetic on measurements: straight lines with their errors, and percentiles."""

from __future__ import annotations

import math
from collections.abc import Sequence

from attrs import frozen

__all__ = ["Line", "fit_line", "percentile"]


@frozen
class Line:
    """`y = intercept + slope * x`, fitted by least squares."""

    #: Growth of `y` for one more `x`.
    slope: float
    #: `y` at zero.
    intercept: float
    #: Standard error of the slope.
    slope_error: float
    #: Standard error of a point on the line at the mean of `x`.
    residual: float
    #: Mean of `x`, and sum of squares around it.
    mean_x: float
    spread_x: float
    #: Points fitted.
    points: int

    def at(self, x: float) -> float:
        """The line at `x`."""
        return self.intercept + self.slope * x

    def error_at(self, x: float) -> float:
        """Standard error of the line at `x`, growing with the distance from what was measured."""
        if self.points < 3:
            return math.inf
        return self.residual * math.sqrt(1 / self.points + (x - self.mean_x) ** 2 / self.spread_x)


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Fit a line through at least two points with different `x`; raises `ValueError`.

    Example:

        fit_line([0, 1, 2], [1, 3, 5]).slope        # 2.0
    """
    count = len(xs)
    if count != len(ys) or len(set(xs)) < 2:
        raise ValueError("a line needs two points with different x")
    mean_x = sum(xs) / count
    mean_y = sum(ys) / count
    spread_x = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread_x
    intercept = mean_y - slope * mean_x
    squares = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    residual = math.sqrt(squares / (count - 2)) if count > 2 else math.inf
    return Line(
        slope=slope,
        intercept=intercept,
        slope_error=residual / math.sqrt(spread_x),
        residual=residual,
        mean_x=mean_x,
        spread_x=spread_x,
        points=count,
    )


def percentile(values: Sequence[float], percent: float) -> float:
    """The smallest value that is not below `percent` of all; raises `ValueError` for none."""
    if not values:
        raise ValueError("no values")
    ordered = sorted(values)
    rank = math.ceil(len(ordered) * percent / 100)
    return ordered[min(len(ordered), max(1, rank)) - 1]
