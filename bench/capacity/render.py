"""Renders the tables of docs/CAPACITY.md and the plots from the figures file."""

import re
from pathlib import Path

import msgspec

from bench.capacity import target
from bench.capacity.fit import FittedLine
from bench.capacity.roles import Cost

CAPACITY_PAGE = Path("docs/CAPACITY.md")
CAPACITY_FOLDER = Path("docs/capacity")
FIGURES_FILE = CAPACITY_FOLDER / "figures.json"


class CapacityFigures(msgspec.Struct):
    """All fitted lines and the costs computed from them."""

    slopes: list[FittedLine]
    costs: list[Cost]


def read_figures():
    """Return the committed figures."""
    return msgspec.json.decode(FIGURES_FILE.read_bytes(), type=CapacityFigures)


def write_figures(figures):
    """Write the figures file."""
    CAPACITY_FOLDER.mkdir(exist_ok=True)
    encoded = msgspec.json.encode(figures)
    FIGURES_FILE.write_bytes(msgspec.json.format(encoded, indent=1) + b"\n")


def _table_row(*cells):
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def slopes_table(figures):
    """Return the table of fitted lines."""
    lines = [
        _table_row(
            "role", "quantity", "against", "measured at", "slope", "at 0", "residual"
        ),
        _table_row(*["---"] * 7),
    ]
    for slope in figures.slopes:
        point_sizes = ", ".join(f"{point.size:g}" for point in slope.points)
        lines.append(
            _table_row(
                slope.role,
                f"{slope.quantity}, {slope.unit}",
                slope.axis,
                point_sizes,
                f"{slope.slope:.4g}",
                f"{slope.intercept:.4g}",
                f"{100 * slope.residual:.0f}%",
            )
        )
    return "\n".join(lines)


def roles_table(figures):
    """Return the table of roles at the target size."""
    lines = [
        _table_row(
            "role",
            "state",
            "mechanism",
            "core %",
            "MB",
            "B/s",
            "messages/s",
            "platform writes/s",
            "platform reads/s",
        ),
        _table_row(*["---"] * 9),
    ]
    for cost in figures.costs:
        lines.append(
            _table_row(
                cost.role if cost.is_control else f"{cost.role} (data path)",
                cost.state,
                cost.mechanism,
                f"{cost.cpu_percent:.2f}",
                f"{cost.memory_mb:.2f}",
                f"{cost.bytes_per_second:.0f}",
                f"{cost.messages_per_second:.1f}",
                f"{cost.platform_writes:.0f}",
                f"{cost.platform_reads:.0f}",
            )
        )
    return "\n".join(lines)


def limits_table(figures):
    """Return the table of each role's first limit and its day of failures."""
    lines = [
        _table_row("role", "breaks first", "failure day"),
        _table_row(*["---"] * 3),
    ]
    lines += [
        _table_row(cost.role, cost.breaks, cost.failure_day) for cost in figures.costs
    ]
    return "\n".join(lines)


def _sum_field(costs, field):
    """Return the sum of a field; of each duty only the most expensive role counts."""
    total, max_by_duty = 0.0, {}
    for cost in costs:
        value = getattr(cost, field)
        if cost.duty:
            max_by_duty[cost.duty] = max(value, max_by_duty.get(cost.duty, 0.0))
        else:
            total += value
    return total + sum(max_by_duty.values())


def sums_table(figures):
    """Return the table of sums and their bounds, the nearest bound first."""
    control = [cost for cost in figures.costs if cost.is_control]
    rows = [
        ("processor, % of a core a node", "cpu_percent", target.CPU_BOUND_PERCENT),
        ("memory, MB a node", "memory_mb", target.MEMORY_BOUND_MB),
        (
            "traffic, B/s a node",
            "bytes_per_second",
            target.CONTROL_TRAFFIC_BOUND_BYTES_PER_S,
        ),
        ("platform writes/s, fleet", "platform_writes", target.PLATFORM_WRITES_BOUND),
        ("platform reads/s, fleet", "platform_reads", target.PLATFORM_READS_BOUND),
    ]
    sums = [(name, _sum_field(control, field), bound) for name, field, bound in rows]
    sums.sort(key=lambda item: -item[1] / item[2])
    lines = [
        _table_row("control", "sum", "bound", "used", "verdict"),
        _table_row(*["---"] * 5),
    ]
    for name, value, bound in sums:
        share = value / bound
        verdict = "held" if share <= 1 else "**past the bound**"
        lines.append(
            _table_row(name, f"{value:.4g}", bound, f"{100 * share:.0f}%", verdict)
        )
    return "\n".join(lines)


TABLES = {
    "sums": sums_table,
    "roles": roles_table,
    "limits": limits_table,
    "slopes": slopes_table,
}


def render_page(text, figures):
    """Return the page with all its tables rendered from the figures."""
    for name, render in TABLES.items():
        pattern = rf"(<!-- table {name} -->\n).*?(<!-- end -->)"
        table = render(figures)
        text = re.sub(
            pattern,
            lambda match, t=table: f"{match[1]}{t}\n{match[2]}",
            text,
            flags=re.S,
        )
    return text


def write_page(figures):
    """Render the tables of the page in place."""
    CAPACITY_PAGE.write_text(render_page(CAPACITY_PAGE.read_text(), figures))


def write_plots(figures):
    """Draw one plot for each role; needs the ``plots`` extra."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "vanillareach"
    from matplotlib import pyplot

    roles = sorted({slope.role for slope in figures.slopes})
    for role in roles:
        slopes = [slope for slope in figures.slopes if slope.role == role]
        role_plot, axes = pyplot.subplots(1, len(slopes), figsize=(4 * len(slopes), 3))
        for axes_of_line, slope in zip(
            axes if len(slopes) > 1 else [axes], slopes, strict=True
        ):
            point_sizes = [point.size for point in slope.points]
            axes_of_line.plot(point_sizes, [point.value for point in slope.points], "o")
            axes_of_line.plot(
                point_sizes, [slope.value_at(size) for size in point_sizes], "-"
            )
            axes_of_line.set_xlabel(slope.axis)
            axes_of_line.set_ylabel(f"{slope.quantity}, {slope.unit}")
            axes_of_line.set_title(role)
        role_plot.tight_layout()
        name = role.replace(" ", "-")
        role_plot.savefig(CAPACITY_FOLDER / f"{name}.svg", metadata={"Date": None})
        pyplot.close(role_plot)
