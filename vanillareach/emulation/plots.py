"""Plots of a load report, optionally with an earlier one for comparison."""


class PlotsMissingError(RuntimeError):
    """The plotting library isn't installed."""


def plot_reports(path, report, earlier=None):
    """Write an SVG with the fraction in time over the run and quantiles by kind.

    Raises
    ------
    PlotsMissingError
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise PlotsMissingError("install vanillareach[plots] for plots") from error
    figure = Figure(figsize=(10, 4), layout="constrained")
    in_time_axes, quantile_axes = figure.subplots(1, 2)
    reports = [("this run", report, "C0")]
    if earlier is not None:
        reports.insert(0, ("earlier", earlier, "C7"))
    for label, plotted_report, color in reports:
        in_time_axes.plot(
            [interval.from_s for interval in plotted_report.spans],
            [interval.in_time / interval.asked for interval in plotted_report.spans],
            label=label,
            color=color,
        )
        _plot_quantiles(quantile_axes, label, plotted_report, color)
    in_time_axes.set(xlabel="s from the start", ylabel="share in time", ylim=(0, 1.02))
    in_time_axes.legend()
    quantile_axes.set(ylabel="first event, ms", yscale="log")
    quantile_axes.legend()
    figure.suptitle(report.scenario)
    figure.savefig(path, format="svg")


def _plot_quantiles(axes, label, report, color):
    names = [kind.name for kind in report.kinds]
    axes.plot(names, [k.first_p95 for k in report.kinds], "o", label=label, color=color)
    axes.plot(names, [k.first_p50 for k in report.kinds], "_", color=color)
