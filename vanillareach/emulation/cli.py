"""Commands that emulate a deployment and generate load for gateways."""

import itertools
import random
import sys
from typing import Annotated

import trio
import typer

from vanillareach.emulation.scenario import ScenarioError, read_scenario

LISTEN_HOST = "127.0.0.1"
PROGRESS_INTERVAL_S = 1.0
READY_TIMEOUT_S = 20.0

ScenarioFile = Annotated[str, typer.Argument(help="Scenario file, TOML.")]
Seed = Annotated[int | None, typer.Option(help="Seed, in place of the file's.")]


def register_emulation_commands(app):
    """Add the commands to a command line application."""
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
    from vanillareach.emulation.world import EmulatedDeployment

    ports = itertools.count(first_port)
    deployment = EmulatedDeployment(
        _read_scenario(scenario, seed), lambda: f"{LISTEN_HOST}:{next(ports)}"
    )
    try:
        trio.run(_run_deployment, deployment)
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

    parsed_scenario = _read_scenario(scenario, seed)
    targets = [part.strip() for part in target.split(",") if part.strip()]
    earlier = None
    try:
        if against:
            earlier = results.read_report(against)
    except results.ReportError as error:
        _exit_with_error(str(error))
    records = trio.run(_run_load, parsed_scenario, targets)
    new_report = results.build_report(parsed_scenario, len(targets), records)
    typer.echo(results.format_table(new_report, earlier))
    if report:
        results.write_report(new_report, report)
    if plot:
        _write_plot(plot, new_report, earlier)


def _read_scenario(path, seed):
    try:
        scenario = read_scenario(path)
    except ScenarioError as error:
        _exit_with_error(str(error))
    if seed is not None:
        scenario.seed = seed
    return scenario


def _exit_with_error(text):
    typer.echo(f"scenario: {text}", err=True)
    raise typer.Exit(2)


def _write_plot(path, new_report, earlier):
    from vanillareach.emulation.plots import PlotsMissingError, plot_reports

    try:
        plot_reports(path, new_report, earlier)
    except PlotsMissingError as error:
        _exit_with_error(str(error))


async def _run_deployment(deployment):
    async with trio.open_nursery() as nursery:
        await nursery.start(deployment.run)
        typer.echo(f"store {deployment.store_address}")
        for name, endpoint in deployment.endpoints_by_name.items():
            typer.echo(f"endpoint {name}, {endpoint.slots} slots")
        sys.stdout.flush()
        await deployment.inject_faults()
        await trio.sleep_forever()


async def _run_load(scenario, targets):
    from vanillareach.emulation.arrivals import plan_arrivals
    from vanillareach.emulation.caller import EmulatedCaller

    random_source = random.Random(scenario.seed)
    arrivals = plan_arrivals(scenario, random_source)
    await _wait_until_listening(targets)
    caller = EmulatedCaller(scenario, targets, random_source)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_show_progress, caller, len(arrivals))
        await caller.run(arrivals)
        nursery.cancel_scope.cancel()
    return caller.records


async def _wait_until_listening(targets):
    """Wait until all gateways accept connections."""
    from vanillareach.utils import split_address

    for target in targets:
        with trio.move_on_after(READY_TIMEOUT_S) as scope:
            while True:
                try:
                    stream = await trio.open_tcp_stream(*split_address(target))
                    await stream.aclose()
                    break
                except OSError:
                    await trio.sleep(0.1)
        if scope.cancelled_caught:
            _exit_with_error(f"no gateway at {target}")


async def _show_progress(caller, total):
    while True:
        await trio.sleep(PROGRESS_INTERVAL_S)
        answered_count = len(caller.records)
        typer.echo(
            f"{caller.sent_count} of {total} sent, {answered_count} answered", err=True
        )
