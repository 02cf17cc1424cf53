"""Steps about responses of the store and peers that exceed a limit."""

import tracemalloc
import zlib
from unittest import mock

import trio
import typer
from behave import given, then, when

from vanillareach import gateways_cli, operator_cli
from vanillareach.clock import TrioClock
from vanillareach.control import object_api
from vanillareach.control.object_api import HttpPlatform, PlatformError
from vanillareach.core.messages import MessageError, unpack_configuration
from vanillareach.features.raw_server import open_raw_server
from vanillareach.platform.store import PlatformStore

MIB = 1024 * 1024
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
PAGE = (
    b'{"items": [{"metadata": {"name": "a", "rev": 1}, "spec": {}}],'
    b' "more": true, "at": 1}'
)
PAGE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(PAGE)
STORED_OBJECT = b'{"metadata": {"name": "a", "resourceVersion": "1"}}'
WATCH_EVENT = b'{"type": "ADDED", "object": %s}\n' % STORED_OBJECT
NESTED = b"[" * 5_000 + b"]" * 5_000
NESTED_OBJECT = STORED_OBJECT[:-1] + b', "spec": {"a": %s}}' % NESTED
DRIP_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 30.0
# Shorter than that of a command's call.
COMMAND_TIMEOUT_S = 2.0
# First bytes, bytes repeated without end and the interval between them.
RESPONSES_BY_FAULT = {
    "a head without end": (b"HTTP/1.1 200 OK\r\nx: ", b"x" * MIB, 0.0),
    "interim responses without end": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 99, 0),
    "a body without end": (UNFRAMED_HEAD, b" " * MIB, 0.0),
    "a body that drips": (UNFRAMED_HEAD, b" ", DRIP_INTERVAL_S),
    "half of a document": (UNFRAMED_HEAD + b'{"kind": "te', b"", 0.0),
    "bytes that are no answer": (b"\0" * 100 + b"\r\n\r\n", b"", 0.0),
    "one line without end": (UNFRAMED_HEAD, b"x" * 65_536, 0.0),
    "empty lines without end": (UNFRAMED_HEAD, b"\n" * 65_536, 0.0),
    "a line that is no event": (UNFRAMED_HEAD + b"[1]\n", b"", 0.0),
    "an object": (UNFRAMED_HEAD + STORED_OBJECT, b"", 0.0),
    "an object with a position": (UNFRAMED_HEAD + b'{"at": 1}', b"", 0.0),
    "an object with values nested too deep": (
        UNFRAMED_HEAD + NESTED_OBJECT,
        b"",
        0.0,
    ),
    "a list with values nested too deep": (
        UNFRAMED_HEAD + b'{"metadata": {"name": ""}, "items": [%s]}' % NESTED_OBJECT,
        b"",
        0.0,
    ),
    "a page whose items are no list": (
        UNFRAMED_HEAD + b'{"items": {}, "at": 1}',
        b"",
        0.0,
    ),
}


def serve_fault(context, fault):
    """Let the endpoint that `run_with_server` starts send a fault."""
    context.largest_response = 0
    first, repeated, interval_s = RESPONSES_BY_FAULT[fault]

    async def send(stream):
        await stream.receive_some(65_536)
        await stream.send_all(first)
        sent = len(first)
        while repeated:
            await stream.send_all(repeated)
            sent += len(repeated)
            context.largest_response = max(context.largest_response, sent)
            await trio.sleep(interval_s)

    context.send_response = send


def run_with_server(context, make_client, call):
    """Call a client of a server on loopback; return the name of the error or None."""

    async def main():
        error_name = None
        async with open_raw_server(context.send_response) as address:
            client = make_client(address)
            with trio.fail_after(CALL_TIMEOUT_S):
                try:
                    await call(client)
                except PlatformError as error:
                    error_name = type(error).__name__
        await client.close()
        return error_name

    return trio.run(main)


def make_platform(address):
    """Return a client of the object API."""
    return HttpPlatform(address, TrioClock())


