"""Steps about endpoints that say they leave, or ask for quiet."""

import json
import math
import re

import msgspec
import trio
from behave import given, then, when

from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.features.support import endpoints, received
from vanillareach.gateway.ports import EndpointSignals
from vanillareach.gateway.report import InstanceReport
from vanillareach.platform.signals import read_signals

LONG_QUIET_MS = 60_000.0
SERVICE = "desk"
# So many that load leads some of them to each endpoint of a service.
CALLS_AT_ONCE = 12
# By then a reservation was renewed, and later released if it is at all.
RENEWALS_S = 1.3
RELEASE_S = 0.5
# Longer prompts are sent one after another, as they need most of the memory.
MAX_TOKENS_AT_ONCE = 1_000


@given("engines that answer with a stream")
def step_engines_stream(context):
    for endpoint in endpoints(context):
        if endpoint.service != SERVICE:
            endpoint.default_step = "stream"


@given("endpoints that ask for {duration_s:d} s of quiet")
def step_quiet_duration(context, duration_s):
    for endpoint in endpoints(context):
        endpoint.retry_after = str(duration_s).encode()


def call_all(context, calls):
    """Send requests at once; keep their responses."""
    context.responses = []

    async def call(path, values):
        context.responses.append(await context.platform.call(path, **values))

    async def main():
        async with trio.open_nursery() as nursery:
            for path, values in calls:
                nursery.start_soon(call, path, values)

    context.run(main)


@when('{count:d} more callers send "{path}" with a prompt of {tokens:d} tokens')
def step_more_callers(context, count, path, tokens):
    calls = [(path, {"Vanillareach_Token_Usage": f"{tokens},100"})] * count
    if tokens <= MAX_TOKENS_AT_ONCE:
        call_all(context, calls)
        return
    responses = []
    for call in calls:
        call_all(context, [call])
        responses += context.responses
    context.responses = responses


@when('{count:d} callers send "{path}" to each gateway')
def step_callers_at_each(context, count, path):
    responses = []
    for _ in range(count):
        for gateway in range(len(context.platform.gateways)):
            call_all(context, [(path, {"gateway": gateway})])
            responses += context.responses
    context.responses = responses


@then("all of them are answered 200")
def step_all_answered(context):
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {200}, statuses


def check_none_unwanted(context):
    """Check that no endpoint got a request after it had asked for none."""
    unwanted = [
        (e.name, request.cause, request.attempt_id, request.after_ms)
        for e in endpoints(context)
        for request in e.unwanted
    ]
    assert not unwanted, unwanted


@then("none got a request it didn't want")
def step_none_unwanted(context):
    check_none_unwanted(context)


@then("1 endpoint has said that it leaves, and none got a request it didn't want")
def step_one_left(context):
    context.endpoint = one(e for e in endpoints(context) if e.is_leaving)
    check_none_unwanted(context)


@then("1 endpoint has asked for quiet, and none got a request it didn't want")
def step_one_quiet(context):
    context.endpoint = one(e for e in endpoints(context) if e.quiet_count)
    check_none_unwanted(context)


def one(values):
    """Return the only value of an iterable."""
    values = list(values)
    assert len(values) == 1, values
    return values[0]


@then("all gateways soon know that 1 endpoint leaves")
def step_all_know(context):
    name = one(e.name for e in endpoints(context) if e.is_leaving)

    async def wait():
        await context.platform.until(
            lambda: all(
                [e.id for e in gateway.state.endpoints.leaving_unlike_list()] == [name]
                for gateway in context.platform.gateways
            )
        )

    context.run(wait)


@then(
    "after {wait_ms:d} ms the gateways take {first:d} and {second:d} endpoints for "
    "leaving"
)
def step_count_leaving(context, wait_ms, first, second):
    async def count():
        await trio.sleep(wait_ms / 1000)
        return [
            sum(map(gateway.state.endpoints.is_leaving, listed(gateway)))
            for gateway in context.platform.gateways
        ]

    counts = context.run(count)
    assert counts == [first, second], counts


def listed(gateway):
    """Return the endpoints that a gateway has listed."""
    return gateway.state.endpoints.by_id.values()


@when("the endpoint that said it leaves starts again")
def step_start_again(context):
    context.endpoint.restart()

    async def put():
        context.platform.put_endpoint(context.endpoint.name, SERVICE, born=2)

    context.run(put)


@then("it soon gets requests again")
def step_gets_requests(context):
    stage, endpoint = context.platform, context.endpoint
    path = "/read/a" if endpoint.service == SERVICE else "/ask/a"
    before = len(endpoint.received)

    async def call_until_received():
        with trio.fail_after(10):
            while len(endpoint.received) == before:
                async with trio.open_nursery() as nursery:
                    for _ in range(CALLS_AT_ONCE):
                        nursery.start_soon(stage.call, path)

    context.run(call_until_received)
    check_none_unwanted(context)


@when('a caller sends "{path}", and the gateway stops')
def step_call_and_stop(context, path):
    async def call():
        await context.platform.call(path)
        context.platform.gateways[0].state.mark_stopping(math.inf)

    context.run(call)


@given("the endpoint chosen first is {cause} before the request is sent")
def step_withdraw_after_choice(context, cause):
    gateway = context.platform.gateways[0]
    client, state = gateway.forwarder._placement_client, gateway.state
    choose, context.chosen = client.choose, []

    async def choose_and_withdraw(exchange):
        decision = await choose(exchange)
        endpoint = decision.placement.endpoint
        context.chosen.append(endpoint.id)
        if len(context.chosen) > 1:
            return decision
        if cause == "leaving":
            state.record_reported_leaving(*endpoint.key)
        else:
            now_ms = context.platform.clock.now_ms()
            state.quiet_periods.record(endpoint.key, LONG_QUIET_MS, now_ms)
        return decision

    client.choose = choose_and_withdraw


