"""Steps about endpoints whose responses are malformed, endless or cut."""

import math
import re
from collections import Counter

import trio
from behave import given, then, when

from vanillareach.features.steps.gateway import SharedScript
from vanillareach.features.support import endpoints, received
from vanillareach.features.users_platform.endpoint_faults import (
    STREAM_WITH_COMMENTS,
    encode_events,
)

ANSWER = b"an answer of a length that nobody told"
# For what an endpoint has sent to reach the gateway.
SETTLE_S = 0.1
STREAM = encode_events(1, 3)
# No head of an answer is shorter.
MIN_HEAD_BYTES = 100


@given("no endpoint is taken for silent before the deadline")
def step_disable_idle_timeouts(context):
    dispatcher = context.platform.gateways[0].forwarder._dispatcher
    dispatcher.first_byte_timeout_ms = lambda exchange, placement, now_ms: math.inf
    dispatcher.event_gap_timeout_ms = lambda exchange: math.inf


@then('the attempts at "{service}" ended "{results}"')
def step_check_attempt_results(context, service, results):
    attempts = context.platform.gateways[0].metrics.attempts
    expected = Counter(results.split(","))

    def counts():
        return {result: n for (name, result), n in attempts.items() if name == service}

    async def wait_for_results():
        # The last result is recorded after the response was sent.
        await context.platform.until(lambda: sum(counts().values()) >= expected.total())

    context.run(wait_for_results)
    assert counts() == expected, counts()


@given("the gateway may hold {size:d} bytes of incomplete events and answers")
def step_set_buffer_budget(context, size):
    context.platform.gateways[0].buffer_budget.max_bytes = size


@when('{count:d} callers send "{path}" one after another and wait')
def step_hold_parts(context, count, path):
    stage = context.platform
    responses = [None] * count

    async def receive(number):
        responses[number] = await stage.call(path, Vanillareach_Token_Usage="1000,100")

    async def call():
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(receive, number)
                await stage.until(
                    lambda sent=number + 1: len(received(context)) == sent
                )
                await trio.sleep(SETTLE_S)

    context.run(call)
    context.responses = responses


@when(
    "{count:d} callers get an error of {size:d} bytes and then wait for a second "
    "endpoint"
)
def step_keep_errors(context, count, size):
    stage = context.platform
    script = SharedScript(["fail_large", "mute"] * count)
    for endpoint in endpoints(context):
        endpoint.script, endpoint.large_bytes = script, size
    responses = [None] * count

    async def receive(number):
        deadline = {"Vanillareach-Deadline-Ms": "2500"}
        responses[number] = await stage.call("/read/a", **deadline)

    async def call():
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(receive, number)
                await stage.until(
                    lambda sent=2 * number + 2: len(received(context)) == sent
                )

    context.run(call)
    context.responses = responses


@then(
    "the first {broken:d} are refused with {first:d} "
    "and the last {held:d} with {last:d}"
)
def step_check_refusals(context, broken, first, held, last):
    statuses = [response.status for response in context.responses]
    assert statuses == [first] * broken + [last] * held, statuses


def set_raw_body(context, body, end):
    """Set what the steps that end with the connection send."""
    for endpoint in endpoints(context):
        endpoint.raw_body, endpoint.is_reset = body, end == "reset"


@given('an answer without length or chunks will end by "{end}" after "{step}"')
def step_script_answer(context, end, step):
    set_raw_body(context, ANSWER, end)
    context.script = SharedScript([step])
    for endpoint in endpoints(context):
        endpoint.script = context.script


@then("its body is the one that the endpoint sent")
def step_check_body(context):
    assert context.response.body == ANSWER, context.response.body


@then("its body has the events and all comments")
def step_check_comments(context):
    assert context.response.body == STREAM_WITH_COMMENTS, context.response.body


@when(
    'a stream without length or chunks is cut at each offset by "{end}" after "{step}"'
)
def step_cut_at_each_offset(context, end, step):
    """Send one request for each offset; the second endpoint sends the rest."""
    context.runs = []

    async def call(offset):
        set_raw_body(context, STREAM[:offset], end)
        script = SharedScript([step, "resume_with_connection"])
        for endpoint in endpoints(context):
            endpoint.received.clear()
            endpoint.script = script
        # Each request at its own time: the retry budget is shared by all.
        share = context.platform.gateways[0].state.retry_share("model")
        share._retries_ms.clear()
        response = await context.platform.call(
            "/ask/a", Vanillareach_Token_Usage="1000,100"
        )
        requests = sorted(received(context), key=lambda request: request.arrived_s)
        context.runs.append((offset, response, requests))

    context.is_reset = end == "reset"
    for offset in range(len(STREAM) + 1):
        context.run(call, offset)


@then("each stream is whole, and resumed wherever the cut was inside an event")
def step_check_cut_streams(context):
    for offset, response, requests in context.runs:
        sent = STREAM[:offset]
        whole_count = sent.count(b"\n\n")
        is_between_events = sent.endswith(b"\n\n")
        assert response.status == 200 and response.is_complete, (offset, response.body)
        numbers = [int(n) for n in re.findall(rb"id: (\d+)\n", response.body)]
        if is_between_events and not context.is_reset:
            assert len(requests) == 1, (offset, len(requests))
            assert response.body == sent, (offset, response.body)
            continue
        assert numbers == list(range(1, 7)), (offset, response.body)
        assert len(requests) == 2, (offset, len(requests))
        last_event = requests[1].values_by_name.get(b"last-event-id", "0")
        assert int(last_event) == whole_count, (offset, last_event)


@given("all endpoints will stop within the heads of their answers")
def step_cut_heads(context):
    for endpoint in endpoints(context):
        endpoint.default_step = "cut_head"


@when('callers send "{path}", with heads cut at every {step:d}th byte')
def step_send_for_cut_heads(context, path, step):
    stage, context.responses = context.platform, []

    async def call():
        for length in range(0, MIN_HEAD_BYTES, step):
            for endpoint in endpoints(context):
                endpoint.head_bytes = length
            context.responses.append(await stage.call(path))

    context.run(call)


@then("all responses are {status:d}")
def step_check_all_statuses(context, status):
    statuses = {response.status for response in context.responses}
    assert context.responses and statuses == {status}, statuses
