"""Steps about signals and the stop of a process."""

import itertools
import os
import signal
import subprocess
import sys

import trio
from behave import given, then, when

from vanillareach.features.support import received
from vanillareach.features.users_platform.stage import Caller, free_address
from vanillareach.log import BoundedWriter
from vanillareach.servers import StopSignals
from vanillareach.utils import split_address

SIGNAL_INTERVAL_S = 0.05
SIGNAL_DELIVERY_S = 0.1
PROCESS_TIMEOUT_S = 20


@given("a gateway that runs as a process of its own")
def step_start_process(context):
    platform = context.platform
    context.address, ready_address = free_address(), free_address()
    values_by_name = {
        "NAME": "g-process",
        "DOMAIN": "zone-a",
        "FRONT_LISTEN": context.address,
        "READY_LISTEN": ready_address,
        "METRICS_LISTEN": free_address(),
        "PEER_LISTEN": free_address(),
        "STORE": platform.store_address,
        "LOG_LEVEL": "error",
    }
    variables = {f"VANILLAREACH_{name}": v for name, v in values_by_name.items()}
    context.process = subprocess.Popen(
        [sys.executable, "-m", "vanillareach.gateway"], env={**os.environ, **variables}
    )
    context.add_cleanup(context.process.kill)

    async def wait_until_ready():
        with trio.fail_after(PROCESS_TIMEOUT_S):
            while True:
                try:
                    stream = await trio.open_tcp_stream(*split_address(ready_address))
                except OSError:
                    await trio.sleep(SIGNAL_INTERVAL_S)
                    continue
                async with Caller(platform, stream) as caller:
                    if (await caller.call("/", "GET", b"")).status == 200:
                        return

    context.run(wait_until_ready)


@when("the process gets SIGTERM and SIGHUP in turn from the middle of a stream on")
def step_send_signals(context):
    async def send_signals():
        numbers = itertools.cycle((signal.SIGTERM, signal.SIGHUP, signal.SIGTERM))
        while context.process.poll() is None:
            context.process.send_signal(next(numbers))
            await trio.sleep(SIGNAL_INTERVAL_S)

    async def call():
        stream = await trio.open_tcp_stream(*split_address(context.address))
        with trio.fail_after(PROCESS_TIMEOUT_S):
            async with (
                trio.open_nursery() as nursery,
                Caller(context.platform, stream) as caller,
            ):
                await caller.send("/ask/a", Vanillareach_Token_Usage="1000,100")
                await context.platform.until(lambda: received(context))
                nursery.start_soon(send_signals)
                context.response = await caller.receive()

    context.run(call)


@when(
    'the gateway stops and a caller sends "{path}" with a deadline of '
    "{deadline_ms:d} ms"
)
def step_send_while_stopping(context, path, deadline_ms):
    gateway, context.generations = context.platform.gateways[0], []
    dispatcher = gateway.forwarder._dispatcher
    place = dispatcher.place

    def record_and_place(service, generation, *arguments):
        context.generations.append(generation)
        return place(service, generation, *arguments)

    async def call():
        dispatcher.place = record_and_place
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gateway.stop)
            await context.platform.until(lambda: gateway.state.is_stopping)
            context.response = await context.platform.call(
                path,
                Vanillareach_Token_Usage="1000,100",
                Vanillareach_Deadline_Ms=str(deadline_ms),
            )
            nursery.cancel_scope.cancel()

    context.run(call)


@then("its placement counted on the time to the end of its responses")
def step_check_time_to_shutdown(context):
    (generation,) = context.generations
    excess_ms = generation.time_to_shutdown_ms - generation.time_to_deadline_ms
    assert abs(excess_ms) < 1, excess_ms


@then("the process exits with code 0")
def step_check_exit_code(context):
    assert context.process.wait(PROCESS_TIMEOUT_S) == 0, context.process.returncode


@when('a stopping instance gets "{names}"')
def step_signal_instance(context, names):
    numbers = [signal.Signals[name] for name in names.split(",")]

    async def run():
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(StopSignals().watch, scope)
                for number in numbers:
                    os.kill(os.getpid(), number)
                    await trio.sleep(SIGNAL_DELIVERY_S)
                nursery.cancel_scope.cancel()
        context.has_ended = scope.cancelled_caught

    handlers_by_number = {n: signal.getsignal(n) for n in numbers}
    try:
        trio.run(run)
    finally:
        for number, handler in handlers_by_number.items():
            signal.signal(number, handler)


@then("it goes on")
def step_check_goes_on(context):
    assert not context.has_ended


@then("it ends at once")
def step_check_has_ended(context):
    assert context.has_ended


def make_task_fail(gateway, task):
    """Let a background task of a gateway fail at its next step."""
    owner, name = {
        "idle_timeouts": (gateway.forwarder.idle_timeouts, "_check_interval_ms"),
        "follower": (gateway.follower, "_wait_for_turn"),
        "pace_estimator": (gateway.forwarder.pace_estimator, "_event_gap_predictor"),
    }[task]

    def fail(*arguments):
        delattr(owner, name)
        raise LookupError(task)

    setattr(owner, name, fail)


@when('a caller sends "{path}" and the task "{task}" fails meanwhile')
def step_fail_task(context, path, task):
    gateway = context.platform.gateways[0]

    async def call():
        async with await context.platform.connect() as caller:
            await caller.send(path)
            await context.platform.until(lambda: received(context))
            make_task_fail(gateway, task)
            context.response = await caller.receive()

    context.run(call)


@then("the failure is counted")
def step_check_failure_counted(context):
    assert context.platform.gateways[0].supervisor.failure_count == 1


@given("a log whose reader is gone")
def step_log_without_reader(context):
    reader, writer = os.pipe()
    os.close(reader)
    context.log_writer = BoundedWriter(writer)


@when("a line is written and drained")
def step_write_line(context):
    context.log_writer.write("line")
    context.log_writer.drain()


@then("it is counted as dropped")
def step_check_dropped(context):
    assert context.log_writer.dropped_lines == 1
    assert not context.log_writer.has_lines
