"""Report of a load run, as JSON and as a table with changes against another report."""

from pathlib import Path

import msgspec

from vanillareach.emulation.caller import Outcome
from vanillareach.metrics import LatencyHistogram

REPORT_INTERVAL_S = 2.0


class ReportError(ValueError):
    """A report can't be read."""


class KindReport(msgspec.Struct):
    """Results of one kind of request; quantiles in ms.

    `asked` counts all requests; the next four split them by `Outcome`. `first_*` are
    quantiles of the time to the first event, `pause_*` of the longest pause between two
    events of a stream.
    """

    name: str
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    first_p50: float
    first_p95: float
    first_p99: float
    pause_p95: float

    @property
    def in_time_fraction(self):
        """Fraction of the requests that were answered in time; 1.0 without requests."""
        return self.in_time / self.asked if self.asked else 1.0


class IntervalReport(msgspec.Struct):
    """Requests sent in one interval of `REPORT_INTERVAL_S` that starts at `from_s`."""

    from_s: float
    asked: int
    in_time: int


class Report(msgspec.Struct):
    """Results of one load run."""

    scenario: str
    seed: int
    targets: int
    kinds: list[KindReport]
    spans: list[IntervalReport]


def build_report(scenario, targets, records):
    """Return the `Report` of a run.

    Parameters
    ----------
    scenario : Scenario
    targets : int
        Number of gateways.
    records : list of CallRecord
    """
    return Report(
        scenario=scenario.name,
        seed=scenario.seed,
        targets=targets,
        kinds=[
            _kind_report(kind.name, [r for r in records if r.kind == kind.name])
            for kind in scenario.kinds
        ],
        spans=_interval_reports(records),
    )


def _kind_report(name, records):
    first_event_latency, longest_pause = LatencyHistogram(), LatencyHistogram()
    for record in records:
        if record.outcome in (Outcome.IN_TIME, Outcome.LATE):
            first_event_latency.record(record.time_to_first_event_ms)
            longest_pause.record(record.longest_pause_ms)
    count_by_outcome = {
        outcome: sum(record.outcome is outcome for record in records)
        for outcome in Outcome
    }
    return KindReport(
        name=name,
        asked=len(records),
        **{outcome.value: count for outcome, count in count_by_outcome.items()},
        first_p50=first_event_latency.quantile(0.5),
        first_p95=first_event_latency.quantile(0.95),
        first_p99=first_event_latency.quantile(0.99),
        pause_p95=longest_pause.quantile(0.95),
    )


def _interval_reports(records):
    records_by_interval = {}
    for record in records:
        records_by_interval.setdefault(
            int(record.at_s // REPORT_INTERVAL_S), []
        ).append(record)
    return [
        IntervalReport(
            interval * REPORT_INTERVAL_S,
            len(interval_records),
            sum(record.outcome is Outcome.IN_TIME for record in interval_records),
        )
        for interval, interval_records in sorted(records_by_interval.items())
    ]


def write_report(report, path):
    """Write a report as JSON."""
    encoded = msgspec.json.format(msgspec.json.encode(report), indent=1)
    Path(path).write_bytes(encoded + b"\n")


def read_report(path):
    """Read a report from a JSON file.

    Raises
    ------
    ReportError
        If the file can't be read or holds no report.
    """
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Report)
    except (OSError, msgspec.MsgspecError) as error:
        raise ReportError(f"{path}: {error}") from error


def format_table(report, earlier=None):
    """Format a report as a table, with changes against an earlier report."""
    earlier_by_name = {kind.name: kind for kind in earlier.kinds} if earlier else {}
    lines = [
        f"{'kind':20} {'asked':>6} {'in time':>8} {'late':>5} {'refused':>8} "
        f"{'failed':>7} {'p50 ms':>7} {'p95 ms':>7} {'p99 ms':>7} {'pause p95':>10}"
    ]
    for kind in report.kinds:
        lines.append(
            f"{kind.name:20} {kind.asked:6} {kind.in_time_fraction:8.1%} {kind.late:5} "
            f"{kind.refused:8} {kind.failed:7} {kind.first_p50:7.0f} "
            f"{kind.first_p95:7.0f} {kind.first_p99:7.0f} {kind.pause_p95:10.0f}"
        )
        earlier_kind = earlier_by_name.get(kind.name)
        if earlier_kind is not None:
            lines.append(_format_change(earlier_kind, kind))
    return "\n".join(lines)


def _format_change(earlier_kind, kind):
    change_in_points = 100 * (kind.in_time_fraction - earlier_kind.in_time_fraction)
    p95_ratio = (
        kind.first_p95 / earlier_kind.first_p95
        if earlier_kind.first_p95
        else float("nan")
    )
    return (
        f"{'  against earlier':20} {change_in_points:+15.1f} points in time, "
        f"p95 {p95_ratio:.2f} x"
    )
