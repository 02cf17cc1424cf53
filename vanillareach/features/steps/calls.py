"""Steps for single calls of callers."""

import msgspec
import trio
from behave import given, then, when

from vanillareach.core.streams import StreamProgress
from vanillareach.features.harness import TEAM_TOKEN, Answer, MemoryCall
from vanillareach.features.support import (
    SCORES_PATH,
    engine_apps,
    first_entry,
    prompt_of,
    runs_of,
    send_keyed,
    service_apps,
    stream,
)
from vanillareach.standins.engine import EngineBehaviour

FLEET_FORMING_S = 8


@given("{engines:d} engines, {services:d} services and {entries:d} entry")
@given("{engines:d} engines, {services:d} services and {entries:d} entries")
def step_start_fleet(context, engines, services, entries):
    async def build():
        for index in range(engines):
            context.stage.add_engine(f"engine-{index}", f"domain-{'abc'[index % 3]}")
        for index in range(services):
            context.stage.add_service(f"service-{index}", f"domain-{'abc'[index % 3]}")
        for index in range(entries):
            name = f"entry-{index}"
            await context.stage.add_entry(name, f"domain-{'abc'[index % 3]}")
        await trio.sleep(1 if entries == 1 else FLEET_FORMING_S)

    context.run(build)


@given("all engines hang at token {token:d}")
def step_hang_engines(context, token):
    for app in engine_apps(context):
        app.behaviour = EngineBehaviour(hang_at_token=token)


@given("all engines freeze at token {token:d}")
def step_freeze_engines(context, token):
    for app in engine_apps(context):
        app.behaviour = EngineBehaviour(freeze_at_token=token)


@given("the services run calls without responding")
def step_unresponsive_services(context):
    for app in service_apps(context):
        app.behaviour.lose_answers = 1000


@when("a caller streams {prompt:d} prompt tokens for {tokens:d} tokens")
def step_stream(context, prompt, tokens):
    stream(context, {"prompt": prompt_of(prompt), "max_tokens": tokens})


@when(
    "a caller streams {prompt:d} prompt tokens for {tokens:d} tokens "
    "within {limit:d} ms"
)
def step_stream_within(context, prompt, tokens, limit):
    document = {"prompt": prompt_of(prompt), "max_tokens": tokens}
    stream(context, document, x_time_limit_ms=str(limit))


@when("a caller streams a chat for {tokens:d} tokens")
def step_stream_chat(context, tokens):
    messages = [{"role": "user", "content": "check this note"}]
    document = {"messages": messages, "max_tokens": tokens}
    stream(context, document, "/v1/chat/completions")


@when("a caller requests {tokens:d} tokens without streaming")
def step_request_unstreamed(context, tokens):
    stream(context, {"prompt": "check", "max_tokens": tokens, "stream": False})


@when("a caller lists the models")
def step_list_models(context):
    entry = first_entry(context)
    context.answer = context.run(lambda: entry.team_call("GET", "/v1/models"))


INVALID_CALLS = {
    "malformed JSON": {"body": b'{"model": '},
    "an unknown model": {"document": {"model": "none", "prompt": "x"}},
    "no token": {"document": {"model": "model", "prompt": "x"}, "token": "wrong"},
    "an oversize body": {"body": b"x" * (17 * 1024 * 1024)},
    "a negative time limit": {"limit": "-5"},
    "a time limit of 1 ms": {"limit": "1"},
    "a limit too short to run": {"limit": "200", "prompt": prompt_of(100_000)},
    "zero tokens wanted": {
        "document": {"model": "model", "prompt": "x", "max_tokens": 0}
    },
    "an unknown path": {"path": "/v1/nothing"},
    "an unknown service": {"path": "/services/none/x"},
    "an empty key": {"path": SCORES_PATH, "key": ""},
}


@when("a caller sends invalid input, {name}")
def step_invalid_call(context, name):
    invalid_call = INVALID_CALLS[name]
    headers = [("authorization", f"Bearer {invalid_call.get('token', TEAM_TOKEN)}")]
    if "limit" in invalid_call:
        headers.append(("x-time-limit-ms", invalid_call["limit"]))
    if "key" in invalid_call:
        headers.append(("idempotency-key", invalid_call["key"]))
    document = {"model": "model", "prompt": invalid_call.get("prompt", "x")}
    document = invalid_call.get("document", document)
    path = invalid_call.get("path", "/v1/completions")
    context.calls_before = dict(context.stage.endpoints.call_counts_by_address)
    entry = first_entry(context)
    context.answer = context.run(
        lambda: entry.call("POST", path, document, headers, invalid_call.get("body"))
    )


