"""Commands that run each stand-in as a process of its own."""

import functools
from typing import Annotated

import trio
import typer

from vanillareach.servers import StopSignals, start_server

standin_app = typer.Typer(
    help="Stand-ins for engines, services and the platform.", no_args_is_help=True
)
ListenOption = Annotated[str, typer.Option(help="Address to listen at, host:port.")]


async def _serve(app, listen, background_task=None):
    signals = StopSignals()
    async with trio.open_nursery() as nursery:
        await nursery.start(signals.watch, nursery.cancel_scope)
        if background_task is not None:
            nursery.start_soon(background_task)
        await start_server(
            nursery, app, listen, signals.stopping, graceful_timeout_s=0.5
        )
        await signals.stopping.wait()
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()


@standin_app.command()
def platform(listen: ListenOption = "127.0.0.1:8001"):
    """Run the object API."""
    from vanillareach.standins.platform import PlatformApp

    trio.run(functools.partial(_serve, PlatformApp(), listen))


@standin_app.command()
def service(listen: ListenOption = "127.0.0.1:8400"):
    """Run a plain service."""
    from vanillareach.standins.service import ServiceApp

    trio.run(functools.partial(_serve, ServiceApp(), listen))


@standin_app.command()
def engine(
    listen: ListenOption = "127.0.0.1:8300",
    model: Annotated[str, typer.Option(help="Model loaded at the start.")] = "model",
    prefill: Annotated[float, typer.Option(help="Prefill tokens per ms.")] = 20.0,
    step: Annotated[float, typer.Option(help="Decode step in ms.")] = 20.0,
    kv_tokens: Annotated[int, typer.Option(help="KV cache tokens.")] = 400_000,
    fencing: Annotated[bool, typer.Option(help="Check fencing numbers.")] = True,
):
    """Run a model engine."""
    from vanillareach.standins.engine import EngineApp
    from vanillareach.standins.engine_model import EngineProfile

    profile = EngineProfile(prefill, step, kv_tokens, kv_tokens)
    app = EngineApp(profile, model, fencing)
    trio.run(functools.partial(_serve, app, listen, app.run))
