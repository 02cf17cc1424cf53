"""Steps about answers that arrive on a connection beyond those that were asked for."""

import h11
import msgspec
import trio
from behave import given, then, when

from vanillareach.clock import TrioClock
from vanillareach.control.object_api import HttpPlatform, PlatformError
from vanillareach.endpoints.base import EndpointCall, EndpointError
from vanillareach.endpoints.http import HttpEndpoints
from vanillareach.features.raw_server import open_raw_server
from vanillareach.platform.store import PlatformStore

SECOND_DELAY_S = 0.05
# Time in which what was written arrives, also on a busy machine.
SETTLE_S = 0.2
CALL_TIMEOUT_MS = 5_000.0
STORED_CONFIGURATION = {
    "metadata": {"name": "main", "rev": 7},
    "spec": {"version": 3, "routes": [], "backends": []},
}
REPEATS_BY_TEXT = {
    "in one piece": "in one piece",
    "the second time 50 ms later": "later",
    "the second time at the next call": "next",
}


class RepeatingServer:
    """Answers each request, and writes the first answer of a connection once more.

    Parameters
    ----------
    repeats : str
        When it does so: "in one piece", "later", "next" or "never".
    """

    def __init__(self, repeats):
        self._repeats = repeats
        self.connection_count = 0

    async def serve(self, stream):
        """Serve one connection."""
        self.connection_count += 1
        connection, first_answer = h11.Connection(h11.SERVER), None
        while (request := await self._receive(connection, stream)) is not None:
            answer = self._answer(connection, request)
            if first_answer is not None:
                is_due = self._repeats == "next"
                await stream.send_all(first_answer + answer if is_due else answer)
            else:
                first_answer = answer
                await self._send_first(stream, answer)
            connection.start_next_cycle()

    async def _receive(self, connection, stream):
        request = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(65_536))
            elif isinstance(event, h11.ConnectionClosed):
                return None
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                return request

    def _answer(self, connection, request):
        status, document = self.answer(request.method.decode(), request.target.decode())
        body = msgspec.json.encode(document)
        head = h11.Response(
            status_code=status, headers=[("Content-Length", str(len(body)))]
        )
        parts = (head, h11.Data(data=body), h11.EndOfMessage())
        return b"".join(connection.send(part) for part in parts)

    def answer(self, method, target):
        """Return status and document: the path, or the result of a write."""
        if target.endswith("/main"):
            return 200, STORED_CONFIGURATION
        if method == "POST":
            return 200, {"metadata": {"name": "a", "resourceVersion": "1"}}
        if method == "PUT":
            return 409, {}
        if target.endswith("/a"):
            return 200, {"metadata": {"name": "a", "resourceVersion": "1"}}
        return 200, {"metadata": {"name": "b"}, "items": [], "at": 9}

    async def _send_first(self, stream, answer):
        is_doubled = self._repeats == "in one piece"
        await stream.send_all(answer + answer if is_doubled else answer)
        if self._repeats == "later":
            await trio.sleep(SECOND_DELAY_S)
            await stream.send_all(answer)


@given("a server that writes each answer once")
def step_correct_server(context):
    context.server = RepeatingServer("never")


@given("a server that writes its first answer twice, {when}")
def step_repeating_server(context, when):
    context.server = RepeatingServer(REPEATS_BY_TEXT[when])


def run_calls(context, make_client, *calls):
    """Make calls of a client one after the other; keep each answer or error."""
    context.results = []

    async def main():
        async with open_raw_server(context.server.serve) as address:
            client = make_client(address)
            for call in calls:
                with trio.fail_after(CALL_TIMEOUT_MS / 1000):
                    try:
                        context.results.append(await call(client))
                    except (PlatformError, EndpointError) as error:
                        context.results.append(error)
                await trio.sleep(SETTLE_S)
            await client.close()

    trio.run(main)


@when("a client of the store reads one object and then another")
def step_read_store(context):
    run_calls(
        context,
        PlatformStore,
        PlatformStore.read_configuration,
        PlatformStore.list_endpoints,
    )
    context.is_own = lambda answer: answer.position.revision == 9


@when("a client of the object API reads one object and then another")
def step_read_object_api(context):
    run_calls(
        context,
        make_object_api,
        lambda api: api.read("endpoints", "a"),
        lambda api: api.read("endpoints", "b"),
    )
    context.is_own = lambda answer: answer.metadata.name == "b"


def make_object_api(address):
    """Return a client of the object API."""
    return HttpPlatform(address, TrioClock())


@when("a client of an endpoint reads one object and then another")
def step_read_endpoint(context):
    read_endpoint(context)


@when("a client of an endpoint's control calls reads one object and then another")
def step_read_control(context):
    read_endpoint(context, can_reuse_connection=True)


def read_endpoint(context, **options):
    """Make two calls at an endpoint."""

    def read(path):
        async def call(endpoints):
            endpoint_call = EndpointCall(
                "GET", endpoints.address, path, [], b"", CALL_TIMEOUT_MS, **options
            )
            async with endpoints.open(endpoint_call) as response:
                return msgspec.json.decode(await response.read(65_536))

        return call

    def make_endpoints(address):
        endpoints = HttpEndpoints(1_000)
        endpoints.address = address
        return endpoints

    run_calls(context, make_endpoints, read("/a"), read("/b"))
    context.is_own = lambda answer: answer["metadata"]["name"] == "b"


@then("the second read has the answer to itself, or fails")
def step_check_second_read(context):
    first, second = context.results
    assert not isinstance(first, Exception), first
    assert isinstance(second, Exception) or context.is_own(second), second


@then("both reads came on one connection")
def step_check_connections(context):
    assert not any(isinstance(result, Exception) for result in context.results)
    assert context.server.connection_count == 1, context.server.connection_count


@when("an object is written, and written again though another has changed it")
def step_write_twice(context):
    run_calls(
        context,
        make_object_api,
        lambda api: api.write("claims", "a", {}, ""),
        lambda api: api.write("claims", "a", {}, "1"),
    )


@then("the second write fails with {name}")
def step_check_second_write(context, name):
    first, second = context.results
    assert first == "1", first
    assert type(second).__name__ == name, second