@then("the endpoint chosen first received nothing, and no retry was counted")
def step_check_withdrawn(context):
    first, second = context.chosen
    by_name, gateway = context.platform.endpoints_by_name, context.platform.gateways[0]
    assert first != second and not by_name[first].received
    service = by_name[first].service
    assert gateway.metrics.attempts[(service, "not_sent")] == 1

    async def retries():
        return len(gateway.state.retry_share(service)._retries_ms)

    assert context.run(retries) == 0


@when('a caller sends "{path}" with {tokens:d} tokens and waits for the answer')
def step_wait_for_answer(context, path, tokens):
    async def call():
        context.caller = await context.platform.connect()
        await context.caller.send(path, Vanillareach_Token_Usage=f"{tokens},100")
        await context.platform.until(lambda: received(context))

    context.run(call)


@when("a helper of it says meanwhile that it is {cause}")
def step_helper_says(context, cause):
    context.endpoint = next(
        e for e in endpoints(context) if e.reservation_count and not e.received
    )
    state = context.platform.gateways[0].state
    signals = EndpointSignals(cause == "leaving", LONG_QUIET_MS * (cause == "quiet"))

    async def record():
        entry = state.endpoints.by_id[context.endpoint.name]
        state.record_signals(entry, signals)
        await trio.sleep(RENEWALS_S)

    context.run(record)


@then("the helper got {renewals} and, after the caller left, {releases}")
def step_check_renewals(context, renewals, releases):
    helper = context.endpoint
    assert (helper.reservation_count > 1) is (renewals == "renewals"), (
        helper.reservation_count
    )

    async def leave():
        await context.caller.__aexit__()
        await context.platform.until(lambda: received(context)[0].was_cancelled)
        await trio.sleep(RELEASE_S)

    context.run(leave)
    assert bool(helper.expiry_s_by_reservation) is (releases == "no release")


@then(
    'the response says "{reason}" and has a Retry-After of {low_ms:d} to {high_ms:d} ms'
)
def step_check_reason(context, reason, low_ms, high_ms):
    response = context.response
    assert json.loads(response.body)["reason"] == reason, response.body
    retry_after_ms = 1000 * float(response.values_by_name[b"retry-after"])
    assert low_ms <= retry_after_ms <= high_ms, retry_after_ms


@then('the reports of the endpoints say "{first}" and "{second}" with a time')
def step_check_reports(context, first, second):
    gateway = context.platform.gateways[0]

    async def report():
        return gateway._encoded_report()

    decoded = msgspec.json.decode(context.run(report), type=InstanceReport)
    standings = [endpoint.standing for endpoint in decoded.endpoints]
    assert first in standings, standings
    patterns = [re.fullmatch(second + r" (\d+) s", text) for text in standings]
    assert 25 <= int(one(filter(None, patterns))[1]) <= 31, standings


@then('the metrics say 1 for "{first}" and "{second}"')
def step_check_gauges(context, first, second):
    async def render():
        return context.platform.gateways[0].metrics.render().decode()

    lines = context.run(render).splitlines()
    for name in (first, second):
        assert f"vanillareach_{name} 1.0" in lines, lines


@then('a {status:d} with Retry-After "{value}" asks for {quiet_ms:d} ms of quiet')
def step_check_retry_after(context, status, value, quiet_ms):
    signals = read_signals(status, [(b"Retry-After", value.encode())])
    assert signals.quiet_ms == quiet_ms, signals
    assert not signals.ignored_retry_after


@then('a 503 with Retry-After "{value}" is ignored, and the value is kept for the log')
def step_check_ignored(context, value):
    signals = read_signals(503, [(b"Retry-After", value.encode())])
    assert (signals.quiet_ms, signals.ignored_retry_after) == (0.0, value), signals


@then('an answer with Server-Leaving "{value}" of status {status:d} says {verdict}')
def step_check_leaving_value(context, value, status, verdict):
    signals = read_signals(status, [(b"SERVER-leaving", value.encode())])
    assert signals.is_leaving is (verdict == "leaving")


@when('"{name}" of incarnation {incarnation:d} says that it leaves')
def step_says_leaving(context, name, incarnation):
    context.endpoint_list.record_leaving((name, incarnation), was_said=True)


@when("{count:d} endpoints that are not listed say that they leave")
def step_many_leave(context, count):
    for number in range(count):
        context.endpoint_list.record_leaving((f"gone-{number}", 1), was_said=True)


@then("{count:d} incarnations are remembered")
def step_check_remembered(context, count):
    assert len(context.endpoint_list._was_said_by_leaving_key) == count


@when('the list shows "{name}" at the address of "{other}"')
def step_same_address(context, name, other):
    address = context.endpoint_list.by_id[other].address
    endpoint = ListedEndpoint(name, 1, "s", address, "a", 8, False)
    context.endpoint_list.apply_list([endpoint], 7, context.now_ms)


@when('it is gone for {gone_ms:d} ms, and a copy of the store lists "{name}" again')
def step_listed_again(context, gone_ms, name):
    endpoint_list, entry = context.endpoint_list, context.endpoint_list.by_id[name]
    endpoint_list.apply_list([], 9, context.now_ms)
    # Other endpoints come and go meanwhile.
    other = ListedEndpoint("other", 1, "s", "10.0.0.2:80", "a", 8, False)
    context.now_ms += gone_ms
    endpoint_list.apply_list([other], 10, context.now_ms)
    endpoint_list.apply_list([], 11, context.now_ms)
    for _ in range(20):
        context.now_ms += 500
        endpoint_list.apply_list([entry], 3, context.now_ms, era=1)
