"""Command line: the entry daemon, the operators' client and the stand-ins."""

import inspect
from typing import Annotated

import typer

import vanillareach.early_signals  # noqa: F401
from vanillareach.emulation.cli import register_emulation_commands
from vanillareach.gateway.settings import GATEWAY_SETTINGS, GatewaySettings
from vanillareach.gateways_cli import register_gateways_command
from vanillareach.log_cli import register_log_commands
from vanillareach.operator_cli import register_operator_commands
from vanillareach.settings import SETTINGS, Settings, SettingsError
from vanillareach.standins.cli import standin_app

app = typer.Typer(
    help="Serving layer for language models.",
    no_args_is_help=True,
    add_completion=False,
)


def _run_entry(**values):
    """Run one entry instance."""
    # Imported here so that other commands don't load the daemon's dependencies.
    from vanillareach.application import run_application
    from vanillareach.log import configure_logs

    try:
        settings = Settings(**values)
    except SettingsError as error:
        typer.echo(f"entry: {error}", err=True)
        raise typer.Exit(2) from error
    configure_logs(settings.log_format, settings.log_level)
    run_application(settings)


def _run_gateway(**values):
    """Run one gateway instance on the users' platform."""
    from vanillareach.gateway.__main__ import run_on_platform

    try:
        settings = GatewaySettings(**values)
    except SettingsError as error:
        typer.echo(f"gateway: {error}", err=True)
        raise typer.Exit(2) from error
    run_on_platform(settings)


def _signature_from_settings(table):
    return inspect.Signature(
        [
            inspect.Parameter(
                setting.name,
                inspect.Parameter.KEYWORD_ONLY,
                default=setting.default,
                annotation=Annotated[
                    setting.type,
                    typer.Option(
                        setting.flag,
                        envvar=setting.variable,
                        help=f"{setting.help} [{setting.unit}]"
                        if setting.unit
                        else setting.help,
                    ),
                ],
            )
            for setting in table
        ]
    )


def _add_daemon_command(name, function, table):
    function.__signature__ = _signature_from_settings(table)
    function.__annotations__ = {
        parameter.name: parameter.annotation
        for parameter in function.__signature__.parameters.values()
    }
    app.command(name)(function)


_add_daemon_command("entry", _run_entry, SETTINGS)
_add_daemon_command("gateway", _run_gateway, GATEWAY_SETTINGS)

register_operator_commands(app)
register_emulation_commands(app)
register_log_commands(app)
register_gateways_command(app)
app.add_typer(standin_app, name="standin")


def main():
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
