"""Commands that emulate a deployment and put load on gateways."""

import itertools
import random
import sys
from typing import Annotated

import trio
import typer

from vanillareach.emulation.scenario import ScenarioError, read_scenario

LISTEN_HOST = "127.0.0.1"
PROGRESS_S = 1.0
READY_LIMIT_S = 20.0

ScenarioFile = Annotated[str, typer.Argument(help="Scenario file, TOML.")]
Seed = Annotated[int | None, typer.Option(help="Seed, in place of the file's.")]


def register_emulation_commands(app):
    """Add the commands to the command line."""
    app.command()(emulate)
    app.command()(load)


def emulate(
    scenario: ScenarioFile,
    first_port: Annotated[
        int, typer.Option(help="Port of the store; those of the endpoints follow.")
    ] = 21_000,
    seed: Seed = None,
):
    """Run the store and the endpoints of a scenario until interrupted.

    The faults of the scenario count from the first request that reaches an endpoint.
    """
    from vanillareach.emulation.world import EmulatedWorld

    ports = itertools.count(first_port)
    world = EmulatedWorld(_read(scenario, seed), lambda: f"{LISTEN_HOST}:{next(ports)}")
    try:
        trio.run(_serve, world)
    except KeyboardInterrupt:
        typer.echo("emulate: stopped", err=True)


def load(
    scenario: ScenarioFile,
    target: Annotated[str, typer.Option(help="Gateways, host:port,host:port.")],
    report: Annotated[str, typer.Option(help="Write the results there, JSON.")] = "",
    against: Annotated[str, typer.Option(help="Earlier results to compare.")] = "",
    plot: Annotated[str, typer.Option(help="Write a plot there, SVG.")] = "",
    seed: Seed = None,
):
    """Send the requests of a scenario to gateways and show what they got."""
    from vanillareach.emulation import results

    checked = _read(scenario, seed)
    targets = [part.strip() for part in target.split(",") if part.strip()]
    earlier = None
    try:
        if against:
            earlier = results.read_report(against)
    except results.ReportError as error:
        _fail(str(error))
    records = trio.run(_send, checked, targets)
    outcome = results.build_report(checked, len(targets), records)
    typer.echo(results.table(outcome, earlier))
    if report:
        results.write_report(outcome, report)
    if plot:
        _plot(plot, outcome, earlier)


def _read(path, seed):
    try:
        scenario = read_scenario(path)
    except ScenarioError as error:
        _fail(str(error))
    if seed is not None:
        scenario.seed = seed
    return scenario


def _fail(text):
    typer.echo(f"scenario: {text}", err=True)
    raise typer.Exit(2)


def _plot(path, outcome, earlier):
    from vanillareach.emulation.plots import PlotsMissingError, plot_reports

    try:
        plot_reports(path, outcome, earlier)
    except PlotsMissingError as error:
        _fail(str(error))


async def _serve(world):
    async with trio.open_nursery() as nursery:
        await nursery.start(world.run)
        typer.echo(f"store {world.store_address}")
        for name, endpoint in world.endpoints_by_name.items():
            typer.echo(f"endpoint {name}, {endpoint.slots} slots")
        sys.stdout.flush()
        await world.play_faults()
        await trio.sleep_forever()


async def _send(scenario, targets):
    from vanillareach.emulation.arrivals import plan_arrivals
    from vanillareach.emulation.caller import EmulatedCaller

    chooser = random.Random(scenario.seed)
    arrivals = plan_arrivals(scenario, chooser)
    await _wait_for(targets)
    caller = EmulatedCaller(scenario, targets, chooser)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_show_progress, caller, len(arrivals))
        await caller.run(arrivals)
        nursery.cancel_scope.cancel()
    return caller.records


async def _wait_for(targets):
    """Wait until all gateways accept connections."""
    from vanillareach.utils import split_address

    for target in targets:
        with trio.move_on_after(READY_LIMIT_S) as scope:
            while True:
                try:
                    stream = await trio.open_tcp_stream(*split_address(target))
                    await stream.aclose()
                    break
                except OSError:
                    await trio.sleep(0.1)
        if scope.cancelled_caught:
            _fail(f"no gateway at {target}")


async def _show_progress(caller, total):
    while True:
        await trio.sleep(PROGRESS_S)
        done = len(caller.records)
        typer.echo(f"{caller.sent_count} of {total} sent, {done} answered", err=True)
