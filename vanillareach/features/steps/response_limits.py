"""Steps about responses that exceed a limit of size or time."""

from contextlib import suppress
from unittest import mock

import msgspec
import trio
from behave import given, then, when

from vanillareach.endpoints import limits
from vanillareach.endpoints.base import EndpointCall, EndpointError
from vanillareach.endpoints.http import HttpEndpoints
from vanillareach.features.harness import SERVICE_DOCUMENTS
from vanillareach.features.raw_server import open_raw_server
from vanillareach.features.support import first_entry

MIB = 1024 * 1024
FLOOD_CHUNK = b"x" * MIB
FLOOD_INTERVAL_S = 0.001
DRIP_INTERVAL_S = 0.1
CONFIGURATION_SPREAD_S = 2
EVENT = b'data: {"choices": [{"text": "' + b"x" * 1024 + b'"}]}\n\n'
CALL_TIMEOUT_S = 30.0
SHORT_HEAD_TIME_LIMIT_MS = 300.0


class FaultyApp:
    """Application whose first call, or each one, gets a response without end.

    Parameters
    ----------
    app : callable
        ASGI application for the other calls.
    is_faulty : callable
        Takes a call's method and path.
    status : int
    first_chunk, repeated_chunk : bytes
        `repeated_chunk` is sent without end; if it is empty, the response ends.
    interval_s : float
    """

    def __init__(
        self, app, is_faulty, status, first_chunk, repeated_chunk=b"", interval_s=0.0
    ):
        self._app = app
        self._is_faulty = is_faulty
        self._status = status
        self._first_chunk = first_chunk
        self._repeated_chunk = repeated_chunk
        self._interval_s = interval_s

    async def __call__(self, scope, receive, send):
        """Handle one call."""
        if not self._is_faulty(scope["method"], scope["path"]):
            await self._app(scope, receive, send)
            return
        await receive()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_response, send, nursery.cancel_scope)
            await receive()
            nursery.cancel_scope.cancel()

    async def _send_response(self, send, scope):
        start = {"type": "http.response.start", "status": self._status, "headers": []}
        await send(start)
        body = {"type": "http.response.body", "more_body": True}
        await send({**body, "body": self._first_chunk})
        while self._repeated_chunk:
            await trio.sleep(self._interval_s)
            await send({**body, "body": self._repeated_chunk})
        await send({**body, "body": b"", "more_body": False})
        scope.cancel()


DRIP = (b"x", DRIP_INTERVAL_S)
FLOOD = (FLOOD_CHUNK, FLOOD_INTERVAL_S)
RESPONSES_BY_FAULT = {
    "drips one event without end": (200, b"data: ", *DRIP),
    "sends one event without end": (200, b"data: ", *FLOOD),
    "sends events without end": (200, EVENT, EVENT * 1024, FLOOD_INTERVAL_S),
    "ends its connection inside an event": (200, EVENT[:-1]),
    "ends its connection inside a document": (200, b'{"choices": [{"text": "x'),
    "sends a body that drips": (200, b"{", *DRIP),
    "sends a body without end": (200, b"{", *FLOOD),
    "refuses with a body that drips": (503, b"{", *DRIP),
    "refuses with a body without end": (503, b"{", *FLOOD),
    "drips": (200, b"{", *DRIP),
    "is sent without end": (200, b"{", *FLOOD),
}


def replace_apps(context, attribute, is_faulty, fault):
    """Let calls for which `is_faulty` returns true get a response of `fault`."""
    endpoints, apps = context.stage.endpoints, context.stage.apps_by_address
    endpoints._apps_by_address = {
        address: FaultyApp(
            app,
            lambda method, path, address=address: is_faulty(address, method, path),
            *RESPONSES_BY_FAULT[fault],
        )
        if hasattr(app, attribute)
        else app
        for address, app in apps.items()
    }


def replace_first_call(context, attribute, fault):
    """Let the first POST to an endpoint with an attribute get a faulty response."""
    context.faulty_address = None

    def is_first_call(address, method, path):
        if method != "POST" or context.faulty_address is not None:
            return False
        context.faulty_address = address
        return True

    replace_apps(context, attribute, is_first_call, fault)


@given("the first engine called {fault}")
def step_faulty_engine(context, fault):
    replace_first_call(context, "engine", fault)


@given("the first service called {fault}")
def step_faulty_service(context, fault):
    replace_first_call(context, "runs_by_key", fault)


