"""Measures all roles, writes the figures file and renders the page and the plots."""

import sys

from bench.capacity.fleet_roles import FLEET_ROLES
from bench.capacity.processes import PROCESS_ROLES
from bench.capacity.render import (
    CAPACITY_PAGE,
    CapacityFigures,
    read_figures,
    render_page,
    write_figures,
    write_page,
    write_plots,
)
from bench.capacity.roles import CORE_ROLES
from bench.capacity.upkeep_roles import UPKEEP_ROLES
from vanillareach.log import configure_logs

ROLES = (*PROCESS_ROLES, *CORE_ROLES, *FLEET_ROLES, *UPKEEP_ROLES)


def measure():
    """Measure every role and return the `CapacityFigures`."""
    slopes, costs = [], []
    for role in ROLES:
        measured = role.measure()
        slopes += measured
        lines_by_quantity = {slope.quantity: slope for slope in measured}
        costs.append(role.cost(lines_by_quantity))
        print(f"measured {role.name}", flush=True)
    return CapacityFigures(slopes, costs)


def recompute():
    """Return the `CapacityFigures` with costs computed anew from the stored lines."""
    slopes = read_figures().slopes
    costs = []
    for role in ROLES:
        lines_by_quantity = {s.quantity: s for s in slopes if s.role == role.name}
        costs.append(role.cost(lines_by_quantity))
    return CapacityFigures(slopes, costs)


def run(arguments):
    """Run the command.

    ``--check`` only compares the page with the figures; ``--recompute`` computes the
    costs again from the lines that were fitted before.
    """
    if "--check" in arguments:
        text = CAPACITY_PAGE.read_text()
        if render_page(text, read_figures()) != text:
            print("docs/CAPACITY.md differs from docs/capacity/figures.json")
            return 1
        return 0
    configure_logs(level="error")
    figures = recompute() if "--recompute" in arguments else measure()
    write_figures(figures)
    write_page(figures)
    write_plots(figures)
    print(f"wrote {CAPACITY_PAGE}")
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
