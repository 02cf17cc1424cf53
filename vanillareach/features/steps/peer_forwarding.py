"""Steps about gateways that have lost their links to endpoints."""

from unittest import mock

import trio
from behave import given, then, when

from vanillareach.core.load_state import InFlightRequest
from vanillareach.features.head_samples import HEADS, make_head_server
from vanillareach.features.steps.store_limits import MIB, RESPONSES_BY_FAULT
from vanillareach.features.support import received
from vanillareach.features.users_platform.endpoint import EVENTS
from vanillareach.features.users_platform.stage import (
    ENGINE_PARAMETERS,
    CallerResponse,
)
from vanillareach.gateway import (
    connections,
    link_monitor,
    loss_checks,
    probing,
    upstream,
)
from vanillareach.gateway.upstream import UpstreamRequest

MAX_BODY_BYTES = 1_000
# Fills the memory of an engine.
MEMORY_TOKENS = ENGINE_PARAMETERS["kv_tokens"]
SIGNED_HEAD = b"Vanillareach-Response-Signature: x\r\nContent-Length: 0\r\n\r\n"
UNKNOWN_OUTCOME = b'{"outcome":"unknown","reason":"broken"}'
# First bytes, bytes repeated without end and the interval between them.
PEER_RESPONSES = {
    **RESPONSES_BY_FAULT,
    "a signed 503": (b"HTTP/1.1 503 x\r\n" + SIGNED_HEAD, b"", 1.0),
    "a signed 429": (b"HTTP/1.1 429 x\r\n" + SIGNED_HEAD, b"", 1.0),
    "a 503 of unknown outcome": (
        b"HTTP/1.1 503 x\r\nContent-Length: %d\r\n\r\n%s"
        % (len(UNKNOWN_OUTCOME), UNKNOWN_OUTCOME),
        b"",
        1.0,
    ),
}
CONNECTING_MODULES = (upstream, probing, loss_checks, link_monitor)


@given("the first gateway's links to all endpoints {cut}")
def step_cut_links(context, cut):
    links = context.platform.links
    for module in CONNECTING_MODULES:
        patch = mock.patch.object(module, "connect", links.connect)
        patch.start()
        context.add_cleanup(patch.stop)
    links.cuts_by_gateway["g1"] = cut


