"""Measured figures with their bounds, printed one a line."""

import sys

import msgspec


class Figure(msgspec.Struct):
    """One measured figure and the bound from the stated target.

    Attributes
    ----------
    name : str
    value : float
    unit : str
    bound : float or None
        Greatest value allowed; None for a figure without a bound.
    aim : float or None
        Value aimed for, below the bound.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    aim: float | None = None

    @property
    def is_within_bound(self):
        """Whether the value is within its bound."""
        return self.bound is None or self.value <= self.bound

    def format_line(self):
        """Return the figure as one line of text."""
        bound = "" if self.bound is None else f"  bound {self.bound:g}"
        aim = "" if self.aim is None else f"  aim {self.aim:g}"
        verdict = (
            "" if self.bound is None else ("  ok" if self.is_within_bound else "  PAST")
        )
        return f"{self.name:<64} {self.value:>10.4g} {self.unit}{bound}{aim}{verdict}"


def report(figures):
    """Print all figures and return the process's exit code."""
    for figure in figures:
        print(figure.format_line())
    sys.stdout.flush()
    return 0 if all(figure.is_within_bound for figure in figures) else 1
