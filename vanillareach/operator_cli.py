"""Operators' client: plans, applies and shows configuration through any entry."""

import tomllib
from pathlib import Path
from typing import Annotated

import httpcore
import msgspec
import typer

from vanillareach.core.objects import CONFIGURATION_KINDS
from vanillareach.single_calls import call_once

ADDRESS_VARIABLE = "VANILLAREACH_ENTRY"
TOKEN_VARIABLE = "VANILLAREACH_OPERATOR_TOKEN"
CALL_TIMEOUT_S = 30

Address = Annotated[
    str, typer.Option("--entry", envvar=ADDRESS_VARIABLE, help="host:port of an entry.")
]
Token = Annotated[
    str, typer.Option("--token", envvar=TOKEN_VARIABLE, help="Operators' token.")
]
File = Annotated[Path, typer.Argument(help="TOML file with one object.")]
DEFAULT_ADDRESS = "127.0.0.1:8100"


class OperatorClient:
    """Client of the operators' interface of one entry.

    Parameters
    ----------
    address : str
        ``host:port`` of the entry.
    token : str
        Operators' token.
    """

    def __init__(self, address, token):
        self._base = f"http://{address}/operators/v1"
        self._headers = [(b"authorization", f"Bearer {token}".encode())]

    def call(self, method, path, document=None, headers=()):
        """Make one call and return the decoded response.

        Prints a message and exits the command on an error response.
        """
        content = b"" if document is None else msgspec.json.encode(document)
        try:
            response = call_once(
                method,
                f"{self._base}{path}",
                CALL_TIMEOUT_S,
                [*self._headers, *headers],
                content,
            )
            expected_type = dict if response.status >= 400 else dict | list
            decoded = msgspec.json.decode(response.content, type=expected_type)
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            typer.echo(f"The entry cannot be reached: {error}", err=True)
            raise typer.Exit(3) from error
        except (httpcore.ProtocolError, msgspec.MsgspecError, RecursionError) as error:
            typer.echo(f"The entry's answer can't be read: {error}", err=True)
            raise typer.Exit(3) from error
        if response.status >= 400:
            typer.echo(f"{decoded.get('reason')}: {decoded.get('detail')}", err=True)
            if "standing" in decoded:
                typer.echo(f"standing: {decoded['standing']}", err=True)
            raise typer.Exit(1)
        return decoded


def read_object_file(path):
    """Return the document of a TOML file, or exit the command if it is invalid."""
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(2) from error
    if not isinstance(document.get("name"), str):
        typer.echo(f"{path}: a name is needed", err=True)
        raise typer.Exit(2)
    return document


def _kind_app(kind):
    kind_app = typer.Typer(help=f"Plan, apply and show a {kind}.", no_args_is_help=True)

    @kind_app.command()
    def plan(file: File, entry: Address = DEFAULT_ADDRESS, token: Token = ""):
        """Show what applying a file would change."""
        document = read_object_file(file)
        client = OperatorClient(entry, token)
        _show_plan(client.call("POST", f"/plan/{kind}/{document['name']}", document))

    @kind_app.command()
    def apply(file: File, entry: Address = DEFAULT_ADDRESS, token: Token = ""):
        """Plan a file and put it in force."""
        document = read_object_file(file)
        client = OperatorClient(entry, token)
        plan = client.call("POST", f"/plan/{kind}/{document['name']}", document)
        if not plan["lines"]:
            typer.echo(f"{plan['key']}: nothing changes")
            return
        _show_plan(plan)
        headers = [(b"if-match", str(plan["base_version"]).encode())]
        path = f"/{kind}/{document['name']}"
        stored = client.call("PUT", path, document, headers)
        typer.echo(f"accepted as version {stored['version']}")

    @kind_app.command()
    def get(
        name: Annotated[str, typer.Argument(help="Name; all if left out.")] = "",
        entry: Address = DEFAULT_ADDRESS,
        token: Token = "",
    ):
        """Show objects as JSON."""
        decoded = OperatorClient(entry, token).call(
            "GET", f"/{kind}/{name}".rstrip("/")
        )
        typer.echo(msgspec.json.format(msgspec.json.encode(decoded)).decode())

    @kind_app.command()
    def delete(name: str, entry: Address = DEFAULT_ADDRESS, token: Token = ""):
        """Delete an object."""
        stored = OperatorClient(entry, token).call("DELETE", f"/{kind}/{name}")
        typer.echo(f"deleted as version {stored['version']}")

    @kind_app.command()
    def status(name: str, entry: Address = DEFAULT_ADDRESS, token: Token = ""):
        """Show on how many instances the newest version is in force."""
        decoded = OperatorClient(entry, token).call("GET", f"/status/{kind}/{name}")
        typer.echo(
            f"{decoded['key']} version {decoded['version']}: in force on "
            f"{decoded['in_force']} of {decoded['instances']} instances"
        )
        for missing in decoded["missing"]:
            typer.echo(f"  missing on {missing}")

    return kind_app


def _show_plan(plan):
    typer.echo(f"{plan['key']} (against version {plan['base_version']})")
    for line in plan["lines"]:
        typer.echo(f"  {line}")
    for team, limits in sorted(plan["limits_by_team"].items()):
        rendered = ", ".join(f"{name}={value}" for name, value in limits.items())
        typer.echo(f"  limits of {team}: {rendered}")


def drain(
    endpoint: str,
    entry: Address = DEFAULT_ADDRESS,
    token: Token = "",
):
    """Stop new work to an endpoint."""
    OperatorClient(entry, token).call("POST", f"/drain/{endpoint}")
    typer.echo(f"{endpoint} gets no new work")


def register_operator_commands(app):
    """Add the operators' commands to the command line."""
    for kind in CONFIGURATION_KINDS:
        app.add_typer(_kind_app(kind), name=kind)
    app.command("drain")(drain)
