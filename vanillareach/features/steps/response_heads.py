"""Steps about heads of responses that HTTP/1.1 doesn't admit."""

import httpcore
import trio
from behave import given, then

from vanillareach.clock import MS_PER_SECOND, TrioClock
from vanillareach.control.object_api import HttpPlatform, PlatformError
from vanillareach.endpoints.base import EndpointCall, EndpointError
from vanillareach.endpoints.http import HttpEndpoints
from vanillareach.features.head_samples import BODY, make_head_server
from vanillareach.features.raw_server import open_raw_server
from vanillareach.gateway.upstream import UpstreamRequest, open_upstream
from vanillareach.platform.store import PlatformStore
from vanillareach.single_calls import call_once

CALL_TIMEOUT_S = 10.0
ERRORS = (EndpointError, PlatformError, httpcore.ProtocolError)


@given("a server that answers with {head}")
def step_server(context, head):
    context.serve = make_head_server(head)


async def call_by_gateway(address):
    """Call by the client that gateways use for endpoints, peers and orders."""
    request = UpstreamRequest(address, b"POST", b"/", [], address.encode(), b"{}")
    async with open_upstream(request, lambda: None) as response:
        return await response.read(len(BODY))


async def call_by_entry(address):
    """Call by the client that entries use for engines and services."""
    client = HttpEndpoints(CALL_TIMEOUT_S * MS_PER_SECOND)
    timeout_ms = CALL_TIMEOUT_S * MS_PER_SECOND
    try:
        async with client.open(
            EndpointCall("POST", address, "/", [], b"{}", timeout_ms)
        ) as response:
            return await response.read(len(BODY))
    finally:
        await client.close()


async def call_store(address):
    """Call by the client of the users' store."""
    store = PlatformStore(address)
    try:
        return await store.list_endpoints()
    finally:
        await store.close()


async def call_object_api(address):
    """Call by the client of the object API."""
    api = HttpPlatform(address, TrioClock())
    try:
        return await api.list("endpoints")
    finally:
        await api.close()


async def call_by_command(address):
    """Call as the commands for operators do."""
    url = f"http://{address}/"
    return await trio.to_thread.run_sync(
        lambda: call_once("GET", url, CALL_TIMEOUT_S).content
    )


CALLS = (call_by_gateway, call_by_entry, call_store, call_object_api, call_by_command)


def names_of_takers(context):
    """Return the names of the calls that took the server's bytes for an answer."""

    async def main():
        names = []
        async with open_raw_server(context.serve) as address:
            for call in CALLS:
                with trio.fail_after(CALL_TIMEOUT_S):
                    try:
                        await call(address)
                    except ERRORS:
                        continue
                names.append(call.__name__)
        return names

    return trio.run(main)


@then("none of the clients takes it for an answer")
def step_no_taker(context):
    names = names_of_takers(context)
    assert not names, names


@then("all of the clients take it for an answer")
def step_all_takers(context):
    names = names_of_takers(context)
    assert len(names) == len(CALLS), names


@given("the endpoints answer with {head}")
def step_endpoints(context, head):
    context.run(context.platform.replace_endpoints, make_head_server(head))


@then("it bears no signature")
def step_no_signature(context):
    values = context.response.values_by_name
    assert b"vanillareach-response-signature" not in values, values
