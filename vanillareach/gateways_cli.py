"""Command that shows the state of gateways: versions in force, endpoints, budgets."""

from typing import Annotated

import typer

REQUEST_TIMEOUT_S = 3.0
EMPTY_CELL = "-"


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
):
    """Show versions in force, peers heard, unusable endpoints and retry budgets."""
    reports_by_address = {
        address: _fetch_report(address) for address in at.split(",") if address.strip()
    }
    typer.echo(instances_table(reports_by_address))
    received_reports = [report for report in reports_by_address.values() if report]
    if received_reports and endpoints:
        typer.echo(endpoints_table(received_reports[0]))
    if len(received_reports) < len(reports_by_address):
        raise typer.Exit(1)


def instances_table(reports_by_address):
    """Return a row for each instance as text.

    A report that is None stands for an instance that did not answer.
    """
    lines = [
        f"{'instance':16} {'domain':10} {'version':>7} {'age ms':>7} {'list ms':>8} "
        f"{'flights':>7} {'held':>5} {'peers':>6} {'not usable':>11}  retries left"
    ]
    for address, report in reports_by_address.items():
        if report is None:
            lines.append(f"{address:16} no answer")
            continue
        heard_peer_count = sum(peer.heard_ms_ago >= 0 for peer in report.peers)
        unusable_count = sum(e.standing != "usable" for e in report.endpoints)
        retries_left = report.retries_left_by_service
        retries = " ".join(f"{name}={count}" for name, count in retries_left.items())
        lines.append(
            f"{report.name:16} {report.domain:10} {report.configuration_version:7} "
            f"{report.configuration_age_ms:7.0f} {report.list_age_ms:8.0f} "
            f"{report.flights:7} {report.reservations:5} {heard_peer_count:6} "
            f"{unusable_count:11}  {retries or EMPTY_CELL}"
        )
    return "\n".join(lines)


def endpoints_table(report):
    """Return a row for each endpoint, as one instance sees it, as text."""
    lines = [
        f"{'endpoint':20} {'service':14} {'domain':10} {'standing':12} "
        f"{'failed':>7} {'pace':>5} {'running':>8} {'reading ms':>11}"
    ]
    lines += [
        f"{e.id:20} {e.service:14} {e.domain:10} {e.standing:12} "
        f"{e.failure_share:7.2f} {e.pace:5.2f} {e.running:8} {e.reading_ms:11.0f}"
        for e in report.endpoints
    ]
    return "\n".join(lines)


def _fetch_report(address):
    """Return the `InstanceReport` of one gateway, or None if it doesn't answer."""
    import httpcore
    import msgspec

    from vanillareach.gateway.report import STATE_PATH, InstanceReport

    timeouts = {"connect": REQUEST_TIMEOUT_S, "read": REQUEST_TIMEOUT_S}
    try:
        response = httpcore.request(
            "GET",
            f"http://{address.strip()}{STATE_PATH}",
            extensions={"timeout": timeouts},
        )
        return msgspec.json.decode(response.content, type=InstanceReport)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        msgspec.MsgspecError,
    ) as error:
        typer.echo(f"gateways: {address}: {error}", err=True)
        return None
