"""Command that shows the state of gateways: versions in force, endpoints, budgets."""

from collections import Counter
from typing import Annotated

import typer

REQUEST_TIMEOUT_S = 3.0
EMPTY_CELL = "-"
# Start of the standing of a cold endpoint, which is usable within its limit.
COLD_STANDING = "cold"
# Instances that fit on a screen.
DEFAULT_ROWS = 40
# A list that the store confirmed longer ago makes an instance odd.
ODD_LIST_AGE_MS = 5_000.0


def register_gateways_command(app):
    """Add the command to the command line."""
    app.command(name="gateways")(show_gateways)


def show_gateways(
    at: Annotated[
        str, typer.Option(help="Metrics addresses of gateways, host:port,host:port.")
    ] = "127.0.0.1:8112",
    endpoints: Annotated[
        bool, typer.Option(help="Show each endpoint, as the first gateway sees it.")
    ] = False,
    rows: Annotated[
        int, typer.Option(min=1, help="Instances shown; the odd ones come first.")
    ] = DEFAULT_ROWS,
):
    """Show versions in force, peers heard, unusable endpoints and retry budgets."""
    reports_by_address = {
        address: _fetch_report(address) for address in at.split(",") if address.strip()
    }
    typer.echo(instances_table(reports_by_address, rows))
    received_reports = [report for report in reports_by_address.values() if report]
    if received_reports and endpoints:
        typer.echo(endpoints_table(received_reports[0]))
    if len(received_reports) < len(reports_by_address):
        raise typer.Exit(1)


def instances_table(reports_by_address, row_count=DEFAULT_ROWS):
    """Return a row for each instance as text, the odd ones first.

    Parameters
    ----------
    reports_by_address : dict of str to InstanceReport or None
        None stands for an instance that did not answer.
    row_count : int
        Rows shown; a line says how many more there are.
    """
    lines = [
        f"{'instance':16} {'domain':10} {'role':6} {'version':>7} {'age ms':>7} "
        f"{'list ms':>8} {'flights':>7} {'held':>5} {'peers':>6} {'not usable':>11} "
        f"{'cold':>5}  retries left, requests waiting by priority"
    ]
    newest_version = max(
        (r.configuration_version for r in reports_by_address.values() if r), default=-1
    )
    ordered = sorted(
        reports_by_address.items(),
        key=lambda item: not _is_odd(item[1], newest_version),
    )
    lines += [_instance_row(address, report) for address, report in ordered[:row_count]]
    if len(ordered) > row_count:
        hidden = [report for _, report in ordered[row_count:]]
        odd_count = sum(_is_odd(report, newest_version) for report in hidden)
        lines.append(f"{len(hidden)} more, {odd_count} of them odd")
    lines += _evacuation_lines([r for r in reports_by_address.values() if r])
    return "\n".join(lines)


def _evacuation_lines(reports):
    """Return a line for each evacuated domain, with the instances that know it."""
    counts = Counter(domain for r in reports for domain in r.evacuated_domains)
    return [
        f"evacuated: {domain} ({count} of {len(reports)})"
        for domain, count in sorted(counts.items())
    ]


def _is_odd(report, newest_version):
    """Return whether an instance differs from what all should be like."""
    return (
        report is None
        or not report.is_ready
        or report.configuration_version < newest_version
        or not 0 <= report.list_age_ms <= ODD_LIST_AGE_MS
    )


def _instance_row(address, report):
    if report is None:
        return f"{address:16} no answer"
    heard_peer_count = sum(peer.heard_ms_ago >= 0 for peer in report.peers)
    cold_count = sum(e.cold_ms > 0 for e in report.endpoints)
    unusable_count = sum(
        e.standing != "usable" and not e.standing.startswith(COLD_STANDING)
        for e in report.endpoints
    )
    retries_left = report.retries_left_by_service
    retries = " ".join(f"{name}={count}" for name, count in retries_left.items())
    waiting = "".join(
        f"  waiting {name} "
        + " ".join(f"{priority}:{count}" for priority, count in sorted(counts.items()))
        for name, counts in report.waiting_by_service.items()
    )
    role = "placer" if report.is_placer else EMPTY_CELL
    return (
        f"{report.name:16} {report.domain:10} {role:6} "
        f"{report.configuration_version:7} {report.configuration_age_ms:7.0f} "
        f"{report.list_age_ms:8.0f} {report.flights:7} {report.reservations:5} "
        f"{heard_peer_count:6} {unusable_count:11} {cold_count:5}  "
        f"{retries or EMPTY_CELL}{waiting}"
    )


def endpoints_table(report):
    """Return a row for each endpoint, as one instance sees it, as text."""
    lines = [
        f"{'endpoint':20} {'service':14} {'domain':10} {'standing':28} "
        f"{'failed':>7} {'pace':>5} {'running':>8} {'reading ms':>11} "
        f"{'cold ms':>8}"
    ]
    lines += [
        f"{e.id:20} {e.service:14} {e.domain:10} {e.standing:28} "
        f"{e.failure_share:7.2f} {e.pace:5.2f} {e.running:8} {e.reading_ms:11.0f} "
        f"{e.cold_ms:8.0f}"
        for e in report.endpoints
    ]
    return "\n".join(lines)


def _fetch_report(address):
    """Return the `InstanceReport` of one gateway, or None if it doesn't answer."""
    import httpcore
    import msgspec

    from vanillareach.gateway.report import STATE_PATH, InstanceReport
    from vanillareach.single_calls import call_once

    url = f"http://{address.strip()}{STATE_PATH}"
    try:
        response = call_once("GET", url, REQUEST_TIMEOUT_S)
        return msgspec.json.decode(response.content, type=InstanceReport)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        msgspec.MsgspecError,
    ) as error:
        typer.echo(f"gateways: {address}: {error}", err=True)
        return None