@when(
    'callers send "{path}" to the first gateway, {rate:d} a second for '
    "{duration_ms:d} ms"
)
def step_call_first(context, path, rate, duration_ms):
    platform, context.timed_responses = context.platform, []

    async def call(sent_ms):
        values = {"Vanillareach_Token_Usage": "1000,100"}
        response = await platform.call(path, 0, **values)
        context.timed_responses.append((sent_ms, response))

    async def main():
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(rate * duration_ms // 1000):
                nursery.start_soon(call, 1000 * (trio.current_time() - start_s))
                await trio.sleep(1 / rate)

    context.run(main)


@then(
    "all requests sent after {settling_ms:d} ms are answered 200, complete and signed"
)
def step_all_served(context, settling_ms):
    later = [r for sent_ms, r in context.timed_responses if sent_ms > settling_ms]
    failed = [r.status for r in later if not (r.status == 200 and r.is_complete)]
    assert later and not failed, failed
    assert all(b"vanillareach-response-signature" in r.values_by_name for r in later)


@given("the first gateway has lost its links to all endpoints")
def step_lost_links(context):
    step_cut_links(context, "refuse")
    context.run(lose_links, context.platform, context.platform.gateways[:1])


@given("its peers answer with {answer}")
def step_peers_answer(context, answer):
    platform = context.platform
    peers = {g.settings.forward_listen for g in platform.gateways[1:]}

    async def serve_broken(stream):
        if answer in HEADS:
            return await make_head_server(answer)(stream)
        await stream.receive_some(MAX_BODY_BYTES)
        first, repeated, interval_s = PEER_RESPONSES[answer]
        await stream.send_all(first)
        while True:
            await stream.send_all(repeated)
            context.sent_bytes += len(repeated)
            await trio.sleep(interval_s)

    async def connect(address, *arguments):
        target = context.broken_address if address in peers else address
        return await platform.links.connect(target, *arguments)

    async def replace():
        context.broken_address = await platform.listen_raw(serve_broken)

    context.sent_bytes = 0
    context.run(replace)
    patch = mock.patch.object(upstream, "connect", connect)
    patch.start()
    context.add_cleanup(patch.stop)


@then("the response isn't a success")
def step_no_success(context):
    assert context.response.status >= 500, context.response.status


@then("no peer was read beyond {size_mib:d} MiB")
def step_read_bytes(context, size_mib):
    assert context.sent_bytes <= size_mib * MIB, context.sent_bytes


@given('the first gateway\'s paths to "{dead}" are dead, and "{full}" are full there')
def step_dead_and_full(context, dead, full):
    """Let the first gateway know of requests that fill some engines."""
    gateway = context.platform.gateways[0]
    endpoints_by_id = gateway.state.endpoints.by_id

    async def record():
        if dead != "none":
            gateway.state.paths.dead_keys = {
                endpoints_by_id[name].key for name in dead.split(",")
            }
        for name in full.split(",") if full != "none" else ():
            add_long_prompt(gateway, name, MEMORY_TOKENS)

    context.run(record)


def add_long_prompt(gateway, engine, tokens):
    """Let a gateway know of a prompt that an engine reads for a long time."""
    state, now_ms = gateway.state, gateway.clock.now_ms()
    flight = InFlightRequest(
        id=-1 - state.load_state.own_flight_count,
        engine=engine,
        helpers=(),
        reserved_tokens=(),
        prompt_tokens=tokens,
        memory_tokens=tokens,
        part_prefill_ms=20_000.0,
        objective_ms=30_000.0,
        pause_limit_ms=0.0,
        worth=0.0,
        is_prefilling=True,
        age_ms=0.0,
    )
    state.load_state.add(flight, now_ms)


@then("it was handed on: {answer}")
def step_handed_on(context, answer):
    attempts = context.platform.gateways[0].metrics.attempts
    was_handed_on = any("peer" in result for _, result in attempts)
    assert was_handed_on == (answer == "yes"), attempts


@given("all gateways have lost their links to all endpoints")
def step_all_lost_links(context):
    step_cut_links(context, "refuse")
    platform = context.platform
    for gateway in platform.gateways:
        platform.links.cuts_by_gateway[gateway.settings.name] = "refuse"
    context.run(lose_links, platform, platform.gateways)

    async def hear():
        await platform.until(
            lambda: (
                not any(
                    gateway.gossip.peers.forwarding_candidates()
                    for gateway in platform.gateways
                )
            )
        )

    context.run(hear)


async def lose_links(platform, gateways):
    """Let gateways find out that their links are cut."""
    for gateway in gateways:
        endpoint = next(iter(gateway.state.endpoints.by_id.values()))
        gateway.forwarder.link_monitor.record_failed(endpoint)
    await platform.until(lambda: all(g.state.reach.is_lost for g in gateways))


def call_first(context, path, during=None, **values):
    """Send a request to the first gateway; run `during` beside it."""
    platform = context.platform
    values = {"Vanillareach_Token_Usage": "1000,100", **values}

    async def main():
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            if during is not None:
                nursery.start_soon(during)
            context.response = await platform.call(path, 0, **values)
            context.took_ms = 1000 * (trio.current_time() - start_s)

    context.run(main)


@when('a caller sends "{path}" as usual')
def step_call_as_usual(context, path):
    call_first(context, path)


@when('a caller sends "{path}" with a body of {size:d} bytes')
def step_call_with_body(context, path, size):
    call_first(context, path, body=b"x" * size)


def helping_gateway(platform):
    """Return the gateway that has a request at an endpoint."""
    return next(g for g in platform.gateways if g.state.load_state.own_flight_count)


@when(
    'a caller sends "{path}", and the peer that got it is killed after {wait_ms:d} ms'
)
def step_kill_peer(context, path, wait_ms):
    async def kill():
        await trio.sleep(wait_ms / 1000)
        name = helping_gateway(context.platform).settings.name
        context.platform.kill_gateway(name)

    call_first(context, path, kill)


@when('a caller sends "{path}", and the peer that got it stops after {wait_ms:d} ms')
def step_stop_peer(context, path, wait_ms):
    async def stop():
        await trio.sleep(wait_ms / 1000)
        await helping_gateway(context.platform).stop()

    call_first(context, path, stop)


@when('a caller sends "{path}" and leaves after {wait_ms:d} ms')
def step_leave(context, path, wait_ms):
    async def main():
        async with await context.platform.connect(0) as caller:
            await caller.send(path)
            await trio.sleep(wait_ms / 1000)

    context.run(main)


@then("the endpoint's work ends within {most_ms:d} ms")
def step_work_ends(context, most_ms):
    async def wait():
        with trio.fail_after(most_ms / 1000):
            while not any(request.was_cancelled for request in received(context)):
                await trio.sleep(0.01)

    context.run(wait)


@then("it took less than {most_ms:d} ms, and tells when to return")
def step_took(context, most_ms):
    assert context.took_ms < most_ms, context.took_ms
    assert float(context.response.values_by_name[b"retry-after"]) > 0


@when("the first gateway's links are whole again")
def step_links_whole(context):
    context.platform.links.cuts_by_gateway.clear()


@then("within {most_ms:d} ms it uses its own links")
def step_own_links(context, most_ms):
    gateway = context.platform.gateways[0]

    async def wait():
        with trio.fail_after(most_ms / 1000):
            await context.platform.until(lambda: not gateway.state.reach.is_lost)
        response = await context.platform.call("/read/a", 0)
        assert response.status == 200
        assert not any("peer" in result for _, result in gateway.metrics.attempts)

    context.run(wait)


@given('endpoint "{name}" is unreachable')
def step_endpoint_unreachable(context, name):
    async def cut():
        context.platform.make_endpoint_unreachable(name)

    context.run(cut)


@then("no gateway has lost its links")
def step_no_lost_links(context):
    assert not any(g.state.reach.is_lost for g in context.platform.gateways)


@then("the other gateways have set no endpoint aside, and nobody suspects a request")
def step_nobody_shunned(context):
    gateways = context.platform.gateways
    assert not any(g.state.health.unreachable_by_key for g in gateways[1:])
    assert not any(g.state.quarantine.evidence.marks_by_trait for g in gateways)


@when("a stranger hands a request to the first gateway")
def step_stranger(context):
    address = context.platform.gateways[0].settings.forward_listen
    request = UpstreamRequest(
        address, b"POST", b"/forward", [], address.encode(), b"x" * 64
    )
    context.response = CallerResponse()

    async def main():
        async with upstream.open_upstream(request, lambda: None) as response:
            context.response.status = response.status
            context.response.body = await response.read(MAX_BODY_BYTES)
            context.response.is_complete = True

    context.run(main)


@then("the response is a whole stream")
def step_whole_stream(context):
    response = context.response
    assert response.status == 200 and response.is_complete, response.status
    expected = "".join(
        f"id: {number}\ndata: piece {number}\n\n" for number in range(1, EVENTS + 1)
    )
    assert response.body.decode() == expected, response.body


@when('the peer of a stream "{path}" is killed, and all endpoints leave for the others')
def step_kill_and_leave(context, path):
    platform = context.platform

    async def disturb():
        await trio.sleep(0.3)
        helper = helping_gateway(platform)
        for gateway in platform.gateways[1:]:
            for endpoint in gateway.state.endpoints.by_id.values():
                gateway.state.record_reported_leaving(*endpoint.key)
        platform.kill_gateway(helper.settings.name)

    context.errors = []
    patch = mock.patch.object(connections.log, "exception", context.errors.append)
    patch.start()
    context.add_cleanup(patch.stop)
    call_first(context, path, disturb)


@then("no gateway had an unhandled error")
def step_no_errors(context):
    assert not context.errors, context.errors
