"""Steps about streams whose engine or entry is lost."""

import msgspec
import trio
from behave import given, then, when

from vanillareach.core.streams import StreamProgress
from vanillareach.features.support import (
    engine_apps,
    expected_text,
    first_entry,
    prompt_of,
    stream,
)
from vanillareach.standins.engine import EngineBehaviour

PROMPT = prompt_of(100)


def serving_engine(context):
    """Return the address of the engine that runs a request, or None."""
    for address, app in context.stage.apps_by_address.items():
        if hasattr(app, "engine") and app.requests_by_id:
            return address
    return None


def stream_until_engine_dies(context, document, path, should_die):
    """Send a request and kill its engine as soon as `should_die` returns true."""
    context.killed_address = None

    async def kill_when_due():
        while True:
            address = serving_engine(context)
            if address is not None:
                requests_by_id = context.stage.apps_by_address[address].requests_by_id
                engine_request = next(iter(requests_by_id.values()))[0]
                if should_die(engine_request):
                    context.stage.endpoints.kill(address)
                    context.killed_address = address
                    return
            await trio.sleep(0.001)

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill_when_due)
            entry = first_entry(context)
            context.answer = await entry.team_call("POST", path, document)
            nursery.cancel_scope.cancel()

    context.run(run)
    assert context.killed_address is not None, "no engine died"


def completion(tokens, **extra_fields):
    """Return the body of a completion request."""
    return {"model": "model", "prompt": PROMPT, "max_tokens": tokens, **extra_fields}


@when("the serving engine dies after token {token:d} of a stream of {tokens:d} tokens")
def step_engine_dies_in_stream(context, token, tokens):
    context.tokens = tokens
    stream_until_engine_dies(
        context,
        completion(tokens, stream=True),
        "/v1/completions",
        lambda engine_request: len(engine_request.words) >= token,
    )


@when(
    "the serving engine dies after token {token:d} of a stream of {tokens:d} tokens "
    "with usage"
)
def step_engine_dies_in_stream_with_usage(context, token, tokens):
    context.tokens = tokens
    options = {"include_usage": True}
    stream_until_engine_dies(
        context,
        completion(tokens, stream=True, stream_options=options),
        "/v1/completions",
        lambda engine_request: len(engine_request.words) >= token,
    )


@when("the serving engine dies after token {token:d} of a chat of {tokens:d} tokens")
def step_engine_dies_in_chat(context, token, tokens):
    document = {
        "model": "model",
        "messages": [{"role": "user", "content": PROMPT}],
        "max_tokens": tokens,
        "stream": True,
    }
    stream_until_engine_dies(
        context,
        document,
        "/v1/chat/completions",
        lambda engine_request: len(engine_request.words) >= token,
    )


@when("the serving engine dies {delay_ms:d} ms into a response without streaming")
def step_engine_dies_in_plain_response(context, delay_ms):
    observed_times_s = []

    def should_die(engine_request):
        observed_times_s.append(trio.current_time())
        return trio.current_time() - observed_times_s[0] >= delay_ms / 1000

    stream_until_engine_dies(context, completion(20), "/v1/completions", should_die)


@then("the caller received each token once, in order")
def step_in_order(context):
    tokens = getattr(context, "tokens", 20)
    progress = StreamProgress()
    progress.feed(context.answer.body)
    assert progress.done, context.answer.body[-300:]
    position = progress.position()
    assert position.tokens == tokens, position.tokens
    assert position.text == expected_text(PROMPT, tokens)


@then("the surviving engines have no memory in use")
def step_no_memory(context):
    context.run(trio.sleep, 1)
    for address, app in context.stage.apps_by_address.items():
        if (
            hasattr(app, "engine")
            and address not in context.stage.endpoints.unreachable_addresses
        ):
            assert app.engine.kv_used_tokens == 0, address


@given("all engines break streams once at token {token:d}")
def step_break_streams(context, token):
    for app in engine_apps(context):
        app.behaviour = EngineBehaviour(break_at_token=token, breaks=1)


@given("all engines {fail} all streams at token {token:d}")
def step_fail_all_streams(context, fail, token):
    for app in engine_apps(context):
        app.behaviour = EngineBehaviour(**{f"{fail}_at_token": token})


@when("a caller streams {tokens:d} tokens with usage")
def step_stream_with_usage(context, tokens):
    options = {"include_usage": True}
    stream(context, completion(tokens, stream_options=options))


@then("no prompt was prefilled twice")
def step_one_attempt(context):
    attempts = first_entry(context).components.metrics.attempts
    assert sum(attempts.values()) == 1, attempts


@then("the usage counts {tokens:d} completion tokens and the prompt's own tokens")
def step_usage(context, tokens):
    events = context.answer.body.strip().split(b"\n\n")
    usage = msgspec.json.decode(events[-2].removeprefix(b"data: "))["usage"]
    assert usage["completion_tokens"] == tokens, usage
    assert abs(usage["prompt_tokens"] - len(PROMPT) // 4) <= 2, usage


@given("half of the engines refuse all requests")
def step_refusing_engines(context):
    for app in engine_apps(context)[::2]:
        app.behaviour = EngineBehaviour(refuse=True)


@when("{count:d} requests are sent at {rate:d} a second")
def step_send_requests(context, count, rate):
    entry = first_entry(context)

    async def run():
        async with trio.open_nursery() as nursery:
            for number in range(count):
                document = {"model": "model", "prompt": f"{number}", "max_tokens": 2}
                nursery.start_soon(entry.team_call, "POST", "/v1/completions", document)
                await trio.sleep(1 / rate)

    context.run(run)
    context.request_count = count


@then("attempts are at most {factor:f} times the requests")
def step_attempts(context, factor):
    attempts = sum(first_entry(context).components.metrics.attempts.values())
    assert attempts <= factor * context.request_count, attempts


@when(
    "entry {index:d} is killed {delay_ms:d} ms after the start of a long stream "
    "with a time limit of {limit_ms:d} ms"
)
def step_kill_entry(context, index, delay_ms, limit_ms):
    entry = context.stage.entries_by_name[f"entry-{index}"]

    async def run():
        document = completion(5000, stream=True)
        context.stage.nursery.start_soon(
            lambda: entry.team_call(
                "POST", "/v1/completions", document, x_time_limit_ms=str(limit_ms)
            )
        )
        await trio.sleep(delay_ms / 1000)
        assert serving_engine(context), "no engine was running the stream"
        entry.kill()

    context.run(run)