@given("a store that sends the same page again and again")
def step_endless_pages(context):
    async def send(stream):
        while await stream.receive_some(65_536):
            await stream.send_all(PAGE_HEAD + PAGE)

    context.send_response = send


@given("an object API that sends {count:d} events in pieces of 1 byte")
def step_events_in_pieces(context, count):
    async def send(stream):
        await stream.receive_some(65_536)
        await stream.send_all(CHUNKED_HEAD)
        for byte in WATCH_EVENT * count:
            await stream.send_all(b"1\r\n%c\r\n" % byte)
        await stream.send_all(b"0\r\n\r\n")

    context.send_response = send


@given("a store that sends {fault}")
@given("an object API that sends {fault}")
@given("an entry or gateway that sends {fault}")
def step_fault(context, fault):
    serve_fault(context, fault)


@then("listing the endpoints fails with {name}")
def step_list_endpoints(context, name):
    error = run_with_server(context, PlatformStore, PlatformStore.list_endpoints)
    assert error == name, error


@then("reading the configuration fails with {name}")
def step_read_configuration(context, name):
    error = run_with_server(context, PlatformStore, PlatformStore.read_configuration)
    assert error == name, error


@then("listing a collection fails with {name}")
def step_list_collection(context, name):
    error = run_with_server(context, make_platform, lambda api: api.list("endpoints"))
    assert error == name, error


@then("writing an object fails with {name}")
def step_write_object(context, name):
    error = run_with_server(
        context, make_platform, lambda api: api.write("endpoints", "a", {}, "")
    )
    assert error == name, error


@then("no call has received more than {size_mib:d} MiB")
def step_received(context, size_mib):
    assert context.largest_response <= size_mib * MIB, context.largest_response


def run_command(context, command):
    """Run a command against the server; return what it returns, or its exit code."""

    async def main():
        async with open_raw_server(context.send_response) as address:
            with trio.fail_after(CALL_TIMEOUT_S):
                try:
                    return await trio.to_thread.run_sync(command, address)
                except typer.Exit as error:
                    return error.exit_code

    with (
        mock.patch.object(operator_cli, "CALL_TIMEOUT_S", COMMAND_TIMEOUT_S),
        mock.patch.object(gateways_cli, "REQUEST_TIMEOUT_S", COMMAND_TIMEOUT_S),
    ):
        return trio.run(main)


@then("a command for operators ends with exit code {code:d}")
def step_operator_command(context, code):
    def call(address):
        return operator_cli.OperatorClient(address, "token").call("GET", "/team")

    result = run_command(context, call)
    assert result == code, result


@then("the state of the gateway isn't shown")
def step_gateways_command(context):
    report = run_command(context, gateways_cli._fetch_report)
    assert report is None, report


@when("a collection is watched with a time limit of {limit_ms:d} ms for an event")
def step_watch(context, limit_ms):
    context.events = []

    async def watch(api):
        async for event in api.watch("endpoints", "1"):
            context.events.append(event)

    with mock.patch.object(object_api, "WATCH_EVENT_TIMEOUT_MS", limit_ms):
        context.error_name = run_with_server(context, make_platform, watch)


@then("the watch has yielded {count:d} events and failed with {name}")
def step_watch_failed(context, count, name):
    assert context.error_name == name, context.error_name
    assert len(context.events) == count, context.events


@then("the watch has yielded {count:d} events and ended")
def step_watch_ended(context, count):
    assert context.error_name is None, context.error_name
    assert len(context.events) == count, context.events


@then("a packed configuration of {size_mib:d} MiB is rejected without being unpacked")
def step_unpack_configuration(context, size_mib):
    compressor = zlib.compressobj(1)
    parts = [compressor.compress(bytes(MIB)) for _ in range(size_mib)]
    packed = b"".join([*parts, compressor.flush()])
    tracemalloc.start()
    try:
        unpack_configuration(packed)
    except MessageError:
        error = None
    else:
        error = "the configuration was accepted"
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert error is None, error
    assert peak_bytes < 64 * MIB, peak_bytes