@when("a caller sends a keyed call twice")
def step_keyed_twice(context):
    context.first = send_keyed(context)
    context.answer = send_keyed(context)


@when("a caller sends a keyed call within {limit:d} ms")
def step_keyed_within(context, limit):
    context.answer = send_keyed(context, x_time_limit_ms=str(limit))


@when("the caller sends the keyed call again {wait:d} ms later")
def step_keyed_again(context, wait):
    context.run(lambda: trio.sleep(wait / 1000))
    context.answer = send_keyed(context)


@when("a caller uses one key for two different calls")
def step_key_reused(context):
    context.first = send_keyed(context)
    context.answer = send_keyed(context, document={"score": 2})


@when("a caller disconnects from a stream after {tokens:d} tokens")
def step_disconnect_from_stream(context, tokens):
    entry = first_entry(context)
    document = {"model": "model", "prompt": "x", "max_tokens": 50, "stream": True}
    headers = [(b"authorization", f"Bearer {TEAM_TOKEN}".encode())]

    async def disconnect():
        body = msgspec.json.encode(document)
        call = MemoryCall("POST", "/v1/completions", headers, body)
        entry.nursery.start_soon(call.run, entry.app)
        context.answer = Answer()
        for _ in range(tokens + 1):
            context.answer.record_event(await call.messages.receive())
        context.answer.caller_disconnected = True
        call.disconnected.set()
        await trio.sleep(1)

    context.run(disconnect)


@then("the stream is complete with {tokens:d} tokens")
def step_stream_complete(context, tokens):
    progress = StreamProgress()
    progress.feed(context.answer.body)
    assert context.answer.status == 200, context.answer.body
    assert progress.done, context.answer.body[-300:]
    assert progress.position().tokens == tokens, progress.position().tokens


@then("the engines have no memory in use")
def step_no_memory_in_use(context):
    for app in engine_apps(context):
        assert app.engine.kv_used_tokens == 0, app.engine.running_by_id
        assert not app.requests_by_id, app.requests_by_id


@then("the response has status {status:d} and {tokens:d} completion tokens")
def step_usage(context, status, tokens):
    assert context.answer.status == status, context.answer.body
    assert context.answer.json()["usage"]["completion_tokens"] == tokens


@then('the models are "{names}"')
def step_model_names(context, names):
    listed = [model["id"] for model in context.answer.json()["data"]]
    assert listed == names.split(", "), listed


@then(
    'the response is a problem with status {status:d}, outcome "{outcome}" '
    'and reason "{reason}"'
)
def step_problem_response(context, status, outcome, reason):
    problem = context.answer.json()
    described = (context.answer.status, problem.get("outcome"), problem.get("reason"))
    assert described == (status, outcome, reason), problem
    assert problem["resend_safe"] == (outcome == "not_run")


@then("the response took less than {limit:d} ms")
def step_response_time(context, limit):
    assert context.answer.duration_ms < limit, context.answer.duration_ms


@then("no engine or service received a request")
def step_no_endpoint_requests(context):
    assert not any(app.requests_by_id for app in engine_apps(context))
    assert not any(app.runs_by_key for app in service_apps(context))


@then("both responses are equal, with status {status:d}")
def step_equal_responses(context, status):
    assert context.first.status == context.answer.status == status
    assert context.first.body == context.answer.body


@then("the key ran {count:d} time")
@then("the key ran {count:d} times")
def step_key_runs(context, count):
    assert runs_of(context) == count, runs_of(context)


@then('the second response has reason "{reason}" and outcome "{outcome}"')
def step_second_response(context, reason, outcome):
    problem = context.answer.json()
    assert (problem["reason"], problem["outcome"]) == (reason, outcome), problem


@then('the stream ends with outcome "{outcome}" and reason "{reason}"')
def step_stream_problem(context, outcome, reason):
    last = context.answer.body.strip().split(b"\n\n")[-1].removeprefix(b"data: ")
    problem = msgspec.json.decode(last)
    assert (problem["outcome"], problem["reason"]) == (outcome, reason), problem


@then('all attempts are counted as "{result}"')
def step_attempt_results(context, result):
    attempts = first_entry(context).components.metrics.attempts
    assert {key[1] for key in attempts} == {result}, attempts


@then("no engine received a cancellation")
def step_no_cancellation(context):
    assert sum(app.cancel_count for app in engine_apps(context)) == 0
