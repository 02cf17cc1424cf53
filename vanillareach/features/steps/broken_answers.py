"""Steps about answers that break off while a request is being sent."""

import trio
import typer
from behave import given, then, when

from vanillareach.clock import MS_PER_SECOND, TrioClock
from vanillareach.control.object_api import HttpPlatform, PlatformError
from vanillareach.endpoints.base import EndpointCall, EndpointError
from vanillareach.endpoints.http import HttpEndpoints
from vanillareach.features.early_answers import BODY, EarlyAnswer
from vanillareach.features.raw_server import open_raw_server
from vanillareach.features.users_platform.stage import configuration
from vanillareach.gateway.upstream import UpstreamRequest, open_upstream
from vanillareach.operator_cli import OperatorClient

CONNECT_TIMEOUT_MS = 1_000.0
UPLOAD_TIMEOUT_S = 20.0
MAX_ANSWER_BYTES = 1024 * 1024
STORED_OBJECT = b'{"metadata": {"name": "a", "resourceVersion": "1"}}'


@given("a server that answers early {framing}, with {part} of its body, and then {end}")
def step_early_server(context, framing, part, end):
    context.early_answer = EarlyAnswer(framing, part, end)


async def upload_by_gateway(address, body):
    """Upload by the client that gateways use for endpoints, peers and orders."""
    request = UpstreamRequest(address, b"POST", b"/", [], address.encode(), body)
    async with open_upstream(request, lambda: None) as response:
        return await response.read(MAX_ANSWER_BYTES)


async def upload_by_entry(address, body):
    """Upload by the client that entries use for engines and services."""
    client = HttpEndpoints(CONNECT_TIMEOUT_MS)
    timeout_ms = UPLOAD_TIMEOUT_S * MS_PER_SECOND
    call = EndpointCall("POST", address, "/", [], body, timeout_ms)
    try:
        async with client.open(call) as response:
            return await response.read(MAX_ANSWER_BYTES)
    finally:
        await client.close()


async def write_object(address, body):
    """Write an object by the client of the object API; return its version."""
    client = HttpPlatform(address, TrioClock())
    try:
        return await client.write("endpoints", "a", {"text": body.decode()}, "")
    finally:
        await client.close()


async def apply_object(address, body):
    """Send an object by the operators' command; return what it reads."""
    client = OperatorClient(address, "token")
    document = {"text": body.decode()}
    return str(await trio.to_thread.run_sync(client.call, "PUT", "/team/a", document))


UPLOADS_BY_READER = {"gateways": upload_by_gateway, "entries": upload_by_entry}


@when("{count:d} uploads of {size:d} bytes are sent by the client of {reader}")
def step_upload(context, count, size, reader):
    run_uploads(context, count, size, UPLOADS_BY_READER[reader])


@when("{count:d} objects of {size:d} bytes are written")
def step_write_objects(context, count, size):
    # What is sent of it is an object by itself.
    context.early_answer.body = STORED_OBJECT + b" " * len(STORED_OBJECT)
    run_uploads(context, count, size, write_object)


@when("{count:d} objects of {size:d} bytes are applied by the operators' command")
def step_apply_objects(context, count, size):
    context.early_answer.body = STORED_OBJECT + b" " * len(STORED_OBJECT)
    run_uploads(context, count, size, apply_object)


def run_uploads(context, count, size, upload):
    """Upload to the early server again and again; keep bodies and names of errors."""
    context.results = []

    async def main():
        async with open_raw_server(context.early_answer.serve) as address:
            for _ in range(count):
                with trio.fail_after(UPLOAD_TIMEOUT_S):
                    try:
                        result = await upload(address, bytes(size))
                    except (EndpointError, PlatformError) as error:
                        result = type(error).__name__
                    except typer.Exit as error:
                        result = f"exit code {error.exit_code}"
                context.results.append(result)

    trio.run(main)


@then("all of them break off with {name}")
def step_all_broken(context, name):
    assert context.results and set(context.results) == {name}, context.results


@then("all of them get the whole body")
def step_all_whole(context):
    assert context.results and set(context.results) == {BODY}, context.results


@given("callers may upload {size:d} bytes")
def step_allow_uploads(context, size):
    limits = {**configuration(1)["limits"], "max_body_bytes": size}
    platform = context.platform
    state = platform.gateways[0].state

    async def change():
        platform.store.put("config", "main", configuration(2, limits=limits))
        await platform.until(lambda: state.configuration.version == 2)

    context.run(change)


@given("the endpoints answer early {framing}, with {part} of the body, and then {end}")
def step_early_endpoints(context, framing, part, end):
    answer = EarlyAnswer(framing, part, end)
    context.run(context.platform.replace_endpoints, answer.serve)


@when('{count:d} callers upload {size:d} bytes to "{path}"')
def step_call_with_upload(context, count, size, path):
    context.responses = []

    async def call():
        for _ in range(count):
            response = await context.platform.call(path, body=bytes(size))
            context.responses.append(response)

    context.run(call)


@then("no caller gets a complete success")
def step_no_success(context):
    assert context.responses
    for response in context.responses:
        is_success = response.status == 200 and response.is_complete
        assert not is_success, response.body


@then("all callers get the whole body")
def step_callers_whole(context):
    assert context.responses
    for response in context.responses:
        assert response.status == 200 and response.is_complete, response.status
        assert response.body == BODY, response.body


@then("no endpoint counts as faulty, and nobody suspects a request")
def step_no_faults(context):
    state = context.platform.gateways[0].state
    assert not state.health.unreachable_by_key
    assert not state.quarantine.evidence.marks_by_trait
    attempts = context.platform.gateways[0].metrics.attempts
    results = {result for _, result in attempts}
    assert results == {"answered"}, attempts