@given("a resumed stream {fault}")
def step_faulty_resumption(context, fault):
    def is_resumption(address, method, path):
        return path.startswith("/v1/streams/")

    replace_apps(context, "engine", is_resumption, fault)


@given('the services "{names}" have a time limit of {limit_ms:d} ms')
def step_time_limit(context, names, limit_ms):
    entry = first_entry(context)

    async def change():
        for _, document in SERVICE_DOCUMENTS:
            if document["name"] in names.split(","):
                path = f"service/{document['name']}"
                changed = {**document, "time_limit_ms": limit_ms}
                answer = await entry.operator_call("PUT", path, changed)
                assert answer.status == 200, answer.body
        await trio.sleep(CONFIGURATION_SPREAD_S)

    context.run(change)


@given("a load report {fault}")
def step_faulty_load(context, fault):
    # The entry polls the engines of its own failure domain.
    directory = first_entry(context).components.directory
    polled = [
        state.spec.address
        for state in directory.endpoints_by_id.values()
        if state.spec.domain == first_entry(context).settings.domain
    ]
    addresses = [
        address
        for address, app in context.stage.apps_by_address.items()
        if hasattr(app, "engine") and address in polled
    ]
    context.faulty_address = addresses[0]

    context.load_reports_by_address = dict.fromkeys(addresses, 0)

    def is_faulty(address, method, path):
        if path != "/load":
            return False
        context.load_reports_by_address[address] += 1
        return address == context.faulty_address

    replace_apps(context, "engine", is_faulty, fault)


@then("the entry read at least {count:d} load reports of each other engine")
def step_other_loads(context, count):
    reports_by_address = dict(context.load_reports_by_address)
    del reports_by_address[context.faulty_address]
    assert min(reports_by_address.values()) >= count, reports_by_address


@then("the first engine called has failed once")
def step_failed_once(context):
    directory = first_entry(context).components.directory
    state = directory.endpoints_by_id[context.faulty_address]
    assert state.breaker._failures == 1, state.breaker._failures


@then("the stream ends with a problem after at most {limit_mib:d} MiB")
def step_stream_broken_off(context, limit_mib):
    body = context.answer.body
    assert len(body) <= limit_mib * MIB, len(body)
    problem = msgspec.json.decode(body.rstrip().rpartition(b"data: ")[2])
    assert problem["outcome"] == "failed", problem


async def call_raw_endpoint(context, send_response):
    """Call a raw endpoint on loopback and store the result in the context."""
    context.error, context.body = None, None
    context.was_closed = trio.Event()

    async def serve(stream):
        with suppress(trio.BrokenResourceError):
            await stream.receive_some(65_536)
            await send_response(stream)
        context.was_closed.set()

    endpoints = HttpEndpoints(1000)
    async with open_raw_server(serve) as address:
        call = EndpointCall("POST", address, "/", [], b"", CALL_TIMEOUT_S * 1000)
        with trio.fail_after(CALL_TIMEOUT_S):
            try:
                async with endpoints.open(call) as response:
                    context.body = await response.read(MIB)
            except EndpointError as error:
                context.error = error
            await context.was_closed.wait()
    await endpoints.close()


async def repeat(stream, data, interval_s):
    """Send bytes without end."""
    while True:
        await stream.send_all(data)
        await trio.sleep(interval_s)


@when("an endpoint sends interim responses without end")
def step_interim_responses(context):
    data = b"HTTP/1.1 102 Processing\r\n\r\n" * 100
    trio.run(call_raw_endpoint, context, lambda stream: repeat(stream, data, 0.0))


@when("an endpoint sends a head that drips")
def step_dripping_head(context):
    async def drip(stream):
        await stream.send_all(b"HTTP/1.1 200 OK\r\nx: ")
        await repeat(stream, b"x", 0.01)

    with mock.patch.object(limits, "HEAD_TIME_LIMIT_MS", SHORT_HEAD_TIME_LIMIT_MS):
        trio.run(call_raw_endpoint, context, drip)


@when("an endpoint sends a response of {size:d} bytes and ends its connection")
def step_ended_by_connection(context, size):
    async def send(stream):
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * size)
        await stream.send_eof()

    trio.run(call_raw_endpoint, context, send)


@then("the call ends with the error {name}")
def step_call_error(context, name):
    assert type(context.error).__name__ == name, repr(context.error)


@then("the endpoint's connection is closed")
def step_connection_closed(context):
    assert context.was_closed.is_set()


@then("the call returns these {size:d} bytes")
def step_call_body(context, size):
    assert context.error is None, context.error
    assert context.body == b"x" * size
