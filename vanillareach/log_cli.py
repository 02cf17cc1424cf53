"""Commands that read decision logs."""

import sys
from typing import Annotated

import typer

from vanillareach.decision_log import (
    collect_predictions,
    prediction_error_table,
    read_lines,
    request_timeline,
)

LogFiles = Annotated[
    list[str] | None, typer.Argument(help="Logs of any instances; none reads stdin.")
]


def register_log_commands(app):
    """Add the commands to the command line."""
    app.command(name="explain")(explain)
    app.command(name="predictions")(show_predictions)


def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the caller's attempt.")],
    files: LogFiles = None,
):
    """Show the timeline of a request from logs, with events at its endpoints."""
    timeline = request_timeline(_read_log_files(files), request_id)
    if not timeline:
        typer.echo(f"explain: no log line of request {request_id!r}", err=True)
        raise typer.Exit(1)
    typer.echo(timeline)


def show_predictions(files: LogFiles = None):
    """Show how far predicted times to the first event were from observed ones."""
    typer.echo(prediction_error_table(collect_predictions(_read_log_files(files))))


def _read_log_files(files):
    if not files:
        return list(read_lines(sys.stdin))
    lines = []
    for path in files:
        try:
            with open(path, encoding="utf-8", errors="replace") as stream:
                lines += read_lines(stream)
        except OSError as error:
            typer.echo(f"logs: {error}", err=True)
            raise typer.Exit(2) from error
    return lines
