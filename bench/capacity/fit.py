"""Straight lines through measured points."""

import statistics

import msgspec


class Point(msgspec.Struct):
    """One measurement of one quantity."""

    size: float
    value: float


class FittedLine(msgspec.Struct):
    """A straight line fitted to points.

    Attributes
    ----------
    role, quantity, unit : str
        Measured role, quantity and its unit.
    axis : str
        What the sizes count.
    points : list of Point
    slope, intercept : float
    residual : float
        Largest distance of a point from the line, as a share of the largest value.
    """

    role: str
    quantity: str
    unit: str
    axis: str
    points: list[Point]
    slope: float = 0.0
    intercept: float = 0.0
    residual: float = 0.0

    def value_at(self, size):
        """Return the fitted value at a size."""
        return self.intercept + self.slope * size


def fit_line(role, quantity, unit, axis, points):
    """Return the `FittedLine` through points given as (size, value) pairs."""
    sizes = [float(size) for size, _ in points]
    values = [float(value) for _, value in points]
    line = statistics.linear_regression(sizes, values)
    distances = [
        abs(value - line.intercept - line.slope * size)
        for size, value in zip(sizes, values, strict=True)
    ]
    largest = max(abs(value) for value in values) or 1.0
    return FittedLine(
        role,
        quantity,
        unit,
        axis,
        [Point(size, value) for size, value in zip(sizes, values, strict=True)],
        line.slope,
        line.intercept,
        max(distances) / largest,
    )
